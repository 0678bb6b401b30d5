package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingmount/waxwingmount/pkg/bounder"
	"github.com/waxwingmount/waxwingmount/pkg/faulter"
)

// Headers of requests and responses.
const (
	headerOutcome    = "Waxwing-Outcome"
	headerIdempotent = "Waxwing-Idempotent"
	headerTimeout    = "Waxwing-Timeout"
	headerRequestID  = "Waxwing-Request-Id"
	headerKey        = "Idempotency-Key"
)

// Values of Result.Outcome.
const (
	OutcomeComplete   = "complete"
	OutcomeNotRun     = "not_run"
	OutcomeMayHaveRun = "may_have_run"
	OutcomeInProgress = "in_progress"
	// OutcomeTruncated means that a stream ended without a [DONE] event or an
	// error event that gives an outcome.
	OutcomeTruncated = "cut"
)

// Request is one request to the system.
type Request struct {
	// Method is the HTTP method; empty means POST.
	Method string
	Path   string
	Body   []byte
	// IdempotencyKey makes the request run at most once, however often it is
	// sent.
	IdempotencyKey string
	// NotIdempotent marks a request that must not be repeated unless it has an
	// idempotency key.
	NotIdempotent bool
	// Timeout is the request's timeout in the system; zero means that none is sent.
	Timeout time.Duration
	// OnEvent, if set, is called with each event of a stream. The bytes are valid
	// only during the call.
	OnEvent func(event []byte)
}

// Result is the response to a request.
type Result struct {
	Status  int
	Outcome string
	Body    []byte
	// Events is the number of events of a stream, without [DONE] and errors.
	Events int
	// Attempts is the number of times that the client tried to send the request.
	Attempts int
	// Entry is the address of the entry instance that responded.
	Entry     netip.AddrPort
	RequestID string
	// Code is the error code, empty for a successful response.
	Code string
}

// errorResponse is the body of an error response.
type errorResponse struct {
	Error struct {
		Code         string `json:"code"`
		Outcome      string `json:"outcome"`
		RetryAfterMS int64  `json:"retry_after_ms"`
	} `json:"error"`
}

// Do sends a request. Until ctx ends, it retries a request that was not run: no
// connection could be made, or the response says so and gives a delay. It also
// retries after a first-byte timeout; see [WithFirstByteTimeout].
func (c *Client) Do(ctx context.Context, r Request) (*Result, error) {
	for attempts := 1; ; attempts++ {
		result, delay, err := c.attempt(ctx, r)
		if result != nil {
			result.Attempts = attempts
		}
		if delay <= 0 {
			return result, err
		}
		timer := time.NewTimer(min(delay, maxRetryDelay))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return result, errors.CombineErrors(err, faulter.New("do", KindContextDone, ctx.Err()))
		}
	}
}

// attempt sends a request once. A delay above zero means that it may be retried.
func (c *Client) attempt(ctx context.Context, r Request) (*Result, time.Duration, error) {
	entry, err := c.address(ctx)
	if err != nil {
		return nil, defaultRetryDelay, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	request, err := c.newRequest(ctx, entry, r)
	if err != nil {
		return nil, 0, err
	}
	stopTimer := c.startFirstByteTimer(r, cancel)
	response, err := c.httpClient.Do(request)
	stopTimer()
	if err != nil {
		c.removeAddress(entry)
		if isDialError(err) || errors.Is(context.Cause(ctx), errFirstByteTimeout) {
			return nil, defaultRetryDelay, err
		}
		return nil, 0, faulter.New("do", KindNoResponse, err)
	}
	defer response.Body.Close()
	result, err := readResponse(response, r)
	if err != nil {
		return nil, 0, faulter.New("do", KindNoResponse, err)
	}
	result.Entry = entry
	return result, result.retryDelay(), nil
}

func (c *Client) newRequest(ctx context.Context, entry netip.AddrPort, r Request) (*http.Request, error) {
	method := r.Method
	if method == "" {
		method = http.MethodPost
	}
	// NopCloser hides the reader's type, so that the request has no GetBody and
	// the transport cannot resend it by itself.
	body := io.NopCloser(bytes.NewReader(r.Body))
	request, err := http.NewRequestWithContext(ctx, method, c.scheme+"://"+entry.String()+r.Path, body)
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(r.Body))
	request.Header.Set("Content-Type", "application/json")
	if c.key != "" {
		request.Header.Set("Authorization", "Bearer "+c.key)
	}
	if r.IdempotencyKey != "" {
		request.Header.Set(headerKey, r.IdempotencyKey)
	}
	if r.NotIdempotent {
		request.Header.Set(headerIdempotent, "false")
	}
	if r.Timeout > 0 {
		request.Header.Set(headerTimeout, r.Timeout.String())
	}
	return request, nil
}

var errFirstByteTimeout = errors.New("no response began within the first-byte timeout")

// startFirstByteTimer cancels a request that may be sent again after
// firstByteTimeout. The caller stops the timer with the returned function when
// the response begins.
func (c *Client) startFirstByteTimer(r Request, cancel context.CancelCauseFunc) func() {
	if c.firstByteTimeout <= 0 || (r.NotIdempotent && r.IdempotencyKey == "") {
		return func() {}
	}
	timer := time.AfterFunc(c.firstByteTimeout, func() { cancel(errFirstByteTimeout) })
	return func() { timer.Stop() }
}

// removeAddress drops an entry instance that failed, and makes the client fetch
// the addresses again before its next request.
func (c *Client) removeAddress(entry netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expiry = time.Time{}
	remaining := c.addresses[:0:0]
	for _, a := range c.addresses {
		if a != entry {
			remaining = append(remaining, a)
		}
	}
	c.addresses = remaining
}

// isDialError reports whether err means that no connection was made, so that the
// request was not sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(ctx, network, address)
}

func readResponse(response *http.Response, r Request) (*Result, error) {
	result := &Result{
		Status:    response.StatusCode,
		Outcome:   response.Header.Get(headerOutcome),
		RequestID: response.Header.Get(headerRequestID),
	}
	if response.Header.Get("Content-Type") == "text/event-stream" {
		return result, readStream(response.Body, r, result)
	}
	body, err := bounder.ReadAll(response.Body, maxResponseBytes, nil)
	if err != nil {
		return nil, err
	}
	result.Body = body
	if response.StatusCode >= http.StatusBadRequest {
		result.applyError(body)
	}
	return result, nil
}

// applyError copies the code and outcome from the body of an error response, and
// returns the delay after which to retry.
func (r *Result) applyError(body []byte) time.Duration {
	var e errorResponse
	if json.Unmarshal(body, &e) != nil {
		return 0
	}
	r.Code = e.Error.Code
	if e.Error.Outcome != "" {
		r.Outcome = e.Error.Outcome
	}
	return time.Duration(e.Error.RetryAfterMS) * time.Millisecond
}

// retryDelay returns the delay after which to retry the request, or zero if it
// must not be retried.
func (r *Result) retryDelay() time.Duration {
	if r.Status < http.StatusBadRequest || r.Outcome != OutcomeNotRun {
		return 0
	}
	return r.applyError(r.Body)
}
