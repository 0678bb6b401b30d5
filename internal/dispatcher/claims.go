package dispatcher

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/claimer"
	"github.com/waxwingmount/waxwingmount/pkg/retrier"
)

// Claims stores the claims on idempotency keys, so that a request with a key
// runs at most once.
type Claims interface {
	// Claim claims a row. It returns nil on success, and the existing record
	// if the row has been claimed before.
	Claim(ctx context.Context, row, digest string) (*claimer.Record, error)
	// Finish records the final state of a claim.
	Finish(row string, record claimer.Record)
	// Release deletes the claim of a request that was not run.
	Release(row string)
	// HolderAlive reports whether the process that wrote a record still runs.
	HolderAlive(record claimer.Record) bool
}

const (
	// claimTimeout bounds how long a request waits for its claim.
	claimTimeout = 2 * time.Second
	// maxRecordedBytes bounds the response bodies recorded with a claim.
	maxRecordedBytes = 64 << 10
	// runningRetryDelay is the delay before a retry while another request with
	// the same key is running.
	runningRetryDelay = time.Second
)

// claim is the claim of one request. For a request without an idempotency key,
// and once the outcome is recorded, row is empty and the methods do nothing.
type claim struct {
	claims Claims
	row    string
	digest string
}

// digest identifies the content of a request.
func (r Request) digest() string {
	return claimer.Digest([]byte(r.Method), []byte(r.Path), r.Body)
}

// claim claims the request's idempotency key. When the key has been used before,
// it returns the recorded response, or an error with the state of that request.
func (d *Dispatcher) claim(ctx context.Context, r Request) (*claim, *Response, error) {
	if r.IdempotencyKey == "" {
		return &claim{}, nil, nil
	}
	c := &claim{claims: d.claims, digest: r.digest()}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	row := claimer.RowKey(r.Organisation.Name, r.IdempotencyKey)
	existing, err := d.claims.Claim(ctx, row, c.digest)
	switch {
	case err != nil:
		return nil, nil, &Error{Op: "claim", Kind: KindClaimUnavailable, Outcome: retrier.NotRun, RetryAfter: jitter(noBackendRetryDelay), Err: err}
	case existing == nil:
		c.row = row
		return c, nil, nil
	}
	response, err := d.resolveDuplicate(*existing, c.digest)
	return nil, response, err
}

// resolveDuplicate returns the recorded response for a key that has been used
// before, or an error with the state of the earlier request.
func (d *Dispatcher) resolveDuplicate(existing claimer.Record, digest string) (*Response, error) {
	duplicate := &Error{Op: "claim", Kind: KindDuplicate}
	switch claimer.Classify(existing, digest, d.claims.HolderAlive(existing)) {
	case claimer.Replay:
		header := http.Header{"Content-Type": {existing.ContentType}}
		return &Response{Status: existing.Status, Header: header, Body: existing.Body}, nil
	case claimer.Done:
		duplicate.Outcome = retrier.Complete
	case claimer.Running:
		duplicate.Outcome = retrier.InProgress
		duplicate.RetryAfter = jitter(runningRetryDelay)
	case claimer.Mismatch:
		duplicate.Kind = KindKeyMismatch
		duplicate.Outcome = retrier.NotRun
	default:
		duplicate.Outcome = retrier.MayHaveRun
	}
	return nil, duplicate
}

// recordResponse records the complete response; a body that is too long is left
// out.
func (c *claim) recordResponse(response *Response) {
	if c == nil || c.row == "" {
		return
	}
	record := claimer.Record{State: claimer.Finished, Digest: c.digest, Status: response.Status}
	record.ContentType = response.Header.Get("Content-Type")
	if len(response.Body) > maxRecordedBytes {
		record.Oversized = true
	} else {
		record.Body = response.Body
	}
	c.claims.Finish(c.row, record)
	c.row = ""
}

// recordFailure records that there is no complete response. It releases the
// claim if the request was not run.
func (c *claim) recordFailure(outcome retrier.Outcome) {
	if c == nil || c.row == "" {
		return
	}
	if outcome == retrier.NotRun {
		c.claims.Release(c.row)
	} else {
		c.claims.Finish(c.row, claimer.Record{State: claimer.Unknown, Digest: c.digest})
	}
	c.row = ""
}

// streamRecord collects the events of a stream with an idempotency key, to just
// over maxRecordedBytes.
type streamRecord struct {
	buffer bytes.Buffer
}

func (r *streamRecord) add(event []byte) {
	if r.buffer.Len() <= maxRecordedBytes {
		r.buffer.Write(event)
		r.buffer.WriteString("\n\n")
	}
}

// response returns the complete stream as a response to record.
func (r *streamRecord) response() *Response {
	r.add(doneEvent)
	header := http.Header{"Content-Type": {streamType}}
	return &Response{Status: http.StatusOK, Header: header, Body: r.buffer.Bytes()}
}

// streamType is the media type of server-sent events.
const streamType = "text/event-stream"
