package dispatcher

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/waxwingmount/waxwingmount/internal/bodychecker"
	"github.com/waxwingmount/waxwingmount/pkg/retrier"
)

// Headers between the entry instances and the back ends.
const (
	headerRequestID    = "Waxwing-Request-Id"
	headerOrganisation = "Waxwing-Organisation"
	headerGroup        = "Waxwing-Group"
	headerFence        = "Waxwing-Fence"
	headerResumeFrom   = "Waxwing-Resume-From"
	headerNotRun       = "Waxwing-Not-Run"
	headerKey          = "Idempotency-Key"
)

// attempt is one sending of a request to one back end.
type attempt struct {
	backend  backend
	monitor  *attemptMonitor
	response *http.Response
	body     *bodychecker.Body
	ctx      context.Context
	cancel   context.CancelCauseFunc
	span     trace.Span
	// readToEnd says that the answer has been read to its end.
	readToEnd bool
}

// send sends a request to a back end and waits for the response's header. On
// failure it returns the event for the retrier.
func (d *Dispatcher) send(ctx context.Context, r Request, b backend, resumeFrom int) (*attempt, retrier.EventKind, error) {
	t := &attempt{backend: b}
	ctx, t.span = d.tracer.Start(ctx, "try", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		attribute.String("request", r.ID), attribute.String("backend", b.name), attribute.Int("resume_from", resumeFrom)))
	t.ctx, t.cancel = context.WithCancelCause(ctx)
	if b.group != nil {
		t.monitor = &attemptMonitor{group: *b.group, cancel: t.cancel, startedAt: time.Now()}
		d.addMonitor(t.monitor)
	}
	request, err := d.backendRequest(t, r, resumeFrom)
	if err != nil {
		d.finishAttempt(t, false)
		return nil, retrier.NotSent, err
	}
	t.response, err = d.transport.RoundTrip(request)
	if err != nil {
		kind := t.sendFailure()
		err = errors.CombineErrors(err, context.Cause(t.ctx))
		d.finishAttempt(t, true)
		return nil, kind, err
	}
	if kind, err := t.checkHeader(resumeFrom); err != nil {
		d.finishAttempt(t, true)
		return nil, kind, err
	}
	return t, retrier.Started, nil
}

// sendFailure sorts a try without a response: a body that was never read cannot
// have begun.
func (t *attempt) sendFailure() retrier.EventKind {
	if t.body != nil && t.body.Sent() {
		return retrier.Broke
	}
	return retrier.NotSent
}

// checkHeader sorts the response's header.
func (t *attempt) checkHeader(resumeFrom int) (retrier.EventKind, error) {
	status := t.response.StatusCode
	switch {
	case t.response.Header.Get(headerNotRun) == "true" && resumeFrom > 0:
		return retrier.CannotResume, errors.Newf("back end did not resume: status %d", status)
	case t.response.Header.Get(headerNotRun) == "true":
		return retrier.NotSent, errors.Newf("back end did not begin: status %d", status)
	case status >= http.StatusInternalServerError && t.backend.group != nil:
		return retrier.Broke, errors.Newf("back end failed: status %d", status)
	}
	return retrier.Started, nil
}

func (d *Dispatcher) backendRequest(t *attempt, r Request, resumeFrom int) (*http.Request, error) {
	target, err := url.Parse("http://" + t.backend.address.String() + r.Path)
	if err != nil {
		return nil, err
	}
	t.body = bodychecker.New(r.Body, func() bool { return d.mayBeSent(t.backend) })
	request, err := http.NewRequestWithContext(t.ctx, r.Method, target.String(), t.body)
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(r.Body))
	if len(r.Body) == 0 {
		// An empty body is never read, so that the gate is asked here.
		if !t.body.Check() {
			return nil, bodychecker.ErrNotAllowed
		}
	}
	setHeaders(request.Header, t.backend, r, resumeFrom)
	propagation.TraceContext{}.Inject(t.ctx, propagation.HeaderCarrier(request.Header))
	return request, nil
}

func setHeaders(h http.Header, b backend, r Request, resumeFrom int) {
	h.Set(headerRequestID, r.ID)
	h.Set(headerOrganisation, r.Organisation.Name)
	h.Set("Content-Type", r.ContentType)
	if r.IdempotencyKey != "" {
		h.Set(headerKey, r.IdempotencyKey)
	}
	if b.group != nil {
		h.Set(headerGroup, b.group.ID)
		h.Set(headerFence, strconv.FormatUint(b.group.Fence, 10))
	}
	if resumeFrom > 0 {
		h.Set(headerResumeFrom, strconv.Itoa(resumeFrom))
	}
}

// mayBeSent asks the gate again, at the moment of sending.
func (d *Dispatcher) mayBeSent(b backend) bool {
	return b.group == nil || d.gates.Check(*b.group).Open()
}

// finishAttempt ends a try and counts it out.
func (d *Dispatcher) finishAttempt(t *attempt, failed bool) {
	if t.monitor != nil {
		d.removeMonitor(t.monitor)
	}
	if t.response != nil {
		if t.readToEnd {
			// A drained body lets the connection be used again.
			io.Copy(io.Discard, io.LimitReader(t.response.Body, maxDrainBytes))
		}
		t.response.Body.Close()
	}
	t.cancel(context.Canceled)
	t.span.SetAttributes(attribute.Bool("failed", failed))
	t.span.End()
	d.endAttempt(t.backend, failed)
}

// maxDrainBytes bounds what is read of a body only to use its connection again.
const maxDrainBytes = 4096
