package dispatcher

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/configurer"
	"github.com/waxwingmount/waxwingmount/pkg/limiter"
	"github.com/waxwingmount/waxwingmount/pkg/retrier"
)

// admissionResult is what the queue decided about a waiting request; err is nil
// when the request may start.
type admissionResult struct {
	err *Error
}

const (
	// retryJitter is the fraction by which retry delays vary, so that callers
	// do not retry all at once.
	retryJitter = 0.5
	// shutdownRetryDelay is short, since the other entry instances keep
	// serving.
	shutdownRetryDelay = 100 * time.Millisecond
	// noBackendRetryDelay is the delay before a retry when no backend server
	// may be sent the request.
	noBackendRetryDelay = time.Second
)

// admit waits until the request may start. The caller must call the returned
// function when the request has ended.
func (d *Dispatcher) admit(ctx context.Context, r Request) (func(), *Error) {
	config := d.configs.Config()
	ticket, waiting, refusal := d.startOrQueue(config, r)
	if refusal != nil {
		return nil, refusal
	}
	if waiting != nil {
		if refusal := d.waitForAdmission(ctx, r, ticket, waiting); refusal != nil {
			return nil, refusal
		}
	}
	began := time.Now()
	return func() { d.finishRequest(r, time.Since(began)) }, nil
}

// finishRequest records the end of a request that was started.
func (d *Dispatcher) finishRequest(r Request, took time.Duration) {
	if r.Service == "" {
		d.mu.Lock()
		d.queues[r.Model].RecordDuration(took)
		d.mu.Unlock()
	}
	d.removeRequest(r)
}

// startOrQueue admits, queues or refuses a request. For a queued request it
// returns the ticket and the channel that receives the result.
func (d *Dispatcher) startOrQueue(config *configurer.Config, r Request) (uint64, chan admissionResult, *Error) {
	now := time.Now()
	free := d.freeSlots(config, r)
	d.mu.Lock()
	defer d.mu.Unlock()
	if refusal := d.checkAdmissible(now, r); refusal != nil {
		return 0, nil, refusal
	}
	d.activeRequests++
	if r.Service != "" {
		return 0, nil, nil
	}
	d.lastTicketID++
	queue := d.queue(config, r.Model)
	decision := queue.Offer(now, limiter.Ticket{
		ID:           d.lastTicketID,
		Organisation: r.Organisation.Name,
		Weight:       r.Organisation.Weight,
		Priority:     r.Class.Priority,
		Deadline:     r.Deadline,
		StartBy:      now.Add(maxQueueWait),
	}, free)
	if decision.Evicted != nil {
		d.notifyWaiter(decision.Evicted.ID, overloaded(decision.RetryAfter))
	}
	switch decision.Verdict {
	case limiter.Admitted:
		return 0, nil, nil
	case limiter.Queued:
		waiting := make(chan admissionResult, 1)
		d.waiters[d.lastTicketID] = waiting
		return d.lastTicketID, waiting, nil
	}
	d.activeRequests--
	return 0, nil, overloaded(decision.RetryAfter)
}

// checkAdmissible returns an error for a request that must not be queued. The
// caller must hold d.mu.
func (d *Dispatcher) checkAdmissible(now time.Time, r Request) *Error {
	if d.admittingStopped {
		return &Error{Op: "admit", Kind: KindShuttingDown, Outcome: retrier.NotRun, RetryAfter: shutdownRetryDelay}
	}
	if d.quarantine.Blocked(now, r.fingerprint) {
		return &Error{Op: "admit", Kind: KindQuarantined, Outcome: retrier.NotRun}
	}
	limit := d.organisationLimit(r.Organisation)
	if wait, allowed := limit.reserve(now); !allowed {
		return &Error{Op: "admit", Kind: KindRateLimited, Outcome: retrier.NotRun, RetryAfter: jitter(wait)}
	}
	return nil
}

