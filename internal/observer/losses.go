package observer

import (
	"context"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/internal/logger"
	"github.com/waxwingmount/waxwingmount/internal/messenger"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
	"github.com/waxwingmount/waxwingmount/pkg/tracker"
)

// HandleLosses applies a peer's findings on lost instances. A loss that this
// instance's own probes found is cleared only by its own probes; what a peer reaches is
// then lost only here. It reports whether the message must be passed on: losses that are
// known here have been passed on before.
func (o *Observer) HandleLosses(message messenger.LossesMessage) (passOn bool) {
	now := clocker.Now()
	o.mu.Lock()
	changed := false
	for _, l := range message.Losses {
		if o.tracker.MarkLost(now, l.Instance, l.Incarnation) {
			changed = true
			o.Scope.Tagged(map[string]string{"source": "peer"}).Counter("losses").Inc(1)
			log.WithFields(log.Fields{logger.FieldInstance: l.Instance, "incarnation": l.Incarnation, "source": "peer"}).Warn(logger.LineInstanceLost)
		}
	}
	for _, l := range message.Found {
		switch {
		case !o.tracker.IsLostIn(l.Instance, l.Incarnation):
		case o.ownLosses[l.Instance]:
			changed = o.tracker.LocalizeLoss(l.Instance) || changed
		default:
			changed = true
			o.clearLoss(l.Instance, "peer")
		}
	}
	for _, l := range message.Leaving {
		if o.tracker.MarkLeaving(now, l.Instance, l.Incarnation) {
			changed = true
			o.logLeaving(l, "peer")
		}
	}
	o.mu.Unlock()
	if changed {
		o.signal()
	}
	return changed || len(message.Found) > 0
}

// HandleLeaving records that an instance has said in a response that it leaves: it gets
// no new requests from now on, whatever the list says, and the peers are told.
func (o *Observer) HandleLeaving(in provider.Instance) {
	l := messenger.Loss{Instance: in.ID, Incarnation: in.Incarnation}
	o.mu.Lock()
	changed := o.tracker.MarkLeaving(clocker.Now(), in.ID, in.Incarnation)
	o.mu.Unlock()
	if !changed {
		return
	}
	o.logLeaving(l, "response")
	o.signal()
	go o.runAnnouncement(messenger.LossesMessage{Leaving: []messenger.Loss{l}})
}

func (o *Observer) logLeaving(l messenger.Loss, source string) {
	o.Scope.Tagged(map[string]string{"source": source}).Counter("servers_leaving").Inc(1)
	log.WithFields(log.Fields{logger.FieldInstance: l.Instance, "incarnation": l.Incarnation, "source": source}).Info(logger.LineInstanceLeaving)
}

func (o *Observer) runAnnouncement(message messenger.LossesMessage) {
	o.Announcer.Announce(context.Background(), message)
}

// clearLoss clears the loss of an instance that has answered. The caller holds
// o.mu.
func (o *Observer) clearLoss(id, source string) {
	o.tracker.ClearLoss(id)
	o.suspicions.Clear(id)
	delete(o.ownLosses, id)
	o.Scope.Counter("losses_taken_back").Inc(1)
	log.WithFields(log.Fields{logger.FieldInstance: id, "source": source}).Info(logger.LineInstanceRecovered)
}

// Suspect probes instances whose requests make no progress and marks those that
// do not answer lost, also if a peer has reported them lost already. It does not wait for
// the probes.
func (o *Observer) Suspect(ctx context.Context, members []provider.Instance) {
	now := clocker.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, in := range members {
		if o.ownLosses[in.ID] || o.tracker.PathFailed(in.ID) || now.Sub(o.checkedAt[in.ID]) < checkInterval {
			continue
		}
		o.checkedAt[in.ID] = now
		go o.runCheck(ctx, in)
	}
}

// runCheck probes one instance. If it does not respond, it asks peers and probes references
// beside the second probe, records what that means, and announces a loss for all to the peers.
func (o *Observer) runCheck(ctx context.Context, in provider.Instance) {
	began := clocker.Now()
	err := o.Prober.Probe(ctx, in, probeTimeout)
	if err == nil {
		o.handleResponse(in, began)
		return
	}
	path := o.checkPath(ctx, in)
	peers := o.inquire(ctx, in, 0)
	defer func() { o.closeInquiry(peers) }()
	for range probeAttempts - 1 {
		began = clocker.Now()
		if err = o.Prober.Probe(ctx, in, probeTimeout); err == nil {
			o.handleResponse(in, began)
			return
		}
	}
	evidence := tracker.Evidence{Refused: errors.Is(err, syscall.ECONNREFUSED), Peers: peers.result(), Path: path.result()}
	if !evidence.Peers.Credible() && evidence.Peers.Asked > 0 && evidence.Path.Sound() {
		o.closeInquiry(peers)
		peers = o.inquire(ctx, in, 1)
		evidence.Peers = peers.result()
	}
	if ctx.Err() != nil {
		return
	}
	o.act(ctx, in, err, evidence, o.judge(in, evidence))
}

// finding is what failed probes of an instance mean.
type finding struct {
	verdict tracker.Verdict
	// news reports whether it was not known before, and cutFound whether the path is found
	// cut by it.
	news, cutFound bool
}

