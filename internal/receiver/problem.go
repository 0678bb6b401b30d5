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

// headerOutcome tells a caller what is known of its request's run.
const headerOutcome = "Waxwing-Outcome"

// Problem is a rejection as a caller sees it.
type Problem struct {
	Status  int    `json:"-"`
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	// Outcome is not_run, may_have_run or in_progress.
	Outcome string `json:"outcome"`
	// RetryAfterMS is when to come back, in milliseconds; absent means not to.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// Error implements [error].
func (p *Problem) Error() string { return p.Message }

// errorBody is the body around a Problem.
type errorBody struct {
	Error *Problem `json:"error"`
}

// problemf returns a rejection of a request that was not run.
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

// problemOf returns what a caller is told of an error.
func problemOf(err error) *Problem {
	var p *Problem
	if errors.As(err, &p) {
		return p
	}
	var rejection *dispatcher.Error
	if !errors.As(err, &rejection) {
		return problemf(http.StatusInternalServerError, "internal", "internal error")
	}
	return &Problem{
		Status:       statusOf(rejection),
		Message:      messageOf(rejection),
		Type:         "server_error",
		Code:         rejection.Kind.String(),
		Outcome:      rejection.Outcome.String(),
		RetryAfterMS: rejection.RetryAfter.Milliseconds(),
	}
}

// statusCodes maps kinds of rejection to HTTP statusCodes.
var statusCodes = map[dispatcher.Kind]int{
	dispatcher.KindOverloaded:       http.StatusServiceUnavailable,
	dispatcher.KindRateLimited:      http.StatusTooManyRequests,
	dispatcher.KindNoBackend:        http.StatusServiceUnavailable,
	dispatcher.KindBackendFailed:    http.StatusBadGateway,
	dispatcher.KindDeadlineExceeded: http.StatusGatewayTimeout,
	dispatcher.KindQuarantined:      http.StatusUnprocessableEntity,
	dispatcher.KindLeaving:          http.StatusServiceUnavailable,
	dispatcher.KindClaimUnavailable: http.StatusServiceUnavailable,
	dispatcher.KindDuplicate:        http.StatusConflict,
	dispatcher.KindKeyMismatch:      http.StatusUnprocessableEntity,
}

func statusOf(rejection *dispatcher.Error) int {
	status := statusCodes[rejection.Kind]
	if status == http.StatusBadGateway && rejection.Outcome == retrier.NotRun {
		return http.StatusServiceUnavailable
	}
	return status
}

// messages are the messages for people.
var messages = map[dispatcher.Kind]string{
	dispatcher.KindOverloaded:       "too many requests are waiting",
	dispatcher.KindRateLimited:      "the organisation is above its rate of requests",
	dispatcher.KindNoBackend:        "no backend server may be sent the request now",
	dispatcher.KindBackendFailed:    "the backend servers that were tried failed",
	dispatcher.KindDeadlineExceeded: "the deadline of the request has passed",
	dispatcher.KindQuarantined:      "the request has crashed backend servers and is refused",
	dispatcher.KindLeaving:          "this entry instance is about to stop; use another address",
	dispatcher.KindClaimUnavailable: "the idempotency key could not be claimed",
	dispatcher.KindDuplicate:        "the idempotency key has been used before",
	dispatcher.KindKeyMismatch:      "the idempotency key was used with another request",
}

func messageOf(rejection *dispatcher.Error) string { return messages[rejection.Kind] }

// encodeError writes a rejection.
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
