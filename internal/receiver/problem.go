package receiver

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingmount/waxwingmount/internal/dispatcher"
	"github.com/waxwingmount/waxwingmount/pkg/retrier"
)

// headerOutcome tells the caller whether a backend server has run its request.
const headerOutcome = "Waxwing-Outcome"

// Problem is the error of a request as its caller gets it.
type Problem struct {
	Status  int    `json:"-"`
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	// Outcome is not_run, may_have_run or in_progress.
	Outcome string `json:"outcome"`
	// RetryAfterMS is the delay before a retry, in milliseconds; if it is
	// absent, the caller should not retry.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// Error implements [error].
func (p *Problem) Error() string { return p.Message }

// errorBody is the response body of an error.
type errorBody struct {
	Error *Problem `json:"error"`
}

// problemf returns the error of a request that was not run.
func problemf(status int, code, format string, args ...any) *Problem {
	kind := "invalid_request_error"
	if status >= http.StatusInternalServerError {
		kind = "server_error"
	}
	p := &Problem{
		Status:  status,
		Message: fmt.Sprintf(format, args...),
		Type:    kind,
		Code:    code,
		Outcome: retrier.NotRun.String(),
	}
	if status == http.StatusServiceUnavailable {
		p.RetryAfterMS = notReadyRetryDelay.Milliseconds()
	}
	return p
}

const notReadyRetryDelay = time.Second

// problemOf returns the Problem for an error. Errors of unknown types become an
// internal error without details.
func problemOf(err error) *Problem {
	var p *Problem
	if errors.As(err, &p) {
		return p
	}
	var dispatchErr *dispatcher.Error
	if !errors.As(err, &dispatchErr) {
		return problemf(http.StatusInternalServerError, "internal", "internal error")
	}
	return &Problem{
		Status:       statusOf(dispatchErr),
		Message:      messageOf(dispatchErr),
		Type:         "server_error",
		Code:         dispatchErr.Kind.String(),
		Outcome:      dispatchErr.Outcome.String(),
		RetryAfterMS: dispatchErr.RetryAfter.Milliseconds(),
	}
}

// statusCodes maps kinds of error to HTTP status codes.
var statusCodes = map[dispatcher.Kind]int{
	dispatcher.KindOverloaded:       http.StatusServiceUnavailable,
	dispatcher.KindRateLimited:      http.StatusTooManyRequests,
	dispatcher.KindNoBackend:        http.StatusServiceUnavailable,
	dispatcher.KindBackendFailed:    http.StatusBadGateway,
	dispatcher.KindDeadlineExceeded: http.StatusGatewayTimeout,
	dispatcher.KindQuarantined:      http.StatusUnprocessableEntity,
	dispatcher.KindShuttingDown:     http.StatusServiceUnavailable,
	dispatcher.KindClaimUnavailable: http.StatusServiceUnavailable,
	dispatcher.KindDuplicate:        http.StatusConflict,
	dispatcher.KindKeyMismatch:      http.StatusUnprocessableEntity,
}

// statusOf returns the HTTP status code for an error. A failure of all backend
// servers before any of them ran the request is Service Unavailable.
func statusOf(dispatchErr *dispatcher.Error) int {
	status := statusCodes[dispatchErr.Kind]
	if status == http.StatusBadGateway && dispatchErr.Outcome == retrier.NotRun {
		return http.StatusServiceUnavailable
	}
	return status
}

// messages maps kinds of error to the messages in responses.
var messages = map[dispatcher.Kind]string{
	dispatcher.KindOverloaded:       "too many requests are waiting",
	dispatcher.KindRateLimited:      "the organisation is above its rate of requests",
	dispatcher.KindNoBackend:        "no backend server may be sent the request now",
	dispatcher.KindBackendFailed:    "the backend servers that were tried failed",
	dispatcher.KindDeadlineExceeded: "the deadline of the request has passed",
	dispatcher.KindQuarantined:      "the request has crashed backend servers and is refused",
	dispatcher.KindShuttingDown:     "this entry instance is about to stop; use another address",
	dispatcher.KindClaimUnavailable: "the idempotency key could not be claimed",
	dispatcher.KindDuplicate:        "the idempotency key has been used before",
	dispatcher.KindKeyMismatch:      "the idempotency key was used with another request",
}

func messageOf(dispatchErr *dispatcher.Error) string { return messages[dispatchErr.Kind] }

// encodeError writes the response for an error.
func encodeError(_ context.Context, err error, w http.ResponseWriter) {
	p := problemOf(err)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(headerOutcome, p.Outcome)
	if p.RetryAfterMS > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(float64(p.RetryAfterMS)/1000))))
	}
	w.WriteHeader(p.Status)
	json.NewEncoder(w).Encode(errorBody{Error: p})
}
