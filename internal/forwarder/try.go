package forwarder

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/internal/gater"
	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/pkg/retrier"
)

const (
	// maxAnswerBytes bounds an answer that is held whole.
	maxResponseBytes = 8 << 20
	// maxDrain bounds what is read of a body only to use its connection again.
	maxDrainBytes     = 4096
	streamBufferBytes = 4096
	eventStreamType   = "text/event-stream"
	headerLastEventID = "Last-Event-Id"
)

var errUnverified = errors.New("the answer has no proof of its server")

// try is one sending of a request to one lane.
type attempt struct {
	active   *activeAttempt
	upstream *upstream
	response *http.Response
	reader   *bufio.Reader
	body     *gater.Body
	// connected says that the request got a connection, so that some of it
	// may have left.
	connected atomic.Bool
	ctx       context.Context
	span      trace.Span
	// whole says that the answer has been read to its end.
	complete bool
}

// try sends the request once. It returns the answer, or the event for the
// machine.
func (x *exchange) startAttempt() (*Response, retrier.Event) {
	if !x.isAllowed() && !x.reroute() {
		return nil, retrier.Event{Kind: retrier.Blocked}
	}
	config := x.f.Observer.Config()
	u, found := x.f.pick(config, x.pool, x.request.PromptTokens, x.failedUpstreams)
	if !found {
		return nil, retrier.Event{Kind: retrier.NoBackend}
	}
	if x.current == nil && x.deliveredEvents == 0 && len(x.failedUpstreams) == 0 {
		x.f.recordDemand(x, u)
	}
	x.triedUpstreams = append(x.triedUpstreams, u.name)
	running, first := x.f.predict(x, u)
	if u.state().group != nil {
		x.predictedFirstEvent = first
	}
	x.logAttempt(u, running)
	a, err := x.f.send(x, u)
	if err != nil {
		if a.mayHaveSent() {
			event := x.handleBreak(a, err)
			x.f.finishAttempt(a, true)
			return nil, event
		}
		x.failedUpstreams[u.name] = true
		x.lastErr = a.cause(err)
		if !errors.Is(err, gater.ErrClosed) {
			x.f.Observer.Doubt(context.WithoutCancel(x.ctx), u.state().members)
		}
		x.f.finishAttempt(a, true)
		return nil, retrier.Event{Kind: retrier.NotSent, Unseen: true}
	}
	return x.receive(a)
}

// broken notes that a try broke after some of it may have left. The cause is
// taken once, since the check of the lane may end the try, too.
func (x *exchange) handleBreak(a *attempt, err error) retrier.Event {
	cause := a.cause(err)
	event := x.excludeUpstream(a.upstream, cause)
	x.checkForCrash(a.upstream, cause)
	return event
}

// struck has a strike counted if a connection was broken by the server and not
// from here, and the server turns out to be gone.
func (x *exchange) checkForCrash(u *upstream, err error) {
	switch {
	case x.ctx.Err() != nil || errors.IsAny(err, errMemberLost, errStalled):
	case x.f.Observer.Gone(u.state().members[:1]):
		x.recordStrike(u)
	default:
		go x.awaitCrash(u)
	}
}

// receive judges an answer's header and takes in what must be there before the
// caller is told anything.
func (x *exchange) receive(a *attempt) (*Response, retrier.Event) {
	verdict := x.f.Codec.ParseResponse(a.response.StatusCode, a.response.Header)
	if event, bad := x.checkResponse(a, verdict); bad {
		x.f.finishAttempt(a, !verdict.NotRun)
		return nil, event
	}
	x.current = a
	a.reader = bufio.NewReaderSize(a.response.Body, streamBufferBytes)
	if x.route.Repeat == mapper.Streaming && isStream(a.response) {
		return x.receiveStream(a)
	}
	return x.receiveFull(a)
}

// judge sorts out the answers that are none.
func (x *exchange) checkResponse(a *attempt, v ResponseMetadata) (retrier.Event, bool) {
	switch {
	case v.ID != "" && v.ID != x.request.ID:
		return x.excludeUpstream(a.upstream, errors.Newf("the answer belongs to request %q", v.ID)), true
	case v.NotRun:
		x.failedUpstreams[a.upstream.name] = true
		x.lastErr = errors.Newf("server did not run the request: status %d", a.response.StatusCode)
		x.probeSuspect(a.upstream, v)
		return retrier.Event{Kind: retrier.NotSent}, true
	case !v.Verified && a.response.StatusCode < http.StatusMultipleChoices:
		return x.excludeUpstream(a.upstream, errUnverified), true
	}
	return retrier.Event{}, false
}

