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

// identifyLoop asks the servers of entries that may be another writer's who they are.
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
	config := o.Config()
	if config == nil {
		return
	}
	service, found := config.Service(in.Service)
	if !found {
		return
	}
	identity, err := o.Identifier.Identify(ctx, in, service.HealthPath, identifyTimeout)
	if err != nil {
		identity = tracker.Unidentified
		log.WithField(logger.FieldInstance, in.ID).WithError(err).Debug("instance not identified")
	}
	o.Scope.Tagged(map[string]string{"answer": identity.String()}).Counter("identity_questions").Inc(1)
	o.recordIdentity(in, identity)
}

// HandleDenial records that the server at an instance's address has refused a request or an order
// for that instance because it is another one.
func (o *Observer) HandleDenial(in provider.Instance) { o.recordIdentity(in, tracker.Denied) }

func (o *Observer) recordIdentity(in provider.Instance, identity tracker.Identity) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.tracker.Identify(clocker.Now(), in, identity) {
		return
	}
	log.WithFields(log.Fields{logger.FieldInstance: in.ID, "address": in.Address.String(), "identity": identity.String()}).Info(logger.LineInstanceIdentified)
	o.logGaps()
	o.signal()
}
