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
	// KindOverloaded says that too many requests are queued.
	KindOverloaded Kind = iota // overloaded
	// KindRateLimited says that the organisation exceeds its request rate.
	KindRateLimited // rate_limited
	// KindNoBackend says that no backend server may be sent the request now.
	KindNoBackend // no_backend
	// KindBackendFailed says that the backend servers that were tried failed.
	KindBackendFailed // backend_failed
	// KindDeadlineExceeded says that the deadline has passed.
	KindDeadlineExceeded // deadline_exceeded
	// KindQuarantined says that the request has crashed backend servers.
	KindQuarantined // quarantined
	// KindShuttingDown says that this entry instance is about to stop.
	KindShuttingDown // leaving
	// KindClaimUnavailable says that the idempotency key could not be claimed.
	KindClaimUnavailable // claim_unavailable
	// KindDuplicate says that the idempotency key has been used before.
	KindDuplicate // duplicate
	// KindKeyMismatch says that the idempotency key was used with another
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
	// RetryAfter is when the caller may retry; zero means that it should not.
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