// waitForAdmission waits until a queued request is admitted or refused, or ctx
// ends.
func (d *Dispatcher) waitForAdmission(ctx context.Context, r Request, ticket uint64, waiting chan admissionResult) *Error {
	select {
	case a := <-waiting:
		if a.err != nil {
			d.removeRequest(r)
		}
		return a.err
	case <-ctx.Done():
	}
	d.mu.Lock()
	d.queues[r.Model].Cancel(ticket)
	delete(d.waiters, ticket)
	d.mu.Unlock()
	d.removeRequest(r)
	return &Error{Op: "admit", Kind: KindDeadlineExceeded, Outcome: retrier.NotRun, Err: ctx.Err()}
}

// removeRequest removes a request from the active ones and admits queued
// requests for which there is now capacity.
func (d *Dispatcher) removeRequest(r Request) {
	d.mu.Lock()
	d.activeRequests--
	d.mu.Unlock()
	if r.Service == "" {
		d.admitQueued(time.Now(), r.Model)
	}
}

// admitAllQueued calls admitQueued for each model with queued requests.
func (d *Dispatcher) admitAllQueued(now time.Time) {
	d.mu.Lock()
	models := make([]string, 0, len(d.queues))
	for model, queue := range d.queues {
		if queue.Len() > 0 {
			models = append(models, model)
		}
	}
	d.mu.Unlock()
	for _, model := range models {
		d.admitQueued(now, model)
	}
}

// admitQueued admits the queued requests of one model for which there is
// capacity, and refuses those that can no longer start in time.
func (d *Dispatcher) admitQueued(now time.Time, model string) {
	config := d.configs.Config()
	if !d.hasQueued(model) {
		return
	}
	free := d.freeSlots(config, Request{Model: model})
	d.mu.Lock()
	defer d.mu.Unlock()
	queue := d.queue(config, model)
	for _, t := range queue.Expire(now) {
		d.notifyWaiter(t.ID, overloaded(queue.RetryAfter()))
	}
	for _, t := range queue.Dequeue(now, free) {
		d.notifyWaiter(t.ID, nil)
	}
}

func (d *Dispatcher) hasQueued(model string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	queue, found := d.queues[model]
	return found && queue.Len() > 0
}

// notifyWaiter sends the result to a queued request. The caller must hold d.mu.
func (d *Dispatcher) notifyWaiter(ticket uint64, err *Error) {
	if waiting, found := d.waiters[ticket]; found {
		delete(d.waiters, ticket)
		waiting <- admissionResult{err: err}
	}
}

// freeSlots returns how many more requests may be sent to the groups of a model
// whose gates are open.
func (d *Dispatcher) freeSlots(config *configurer.Config, r Request) int {
	if r.Service != "" {
		return 0
	}
	found := d.groupBackends(r.Model)
	d.mu.Lock()
	defer d.mu.Unlock()
	free := 0
	for _, b := range found {
		free += max(0, config.Admission.MaxInFlight-d.tracker.InFlight(b.name))
	}
	return free
}

// queue returns the queue of a model and applies the current limits to it. The
// caller must hold d.mu.
func (d *Dispatcher) queue(config *configurer.Config, model string) *limiter.Queue {
	queue, found := d.queues[model]
	if !found {
		queue = limiter.NewQueue(config.Admission.QueueLength)
		d.queues[model] = queue
	}
	queue.SetCapacity(config.Admission.QueueLength)
	d.budget.SetLimits(retrier.Limits{Ratio: config.Admission.RetryRatio, Reserve: retryReserve})
	return queue
}

func overloaded(retryAfter time.Duration) *Error {
	return &Error{Op: "admit", Kind: KindOverloaded, Outcome: retrier.NotRun, RetryAfter: jitter(retryAfter)}
}

// jitter returns a random duration from half of d to one and a half of it.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - retryJitter + 2*retryJitter*rand.Float64()))
}
