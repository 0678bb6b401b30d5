package forwarder

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/internal/detourer"
	"github.com/waxwingmount/waxwingmount/internal/logger"
	"github.com/waxwingmount/waxwingmount/pkg/retrier"
)

// Detour says how a request came from a peer. The entry instance that took the request from
// its caller keeps the caller's connection, the deadline, and the count of the attempts;
// the one that sends it decides on all else.
type Detour struct {
	// Sender is the entry instance that handed the request over.
	Sender string
	// Remaining is how long the sender waits.
	Remaining time.Duration
	// LastEventID is the event after which a stream resumes, or empty.
	LastEventID string
	// Excluded names the upstreams that have failed the request.
	Excluded []string
	// Counted says that the sender counts the request towards the demand.
	Counted bool
}

// ServeDetour makes one attempt at a request that a peer has handed over, in the queue and
// under the limits of this entry instance's own requests, and passes the response back.
func (f *Forwarder) ServeDetour(ctx context.Context, e *detourer.Envelope, w *detourer.ResponseWriter) {
	began := clocker.Now()
	// A shutdown waits until the response has been written.
	f.countActive(1)
	defer f.countActive(-1)
	served := false
	defer func() { f.metrics.recordHopTaken(served) }()
	log.WithFields(log.Fields{
		logger.FieldRequest: e.ID, logger.FieldPeer: e.Sender, "remaining_ms": e.Remaining.Milliseconds(), "elapsed_ms": e.Elapsed.Milliseconds(),
		"resumes_after": e.LastEventID,
	}).Info(logger.LineHopTaken)
	response, err := f.Forward(ctx, &Request{
		RequestMetadata: f.Codec.ParseRequest(e.Header),
		Host:            e.Host,
		Method:          e.Method,
		Target:          e.Target,
		Path:            e.Path,
		Header:          e.Header,
		Body:            e.Body,
		Arrived:         began.Add(-e.Elapsed),
		Detour:          &Detour{Sender: e.Sender, Remaining: e.Remaining, LastEventID: e.LastEventID, Excluded: e.Excluded, Counted: e.Counted},
	})
	if err != nil {
		f.refuseDetour(e, w, err)
		return
	}
	defer response.memory.Close()
	head := detourer.Head{Status: response.Status, Header: response.Header, Delimited: true, Stream: response.stream != nil, Took: clocker.Since(began)}
	writeErr := w.WriteHead(head)
	write := func(p []byte) error {
		if writeErr == nil {
			_, writeErr = w.Write(p)
		}
		return writeErr
	}
	if response.stream == nil {
		err = write(response.Body)
	} else {
		err = response.forEachEvent(write)
	}
	switch {
	case writeErr != nil:
		log.WithField(logger.FieldRequest, e.ID).WithError(writeErr).Info("could not write the response; the peer has disconnected")
	case err != nil:
		f.refuseDetour(e, w, err)
	default:
		if err := w.End(); err != nil {
			log.WithField(logger.FieldRequest, e.ID).WithError(err).Info("could not end the response; the peer has disconnected")
			return
		}
		served = true
	}
}

// refuseDetour tells the peer that a request has no response, or not the rest of one.
func (f *Forwarder) refuseDetour(e *detourer.Envelope, w *detourer.ResponseWriter, err error) {
	refusal := &Refusal{Kind: KindFailed, Outcome: retrier.MayHaveRun}
	if !errors.As(err, &refusal) {
		refusal.Err = err
	}
	text := ""
	if refusal.Err != nil {
		text = refusal.Err.Error()
	}
	log.WithFields(log.Fields{
		logger.FieldRequest: e.ID, logger.FieldPeer: e.Sender, logger.FieldKind: refusal.Kind.String(), logger.FieldOutcome: refusal.Outcome.String(),
		"retry_after": refusal.RetryAfter.String(),
	}).WithError(err).Info(logger.LineHopRefused)
	err = w.Refuse(detourer.Refusal{
		Kind: refusal.Kind.String(), Text: text, Outcome: refusal.Outcome, NothingSent: !refusal.Sent, RetryAfter: refusal.RetryAfter,
		Upstreams: refusal.Upstreams,
	})
	if err != nil {
		log.WithField(logger.FieldRequest, e.ID).WithError(err).Info("could not write the refusal; the peer has disconnected")
	}
}
