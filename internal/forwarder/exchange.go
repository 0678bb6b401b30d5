package forwarder

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/internal/logger"
	"github.com/waxwingmount/waxwingmount/pkg/estimator"
	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/pkg/quarantiner"
	"github.com/waxwingmount/waxwingmount/pkg/retrier"
)

// Causes for which a try is ended from here.
var (
	errLost    = errors.New("a member of the lane is lost")
	errStalled = errors.New("all streams of the lane stand still")
)

const (
	// answerMargin is how much before the end of the time a request is given
	// up, so that its answer arrives in time.
	answerMargin = 100 * time.Millisecond
	// wayMargin is the way of a first event to the caller.
	wayMargin = 30 * time.Millisecond
	// resumeWait is how long a broken request may wait for another server:
	// callers give a stream up after a pause of two seconds.
	resumeWait = 1500 * time.Millisecond
	// keyMargin is how much before the end of their life keys stop counting:
	// what clocks may differ in their rate, and the way of a request from its
	// caller to the moment at which it has been read.
	keyMargin = 800 * time.Millisecond
)

// exchange is one request with all of its tries.
type exchange struct {
	f            *Forwarder
	request      *Request
	config       *mapper.RouteTable
	route        mapper.Route
	organisation mapper.Organisation
	pool         poolKey
	deadline     time.Time
	queueUntil   time.Time
	// aim is until when a start keeps the route's objective.
	aim         time.Time
	fingerprint quarantiner.Fingerprint
	machine     *retrier.Machine
	ctx         context.Context
	cancel      context.CancelFunc

	// admitted, first and predicted tell how the request went, for its log line.
	admitted  time.Time
	first     time.Time
	predicted time.Duration
	lanes     []string

	current *try
	// began says that the caller has been sent the header.
	began bool
	// lastID is the id of the last event that the caller has been sent.
	lastID    string
	delivered int
	// failed holds the lanes that failed this request.
	failed map[string]bool
	// fallen are the heads whose tries broke and count against the attempts.
	fallen []fallen
	// withdrawn is set once the configuration no longer allows the request.
	withdrawn *Refusal
	// spare is the answer of a server that failed, told if there is no better.
	spare   *Answer
	failure error
}

// Answer is what a caller is sent.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// stream is set when events follow.
	stream *exchange
}

// Forward takes a request on. It returns once the whole answer is there, or
// the first event of a stream.
func (f *Forwarder) Forward(ctx context.Context, r *Request) (*Answer, error) {
	x, refusal := f.begin(ctx, r)
	if refusal != nil {
		return nil, refusal
	}
	f.mu.Lock()
	f.live++
	f.mu.Unlock()
	if refusal := f.admit(x.ctx, x); refusal != nil {
		refusal.Route, refusal.Service, refusal.Model = x.route.Name, x.pool.service, x.pool.model
		x.close()
		return nil, refusal
	}
	x.admitted = clocker.Now()
	f.counts.queued.RecordDuration(x.admitted.Sub(r.Arrived))
	answer, err := x.advance(retrier.Event{Kind: retrier.Started})
	if err == nil && answer.stream == nil {
		x.logEnd(answer.Status, true)
	}
	if err != nil || answer.stream == nil {
		x.close()
	}
	return answer, err
}

