package dispatcher

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/configurer"
	"github.com/waxwingmount/waxwingmount/pkg/limiter"
	"github.com/waxwingmount/waxwingmount/pkg/retrier"
)

// admission is what a waiting request is told.
type admission struct {
	err *Error
}

const (
	// retryJitter spreads the callers that come back.
	retryJitter = 0.5
	// leavingRetry is when to come back to a system of which one entry leaves.
	leavingRetry = 100 * time.Millisecond
	// noBackendRetry is when to come back after all back ends were closed.
	noBackendRetry = time.Second
)

// admit waits until the request may start. The function that it returns must
// be called when the request is over.
func (d *Dispatcher) admit(ctx context.Context, r Request) (func(), *Error) {
	config := d.configs.Config()
	ticket, waiting, refusal := d.offer(config, r)
	if refusal != nil {
		return nil, refusal
	}
	if waiting != nil {
		if refusal := d.await(ctx, r, ticket, waiting); refusal != nil {
			return nil, refusal
		}
	}
	began := time.Now()
	return func() { d.finished(r, time.Since(began)) }, nil
}

// finished counts the end of a request that was started.
func (d *Dispatcher) finished(r Request, took time.Duration) {
	if r.Service == "" {
		d.mu.Lock()
		d.queues[r.Model].RecordDuration(took)
		d.mu.Unlock()
	}
	d.leave(r)
}

// offer asks the limits; it returns a channel when the request has to wait.
func (d *Dispatcher) offer(config *configurer.Config, r Request) (uint64, chan admission, *Error) {
	now := time.Now()
	free := d.free(config, r)
	d.mu.Lock()
	defer d.mu.Unlock()
	if refusal := d.refuseEarly(now, r); refusal != nil {
		return 0, nil, refusal
	}
	d.live++
	if r.Service != "" {
		return 0, nil, nil
	}
	d.nextTicket++
	queue := d.queue(config, r.Model)
	decision := queue.Offer(now, limiter.Ticket{
		ID:           d.nextTicket,
		Organisation: r.Organisation.Name,
		Weight:       r.Organisation.Weight,
		Priority:     r.Class.Priority,
		Deadline:     r.Deadline,
		StartBy:      now.Add(maxQueueWait),
	}, free)
	if decision.Evicted != nil {
		d.tell(decision.Evicted.ID, overloaded(decision.RetryAfter))
	}
	switch decision.Verdict {
	case limiter.Admitted:
		return 0, nil, nil
	case limiter.Queued:
		waiting := make(chan admission, 1)
		d.waiting[d.nextTicket] = waiting
		return d.nextTicket, waiting, nil
	}
	d.live--
	return 0, nil, overloaded(decision.RetryAfter)
}

// refuseEarly refuses what must not even wait.
func (d *Dispatcher) refuseEarly(now time.Time, r Request) *Error {
	if d.leaving {
		return &Error{Op: "admit", Kind: KindLeaving, Outcome: retrier.NotRun, RetryAfter: leavingRetry}
	}
	if d.quarantine.Blocked(now, r.fingerprint) {
		return &Error{Op: "admit", Kind: KindQuarantined, Outcome: retrier.NotRun}
	}
	limit := d.rate(r.Organisation)
	if wait, allowed := limit.take(now); !allowed {
		return &Error{Op: "admit", Kind: KindRateLimited, Outcome: retrier.NotRun, RetryAfter: jitter(wait)}
	}
	return nil
}

// await waits for the queue's word.
func (d *Dispatcher) await(ctx context.Context, r Request, ticket uint64, waiting chan admission) *Error {
	select {
	case a := <-waiting:
		if a.err != nil {
			d.leave(r)
		}
		return a.err
	case <-ctx.Done():
	}
	d.mu.Lock()
	d.queues[r.Model].Cancel(ticket)
	delete(d.waiting, ticket)
	d.mu.Unlock()
	d.leave(r)
	return &Error{Op: "admit", Kind: KindDeadline, Outcome: retrier.NotRun, Err: ctx.Err()}
}

// leave counts the end of a request and lets the next ones start.
func (d *Dispatcher) leave(r Request) {
	d.mu.Lock()
	d.live--
	d.mu.Unlock()
	if r.Service == "" {
		d.pump(time.Now(), r.Model)
	}
}

// pumpAll starts the waiting requests of all models.
func (d *Dispatcher) pumpAll(now time.Time) {
	d.mu.Lock()
	models := make([]string, 0, len(d.queues))
	for model, queue := range d.queues {
		if queue.Len() > 0 {
			models = append(models, model)
		}
	}
	d.mu.Unlock()
	for _, model := range models {
		d.pump(now, model)
	}
}

// pump starts the waiting requests of one model for which there is room, and
// gives up those whose time is over.
func (d *Dispatcher) pump(now time.Time, model string) {
	config := d.configs.Config()
	if !d.anyWaiting(model) {
		return
	}
	free := d.free(config, Request{Model: model})
	d.mu.Lock()
	defer d.mu.Unlock()
	queue := d.queue(config, model)
	for _, t := range queue.Expire(now) {
		d.tell(t.ID, overloaded(queue.RetryAfter()))
	}
	for _, t := range queue.Dequeue(now, free) {
		d.tell(t.ID, nil)
	}
}

func (d *Dispatcher) anyWaiting(model string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	queue, found := d.queues[model]
	return found && queue.Len() > 0
}

// tell wakes a waiting request.
func (d *Dispatcher) tell(ticket uint64, err *Error) {
	if waiting, found := d.waiting[ticket]; found {
		delete(d.waiting, ticket)
		waiting <- admission{err: err}
	}
}

// free returns how many more requests the open groups of a model may be sent.
func (d *Dispatcher) free(config *configurer.Config, r Request) int {
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

func (d *Dispatcher) queue(config *configurer.Config, model string) *limiter.Queue {
	queue, found := d.queues[model]
	if !found {
		queue = limiter.NewQueue(config.Admission.QueueLength)
		d.queues[model] = queue
	}
	queue.SetCapacity(config.Admission.QueueLength)
	d.budget.SetRatio(config.Admission.RetryRatio)
	return queue
}

func overloaded(wait time.Duration) *Error {
	return &Error{Op: "admit", Kind: KindOverloaded, Outcome: retrier.NotRun, RetryAfter: jitter(wait)}
}

// jitter spreads d over half to one and a half of it.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - retryJitter + 2*retryJitter*rand.Float64()))
}
