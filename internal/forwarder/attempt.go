package forwarder

import (
	"bufio"
	"context"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/waxwingmount/waxwingmount/internal/bodychecker"
	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/pkg/bounder"
	"github.com/waxwingmount/waxwingmount/pkg/estimator"
	"github.com/waxwingmount/waxwingmount/pkg/limiter"
	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/pkg/pathfinder"
	"github.com/waxwingmount/waxwingmount/pkg/responsechecker"
	"github.com/waxwingmount/waxwingmount/pkg/retrier"
)

const (
	// maxResponseBytes bounds a response that is buffered whole.
	maxResponseBytes = 8 << 20
	// maxSendDelay is the longest time from the choice of a server until the request is sent:
	// the confirmation of the list and opening the connection take up to 0.6 s. A permit is
	// consumed by the choice.
	maxSendDelay      = time.Second
	streamBufferBytes = 4096
	eventStreamType   = "text/event-stream"
	headerLastEventID = "Last-Event-Id"
)

var errUnverified = errors.New("response does not bear the proof of a backend server")

// attempt is one sending of a request to one upstream.
type attempt struct {
	active *activeAttempt
	// hop is set if a peer sends the request.
	hop      *hop
	response *http.Response
	reader   *bufio.Reader
	body     *bodychecker.Body
	// connected says that the request got a connection, so that some of it may
	// have been sent.
	connected atomic.Bool
	// conn is the connection, or nil.
	conn atomic.Pointer[checkedConn]
	ctx  context.Context
	span trace.Span
	// sentAt is when the attempt began.
	sentAt time.Time
	// firstEventAt is when the first event of a stream arrived, or zero.
	firstEventAt time.Time
	// awaited is how long the forwarder has waited for the events after the first, and
	// sound says that the attempt has shown that its request does not crash the server.
	awaited time.Duration
	sound   bool
	// complete says that the response has been read to its end.
	complete bool
	// memory is what the attempt's response takes of the budget of responses.
	memory *bounder.Share
	// replaceable says that another attempt may run beside this one, and phase whether it may
	// start now. The forwarder's lock guards their changes.
	replaceable bool
	phase       attemptPhase
}

// startAttempt sends the request once. It returns the response, or the event
// for the retry machine.
func (x *exchange) startAttempt() (*Response, retrier.Event) {
	x.f.Observer.AwaitCurrent(x.ctx)
	if !x.isAllowed() && !x.reroute() {
		return nil, retrier.Event{Kind: retrier.Blocked}
	}
	config := x.f.Observer.Config()
	if x.nextPath(config, func() int { return x.f.freeSlots(config, x.pool) }) == pathfinder.ByPeer {
		return x.startDetour()
	}
	a := x.newAttempt()
	x.watch(a)
	chosen, found := x.f.pick(config, x.pool, a.active, x.failedUpstreams)
	if !found {
		a.active.cancel(context.Canceled)
		if x.request.Detour != nil && len(x.f.destinations(config, x.pool)) == 0 {
			return nil, retrier.Event{Kind: retrier.Declined}
		}
		// Zero if no server says when it takes requests again.
		availableAt, _ := x.f.deferredUntil(config, x.pool)
		return nil, retrier.Event{Kind: retrier.NoBackend, AvailableAt: availableAt}
	}
	u := chosen.upstream
	x.triedUpstreams = append(x.triedUpstreams, u.name)
	if group := u.state().group; group != nil {
		x.predictedFirstEvent = chosen.firstEvent
		x.spread = x.spread || group.Spread()
	}
	x.f.confirmServer(a.ctx, u)
	x.logAttempt(u, chosen.running)
	err := x.f.send(x, a)
	if err != nil {
		if a.mayHaveSent() {
			x.reached++
			event := x.handleBreak(a, err)
			x.f.finishAttempt(a, true)
			return nil, event
		}
		x.failedUpstreams[u.name] = true
		x.lastErr = a.cause(err)
		if !errors.IsAny(x.lastErr, bodychecker.ErrNotAllowed, errBlocked) {
			x.f.Observer.Suspect(context.WithoutCancel(x.ctx), u.state().members)
		}
		x.f.finishAttempt(a, true)
		return nil, retrier.Event{Kind: retrier.NotSent, NothingSent: true}
	}
	return x.receive(a)
}

// handleBreak records that an attempt broke after some of the request may have
// been sent. It reads the cause once, because checkUpstreams may cancel the
// attempt at any time.
func (x *exchange) handleBreak(a *attempt, err error) retrier.Event {
	if a.hop != nil {
		event, outcome, retryAfter := x.classifyHopError(a, err)
		x.f.endHop(a, outcome, retryAfter)
		return event
	}
	cause := a.cause(err)
	event := x.excludeUpstream(a.active.upstream, cause)
	x.checkForCrash(a, cause)
	return event
}