// begin finds out what a request is and whether it may be taken on.
func (f *Forwarder) begin(ctx context.Context, r *Request) (*exchange, *Refusal) {
	config := f.Observer.Config()
	if config == nil {
		return nil, &Refusal{Op: "begin", Kind: KindUnready, Outcome: retrier.NotRun, RetryAfter: jitter(soonRetry)}
	}
	x := &exchange{f: f, request: r, failed: make(map[string]bool)}
	if refusal := x.authorise(config); refusal != nil {
		return nil, refusal
	}
	f.mu.Lock()
	x.pool = poolKey{service: x.route.PickService(f.random), model: r.Model}
	f.mu.Unlock()
	timeout := x.route.Timeout
	if r.Timeout > 0 && (timeout <= 0 || r.Timeout < timeout) {
		timeout = r.Timeout
	}
	x.deadline = r.Arrived.Add(timeout - answerMargin)
	x.queueUntil = r.Arrived.Add(min(x.route.CallerTimeout()-startMargin, time.Duration(float64(timeout)*waitShare)))
	x.aim = r.Arrived.Add(x.route.Objective - f.usualFirst(x))
	x.fingerprint = r.fingerprint(x.organisation)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return nil, &Refusal{Op: "begin", Kind: KindLeaving, Outcome: retrier.NotRun, RetryAfter: jitter(leavingRetry)}
	}
	if f.quarantine.Blocked(clocker.Now(), x.fingerprint) {
		return nil, &Refusal{Op: "begin", Kind: KindQuarantined, Outcome: retrier.NotRun}
	}
	x.machine = retrier.New(retrier.RequestInfo{
		Idempotent:  x.route.Retryable(),
		Deadline:    x.deadline,
		QueueUntil:  x.queueUntil,
		ResumeWait:  resumeWait,
		MaxAttempts: max(1, x.route.MaxAttempts),
	}, f.budget)
	x.ctx, x.cancel = context.WithTimeout(ctx, x.deadline.Sub(clocker.Now()))
	return x, nil
}

// usualFirst returns how long the first event usually takes at a group that is
// nearly full.
func (f *Forwarder) usualFirst(x *exchange) time.Duration {
	service, found := x.config.Service(x.pool.service)
	if !found || service.Engine == nil {
		return 0
	}
	model, _ := service.Engine.Model(x.pool.model)
	group := estimator.Group{Engine: service.Engine, Pace: model.Pace}
	first := group.TimeToFirstToken(estimator.Work{Running: service.Engine.Slots - 1}, x.request.PromptTokens)
	return first + group.IterationTime(service.Engine.Slots) + wayMargin
}

// authorise finds the route and the organisation in a configuration. It is
// asked again before every send, since keys and routes may have gone.
func (x *exchange) authorise(config *mapper.RouteTable) *Refusal {
	route, found := config.Route(x.request.Host, x.request.Path)
	if !found {
		return &Refusal{Op: "authorise", Kind: KindNoRoute, Outcome: retrier.NotRun}
	}
	x.config, x.route = config, route
	if route.Anonymous || !config.RequiresKey() {
		return nil
	}
	if !x.keyProved() {
		return &Refusal{Op: "authorise", Kind: KindStale, Outcome: retrier.NotRun, RetryAfter: jitter(soonRetry)}
	}
	organisation, found := config.Organisation(x.request.Key)
	if !found {
		return &Refusal{Op: "authorise", Kind: KindNoKey, Outcome: retrier.NotRun}
	}
	x.organisation = organisation
	return nil
}

// mayRun reports whether the configuration still allows the request to be sent
// to the service that was chosen.
func (x *exchange) mayRun() bool {
	if x.withdrawn != nil {
		return false
	}
	config := x.f.Observer.Config()
	if config != x.config {
		if x.withdrawn = x.authorise(config); x.withdrawn != nil {
			return false
		}
	}
	return x.route.AllowsService(x.pool.service)
}

// reroute chooses another service for a request whose route has moved. It
// reports whether the request may go on.
func (x *exchange) reroute() bool {
	if x.withdrawn != nil {
		return false
	}
	x.f.mu.Lock()
	x.pool.service = x.route.PickService(x.f.random)
	x.f.mu.Unlock()
	return x.mayRun()
}

// keyProved reports whether the configuration was proved shortly before the
// request came. A key that counted then counts until the request is over, or
// until a configuration comes that lacks it.
func (x *exchange) keyProved() bool {
	return x.request.Arrived.Sub(x.f.Observer.Proved()) <= x.f.settings.Load().KeyTTL-keyMargin
}

// close ends what the exchange holds.
func (x *exchange) close() {
	x.drop(false)
	x.cancel()
	x.f.mu.Lock()
	x.f.live--
	x.f.mu.Unlock()
}

