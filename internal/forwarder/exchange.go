package forwarder

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/internal/detourer"
	"github.com/waxwingmount/waxwingmount/internal/logger"
	"github.com/waxwingmount/waxwingmount/pkg/bounder"
	"github.com/waxwingmount/waxwingmount/pkg/estimator"
	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/pkg/quarantiner"
	"github.com/waxwingmount/waxwingmount/pkg/retrier"
)

// Causes for which the forwarder itself cancels an attempt.
var (
	errMemberLost = errors.New("a member of the upstream is lost")
	errStalled    = errors.New("all streams of the upstream have stalled")
	errBlocked    = errors.New("a part of the prompt crashes servers")
)

const (
	// responseMargin is how long before its deadline a request is given up, so
	// that the response reaches the caller in time.
	responseMargin = 100 * time.Millisecond
	// firstEventLatency is the time that a first event takes to reach the
	// caller.
	firstEventLatency = 30 * time.Millisecond
	// resumeWait is how long a broken request may wait for another server:
	// callers abandon a stream after a pause of two seconds.
	resumeWait = 1500 * time.Millisecond
	// verdictWait is how long it may take to find that the path to the servers is cut.
	verdictWait = 600 * time.Millisecond
	// keyTTLMargin is subtracted from KeyTTL. It covers the drift between
	// clocks, and the time from the caller's sending of a request until it has
	// been read.
	keyTTLMargin = 800 * time.Millisecond
	// viewAgeFraction is the fraction of ConfigTTL, LeavingTTL and EvacuationTTL from which
	// the configuration, the list of servers or the evacuations are confirmed again before a
	// request is sent by them, and viewPatience how long the request waits for that.
	viewAgeFraction = 0.75
	viewPatience    = 200 * time.Millisecond
)

// exchange is one request with all of its attempts.
type exchange struct {
	f            *Forwarder
	request      *Request
	config       *mapper.RouteTable
	route        mapper.Route
	organisation mapper.Organisation
	pool         poolKey
	deadline     time.Time
	queueUntil   time.Time
	// objectiveStartBy is the latest start at which the route's objective can
	// still be met.
	objectiveStartBy time.Time
	fingerprint      quarantiner.Fingerprint
	// observed says that the request counts towards the demand for its pool, and
	// observedPool is that pool: another service may be chosen later.
	observed     bool
	observedPool poolKey
	retryMachine *retrier.Machine
	ctx          context.Context
	cancel       context.CancelFunc

	// The following fields are kept for the log line of the request.
	admittedAt          time.Time
	firstEventAt        time.Time
	predictedFirstEvent time.Duration
	triedUpstreams      []string
	// lastEventAt is when the last event arrived, maxGap the longest time
	// between two events, and spread whether any of the tried groups spans
	// several fabric domains.
	lastEventAt time.Time
	maxGap      time.Duration
	spread      bool

	current *attempt
	// replacer decides between the attempt and its replacement, which is nil if there is
	// none. counted is the upstream of an attempt that is in brokenAttempts because it was
	// replaced, or nil. The forwarder's lock guards them.
	replacer    retrier.Replacer
	replacement *replacement
	counted     *upstream
	// isReplacement says that this is the copy that a replacement runs on.
	isReplacement bool
	// headerSent says that the response header has been sent to the caller.
	headerSent bool
	// lastEventID is the ID of the last event that was sent to the caller.
	lastEventID     string
	deliveredEvents int
	// failedUpstreams holds the names of the upstreams that failed this
	// request.
	failedUpstreams map[string]bool
	// brokenAttempts are the broken attempts that count against the route's
	// maximum. The forwarder's lock guards them.
	brokenAttempts []brokenAttempt
	// revoked is set once the configuration no longer allows the request.
	revoked *Refusal
	// reached counts the attempts that may have reached a server.
	reached int
	// askedPeers holds the IDs of the peers that were asked to send the request, and declined
	// is the last refusal of one of them.
	askedPeers map[string]bool
	declined   *detourer.Refusal
	// fallback is the error response of a server. It is sent to the caller if
	// no later attempt has a better one.
	fallback *Response
	lastErr  error
}

// Response is what is sent to a caller.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// stream is set when events follow the body.
	stream *exchange
	// memory is what the body takes of the budget of responses until it is written. It
	// may be nil.
	memory *bounder.Share
}