// suspect has the instance checked that a server names as the one at fault.
func (x *exchange) probeSuspect(u *upstream, v ResponseMetadata) {
	ctx := context.WithoutCancel(x.ctx)
	if v.Misdirected {
		x.f.eject(u, defaultRetryAfter)
		x.f.Observer.Doubt(ctx, u.state().members)
		return
	}
	for _, in := range u.state().members {
		if in.ID == v.FailedInstance {
			x.f.eject(u, defaultRetryAfter)
			x.f.Observer.Doubt(ctx, u.state().members)
		}
	}
}

func isStream(r *http.Response) bool {
	return r.StatusCode == http.StatusOK && strings.HasPrefix(r.Header.Get("Content-Type"), eventStreamType)
}

// receiveWhole reads an answer to its end.
func (x *exchange) receiveFull(a *attempt) (*Response, retrier.Event) {
	body, err := io.ReadAll(io.LimitReader(a.reader, maxResponseBytes+1))
	if err == nil && len(body) > maxResponseBytes {
		err = errors.Newf("the answer is longer than %d bytes", maxResponseBytes)
	}
	if err != nil {
		event := x.handleBreak(a, err)
		x.endAttempt(true)
		return nil, event
	}
	a.complete = true
	answer := &Response{Status: a.response.StatusCode, Header: responseHeader(a.response), Body: body}
	if answer.Status >= http.StatusInternalServerError && x.route.Repeatable() {
		x.fallback = answer
		x.failedUpstreams[a.upstream.name] = true
		x.lastErr = errors.Newf("server failed: status %d", answer.Status)
		x.endAttempt(true)
		return nil, retrier.Event{Kind: retrier.Broke}
	}
	x.step(retrier.Event{Kind: retrier.Finished})
	x.endAttempt(answer.Status >= http.StatusInternalServerError)
	return answer, retrier.Event{}
}

// answerHeader returns what a caller is sent of a server's header.
func responseHeader(r *http.Response) http.Header {
	header := withoutHopByHop(r.Header)
	header.Del("Content-Length")
	return header
}

// sent reports whether any of the request may have left.
func (a *attempt) mayHaveSent() bool { return a.body != nil && a.body.Sent() && a.connected.Load() }

// cause prefers the reason for which a try was ended from here.
func (a *attempt) cause(err error) error {
	if cause := context.Cause(a.ctx); cause != nil && !errors.Is(cause, context.Canceled) {
		return cause
	}
	return err
}

// send sends the request to a lane and waits for the answer's header. The try
// is returned also with an error.
func (f *Forwarder) send(x *exchange, u *upstream) (*attempt, error) {
	a := &attempt{upstream: u}
	ctx, cancel := context.WithCancelCause(x.ctx)
	a.active = &activeAttempt{lane: u, cancel: cancel, promptTokens: x.request.PromptTokens}
	f.registerAttempt(a.active)
	ctx, a.span = f.Tracer.Start(ctx, "try", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		attribute.String("request", x.request.ID), attribute.String("lane", u.name)))
	a.ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { a.connected.Store(true) },
	})
	a.body = gater.New(x.request.Body, func() bool { return x.isAllowed() && f.isServing(u) })
	request, err := f.serverRequest(a, x)
	if err != nil {
		return a, err
	}
	a.response, err = f.transport.RoundTrip(request)
	return a, err
}

// mayUse asks at the moment of sending whether a lane may be sent a request.
func (f *Forwarder) isServing(u *upstream) bool {
	if u.state().group != nil {
		return f.Observer.Serves(*u.state().group)
	}
	return f.Observer.ServesAlone(u.head())
}

func (f *Forwarder) serverRequest(a *attempt, x *exchange) (*http.Request, error) {
	head := a.upstream.head()
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
	if len(x.request.Body) == 0 && !a.body.Pass() {
		// An empty body is never read, so that the gate is asked here.
		return nil, gater.ErrClosed
	}
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
	})
	return request, nil
}

// finish ends a try and counts it out.
func (f *Forwarder) finishAttempt(a *attempt, failed bool) {
	f.unregisterAttempt(a.active, failed)
	if a.response != nil {
		if a.complete {
			// A drained body lets the connection be used again; a failure to
			// drain it closes the connection, which is as good.
			_, _ = io.Copy(io.Discard, io.LimitReader(a.response.Body, maxDrainBytes))
		}
		a.response.Body.Close()
	}
	a.active.cancel(context.Canceled)
	a.span.SetAttributes(attribute.Bool("failed", failed))
	a.span.End()
}
