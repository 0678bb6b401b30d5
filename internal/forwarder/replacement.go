package forwarder

import (
	"context"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/internal/logger"
	"github.com/waxwingmount/waxwingmount/pkg/retrier"
)

var (
	errReplaced     = errors.New("a replacement has responded first")
	errServerStatus = errors.New("server returned an error status")
)

// attemptPhase is what the goroutine of a request does with an attempt.
type attemptPhase int

const (
	// sending: the request is being sent, and may not have reached the server.
	sending attemptPhase = iota
	// waiting: the goroutine waits for the server, and changes nothing of the exchange.
	waiting
	// busy: the goroutine has received something, or waits for the caller to take it.
	busy
)

// replacement is a search for another attempt beside one whose server is silent. It runs on
// a copy of the exchange, so that the goroutine of the request can go on to wait.
type replacement struct {
	exchange *exchange
	// done is closed when the replacement has responded or failed.
	done chan struct{}
	// response is nil if the replacement has failed.
	response *Response
	// attempts is the count of attempts before the replacement, and reached the number of
	// those that may have reached a server.
	attempts, reached int
}

// watch makes an attempt of a request that may run again replaceable: while it waits for a
// silent server, another attempt is made beside it. Attempts of a replacement are not.
func (x *exchange) watch(a *attempt) {
	if !x.route.Retryable() || x.isReplacement || a.hop != nil {
		return
	}
	a.replaceable = true
	a.active.canRetry = x.canRetry
	a.active.replace = func(now time.Time, cause error) { x.suspectAttempt(now, a, cause) }
}

// suspected handles the suspicion that the upstream of an attempt is lost. The caller holds
// f.mu.
func (a *activeAttempt) suspected(now time.Time, cause error) {
	if a.replace == nil {
		a.cancel(cause)
		return
	}
	a.replace(now, cause)
}

// suspectAttempt starts a replacement of an attempt that waits for its server. An attempt
// that has not sent the request ends at once. The caller holds f.mu.
func (x *exchange) suspectAttempt(now time.Time, a *attempt, cause error) {
	switch a.phase {
	case sending:
		a.active.cancel(cause)
		return
	case busy:
		return
	}
	if x.replacer.Step(retrier.Suspected, x.canRetry(now)) != retrier.Replace {
		return
	}
	r := &replacement{
		exchange: x.copyForReplacement(), done: make(chan struct{}),
		attempts: x.retryMachine.Attempts(), reached: x.reached,
	}
	x.replacement, x.counted = r, a.active.upstream
	go r.run(x, a, cause)
}

// copyForReplacement returns a copy of the exchange whose changes do not affect it. The
// caller holds f.mu.
func (x *exchange) copyForReplacement() *exchange {
	y := *x
	y.isReplacement = true
	y.current, y.replacement, y.replacer = nil, nil, retrier.Replacer{}
	y.ctx, y.cancel = context.WithCancel(x.ctx)
	y.triedUpstreams = slices.Clone(x.triedUpstreams)
	y.failedUpstreams = maps.Clone(x.failedUpstreams)
	y.askedPeers = maps.Clone(x.askedPeers)
	y.brokenAttempts = slices.Clone(x.brokenAttempts)
	return &y
}

// run looks for another attempt until one responds, and then ends the attempt of x.
func (r *replacement) run(x *exchange, a *attempt, cause error) {
	defer close(r.done)
	y, u := r.exchange, a.active.upstream
	y.failedUpstreams[u.name] = true
	y.lastErr = cause
	event := retrier.Event{Kind: retrier.Interrupted, RefundAttempt: y.excuseEarlier(u)}
	y.counted = u
	fields := log.Fields{
		logger.FieldRequest: y.request.ID, logger.FieldUpstream: u.name, logger.FieldInstance: u.head().ID,
		"delivered": y.deliveredEvents, "excused": event.RefundAttempt,
	}
	y.f.addSilence(fields, y, u)
	log.WithFields(fields).WithError(cause).Info(logger.LineAttemptSuspected)
	response, err := y.run(event)
	usable := err == nil && response != y.fallback && (!y.headerSent || response.stream != nil)
	y.f.mu.Lock()
	defer y.f.mu.Unlock()
	if y.reached == r.reached {
		y.retryMachine.RevertRetry(r.attempts)
	}
	switch {
	case !usable:
		if err == nil && response != y.fallback {
			response.memory.Close()
		}
		x.replacer.Step(retrier.ReplacementFailed, false)
	case x.replacer.Step(retrier.ReplacementResponded, false) == retrier.Adopt:
		r.response = response
		a.active.cancel(errReplaced)
	default:
		response.memory.Close()
	}
}