// Forward runs a request. It returns once the whole response, or the first
// event of a stream, has been received. Its error is a *Refusal.
func (f *Forwarder) Forward(ctx context.Context, r *Request) (*Response, error) {
	x, refusal := f.begin(ctx, r)
	if refusal != nil {
		return nil, refusal
	}
	f.mu.Lock()
	f.activeRequests++
	f.mu.Unlock()
	if refusal := f.admit(x.ctx, x); refusal != nil {
		refusal.Route, refusal.Service, refusal.Model = x.route.Name, x.pool.service, x.pool.model
		f.recordOutcome(x, false)
		x.close()
		return nil, refusal
	}
	x.admittedAt = clocker.Now()
	f.metrics.queueTime.RecordDuration(x.admittedAt.Sub(r.Arrived))
	response, err := x.run(retrier.Event{Kind: retrier.Started})
	f.recordOutcome(x, err == nil && response.Status < http.StatusInternalServerError)
	if err == nil && response.stream == nil {
		x.logResponse(response.Status, true)
	}
	if err != nil || response.stream == nil {
		x.close()
	}
	return response, err
}

// begin authorises a request and sets its pool and its deadlines.
func (f *Forwarder) begin(ctx context.Context, r *Request) (*exchange, *Refusal) {
	if ttl := f.settings.Load().ConfigTTL; ttl > 0 {
		f.Observer.AwaitConfig(ctx, time.Duration(viewAgeFraction*float64(ttl)), viewPatience)
	}
	f.Observer.AwaitCurrent(ctx)
	config := f.Observer.Config()
	if config == nil {
		return nil, &Refusal{Op: "begin", Kind: KindNoConfiguration, Outcome: retrier.NotRun, RetryAfter: jitter(defaultRetryAfter)}
	}
	x := &exchange{f: f, request: r, failedUpstreams: make(map[string]bool), askedPeers: make(map[string]bool)}
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
	x.deadline = r.Arrived.Add(timeout - responseMargin)
	x.queueUntil = r.Arrived.Add(min(x.route.CallerTimeout()-startMargin, time.Duration(float64(timeout)*maxWaitFraction)))
	x.applyDetour()
	x.objectiveStartBy = r.Arrived.Add(x.route.Objective - f.typicalFirstEvent(x))
	x.fingerprint = r.fingerprint(x.organisation)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.admittingStopped {
		return nil, shuttingDown("begin")
	}
	if f.quarantine.Blocked(clocker.Now(), x.fingerprint) {
		return nil, &Refusal{Op: "begin", Kind: KindQuarantined, Outcome: retrier.NotRun}
	}
	if err := f.blockedPart(r.PromptParts); err != nil {
		return nil, &Refusal{Op: "begin", Kind: KindQuarantined, Outcome: retrier.NotRun, Route: x.route.Name, Service: x.pool.service, Model: x.pool.model, Err: err}
	}
	budget := f.retryBudgets.of(clocker.Now(), x.pool.service)
	if r.Detour == nil {
		budget.Deposit(clocker.Now())
	}
	x.retryMachine = retrier.New(x.retryInfo(), budget)
	x.setContext(ctx)
	return x, nil
}

// setContext sets the context of a request, which ends at its deadline or when all requests
// are ended.
func (x *exchange) setContext(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, x.deadline.Sub(clocker.Now()))
	stop := context.AfterFunc(x.f.ending, cancel)
	x.ctx, x.cancel = ctx, func() { stop(); cancel() }
}

// retryInfo returns what the retry machine needs to know. The sender of a request that came
// by a peer counts its attempts and its part of the retry budget.
func (x *exchange) retryInfo() retrier.RequestInfo {
	info := retrier.RequestInfo{
		Idempotent:  x.route.Retryable(),
		Deadline:    x.deadline,
		QueueUntil:  x.queueUntil,
		ResumeWait:  resumeWait,
		VerdictWait: verdictWait,
		MaxAttempts: max(1, x.route.MaxAttempts),
		Deposited:   true,
	}
	if x.request.Detour != nil {
		info.MaxAttempts, info.VerdictWait = 1, 0
	}
	return info
}

// applyDetour sets what the sender of a request that came by a peer has told of it.
func (x *exchange) applyDetour() {
	d := x.request.Detour
	if d == nil {
		return
	}
	if until := clocker.Now().Add(d.Remaining); until.Before(x.deadline) {
		x.deadline = until
	}
	if x.lastEventID = d.LastEventID; d.LastEventID != "" {
		x.queueUntil = clocker.Now().Add(resumeWait)
	}
	for _, name := range d.Excluded {
		x.failedUpstreams[name] = true
	}
}