// act logs what failed probes of an instance mean, and announces a loss.
func (o *Observer) act(ctx context.Context, in provider.Instance, err error, e tracker.Evidence, f finding) {
	if f.cutFound {
		o.logPathCut(in)
	}
	switch {
	case f.verdict == tracker.Undecided:
		o.Scope.Counter("path_disturbances").Inc(1)
		log.WithFields(log.Fields{logger.FieldInstance: in.ID, "references": e.Path.References}).WithError(err).Info(logger.LinePathDisturbed)
		return
	case !f.news:
		o.signal()
		return
	}
	o.Scope.Tagged(map[string]string{"source": "probe"}).Counter("losses").Inc(1)
	log.WithFields(log.Fields{
		logger.FieldInstance: in.ID, "incarnation": in.Incarnation, logger.FieldGroup: in.Membership.Group, "source": "probe",
		"verdict": f.verdict.String(), "references": e.Path.References, "references_prompt": e.Path.Prompt,
		"witnesses_reached": e.Peers.Reached, "witnesses_silent": e.Peers.Silent,
	}).WithError(err).Warn(logger.LineInstanceLost)
	o.signal()
	if f.verdict == tracker.Lost {
		o.Announcer.Announce(ctx, messenger.LossesMessage{Losses: []messenger.Loss{{Instance: in.ID, Incarnation: in.Incarnation}}})
	}
}

// judge records what failed probes of an instance mean.
func (o *Observer) judge(in provider.Instance, e tracker.Evidence) finding {
	now := clocker.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	var f finding
	since := o.suspicions.Since(now, in.ID, in.Incarnation)
	if e.Peers.Reached > 0 {
		f.cutFound = o.tracker.ContradictPath(now, in, e.Path)
	}
	_, cut := o.tracker.PathCut()
	if cut && e.Peers.Silent == 0 {
		// Over a path that is cut, silence says nothing of the instance.
		f.verdict, f.news = tracker.LostHere, !o.tracker.PathFailed(in.ID)
		o.suspicions.Clear(in.ID)
		o.tracker.NoteFailure(now, in.ID)
		return f
	}
	f.verdict = o.suspicions.Judge(now, in.ID, in.Incarnation, e)
	switch f.verdict {
	case tracker.Undecided:
		o.disturbedAt = now
		return f
	case tracker.LostHere:
		f.news = o.tracker.MarkLostHere(now, since, in.ID, in.Incarnation)
		if e.Peers.Reached > 0 {
			o.tracker.LocalizeLoss(in.ID)
		}
	default:
		f.news = o.tracker.MarkLost(now, in.ID, in.Incarnation)
	}
	o.ownLosses[in.ID] = true
	return f
}

// handleResponse records that an instance has responded to a probe that began at a time. It
// reports whether peers may hold the instance for lost.
func (o *Observer) handleResponse(in provider.Instance, began time.Time) (shared bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	shared = o.tracker.LossShared(in.ID)
	o.suspicions.Clear(in.ID)
	o.tracker.NoteResponse(in.ID)
	if o.tracker.IsLost(in.ID) {
		o.clearLoss(in.ID, "probe")
		o.signal()
	}
	if clocker.Since(began) <= promptResponse {
		o.disturbedAt = time.Time{}
	}
	return shared
}

// PathDisturbed reports whether the last probes from here were answered by no instance, so
// that silence says nothing about a backend server.
func (o *Observer) PathDisturbed() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.disturbedAt.IsZero() && clocker.Since(o.disturbedAt) < pathMemory
}

// recheckLoop probes lost instances and clears the losses of those that answer.
func (o *Observer) recheckLoop(ctx context.Context) {
	for sleep(ctx, recheckInterval) {
		o.probeAll(ctx, o.recheckTargets(), func(in provider.Instance, began time.Time, err error) {
			if err != nil {
				o.handleSilence(ctx, in)
				return
			}
			if o.handleResponse(in, began) {
				o.Announcer.Announce(ctx, messenger.LossesMessage{Found: []messenger.Loss{{Instance: in.ID, Incarnation: in.Incarnation}}})
			}
		})
	}
}

// handleSilence records that a lost instance still does not respond. One that could not be
// reached from here may be lost for all by now, which nobody else may find.
func (o *Observer) handleSilence(ctx context.Context, in provider.Instance) {
	now := clocker.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.tracker.RenewLossHere(now, in.ID)
	_, cut := o.tracker.PathCut()
	interval := checkInterval
	if o.tracker.ReachedByPeer(in.ID) {
		interval = reviewInterval
	}
	if cut || !o.ownLosses[in.ID] || o.tracker.LostForAll(in.ID) || now.Sub(o.checkedAt[in.ID]) < interval {
		return
	}
	o.checkedAt[in.ID] = now
	go o.runCheck(ctx, in)
}

// recheckTargets returns the lost instances to probe now: those whose loss this
// instance found itself, and a random share of the others.
func (o *Observer) recheckTargets() []provider.Instance {
	share := float64(recheckersPerLoss) / float64(max(1, o.Announcer.Count()))
	o.mu.Lock()
	defer o.mu.Unlock()
	targets := slices.DeleteFunc(o.tracker.LostInstances(), func(in provider.Instance) bool {
		return !o.ownLosses[in.ID] && rand.Float64() >= share
	})
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	return targets[:min(len(targets), surveySize)]
}
