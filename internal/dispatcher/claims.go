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
	// runningRetry is when to ask again for a request that is being run.
	runningRetry = time.Second
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
func (d *Dispatcher) claim(ctx context.Context, r Request) (*claim, *Answer, error) {
	if r.Key == "" {
		return &claim{}, nil, nil
	}
	c := &claim{claims: d.claims, digest: r.digest()}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	row := claimer.RowKey(r.Organisation.Name, r.Key)
	standing, err := d.claims.Claim(ctx, row, c.digest)
	switch {
	case err != nil:
		return nil, nil, &Error{Op: "claim", Kind: KindClaimUnavailable, Outcome: retrier.NotRun, RetryAfter: jitter(noBackendRetry), Err: err}
	case standing == nil:
		c.row = row
		return c, nil, nil
	}
	answer, err := d.repeated(*standing, c.digest)
	return nil, answer, err
}

// repeated tells a request whose key was used before how it stands.
func (d *Dispatcher) repeated(standing claimer.Record, digest string) (*Answer, error) {
	duplicate := &Error{Op: "claim", Kind: KindDuplicate}
	switch claimer.Classify(standing, digest, d.claims.HolderAlive(standing)) {
	case claimer.Replay:
		header := http.Header{"Content-Type": {standing.ContentType}}
		return &Answer{Status: standing.Status, Header: header, Body: standing.Body}, nil
	case claimer.Done:
		duplicate.Outcome = retrier.Complete
	case claimer.Running:
		duplicate.Outcome = retrier.InProgress
		duplicate.RetryAfter = jitter(runningRetry)
	case claimer.Mismatch:
		duplicate.Kind = KindKeyMismatch
		duplicate.Outcome = retrier.NotRun
	default:
		duplicate.Outcome = retrier.MayHaveRun
	}
	return nil, duplicate
}

// finished records the whole answer.
func (c *claim) finished(answer *Answer) {
	if c == nil || c.row == "" {
		return
	}
	record := claimer.Record{State: claimer.Finished, Digest: c.digest, Status: answer.Status}
	record.ContentType = answer.Header.Get("Content-Type")
	if len(answer.Body) > maxRecordedBytes {
		record.Oversized = true
	} else {
		record.Body = answer.Body
	}
	c.claims.Finish(c.row, record)
	c.row = ""
}

// failed records that there is no whole answer, or gives the claim back when
// the request was not run.
func (c *claim) failed(outcome retrier.Outcome) {
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

// transcript keeps what a claimed stream has sent, up to a bound.
type transcript struct {
	buffer bytes.Buffer
}

func (t *transcript) add(event []byte) {
	if t.buffer.Len() <= maxRecordedBytes {
		t.buffer.Write(event)
		t.buffer.WriteString("\n\n")
	}
}

// answer returns the whole stream as it is recorded.
func (t *transcript) answer() *Answer {
	t.add(terminalMark)
	header := http.Header{"Content-Type": {streamType}}
	return &Answer{Status: http.StatusOK, Header: header, Body: t.buffer.Bytes()}
}

// streamType is the media type of a stream of events.
const streamType = "text/event-stream"
