package observer

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/internal/logger"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
	"github.com/waxwingmount/waxwingmount/pkg/tracker"
)

const (
	// identifyInterval is the time between two rounds of questions, and identifiesPerRound the
	// most questions of one. Both bound what another writer's entries cost.
	identifyInterval   = 200 * time.Millisecond
	identifiesPerRound = 8
	// identifyTimeout bounds one question. An answer that is late only delays the resolution.
	identifyTimeout = confirmationTimeout
)

// identifyLoop asks the servers of entries that contradict each other who they are.
func (o *Observer) identifyLoop(ctx context.Context) {
	for sleep(ctx, identifyInterval) {
		o.identify(ctx)
	}
}

// identify runs one round of questions.
func (o *Observer) identify(ctx context.Context) {
	o.mu.Lock()
	due := o.tracker.Unidentified(clocker.Now())
	o.mu.Unlock()
	var questions sync.WaitGroup
	for _, in := range due[:min(len(due), identifiesPerRound)] {
		questions.Go(func() { o.askIdentity(ctx, in) })
	}
	questions.Wait()
}

// askIdentity asks one server who it is, and records the answer.
func (o *Observer) askIdentity(ctx context.Context, in provider.Instance) {
	identity, err := o.Identifier.Identify(ctx, in, identifyTimeout)
	if err != nil {
		identity = tracker.Unidentified
	}
	o.Scope.Tagged(map[string]string{"answer": identity.String()}).Counter("identity_questions").Inc(1)
	o.mu.Lock()
	news := o.tracker.Identify(clocker.Now(), in, identity)
	if news {
		o.logGaps()
	}
	o.mu.Unlock()
	entry := log.WithFields(log.Fields{logger.FieldInstance: in.ID, "address": in.Address.String(), "identity": identity.String()})
	switch {
	case err != nil:
		entry.WithError(err).Debug(logger.LineInstanceIdentified)
	case news:
		entry.Info(logger.LineInstanceIdentified)
		o.signal()
	}
}
