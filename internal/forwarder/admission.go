package forwarder

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/internal/logger"
	"github.com/waxwingmount/waxwingmount/pkg/estimator"
	"github.com/waxwingmount/waxwingmount/pkg/limiter"
	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/pkg/pathfinder"
	"github.com/waxwingmount/waxwingmount/pkg/quarantiner"
	"github.com/waxwingmount/waxwingmount/pkg/retrier"
)

const (
	// startMargin is how long before its caller's timeout a request must be
	// sent at the latest: a first token takes 0.2 to 0.4 s. maxWaitFraction
	// bounds the fraction of a request's timeout that it may spend in the
	// queue.
	startMargin     = 500 * time.Millisecond
	maxWaitFraction = 0.5
	// returnWindow is how long after a refusal a request with the same content
	// counts as a repeated one: the longest timeout in the users'
	// specifications.
	returnWindow = 8 * time.Second
	// recentRefusalsCapacity is how many refused requests are remembered.
	recentRefusalsCapacity = 2048
	// defaultRetryAfter is the Retry-After of refusals for a temporary lack of
	// servers or a stale view of the system.
	defaultRetryAfter = 500 * time.Millisecond
	// evacuatedRetryAfter replaces it while all servers are in evacuated data centres, which
	// lasts for seconds at least.
	evacuatedRetryAfter = 2 * time.Second
	// shutdownRetryAfter is the Retry-After of an entry instance that shuts
	// down; another one can serve the request at once.
	shutdownRetryAfter = 50 * time.Millisecond
	// unknownPoolTTL is how long a pool that the configuration does not have is kept after its
	// last use. Callers choose the model, so each name that one makes up is a pool.
	unknownPoolTTL = 10 * time.Second
	// retryJitter spreads the retries of callers over time, as a fraction of
	// the delay.
	retryJitter = 0.5
	// resumedPriority is that of a peer's stream that resumes: its caller has a part of it.
	resumedPriority = -1
)

