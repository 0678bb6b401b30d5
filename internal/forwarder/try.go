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

	"github.com/waxwingmount/waxwingmount/internal/bodychecker"
	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/pkg/retrier"
)

const (
	// maxAnswerBytes bounds an answer that is held whole.
	maxAnswerBytes = 8 << 20
	// maxDrain bounds what is read of a body only to use its connection again.
	maxDrain     = 4096
	streamBuffer = 4096
	eventStream  = "text/event-stream"
	headerEvent  = "Last-Event-Id"
)

var errNoProof = errors.New("the answer has no proof of its server")

// try is one sending of a request to one lane.
type try struct {
	flight   *flight
	lane     *lane
	response *http.Response
	reader   *bufio.Reader
	body     *bodychecker.Body
	// connected says that the request got a connection, so that some of it
	// may have left.
	connected atomic.Bool
	ctx       context.Context
	span      trace.Span
	// whole says that the answer has been read to its end.
	whole bool
}

// try sends the request once. It returns the answer, or the event for the
// machine.
func (x *exchange) try() (*Answer, retrier.Event) {
	if !x.mayRun() && !x.reroute() {
		return nil, retrier.Event{Kind: retrier.Blocked}
	}
	config := x.f.Observer.Config()
	l, found := x.f.pick(config, x.pool, x.request.PromptTokens, x.failed)
	if !found {
		return nil, retrier.Event{Kind: retrier.NoBackend}
	}
	if x.current == nil && x.delivered == 0 && len(x.failed) == 0 {
		x.f.observe(x, l)
	}
	x.lanes = append(x.lanes, l.name)
	running, first := x.f.outlook(x, l)
	if l.at().group != nil {
		x.predicted = first
	}
	x.logSend(l, running)
	t, err := x.f.send(x, l)
	if err != nil {
		if t.sent() {
			event := x.broken(t, err)
			x.f.finish(t, true)
			return nil, event
		}
		x.failed[l.name] = true
		x.failure = t.cause(err)
		if !errors.Is(err, bodychecker.ErrNotAllowed) {
			x.f.Observer.Suspect(context.WithoutCancel(x.ctx), l.at().members)
		}
		x.f.finish(t, true)
		return nil, retrier.Event{Kind: retrier.NotSent, Unseen: true}
	}
	return x.receive(t)
}

// broken notes that a try broke after some of it may have left. The cause is
// taken once, since the check of the lane may end the try, too.
func (x *exchange) broken(t *try, err error) retrier.Event {
	cause := t.cause(err)
	event := x.blame(t.lane, cause)
	x.struck(t.lane, cause)
	return event
}

// struck has a strike counted if a connection was broken by the server and not
// from here, and the server turns out to be gone.
func (x *exchange) struck(l *lane, err error) {
	switch {
	case x.ctx.Err() != nil || errors.IsAny(err, errLost, errStalled):
	case x.f.Observer.AnyLostOrRestarted(l.at().members[:1]):
		x.strike(l)
	default:
		go x.runStrike(l)
	}
}

// receive judges an answer's header and takes in what must be there before the
// caller is told anything.
func (x *exchange) receive(t *try) (*Answer, retrier.Event) {
	verdict := x.f.Codec.Verdict(t.response.StatusCode, t.response.Header)
	if event, bad := x.judge(t, verdict); bad {
		x.f.finish(t, !verdict.NotRun)
		return nil, event
	}
	x.current = t
	t.reader = bufio.NewReaderSize(t.response.Body, streamBuffer)
	if x.route.Repeat == mapper.Streaming && isStream(t.response) {
		return x.receiveStream(t)
	}
	return x.receiveWhole(t)
}

// judge sorts out the answers that are none.
func (x *exchange) judge(t *try, v Verdict) (retrier.Event, bool) {
	switch {
	case v.ID != "" && v.ID != x.request.ID:
		return x.blame(t.lane, errors.Newf("the answer belongs to request %q", v.ID)), true
	case v.NotRun:
		x.failed[t.lane.name] = true
		x.failure = errors.Newf("server did not run the request: status %d", t.response.StatusCode)
		x.suspect(t.lane, v)
		return retrier.Event{Kind: retrier.NotSent}, true
	case !v.Proved && t.response.StatusCode < http.StatusMultipleChoices:
		return x.blame(t.lane, errNoProof), true
	}
	return retrier.Event{}, false
}

// suspect has the instance checked that a server names as the one at fault.
func (x *exchange) suspect(l *lane, v Verdict) {
	ctx := context.WithoutCancel(x.ctx)
	if v.Replaced {
		x.f.shun(l, soonRetry)
		x.f.Observer.Suspect(ctx, l.at().members)
		return
	}
	for _, in := range l.at().members {
		if in.ID == v.Culprit {
			x.f.shun(l, soonRetry)
			x.f.Observer.Suspect(ctx, l.at().members)
		}
	}
}