// typicalFirstEvent returns how long the first event usually takes at a group
// that is nearly full.
func (f *Forwarder) typicalFirstEvent(x *exchange) time.Duration {
	service, found := x.config.Service(x.pool.service)
	if !found || service.Engine == nil {
		return 0
	}
	model, _ := service.Engine.Model(x.pool.model)
	group := estimator.Group{Engine: service.Engine, Pace: model.Pace}
	first := group.TimeToFirstToken(estimator.Work{Running: service.Engine.Slots - 1}, x.request.PromptTokens)
	f.mu.Lock()
	defer f.mu.Unlock()
	return first + group.IterationTime(service.Engine.Slots) + firstEventLatency + f.poolFor(x.pool).workload.Offset()
}

// authorise finds the route and the organisation of a request in a
// configuration. It runs again before each send when the configuration has
// changed, since the route or the key may have been removed.
func (x *exchange) authorise(config *mapper.RouteTable) *Refusal {
	route, found := config.Route(x.request.Host, x.request.Path)
	if !found {
		return &Refusal{Op: "authorise", Kind: KindNoRoute, Outcome: retrier.NotRun}
	}
	x.config, x.route = config, route
	if route.Anonymous || !config.RequiresKey() {
		return nil
	}
	if !x.keyIsCurrent() {
		return &Refusal{Op: "authorise", Kind: KindStaleKeys, Outcome: retrier.NotRun, RetryAfter: jitter(defaultRetryAfter)}
	}
	organisation, found := config.Organisation(x.request.Key)
	if !found {
		return &Refusal{Op: "authorise", Kind: KindNoKey, Outcome: retrier.NotRun}
	}
	x.organisation = organisation
	return nil
}

// isAllowed reports whether the current configuration still allows the request
// to be sent to the chosen service.
func (x *exchange) isAllowed() bool {
	if x.revoked != nil {
		return false
	}
	config := x.f.Observer.Config()
	if config != x.config {
		if x.revoked = x.authorise(config); x.revoked != nil {
			return false
		}
	}
	return x.route.AllowsService(x.pool.service)
}

// reroute chooses another service for a request whose route has changed. It
// reports whether the request is still allowed.
func (x *exchange) reroute() bool {
	if x.revoked != nil {
		return false
	}
	x.f.mu.Lock()
	x.pool.service = x.route.PickService(x.f.random)
	x.f.mu.Unlock()
	return x.isAllowed()
}

// keyIsCurrent reports whether the configuration was confirmed as current
// shortly before the request arrived. A key that was accepted then stays valid
// until the request ends, or until a newer configuration lacks it.
func (x *exchange) keyIsCurrent() bool {
	return x.request.Arrived.Sub(x.f.Observer.ConfigConfirmedAt()) <= x.f.settings.Load().KeyTTL-keyTTLMargin
}

// close ends the current attempt and releases the exchange's resources.
func (x *exchange) close() {
	x.endReplacement()
	x.endAttempt(false)
	if x.fallback != nil {
		x.fallback.memory.Close()
	}
	x.cancel()
	x.f.mu.Lock()
	x.f.activeRequests--
	x.f.mu.Unlock()
}

// logResponse logs and counts a request that received a response.
func (x *exchange) logResponse(status int, complete bool) {
	now := clocker.Now()
	fields := log.Fields{
		logger.FieldRequest: x.request.ID, "route": x.route.Name, "organisation": x.organisation.Name, "config_version": x.config.Version,
		"status": status, logger.FieldComplete: complete, "lanes": x.triedUpstreams, "events": x.deliveredEvents,
		"queued_ms": milliseconds(x.request.Arrived, x.admittedAt), "took_ms": milliseconds(x.request.Arrived, now),
		"objective_ms": x.route.Objective.Milliseconds(),
	}
	if !x.firstEventAt.IsZero() {
		fields["first_ms"] = milliseconds(x.request.Arrived, x.firstEventAt)
		fields["predicted_ms"] = x.predictedFirstEvent.Milliseconds()
		fields["gap_objective_ms"], fields["max_gap_ms"], fields["spread"] = x.route.GapObjective.Milliseconds(), x.maxGap.Milliseconds(), x.spread
	}
	if d := x.request.Detour; d != nil {
		// The sender counts the request.
		log.WithFields(fields).WithField(logger.FieldPeer, d.Sender).Info(logger.LineHopEnded)
		return
	}
	log.WithFields(fields).Info(logger.LineEnded)
	x.f.metrics.recordResponse(x, status, complete, now)
}