// logEnd logs how a request went that had an answer.
func (x *exchange) logEnd(status int, complete bool) {
	now := clocker.Now()
	fields := log.Fields{
		logger.FieldRequest: x.request.ID, "route": x.route.Name, "organisation": x.organisation.Name, "config_version": x.config.Version,
		"status": status, logger.FieldComplete: complete, "lanes": x.lanes, "events": x.delivered,
		"queued_ms": milliseconds(x.request.Arrived, x.admitted), "took_ms": milliseconds(x.request.Arrived, now),
	}
	if !x.first.IsZero() {
		fields["first_ms"] = milliseconds(x.request.Arrived, x.first)
		fields["predicted_ms"] = x.predicted.Milliseconds()
	}
	log.WithFields(fields).Info(logger.LineEnded)
	x.f.counts.ended(x, status, complete, now)
}

// logSend logs where a request goes, and what that choice rests on.
func (x *exchange) logSend(l *lane, running int) {
	x.f.counts.tries.Inc(1)
	if len(x.lanes) > 1 {
		x.f.counts.moves.Inc(1)
	}
	log.WithFields(log.Fields{
		logger.FieldRequest: x.request.ID, logger.FieldUpstream: l.name, logger.FieldInstance: l.head().ID, "try": len(x.lanes),
		"delivered": x.delivered, "running": running, "predicted_ms": x.predicted.Milliseconds(),
		"list_age_ms": x.f.Observer.ListAge().Milliseconds(), "config_version": x.config.Version,
	}).Info(logger.LineSent)
}

func milliseconds(from, to time.Time) int64 { return to.Sub(from).Milliseconds() }

// drop ends the current try.
func (x *exchange) drop(failed bool) {
	if x.current != nil {
		x.f.finish(x.current, failed)
		x.current = nil
	}
}

// step passes an event to the machine. The budget is shared, so that the
// forwarder's lock is held.
func (x *exchange) step(event retrier.Event) retrier.Action {
	x.f.mu.Lock()
	defer x.f.mu.Unlock()
	now := clocker.Now()
	event.Delivered = x.delivered
	action := x.machine.Step(now, event)
	if action.Kind == retrier.Respond {
		return action
	}
	switch {
	case x.f.quarantine.Blocked(now, x.fingerprint):
		return x.machine.Step(now, retrier.Event{Kind: retrier.Blocked})
	case x.ctx.Err() != nil:
		return x.machine.Step(now, retrier.Event{Kind: retrier.Expired})
	}
	return action
}

// advance carries out what the machine says until there is an answer or the
// request is given up.
func (x *exchange) advance(event retrier.Event) (*Answer, error) {
	for {
		action := x.step(event)
		switch action.Kind {
		case retrier.Respond:
			if x.spare != nil && !x.began {
				return x.spare, nil
			}
			return nil, x.refusal(action)
		case retrier.Wait:
			x.wait(action.Delay)
			event = retrier.Event{Kind: retrier.WaitElapsed}
		case retrier.Attempt:
			answer, next := x.try()
			if answer != nil {
				return answer, nil
			}
			event = next
		}
	}
}

func (x *exchange) wait(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-x.ctx.Done():
	}
}

// refusal builds the error for a request without an answer.
func (x *exchange) refusal(action retrier.Action) *Refusal {
	refusal := &Refusal{Op: "forward", Kind: KindFailed, Outcome: action.Outcome, RetryAfter: jitter(soonRetry), Route: x.route.Name, Service: x.pool.service, Model: x.pool.model, Lanes: x.lanes, Err: x.failure}
	switch {
	case x.withdrawn != nil:
		refusal.Kind, refusal.RetryAfter = x.withdrawn.Kind, x.withdrawn.RetryAfter
	case action.Final:
		refusal.Kind, refusal.RetryAfter = KindQuarantined, 0
	case action.Expired:
		refusal.Kind = KindExpired
	case x.machine.Attempts() == 0:
		refusal.Kind = KindNoServer
	}
	return refusal
}
