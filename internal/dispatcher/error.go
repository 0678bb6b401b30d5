package dispatcher

import (
	"fmt"
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/retrier"
)

//go:generate stringer -type=Kind -linecomment -output=kind_string.go

// Kind is the reason why a request has no complete response.
type Kind int

// Kinds of error.
const (
	// KindOverloaded means that too many requests are queued.
	KindOverloaded Kind = iota // overloaded
	// KindRateLimited means that the organisation exceeds its request rate.
	KindRateLimited // rate_limited
	// KindNoBackend means that no backend server may be sent the request now.
	KindNoBackend // no_backend
	// KindBackendFailed means that the backend servers that were tried failed.
	KindBackendFailed // backend_failed
	// KindDeadlineExceeded means that the deadline has passed.
	KindDeadlineExceeded // deadline_exceeded
	// KindQuarantined means that the request has crashed backend servers.
	KindQuarantined // quarantined
	// KindShuttingDown means that this entry instance is shutting down.
	KindShuttingDown // leaving
	// KindClaimUnavailable means that the idempotency key could not be claimed.
	KindClaimUnavailable // claim_unavailable
	// KindDuplicate means that the idempotency key has been used before.
	KindDuplicate // duplicate
	// KindKeyMismatch means that the idempotency key was used with another
	// request.
	KindKeyMismatch // key_mismatch
)

// Error is the error type of this package: why a request has no complete
// response, and what to tell its caller.
type Error struct {
	// Op is the operation that failed.
	Op   string
	Kind Kind
	// Outcome says whether a backend server has run the request.
	Outcome retrier.Outcome
	// RetryAfter is the delay after which the caller may retry; zero means that
	// it should not retry.
	RetryAfter time.Duration
	// Err is the cause, or nil.
	Err error
}

// Error returns "op: kind (outcome): cause".
func (e *Error) Error() string {
	text := fmt.Sprintf("%s: %s (%s)", e.Op, e.Kind, e.Outcome)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