// admit waits until a request may be sent to its pool.
func (f *Forwarder) admit(ctx context.Context, x *exchange) *Refusal {
	now := clocker.Now()
	free := f.freeSlots(x.config, x.pool)
	if free == 0 {
		if refusal := f.refuseUnavailable(now, x); refusal != nil {
			return refusal
		}
	}
	if x.nextPath(x.config, func() int { return free }) == pathfinder.ByPeer {
		return nil
	}
	if x.request.Detour != nil && len(f.destinations(x.config, x.pool)) == 0 {
		// Its sender can ask another peer.
		return &Refusal{Op: "admit", Kind: KindNoPath, Outcome: retrier.NotRun, RetryAfter: jitter(defaultRetryAfter)}
	}
	f.recordArrival(now, x)
	f.mu.Lock()
	if f.startingStopped {
		f.mu.Unlock()
		return shuttingDown("admit")
	}
	p := f.poolFor(x.pool)
	p.workload.ObserveRequest(x.request.PromptTokens, x.route.Objective, x.route.GapObjective)
	ticket := x.newTicket(now)
	decision := p.queue.Offer(now, ticket, free)
	if decision.Evicted != nil {
		p.notify(decision.Evicted.ID, overloaded(decision.RetryAfter))
	}
	if decision.Verdict == limiter.Refused {
		f.recentRefusals.Add(x.fingerprint, now)
		f.mu.Unlock()
		return overloaded(decision.RetryAfter)
	}
	if decision.Verdict == limiter.Admitted {
		f.mu.Unlock()
		return nil
	}
	result := make(chan *Refusal, 1)
	p.waiting[ticket.ID] = waiter{result: result, parts: x.request.PromptParts}
	waiting := p.queue.Len()
	f.mu.Unlock()
	log.WithFields(log.Fields{
		logger.FieldRequest: x.request.ID, logger.FieldService: x.pool.service, logger.FieldModel: x.pool.model, "free": free, "waiting": waiting,
		"returned": ticket.PreviouslyRefused, "start_by_ms": x.queueUntil.Sub(now).Milliseconds(), "list_age_ms": f.Observer.ListAge().Milliseconds(),
	}).Info(logger.LineQueued)
	select {
	case refusal := <-result:
		if refusal != nil {
			f.mu.Lock()
			f.recentRefusals.Add(x.fingerprint, clocker.Now())
			f.mu.Unlock()
		}
		return refusal
	case <-ctx.Done():
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	p.queue.Cancel(ticket.ID)
	delete(p.waiting, ticket.ID)
	return &Refusal{Op: "admit", Kind: KindDeadlineExceeded, Outcome: retrier.NotRun, Err: ctx.Err()}
}

// shuttingDown returns the refusal of an entry instance that shuts down.
func shuttingDown(op string) *Refusal {
	return &Refusal{Op: op, Kind: KindShuttingDown, Outcome: retrier.NotRun, RetryAfter: jitter(shutdownRetryAfter)}
}

// refuseUnavailable refuses a request for which no server can become available in time, or
// returns nil.
func (f *Forwarder) refuseUnavailable(now time.Time, x *exchange) *Refusal {
	if until, all := f.deferredUntil(x.config, x.pool); all && until.After(x.queueUntil) {
		if x.request.Detour == nil {
			f.recordArrival(now, x)
		}
		return &Refusal{Op: "admit", Kind: KindNoServer, Outcome: retrier.NotRun, RetryAfter: until.Sub(now)}
	}
	if f.Observer.AllEvacuated(x.pool.service) {
		// None that is known can become available but by the operator.
		return &Refusal{Op: "admit", Kind: KindNoServer, Outcome: retrier.NotRun, RetryAfter: jitter(evacuatedRetryAfter), Route: x.route.Name, Service: x.pool.service, Model: x.pool.model}
	}
	return nil
}

// newTicket returns the request's place in a queue. The caller holds f.mu.
func (x *exchange) newTicket(now time.Time) limiter.Ticket {
	x.f.lastTicketID++
	priority := mapper.Priority(x.organisation, x.route)
	if d := x.request.Detour; d != nil && d.LastEventID != "" {
		priority = resumedPriority
	}
	return limiter.Ticket{
		ID:                x.f.lastTicketID,
		Organisation:      x.organisation.Name,
		Priority:          priority,
		Deadline:          x.deadline,
		StartBy:           x.queueUntil,
		ObjectiveStartBy:  x.objectiveStartBy,
		Objective:         x.route.Objective,
		PreviouslyRefused: x.f.previouslyRefused(now, x.fingerprint),
	}
}

// previouslyRefused reports whether a request with this content was refused
// within returnWindow.
func (f *Forwarder) previouslyRefused(now time.Time, content quarantiner.Fingerprint) bool {
	at, found := f.recentRefusals.Get(content)
	return found && now.Sub(at) < returnWindow
}

func (f *Forwarder) poolFor(key poolKey) *pool {
	p, found := f.pools[key]
	if !found {
		p = &pool{queue: limiter.NewQueue(queueLength), waiting: make(map[uint64]waiter), meter: estimator.NewPoolMeter(demandWindow)}
		f.pools[key] = p
	}
	p.usedAt = clocker.Now()
	return p
}

// isForgettable reports whether a pool can be forgotten: nothing waits for it, it has not been
// used lately, and the configuration does not have it.
func (p *pool) isForgettable(now time.Time, config *mapper.RouteTable, key poolKey) bool {
	if p.queue.Len() > 0 || len(p.waiting) > 0 || now.Sub(p.usedAt) < unknownPoolTTL {
		return false
	}
	name, found := reportName(config, key)
	return !found || name != key.String()
}

// notify ends the wait of a queued request. A nil refusal admits it.
func (p *pool) notify(ticket uint64, refusal *Refusal) {
	if w, found := p.waiting[ticket]; found {
		delete(p.waiting, ticket)
		w.result <- refusal
	}
}

// startQueuedInAllPools starts the queued requests for which there are free
// slots, and refuses those that cannot be started in time.
func (f *Forwarder) startQueuedInAllPools() {
	config := f.Observer.Config()
	if config == nil {
		return
	}
	f.mu.Lock()
	var waiting []poolKey
	now := clocker.Now()
	for key, p := range f.pools {
		switch {
		case p.queue.Len() > 0:
			waiting = append(waiting, key)
		case p.isForgettable(now, config, key):
			delete(f.pools, key)
		}
	}
	f.mu.Unlock()
	for _, key := range waiting {
		f.startQueued(config, key)
	}
}

func (f *Forwarder) startQueued(config *mapper.RouteTable, key poolKey) {
	now := clocker.Now()
	shared, own := f.freeSlotsByUse(config, key)
	byPeers := f.path(config, key, false, func() int { return shared + own }, nil, nil) == pathfinder.ByPeer
	f.mu.Lock()
	defer f.mu.Unlock()
	free := f.ownShare(shared) + own
	p := f.poolFor(key)
	if byPeers {
		free = p.queue.Len()
	}
	for _, t := range p.queue.Expire(now) {
		p.notify(t.ID, overloaded(p.queue.RetryAfter()))
	}
	for _, t := range p.queue.Dequeue(now, free) {
		p.notify(t.ID, nil)
	}
}

// ownShare returns how many of the free slots this entry instance may fill. All
// entry instances see the same free slots, so each takes its share; a remainder
// is assigned at random.
func (f *Forwarder) ownShare(free int) int {
	peers := max(1, f.Peers.Count())
	share, rest := free/peers, free%peers
	if f.random.IntN(peers) < rest {
		share++
	}
	return share
}

func overloaded(wait time.Duration) *Refusal {
	return &Refusal{Op: "admit", Kind: KindOverloaded, Outcome: retrier.NotRun, RetryAfter: jitter(wait)}
}

// jitter returns a random duration between half and one and a half times d.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - retryJitter + 2*retryJitter*rand.Float64()))
}
