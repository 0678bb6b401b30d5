package dispatcher

import (
	"fmt"
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/retrier"
)

//go:generate stringer -type=Kind -linecomment -output=kind_string.go

// Kind sorts the reasons for which a request has no whole answer.
type Kind int

// Kinds of rejection.
const (
	// KindOverloaded says that too many requests wait.
	KindOverloaded Kind = iota // overloaded
	// KindRateLimited says that the organisation is above its rate.
	KindRateLimited // rate_limited
	// KindNoBackend says that no back end may be sent the request.
	KindNoBackend // no_backend
	// KindBackendFailed says that the back ends that were tried failed.
	KindBackendFailed // backend_failed
	// KindDeadlineExceeded says that the deadline has passed.
	KindDeadlineExceeded // deadline_exceeded
	// KindQuarantined says that the request crashes back ends.
	KindQuarantined // quarantined
	// KindLeaving says that this entry instance is about to stop.
	KindLeaving // leaving
	// KindClaimUnavailable says that the key could not be claimed.
	KindClaimUnavailable // claim_unavailable
	// KindDuplicate says that the key has been used before.
	KindDuplicate // duplicate
	// KindKeyMismatch says that the key was used with another request.
	KindKeyMismatch // key_mismatch
)

// Error is the error type of this package: a request without a whole answer,
// and what its caller is to be told.
type Error struct {
	// Op is the operation that failed.
	Op   string
	Kind Kind
	// Outcome is what is known of the request's run.
	Outcome retrier.Outcome
	// RetryAfter says when to come back; zero means not to come back.
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