func isStream(r *http.Response) bool {
	return r.StatusCode == http.StatusOK && strings.HasPrefix(r.Header.Get("Content-Type"), eventStream)
}

// receiveWhole reads an answer to its end.
func (x *exchange) receiveWhole(t *try) (*Answer, retrier.Event) {
	body, err := io.ReadAll(io.LimitReader(t.reader, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		err = errors.Newf("the answer is longer than %d bytes", maxAnswerBytes)
	}
	if err != nil {
		event := x.broken(t, err)
		x.drop(true)
		return nil, event
	}
	t.whole = true
	answer := &Answer{Status: t.response.StatusCode, Header: answerHeader(t.response), Body: body}
	if answer.Status >= http.StatusInternalServerError && x.route.Repeatable() {
		x.spare = answer
		x.failed[t.lane.name] = true
		x.failure = errors.Newf("server failed: status %d", answer.Status)
		x.drop(true)
		return nil, retrier.Event{Kind: retrier.Broke}
	}
	x.step(retrier.Event{Kind: retrier.Finished})
	x.drop(answer.Status >= http.StatusInternalServerError)
	return answer, retrier.Event{}
}

// answerHeader returns what a caller is sent of a server's header.
func answerHeader(r *http.Response) http.Header {
	header := endToEnd(r.Header)
	header.Del("Content-Length")
	return header
}

// sent reports whether any of the request may have left.
func (t *try) sent() bool { return t.body != nil && t.body.Sent() && t.connected.Load() }

// cause prefers the reason for which a try was ended from here.
func (t *try) cause(err error) error {
	if cause := context.Cause(t.ctx); cause != nil && !errors.Is(cause, context.Canceled) {
		return cause
	}
	return err
}

// send sends the request to a lane and waits for the answer's header. The try
// is returned also with an error.
func (f *Forwarder) send(x *exchange, l *lane) (*try, error) {
	t := &try{lane: l}
	ctx, cancel := context.WithCancelCause(x.ctx)
	t.flight = &flight{lane: l, cancel: cancel, prompt: x.request.PromptTokens}
	f.takeOff(t.flight)
	ctx, t.span = f.Tracer.Start(ctx, "try", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		attribute.String("request", x.request.ID), attribute.String("lane", l.name)))
	t.ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { t.connected.Store(true) },
	})
	t.body = bodychecker.New(x.request.Body, func() bool { return x.mayRun() && f.mayUse(l) })
	request, err := f.serverRequest(t, x)
	if err != nil {
		return t, err
	}
	t.response, err = f.transport.RoundTrip(request)
	return t, err
}

// mayUse asks at the moment of sending whether a lane may be sent a request.
func (f *Forwarder) mayUse(l *lane) bool {
	if l.at().group != nil {
		return f.Observer.GroupAvailable(*l.at().group)
	}
	return f.Observer.InstanceAvailable(l.head())
}

func (f *Forwarder) serverRequest(t *try, x *exchange) (*http.Request, error) {
	head := t.lane.head()
	target, err := url.ParseRequestURI(x.request.Target)
	if err != nil {
		return nil, err
	}
	target.Scheme, target.Host = "http", head.Address.String()
	request, err := http.NewRequestWithContext(t.ctx, x.request.Method, target.String(), t.body)
	if err != nil {
		return nil, err
	}
	request.URL = target
	request.Host = x.request.Host
	request.Header = endToEnd(x.request.Header)
	request.ContentLength = int64(len(x.request.Body))
	if len(x.request.Body) == 0 && !t.body.Check() {
		// An empty body is never read, so that the gate is asked here.
		return nil, bodychecker.ErrNotAllowed
	}
	if _, given := request.Header["User-Agent"]; !given {
		request.Header["User-Agent"] = nil
	}
	if x.lastID != "" {
		request.Header.Set(headerEvent, x.lastID)
	}
	f.Codec.Address(request.Header, Send{
		Instance:     head.ID,
		Organisation: x.organisation.Name,
		Left:         x.deadline.Sub(clocker.Now()),
	})
	return request, nil
}

// finish ends a try and counts it out.
func (f *Forwarder) finish(t *try, failed bool) {
	f.land(t.flight, failed)
	if t.response != nil {
		if t.whole {
			// A drained body lets the connection be used again; a failure to
			// drain it closes the connection, which is as good.
			_, _ = io.Copy(io.Discard, io.LimitReader(t.response.Body, maxDrain))
		}
		t.response.Body.Close()
	}
	t.flight.cancel(context.Canceled)
	t.span.SetAttributes(attribute.Bool("failed", failed))
	t.span.End()
}
