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
// instance's own probes found is cleared only by its own probes.
func (o *Observer) HandleLosses(message messenger.LossesMessage) {
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
		if o.tracker.IsLost(l.Instance) && !o.ownLosses[l.Instance] {
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
		if o.ownLosses[in.ID] || now.Sub(o.checkedAt[in.ID]) < checkInterval {
			continue
		}
		o.checkedAt[in.ID] = now
		go o.runCheck(ctx, in)
	}
}

// runCheck probes one instance. If it does not respond while others do, it marks the
// instance lost and announces the loss to the peers.
func (o *Observer) runCheck(ctx context.Context, in provider.Instance) {
	began := clocker.Now()
	err := o.Prober.Probe(ctx, in, probeTimeout)
	if err == nil {
		o.handleResponse(in, began)
		return
	}
	path := o.checkPath(ctx, in)
	for range probeAttempts - 1 {
		began = clocker.Now()
		if err = o.Prober.Probe(ctx, in, probeTimeout); err == nil {
			o.handleResponse(in, began)
			return
		}
	}
	evidence := path.result()
	if ctx.Err() != nil {
		return
	}
	verdict, changed := o.judge(in, err, evidence)
	if verdict == tracker.Undecided {
		o.Scope.Counter("path_disturbances").Inc(1)
		log.WithFields(log.Fields{logger.FieldInstance: in.ID, "references": evidence.References}).WithError(err).Info(logger.LinePathDisturbed)
		return
	}
	if !changed {
		o.signal()
		return
	}
	o.Scope.Tagged(map[string]string{"source": "probe"}).Counter("losses").Inc(1)
	log.WithFields(log.Fields{
		logger.FieldInstance: in.ID, "incarnation": in.Incarnation, logger.FieldGroup: in.Membership.Group, "source": "probe",
		"verdict": verdict.String(), "references": evidence.References, "references_prompt": evidence.Prompt,
	}).WithError(err).Warn(logger.LineInstanceLost)
	o.signal()
	if verdict == tracker.Lost {
		o.Announcer.Announce(ctx, messenger.LossesMessage{Losses: []messenger.Loss{{Instance: in.ID, Incarnation: in.Incarnation}}})
	}
}

// judge records what failed probes of an instance mean, and reports whether its loss is news.
func (o *Observer) judge(in provider.Instance, err error, path tracker.PathEvidence) (verdict tracker.Verdict, changed bool) {
	now := clocker.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	since := o.suspicions.Since(now, in.ID)
	verdict = tracker.Lost
	if !errors.Is(err, syscall.ECONNREFUSED) {
		// A refused connection is a response of the machine: no process listens there.
		verdict = o.suspicions.Judge(now, in.ID, in.Incarnation, path)
	}
	switch verdict {
	case tracker.Undecided:
		o.disturbedAt = now
		return verdict, false
	case tracker.LostHere:
		changed = o.tracker.MarkLostHere(now, since, in.ID, in.Incarnation)
	default:
		changed = o.tracker.MarkLost(now, in.ID, in.Incarnation)
	}
	o.ownLosses[in.ID] = true
	return verdict, changed
}

// handleResponse records that an instance has responded to a probe that began at a time.
func (o *Observer) handleResponse(in provider.Instance, began time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.suspicions.Clear(in.ID)
	if o.tracker.IsLost(in.ID) {
		o.clearLoss(in.ID, "probe")
		o.signal()
	}
	if clocker.Since(began) <= promptResponse {
		o.disturbedAt = time.Time{}
	}
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
		for _, in := range o.recheckTargets() {
			if o.Prober.Probe(ctx, in, probeTimeout) != nil {
				continue
			}
			o.mu.Lock()
			o.clearLoss(in.ID, "probe")
			o.mu.Unlock()
			o.signal()
			o.Announcer.Announce(ctx, messenger.LossesMessage{Found: []messenger.Loss{{Instance: in.ID, Incarnation: in.Incarnation}}})
		}
	}
}

// recheckTargets returns the lost instances to probe now: those whose loss this
// instance found itself, and a random share of the others.
func (o *Observer) recheckTargets() []provider.Instance {
	share := float64(recheckersPerLoss) / float64(max(1, o.Announcer.Count()))
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.DeleteFunc(o.tracker.LostInstances(), func(in provider.Instance) bool {
		return !o.ownLosses[in.ID] && rand.Float64() >= share
	})
}
