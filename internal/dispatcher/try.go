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

	"github.com/waxwingmount/waxwingmount/internal/gater"
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

// try is one sending of a request to one back end.
type try struct {
	backend  backend
	flight   *flight
	response *http.Response
	body     *gater.Body
	ctx      context.Context
	cancel   context.CancelCauseFunc
	span     trace.Span
	// whole says that the answer has been read to its end.
	whole bool
}

// send sends a request to a back end and waits for the response's header. On
// failure it returns the event for the retrier.
func (d *Dispatcher) send(ctx context.Context, r Request, b backend, resumeFrom int) (*try, retrier.EventKind, error) {
	t := &try{backend: b}
	ctx, t.span = d.tracer.Start(ctx, "try", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		attribute.String("request", r.ID), attribute.String("backend", b.name), attribute.Int("resume_from", resumeFrom)))
	t.ctx, t.cancel = context.WithCancelCause(ctx)
	if b.group != nil {
		t.flight = &flight{group: *b.group, cancel: t.cancel, began: time.Now()}
		d.takeOff(t.flight)
	}
	request, err := d.backendRequest(t, r, resumeFrom)
	if err != nil {
		d.finish(t, false)
		return nil, retrier.NotSent, err
	}
	t.response, err = d.transport.RoundTrip(request)
	if err != nil {
		kind := t.failure()
		err = errors.CombineErrors(err, context.Cause(t.ctx))
		d.finish(t, true)
		return nil, kind, err
	}
	if kind, err := t.judge(resumeFrom); err != nil {
		d.finish(t, true)
		return nil, kind, err
	}
	return t, retrier.Started, nil
}

// failure sorts a try without a response: a body that was never read cannot
// have begun.
func (t *try) failure() retrier.EventKind {
	if t.body != nil && t.body.Sent() {
		return retrier.Interrupted
	}
	return retrier.NotSent
}

// judge sorts the response's header.
func (t *try) judge(resumeFrom int) (retrier.EventKind, error) {
	status := t.response.StatusCode
	switch {
	case t.response.Header.Get(headerNotRun) == "true" && resumeFrom > 0:
		return retrier.CannotResume, errors.Newf("back end did not resume: status %d", status)
	case t.response.Header.Get(headerNotRun) == "true":
		return retrier.NotSent, errors.Newf("back end did not begin: status %d", status)
	case status >= http.StatusInternalServerError && t.backend.group != nil:
		return retrier.Interrupted, errors.Newf("back end failed: status %d", status)
	}
	return retrier.Started, nil
}

func (d *Dispatcher) backendRequest(t *try, r Request, resumeFrom int) (*http.Request, error) {
	target, err := url.Parse("http://" + t.backend.address.String() + r.Path)
	if err != nil {
		return nil, err
	}
	t.body = gater.New(r.Body, func() bool { return d.stillOpen(t.backend) })
	request, err := http.NewRequestWithContext(t.ctx, r.Method, target.String(), t.body)
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(r.Body))
	if len(r.Body) == 0 {
		// An empty body is never read, so that the gate is asked here.
		if !t.body.Pass() {
			return nil, gater.ErrClosed
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
	if r.Key != "" {
		h.Set(headerKey, r.Key)
	}
	if b.group != nil {
		h.Set(headerGroup, b.group.ID)
		h.Set(headerFence, strconv.FormatUint(b.group.Fence, 10))
	}
	if resumeFrom > 0 {
		h.Set(headerResumeFrom, strconv.Itoa(resumeFrom))
	}
}

// stillOpen asks the gate again, at the moment of sending.
func (d *Dispatcher) stillOpen(b backend) bool {
	return b.group == nil || d.gates.Check(*b.group).Open()
}

// finish ends a try and counts it out.
func (d *Dispatcher) finish(t *try, failed bool) {
	if t.flight != nil {
		d.land(t.flight)
	}
	if t.response != nil {
		if t.whole {
			// A drained body lets the connection be used again.
			io.Copy(io.Discard, io.LimitReader(t.response.Body, maxDrain))
		}
		t.response.Body.Close()
	}
	t.cancel(context.Canceled)
	t.span.SetAttributes(attribute.Bool("failed", failed))
	t.span.End()
	d.release(t.backend, failed)
}

// maxDrain bounds what is read of a body only to use its connection again.
const maxDrain = 4096