// checkForCrash records a strike if the server, and not the forwarder, broke
// the connection and the server turns out to be lost or to have restarted.
func (x *exchange) checkForCrash(a *attempt, err error) {
	evidence := crashEvidence{upstream: a.active.upstream, firstEventAt: a.firstEventAt, brokeAt: clocker.Now(), sound: a.sound}
	switch {
	case x.ctx.Err() != nil || errors.IsAny(err, errMemberLost, errStalled, errBlocked, errReplaced):
	case x.f.Observer.LostForAllOrRestarted(evidence.upstream.head()):
		x.recordStrike(evidence)
	default:
		go x.runCrashCheck(evidence)
	}
}

// receive checks a response's header, and reads the whole body or the first
// event before anything is sent to the caller.
func (x *exchange) receive(a *attempt) (*Response, retrier.Event) {
	x.reached++
	metadata := x.f.Codec.ParseResponse(a.response.StatusCode, a.response.Header)
	if a.hop == nil {
		x.f.noteMetadata(a, metadata)
	}
	if event, bad := x.checkResponse(a, metadata); bad {
		x.f.finishAttempt(a, !metadata.NotRun)
		return nil, event
	}
	x.current = a
	a.reader = bufio.NewReaderSize(a.response.Body, streamBufferBytes)
	if x.route.Repeat == mapper.Streaming && isStream(a.response) {
		return x.receiveStream(a)
	}
	return x.receiveFull(a)
}

// noteMetadata records what a server says of itself in the header of a response.
func (f *Forwarder) noteMetadata(a *attempt, metadata ResponseMetadata) {
	f.noteStatements(a.active.upstream.head(), metadata)
	if !metadata.Misdirected && (metadata.Verified || metadata.NotRun) {
		f.permits.observe(a.active.upstream.head(), a.sentAt, metadata)
	}
}

// checkResponse rejects responses that belong to another request, that were not
// produced by a backend server, or that say that the request was not run. It
// reports whether the response is rejected, and the event for the retry
// machine.
func (x *exchange) checkResponse(a *attempt, metadata ResponseMetadata) (retrier.Event, bool) {
	switch {
	case metadata.ID != "" && metadata.ID != x.request.ID:
		return x.excludeUpstream(a.active.upstream, errors.Newf("response belongs to request %q", metadata.ID)), true
	case metadata.NotRun:
		x.failedUpstreams[a.active.upstream.name] = true
		x.lastErr = errors.Newf("server did not run the request: status %d", a.response.StatusCode)
		x.probeSuspect(a.active.upstream, metadata)
		return retrier.Event{Kind: retrier.NotSent}, true
	case !metadata.Verified && a.response.StatusCode < http.StatusMultipleChoices:
		return x.excludeUpstream(a.active.upstream, errUnverified), true
	}
	return retrier.Event{}, false
}

// probeSuspect ejects the upstream and probes its members if the response was
// misdirected or names one of them as failed.
func (x *exchange) probeSuspect(u *upstream, metadata ResponseMetadata) {
	ctx := context.WithoutCancel(x.ctx)
	if metadata.Misdirected {
		x.f.eject(u, defaultRetryAfter)
		if u.state().group == nil {
			// The head of a group also refuses what the group does not serve any more.
			x.f.Observer.HandleDenial(u.head())
		}
		x.f.Observer.Suspect(ctx, u.state().members)
		return
	}
	for _, in := range u.state().members {
		if in.ID == metadata.FailedInstance {
			x.f.eject(u, defaultRetryAfter)
			x.f.Observer.Suspect(ctx, u.state().members)
		}
	}
}

func isStream(r *http.Response) bool {
	return r.StatusCode == http.StatusOK && strings.HasPrefix(r.Header.Get("Content-Type"), eventStreamType)
}

// receiveFull reads a response to its end.
func (x *exchange) receiveFull(a *attempt) (*Response, retrier.Event) {
	x.beginWait(a)
	body, err := bounder.ReadAll(a.reader, maxResponseBytes, a.memory)
	x.endWait(a, bodyEnd(a.response.StatusCode, err))
	if err != nil {
		event := x.handleBreak(a, err)
		x.endAttempt(true)
		return nil, event
	}
	a.complete = true
	if a.response.StatusCode < http.StatusMultipleChoices {
		x.judgeEnd(a, a.sentAt)
	}
	response := &Response{Status: a.response.StatusCode, Header: responseHeader(a.response), Body: body, memory: a.memory}
	a.memory = nil
	if response.Status >= http.StatusInternalServerError && x.route.Retryable() {
		if x.fallback != nil {
			x.fallback.memory.Close()
		}
		x.fallback = response
		x.failedUpstreams[a.active.upstream.name] = true
		x.lastErr = errors.Newf("server returned status %d", response.Status)
		x.endAttempt(true)
		return nil, retrier.Event{Kind: retrier.Interrupted}
	}
	x.step(retrier.Event{Kind: retrier.Finished})
	x.endAttempt(response.Status >= http.StatusInternalServerError)
	return response, retrier.Event{}
}

// responseHeader returns the fields of a server's header that are sent to the
// caller.
func responseHeader(r *http.Response) http.Header {
	header := withoutHopByHop(r.Header)
	header.Del("Content-Length")
	return header
}

// mayHaveSent reports whether any part of the request may have been sent.
func (a *attempt) mayHaveSent() bool { return a.body != nil && a.body.Sent() && a.connected.Load() }

