package dispatcher

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/claimer"
	"github.com/waxwingmount/waxwingmount/pkg/retrier"
)

// Claims guards the runs of requests with an idempotency key.
type Claims interface {
	// Claim returns nil when the row is claimed, or the record that stands.
	Claim(ctx context.Context, row, digest string) (*claimer.Record, error)
	// Finish records a claim's last state.
	Finish(row string, record claimer.Record)
	// Release gives a claim back whose request was not run.
	Release(row string)
	// HolderAlive reports whether the process that made a record runs still.
	HolderAlive(record claimer.Record) bool
}

const (
	// claimTimeout bounds how long a request waits for its claim.
	claimTimeout = 2 * time.Second
	// maxRecordedBytes bounds the answers that are recorded with a claim.
	maxRecordedBytes = 64 << 10
	// runningRetryDelay is when to ask again for a request that is being run.
	runningRetryDelay = time.Second
)

// claim is the claim of one request; the claim of a request without a key
// does nothing.
type claim struct {
	claims Claims
	row    string
	digest string
}

func (r Request) digest() string {
	return claimer.Digest([]byte(r.Method), []byte(r.Path), r.Body)
}

// claim claims the request's key. When the key has been used before it returns
// the recorded answer or the error that tells how the other run stands.
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

// resolveDuplicate tells a request whose key was used before how it stands.
func (d *Dispatcher) resolveDuplicate(existing claimer.Record, digest string) (*Response, error) {
	duplicate := &Error{Op: "claim", Kind: KindDuplicate}
	switch claimer.Judge(existing, digest, d.claims.HolderAlive(existing)) {
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

// recordResponse records the whole answer.
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

// recordFailure records that there is no whole answer, or gives the claim back when
// the request was not run.
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

// streamRecord keeps what a claimed stream has sent, up to a bound.
type streamRecord struct {
	buffer bytes.Buffer
}

func (t *streamRecord) add(event []byte) {
	if t.buffer.Len() <= maxRecordedBytes {
		t.buffer.Write(event)
		t.buffer.WriteString("\n\n")
	}
}

// response returns the whole stream as it is recorded.
func (t *streamRecord) response() *Response {
	t.add(doneEvent)
	header := http.Header{"Content-Type": {streamType}}
	return &Response{Status: http.StatusOK, Header: header, Body: t.buffer.Bytes()}
}

// streamType is the media type of a stream of events.
const streamType = "text/event-stream"
