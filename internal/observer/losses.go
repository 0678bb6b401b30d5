package observer

import (
	"context"
	"math/rand/v2"
	"slices"

	"github.com/apex/log"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/internal/logger"
	"github.com/waxwingmount/waxwingmount/internal/messenger"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

// HandleLosses takes in what a peer found of instances. A loss that this instance has
// seen itself, it takes back only when it gets an answer itself.
func (o *Observer) HandleLosses(message messenger.LossesMessage) {
	now := clocker.Now()
	o.mu.Lock()
	news := false
	for _, l := range message.Losses {
		if o.tracker.MarkLost(now, l.Instance, l.Incarnation) {
			news = true
			o.Scope.Tagged(map[string]string{"source": "peer"}).Counter("losses").Inc(1)
			log.WithFields(log.Fields{logger.FieldInstance: l.Instance, "incarnation": l.Incarnation, "source": "peer"}).Warn(logger.LineLost)
		}
	}
	for _, l := range message.Found {
		if o.tracker.IsLost(l.Instance) && !o.ownLosses[l.Instance] {
			news = true
			o.clearLoss(l.Instance, "peer")
		}
	}
	o.mu.Unlock()
	if news {
		o.signal()
	}
}

// clearLoss takes back a loss; o.mu is held.
func (o *Observer) clearLoss(id, source string) {
	o.tracker.ClearLoss(id)
	delete(o.ownLosses, id)
	o.Scope.Counter("losses_taken_back").Inc(1)
	log.WithFields(log.Fields{logger.FieldInstance: id, "source": source}).Info(logger.LineFound)
}

// Suspect probes instances, since their work stands still, and holds those that
// do not answer for lost. It returns at once.
func (o *Observer) Suspect(ctx context.Context, members []provider.Instance) {
	now := clocker.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, in := range members {
		if o.tracker.IsLost(in.ID) || now.Sub(o.checkedAt[in.ID]) < checkInterval {
			continue
		}
		o.checkedAt[in.ID] = now
		go o.checkInstance(ctx, in)
	}
}

// checkInstance probes one instance and tells everyone if it is lost.
func (o *Observer) checkInstance(ctx context.Context, in provider.Instance) {
	var err error
	for range probeAttempts {
		if err = o.Prober.Probe(ctx, in, probeTimeout); err == nil {
			return
		}
	}
	if ctx.Err() != nil {
		return
	}
	o.mu.Lock()
	news := o.tracker.MarkLost(clocker.Now(), in.ID, in.Incarnation)
	o.ownLosses[in.ID] = true
	o.mu.Unlock()
	if !news {
		return
	}
	o.Scope.Tagged(map[string]string{"source": "probe"}).Counter("losses").Inc(1)
	log.WithFields(log.Fields{logger.FieldInstance: in.ID, "incarnation": in.Incarnation, logger.FieldGroup: in.Membership.Group, "source": "probe"}).
		WithError(err).Warn(logger.LineLost)
	o.signal()
	o.Announcer.Announce(ctx, messenger.LossesMessage{Losses: []messenger.Loss{{Instance: in.ID, Incarnation: in.Incarnation}}})
}

// recheckLoop takes back losses that were none.
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

// recheckTargets returns the instances held for lost that this instance probes now:
// those that it found lost itself, and its part of the others.
func (o *Observer) recheckTargets() []provider.Instance {
	part := float64(recheckersPerLoss) / float64(max(1, o.Announcer.Count()))
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.DeleteFunc(o.tracker.LostInstances(), func(in provider.Instance) bool {
		return !o.ownLosses[in.ID] && rand.Float64() >= part
	})
}
