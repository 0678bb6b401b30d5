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

// Learn takes in what a peer found of instances. A loss that this instance has
// seen itself, it takes back only when it gets an answer itself.
func (o *Observer) Learn(message messenger.LossesMessage) {
	now := clocker.Now()
	o.mu.Lock()
	news := false
	for _, l := range message.Losses {
		if o.survey.MarkLost(now, l.Instance, l.Incarnation) {
			news = true
			o.Scope.Tagged(map[string]string{"source": "peer"}).Counter("losses").Inc(1)
			log.WithFields(log.Fields{logger.FieldInstance: l.Instance, "incarnation": l.Incarnation, "source": "peer"}).Warn(logger.LineInstanceLost)
		}
	}
	for _, l := range message.Found {
		if o.survey.IsLost(l.Instance) && !o.probed[l.Instance] {
			news = true
			o.find(l.Instance, "peer")
		}
	}
	o.mu.Unlock()
	if news {
		o.signal()
	}
}

// find takes back a loss; o.mu is held.
func (o *Observer) find(id, source string) {
	o.survey.ClearLoss(id)
	delete(o.probed, id)
	o.Scope.Counter("losses_taken_back").Inc(1)
	log.WithFields(log.Fields{logger.FieldInstance: id, "source": source}).Info(logger.LineInstanceRecovered)
}

// Doubt probes instances, since their work stands still, and holds those that
// do not answer for lost. It returns at once.
func (o *Observer) Doubt(ctx context.Context, members []provider.Instance) {
	now := clocker.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, in := range members {
		if o.survey.IsLost(in.ID) || now.Sub(o.doubted[in.ID]) < doubtInterval {
			continue
		}
		o.doubted[in.ID] = now
		go o.runCheck(ctx, in)
	}
}

// runCheck probes one instance and tells everyone if it is lost.
func (o *Observer) runCheck(ctx context.Context, in provider.Instance) {
	var err error
	for range probeTries {
		if err = o.Prober.Probe(ctx, in, probeTimeout); err == nil {
			return
		}
	}
	if ctx.Err() != nil {
		return
	}
	o.mu.Lock()
	news := o.survey.MarkLost(clocker.Now(), in.ID, in.Incarnation)
	o.probed[in.ID] = true
	o.mu.Unlock()
	if !news {
		return
	}
	o.Scope.Tagged(map[string]string{"source": "probe"}).Counter("losses").Inc(1)
	log.WithFields(log.Fields{logger.FieldInstance: in.ID, "incarnation": in.Incarnation, logger.FieldGroup: in.Membership.Group, "source": "probe"}).
		WithError(err).Warn(logger.LineInstanceLost)
	o.signal()
	o.Announcer.Announce(ctx, messenger.LossesMessage{Losses: []messenger.Loss{{Instance: in.ID, Incarnation: in.Incarnation}}})
}

// recheckLoop takes back losses that were none.
func (o *Observer) recheckLoop(ctx context.Context) {
	for sleep(ctx, recheckInterval) {
		for _, in := range o.doubtful() {
			if o.Prober.Probe(ctx, in, probeTimeout) != nil {
				continue
			}
			o.mu.Lock()
			o.find(in.ID, "probe")
			o.mu.Unlock()
			o.signal()
			o.Announcer.Announce(ctx, messenger.LossesMessage{Found: []messenger.Loss{{Instance: in.ID, Incarnation: in.Incarnation}}})
		}
	}
}

// doubtful returns the instances held for lost that this instance probes now:
// those that it found lost itself, and its part of the others.
func (o *Observer) doubtful() []provider.Instance {
	part := float64(recheckers) / float64(max(1, o.Announcer.Count()))
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.DeleteFunc(o.survey.LostInstances(), func(in provider.Instance) bool {
		return !o.probed[in.ID] && rand.Float64() >= part
	})
}