// cause returns the reason for which the forwarder canceled the attempt, or
// else err.
func (a *attempt) cause(err error) error {
	if cause := context.Cause(a.ctx); cause != nil && !errors.Is(cause, context.Canceled) {
		return cause
	}
	return err
}

// newAttempt returns an attempt that has no upstream yet.
func (x *exchange) newAttempt() *attempt {
	ctx, cancel := context.WithCancelCause(x.ctx)
	return &attempt{ctx: ctx, sentAt: clocker.Now(), memory: x.f.responses.Open(), active: &activeAttempt{
		cancel: cancel, canRetry: x.canRetry, promptTokens: x.request.PromptTokens,
		parts: x.request.PromptParts, prefix: x.request.PromptPrefix,
	}}
}

// send sends the request to the attempt's upstream and waits for the response
// header. Nothing that a header says is believed if it is malformed.
func (f *Forwarder) send(x *exchange, a *attempt) error {
	u := a.active.upstream
	ctx, span := f.Tracer.Start(a.ctx, "try", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		attribute.String("request", x.request.ID), attribute.String("lane", u.name)))
	a.span = span
	a.ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			a.connected.Store(true)
			if conn, ok := info.Conn.(*checkedConn); ok {
				a.conn.Store(conn)
				conn.expect(a.body, a.memory)
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) { x.recordSent(a, info.Err) },
	})
	isAllowed := func() bool {
		return x.isTimely(a) && x.isAllowed() && f.isServing(u) && f.confirmWarmUp(a.active)
	}
	a.body = bodychecker.New(x.request.Body, isAllowed)
	if !isAllowed() {
		return bodychecker.ErrNotAllowed
	}
	request, err := f.serverRequest(a, x)
	if err != nil {
		return err
	}
	a.response, err = f.transport.RoundTrip(request)
	if conn := a.conn.Load(); conn != nil {
		conn.endHead()
	}
	x.recordHeader(a)
	if err != nil {
		return err
	}
	return responsechecker.CheckHead(a.response)
}

// isTimely reports whether what the attempt was chosen by still holds: the process has not
// been stopped since, and the request's time is not over.
func (x *exchange) isTimely(a *attempt) bool {
	now := clocker.Now()
	return now.Before(x.deadline) && now.Sub(a.sentAt) < maxSendDelay && x.f.Observer.Current()
}

// isServing reports whether an upstream may be sent a request at this moment.
func (f *Forwarder) isServing(u *upstream) bool {
	if f.isDeferred(u) {
		return false
	}
	if u.state().group != nil {
		return f.Observer.GroupAvailable(*u.state().group)
	}
	return f.Observer.InstanceAvailable(u.head())
}

func (f *Forwarder) serverRequest(a *attempt, x *exchange) (*http.Request, error) {
	head := a.active.upstream.head()
	target, err := url.ParseRequestURI(x.request.Target)
	if err != nil {
		return nil, err
	}
	target.Scheme, target.Host = "http", head.Address.String()
	request, err := http.NewRequestWithContext(a.ctx, x.request.Method, target.String(), a.body)
	if err != nil {
		return nil, err
	}
	request.URL = target
	request.Host = x.request.Host
	request.Header = withoutHopByHop(x.request.Header)
	request.ContentLength = int64(len(x.request.Body))
	if _, given := request.Header["User-Agent"]; !given {
		request.Header["User-Agent"] = nil
	}
	if x.lastEventID != "" {
		request.Header.Set(headerLastEventID, x.lastEventID)
	}
	f.Codec.PrepareRequest(request.Header, OutboundMetadata{
		Instance:     head.ID,
		Organisation: x.organisation.Name,
		Remaining:    x.deadline.Sub(clocker.Now()),
		Urgency:      x.urgency(clocker.Now()),
	})
	return request, nil
}

// urgency returns the place of the request among those that wait at its server. Entry
// instances order only their own requests, and where there are many the servers' queues are
// where requests of different instances meet. Plain servers don't order requests. Where all
// routes have one rank no order is stated: late requests would then wait until they are given
// up, and their callers come back.
func (x *exchange) urgency(now time.Time) limiter.Urgency {
	if x.pool.model == "" || !x.config.Ranked(x.pool.service) {
		return 0
	}
	timeliness := limiter.InTime
	switch {
	case x.lastEventID != "":
		timeliness = limiter.Interrupted
	case x.route.Objective > 0 && now.After(x.objectiveStartBy):
		timeliness = limiter.TooLate
	}
	return limiter.NewUrgency(x.config.RankClass(mapper.Priority(x.organisation, x.route), estimator.Ranks), timeliness)
}

// finishAttempt unregisters an attempt and closes its response body.
func (f *Forwarder) finishAttempt(a *attempt, failed bool) {
	f.endHop(a, pathfinder.Answered, 0)
	f.unregisterAttempt(a.active, failed)
	if a.response != nil {
		a.response.Body.Close()
	}
	a.memory.Close()
	a.active.cancel(context.Canceled)
	a.span.SetAttributes(attribute.Bool("failed", failed))
	a.span.End()
}