// logAttempt logs the upstream that a request is sent to and the state on which
// the choice is based.
func (x *exchange) logAttempt(u *upstream, running int) {
	x.f.metrics.attempts.Inc(1)
	if len(x.triedUpstreams) > 1 {
		x.f.metrics.retries.Inc(1)
	}
	log.WithFields(log.Fields{
		logger.FieldRequest: x.request.ID, logger.FieldUpstream: u.name, logger.FieldInstance: u.head().ID, "try": len(x.triedUpstreams),
		"delivered": x.deliveredEvents, "running": running, "charged": x.retryMachine.Charged(), "predicted_ms": x.predictedFirstEvent.Milliseconds(),
		"list_age_ms": x.f.Observer.ListAge().Milliseconds(), "config_version": x.config.Version,
	}).Info(logger.LineSent)
}

func milliseconds(from, to time.Time) int64 { return to.Sub(from).Milliseconds() }

// endAttempt ends the current attempt, if there is one.
func (x *exchange) endAttempt(failed bool) {
	if x.current != nil {
		x.f.finishAttempt(x.current, failed)
		x.current = nil
	}
}

// step passes an event to the retry machine. It holds the forwarder's lock,
// because all requests share the retry budget.
func (x *exchange) step(event retrier.Event) retrier.Action {
	x.f.mu.Lock()
	defer x.f.mu.Unlock()
	now := clocker.Now()
	event.Delivered, event.VerdictPending = x.deliveredEvents, x.awaitsVerdict()
	action := x.retryMachine.Step(now, event)
	if action.Kind == retrier.Respond {
		x.noteRetryDenied()
		return action
	}
	switch {
	case x.f.quarantine.Blocked(now, x.fingerprint):
		return x.retryMachine.Step(now, retrier.Event{Kind: retrier.Blocked})
	case x.isPartBlocked():
		return x.retryMachine.Step(now, retrier.Event{Kind: retrier.Blocked})
	case x.ctx.Err() != nil:
		return x.retryMachine.Step(now, retrier.Event{Kind: retrier.Expired})
	}
	return action
}

// noteRetryDenied logs and counts that an attempt gets no other one because the retry budget is
// used up.
func (x *exchange) noteRetryDenied() {
	if !x.retryMachine.RetryDenied() {
		return
	}
	x.f.metrics.recordRetryDenied(x.pool.service)
	log.WithFields(log.Fields{logger.FieldRequest: x.request.ID, logger.FieldService: x.pool.service, "delivered": x.deliveredEvents}).Info(logger.LineRetryDenied)
}

// run carries out the actions of the retry machine until there is a response or
// the request is given up.
func (x *exchange) run(event retrier.Event) (*Response, error) {
	for {
		action := x.step(event)
		switch action.Kind {
		case retrier.Respond:
			if x.fallback != nil && !x.headerSent {
				return x.fallback, nil
			}
			return nil, x.refusal(action)
		case retrier.Wait:
			x.wait(action.Delay)
			event = retrier.Event{Kind: retrier.WaitElapsed, RefundAttempt: action.AwaitsVerdict && x.excuseEnded()}
		case retrier.Attempt:
			response, next := x.startAttempt()
			if response != nil {
				return response, nil
			}
			if response = x.failOver(); response != nil {
				return response, nil
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

// refusal returns the error for a request without a response.
func (x *exchange) refusal(action retrier.Action) *Refusal {
	refusal := &Refusal{
		Op: "forward", Kind: KindFailed, Outcome: action.Outcome, RetryAfter: jitter(defaultRetryAfter), Sent: x.retryMachine.Attempts() > 0,
		Route: x.route.Name, Service: x.pool.service, Model: x.pool.model, Upstreams: x.triedUpstreams, Err: x.lastErr,
	}
	switch {
	case x.revoked != nil:
		refusal.Kind, refusal.RetryAfter = x.revoked.Kind, x.revoked.RetryAfter
	case action.Final:
		refusal.Kind, refusal.RetryAfter = KindQuarantined, 0
	case action.Expired:
		refusal.Kind = KindDeadlineExceeded
	case x.retryMachine.Attempts() == 0:
		refusal.Kind = KindNoServer
		if x.declined != nil && x.declined.Kind == KindOverloaded.String() {
			refusal.Kind, refusal.RetryAfter = KindOverloaded, x.declined.RetryAfter
		}
	}
	if until, all := x.f.deferredUntil(x.config, x.pool); all && action.Outcome == retrier.NotRun && !action.Final {
		refusal.RetryAfter = max(refusal.RetryAfter, until.Sub(clocker.Now()))
	}
	return refusal
}
