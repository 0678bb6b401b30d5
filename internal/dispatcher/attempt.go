package dispatcher

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/waxwingmount/waxwingmount/internal/bodychecker"
	"github.com/waxwingmount/waxwingmount/pkg/retrier"
)

// Headers between the entry instances and the backend servers.
const (
	headerRequestID      = "Waxwing-Request-Id"
	headerOrganisation   = "Waxwing-Organisation"
	headerGroup          = "Waxwing-Group"
	headerFence          = "Waxwing-Fence"
	headerResumeFrom     = "Waxwing-Resume-From"
	headerNotRun         = "Waxwing-Not-Run"
	headerIdempotencyKey = "Idempotency-Key"
)

const eventStreamType = "text/event-stream"

// attempt is one transmission of a request to one backend server.
type attempt struct {
	backend backend
	// monitor is set for attempts at replica groups.
	monitor  *attemptMonitor
	response *http.Response
	body     *bodychecker.Body
	ctx      context.Context
	cancel   context.CancelCauseFunc
	span     trace.Span
	// readToEnd says that the last event, or the complete response, has been read.
	readToEnd bool
}

// send sends a request to a backend server and waits for the response header.
// Alongside an error it returns the kind of event for the retry machine.
func (d *Dispatcher) send(ctx context.Context, r Request, b backend, resumeFrom int) (*attempt, retrier.EventKind, error) {
	a := &attempt{backend: b}
	ctx, a.span = d.tracer.Start(ctx, "try", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		attribute.String("request", r.ID), attribute.String("backend", b.name), attribute.Int("resume_from", resumeFrom)))
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	if b.group != nil {
		a.monitor = &attemptMonitor{group: *b.group, cancel: a.cancel, startedAt: time.Now()}
		d.addMonitor(a.monitor)
	}
	request, err := d.backendRequest(a, r, resumeFrom)
	if err != nil {
		d.finishAttempt(a, false)
		return nil, retrier.NotSent, err
	}
	a.response, err = d.transport.RoundTrip(request)
	if err != nil {
		kind := a.sendFailure()
		err = errors.CombineErrors(err, context.Cause(a.ctx))
		d.finishAttempt(a, true)
		return nil, kind, err
	}
	if kind, err := a.checkHeader(resumeFrom); err != nil {
		d.finishAttempt(a, true)
		return nil, kind, err
	}
	return a, retrier.Started, nil
}

// sendFailure returns the event for an attempt without a response. When no byte
// of the body was read, the backend server cannot have started the request.
func (a *attempt) sendFailure() retrier.EventKind {
	if a.body != nil && a.body.Sent() {
		return retrier.Interrupted
	}
	return retrier.NotSent
}

// checkHeader returns the event for a response header, and an error if the
// attempt has failed.
func (a *attempt) checkHeader(resumeFrom int) (retrier.EventKind, error) {
	status := a.response.StatusCode
	switch {
	case a.response.Header.Get(headerNotRun) == "true" && resumeFrom > 0:
		return retrier.CannotResume, errors.Newf("backend server did not resume the request: status %d", status)
	case a.response.Header.Get(headerNotRun) == "true":
		return retrier.NotSent, errors.Newf("backend server did not start the request: status %d", status)
	case status >= http.StatusInternalServerError && a.backend.group != nil:
		return retrier.Interrupted, errors.Newf("backend server failed: status %d", status)
	}
	return retrier.Started, nil
}

// isEventStream reports whether the response is a stream of events.
func (a *attempt) isEventStream() bool {
	return a.response.StatusCode == http.StatusOK && strings.HasPrefix(a.response.Header.Get("Content-Type"), eventStreamType)
}

func (d *Dispatcher) backendRequest(a *attempt, r Request, resumeFrom int) (*http.Request, error) {
	target, err := url.Parse("http://" + a.backend.address.String() + r.Path)
	if err != nil {
		return nil, err
	}
	a.body = bodychecker.New(r.Body, func() bool { return d.mayBeSent(a.backend) })
	request, err := http.NewRequestWithContext(a.ctx, r.Method, target.String(), a.body)
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(r.Body))
	if len(r.Body) == 0 {
		// The transport never reads an empty body, so the gate is checked here.
		if !a.body.Check() {
			return nil, bodychecker.ErrNotAllowed
		}
	}
	setHeaders(request.Header, a.backend, r, resumeFrom)
	propagation.TraceContext{}.Inject(a.ctx, propagation.HeaderCarrier(request.Header))
	return request, nil
}

func setHeaders(h http.Header, b backend, r Request, resumeFrom int) {
	h.Set(headerRequestID, r.ID)
	h.Set(headerOrganisation, r.Organisation.Name)
	h.Set("Content-Type", r.ContentType)
	if r.IdempotencyKey != "" {
		h.Set(headerIdempotencyKey, r.IdempotencyKey)
	}
	if b.group != nil {
		h.Set(headerGroup, b.group.ID)
		h.Set(headerFence, strconv.FormatUint(b.group.Fence, 10))
	}
	if resumeFrom > 0 {
		h.Set(headerResumeFrom, strconv.Itoa(resumeFrom))
	}
}

// mayBeSent reports whether the gate of a backend is still open, just before
// the first byte is sent. Plain services have no gate.
func (d *Dispatcher) mayBeSent(b backend) bool {
	return b.group == nil || d.gates.Check(*b.group).Open()
}

// finishAttempt ends an attempt and releases its resources.
func (d *Dispatcher) finishAttempt(a *attempt, failed bool) {
	if a.monitor != nil {
		d.removeMonitor(a.monitor)
	}
	if a.response != nil {
		if a.readToEnd {
			// A server must not see that its caller leaves while it ends the response.
			io.Copy(io.Discard, io.LimitReader(a.response.Body, maxDrainBytes))
		}
		a.response.Body.Close()
	}
	a.cancel(context.Canceled)
	a.span.SetAttributes(attribute.Bool("failed", failed))
	a.span.End()
	d.endAttempt(a.backend, failed)
}

// maxDrainBytes bounds what is read of a body after its last event.
const maxDrainBytes = 4096
