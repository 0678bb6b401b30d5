package forwarder

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/retrier"
)

//go:generate stringer -type=Kind -linecomment -output=kind_string.go

// Kind is the reason for which a request has no response from a server.
type Kind int

// Kinds of refusal.
const (
	// KindNoConfiguration means that there is no configuration yet.
	KindNoConfiguration Kind = iota // unready
	// KindNoRoute means that no route matches.
	KindNoRoute // no_route
	// KindNoKey means that the API key is missing or unknown.
	KindNoKey // no_key
	// KindStaleKeys means that the configuration is too old to accept API keys.
	KindStaleKeys // stale_keys
	// KindTooLarge means that the body is longer than the limit.
	KindTooLarge // too_large
	// KindMalformed means that the request could not be read.
	KindMalformed // malformed
	// KindTooSlow means that the request did not arrive in time, or made no progress while
	// memory was short.
	KindTooSlow // too_slow
	// KindNoMemory means that the memory for requests is in use.
	KindNoMemory // no_memory
	// KindOverloaded means that too many requests are queued.
	KindOverloaded // overloaded
	// KindNoServer means that there is no server to which the request may be
	// sent.
	KindNoServer // no_server
	// KindNoPath means that no server can be reached from an entry instance that was asked to
	// send a peer's request.
	KindNoPath // no_path
	// KindShuttingDown means that this entry instance is shutting down.
	KindShuttingDown // leaving
	// KindQuarantined means that the request has crashed servers.
	KindQuarantined // quarantined
	// KindFailed means that all attempts failed.
	KindFailed // failed
	// KindDeadlineExceeded means that the request's deadline has passed.
	KindDeadlineExceeded // expired
)

// Refusal is the error type of this package. It describes a request without a
// server's response, and what its caller is told.
type Refusal struct {
	// Op is the operation that failed.
	Op      string
	Kind    Kind
	Outcome retrier.Outcome
	// RetryAfter is the delay after which the caller may retry, or zero if
	// there is none to give.
	RetryAfter time.Duration
	// Sent says that a server has received the request, which it may have refused.
	Sent bool
	// Route, Service, Model and Upstreams say how the request was routed, for
	// the log.
	Route     string
	Service   string
	Model     string
	Upstreams []string
	// Err is the cause, or nil.
	Err error
}

// Error returns "op: kind (outcome): cause".
func (r *Refusal) Error() string {
	text := fmt.Sprintf("%s: %s (%s)", r.Op, r.Kind, r.Outcome)
	if r.Err != nil {
		text += ": " + r.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error { return r.Err }

// Status returns the HTTP status. 503 guarantees that the request has not run.
func (r *Refusal) Status() int {
	if r.Outcome != retrier.NotRun {
		if r.Kind == KindDeadlineExceeded {
			return http.StatusGatewayTimeout
		}
		return http.StatusBadGateway
	}
	switch r.Kind {
	case KindNoRoute:
		return http.StatusNotFound
	case KindNoKey:
		return http.StatusUnauthorized
	case KindTooLarge:
		return http.StatusRequestEntityTooLarge
	case KindMalformed:
		return http.StatusBadRequest
	case KindTooSlow:
		return http.StatusRequestTimeout
	}
	return http.StatusServiceUnavailable
}

func splitList(text string) []string {
	var names []string
	for name := range strings.SplitSeq(text, ",") {
		if name = strings.TrimSpace(name); name != "" {
			names = append(names, name)
		}
	}
	return names
}