// beginWait says that the exchange waits for the server of an attempt.
func (x *exchange) beginWait(a *attempt) {
	if !a.replaceable {
		return
	}
	x.f.mu.Lock()
	defer x.f.mu.Unlock()
	a.phase = waiting
}

// recordSent says that a request has been written, and waits for its response.
func (x *exchange) recordSent(a *attempt, err error) {
	if err != nil {
		return
	}
	x.f.mu.Lock()
	defer x.f.mu.Unlock()
	if a.replaceable && a.phase == sending {
		a.phase = waiting
	}
}

// recordHeader says that the wait for a response header has ended.
func (x *exchange) recordHeader(a *attempt) {
	if !a.replaceable {
		return
	}
	x.f.mu.Lock()
	defer x.f.mu.Unlock()
	a.phase = busy
}

// endWait ends a wait for the server of an attempt, in which the next event (err is nil), the
// rest of the response (io.EOF) or an error was received. It returns errReplaced if the
// replacement has received the next event before, and err otherwise.
func (x *exchange) endWait(a *attempt, err error) error {
	action := retrier.Keep
	x.f.mu.Lock()
	a.phase = busy
	switch err {
	case nil:
		a.active.upstream.lastProgress = clocker.Now()
		x.f.holdPrefix(a.active)
		a.active.streaming = true
		action = x.replacer.Step(retrier.Progressed, false)
	case io.EOF:
		action = x.replacer.Step(retrier.Completed, false)
	}
	x.f.mu.Unlock()
	switch action {
	case retrier.Adopt:
		return errReplaced
	case retrier.Discard:
		x.endReplacement()
	}
	return err
}

// bodyEnd returns the error for endWait after a whole body has been read.
func bodyEnd(status int, err error) error {
	switch {
	case err != nil:
		return err
	case status >= http.StatusInternalServerError:
		return errServerStatus
	}
	return io.EOF
}

// failOver returns the response of the replacement after the attempt has failed, or nil if
// there is none.
func (x *exchange) failOver() *Response {
	x.f.mu.Lock()
	action := x.replacer.Step(retrier.Failed, false)
	r := x.replacement
	x.f.mu.Unlock()
	if action == retrier.Await {
		<-r.done
		x.f.mu.Lock()
		action = x.replacer.Step(retrier.Failed, false)
		x.f.mu.Unlock()
	}
	if action != retrier.Adopt {
		x.endReplacement()
		return nil
	}
	<-r.done
	x.adopt(r)
	return r.response
}

// adopt makes the attempt of a replacement the exchange's own one.
func (x *exchange) adopt(r *replacement) {
	y := r.exchange
	x.absorb(y)
	x.f.mu.Lock()
	defer x.f.mu.Unlock()
	x.replacement, x.counted = nil, nil
	x.config, x.route, x.organisation, x.pool = y.config, y.route, y.organisation, y.pool
	x.firstEventAt, x.lastEventAt, x.maxGap = y.firstEventAt, y.lastEventAt, y.maxGap
	x.lastEventID, x.deliveredEvents = y.lastEventID, y.deliveredEvents
	x.current = y.current
	if r.response.stream != nil {
		r.response.stream = x
	}
	if x.current != nil {
		x.watch(x.current)
	}
}

// endReplacement ends the replacement, if there is one, and waits until it has ended.
func (x *exchange) endReplacement() {
	x.f.mu.Lock()
	r := x.replacement
	x.replacement = nil
	x.f.mu.Unlock()
	if r == nil {
		return
	}
	y := r.exchange
	y.cancel()
	<-r.done
	y.endAttempt(false)
	if r.response != nil {
		r.response.memory.Close()
	}
	x.absorb(y)
}

// absorb takes over what a replacement that has ended has learned about the upstreams.
func (x *exchange) absorb(y *exchange) {
	x.f.mu.Lock()
	defer x.f.mu.Unlock()
	x.triedUpstreams, x.brokenAttempts = y.triedUpstreams, y.brokenAttempts
	maps.Copy(x.failedUpstreams, y.failedUpstreams)
	x.reached = y.reached
	x.spread = x.spread || y.spread
	x.lastErr = y.lastErr
	if y.fallback != nil && y.fallback != x.fallback {
		if x.fallback != nil {
			x.fallback.memory.Close()
		}
		x.fallback = y.fallback
	}
}
