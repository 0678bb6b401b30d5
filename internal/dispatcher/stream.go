package dispatcher

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/waxwingmount/waxwingmount/pkg/bounder"
	"github.com/waxwingmount/waxwingmount/pkg/faulter"
	"github.com/waxwingmount/waxwingmount/pkg/quarantiner"
	"github.com/waxwingmount/waxwingmount/pkg/retrier"
)

var (
	eventPrefix = []byte("data: ")
	doneEvent   = []byte("data: [DONE]")
)

const (
	streamBufferBytes = 8192
	// maxLineBytes bounds the length of one line of a stream.
	maxLineBytes = 4 << 20
	// strikeExchangeTimeout bounds how long a retry waits for the strikes that
	// peers know of.
	strikeExchangeTimeout = 150 * time.Millisecond
)

// Stream is the response to one completion as a sequence of events. It retries
// or resumes the request at other backend servers where needed. It is not safe
// for concurrent use.
type Stream struct {
	dispatcher   *Dispatcher
	request      Request
	ctx          context.Context
	cancel       context.CancelFunc
	retryMachine *retrier.Machine
	release      func()

	claim  *claim
	record streamRecord

	// current is the running attempt; it is nil while a recorded response is
	// replayed.
	current *attempt
	status  int
	reader  *bufio.Reader
	// begun says that a backend server has begun a stream of events, which only another one
	// can continue.
	begun bool
	// deliveredEvents counts the events that Next has returned.
	deliveredEvents int
	// restarted says that a Buffered stream was restarted from its first event.
	restarted bool
	// memory is what the response takes of the memory for responses: a body, or the events
	// of a Buffered stream and the line that is being read.
	memory *bounder.Share
	// heldBytes is the length of the events that the caller of a Buffered stream holds.
	heldBytes int
	lastErr   error
	// failedBackends holds the names of the backends that failed this request.
	failedBackends map[string]bool
	closed         bool
}

// Open admits a completion and returns its stream once a backend server has sent
// a response header, or at once if the response was recorded earlier. The error
// is an [Error].
func (d *Dispatcher) Open(ctx context.Context, r Request) (*Stream, error) {
	s, replay, err := d.begin(ctx, r)
	if err != nil {
		return nil, err
	}
	if replay != nil {
		s.status = replay.Status
		s.reader = bufio.NewReaderSize(bytes.NewReader(replay.Body), streamBufferBytes)
		return s, nil
	}
	if err := s.sendUntilStarted(retrier.Started); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// begin admits a request and claims its idempotency key. It also returns the
// recorded response if the request has been run before.
func (d *Dispatcher) begin(ctx context.Context, r Request) (*Stream, *Response, error) {
	r = r.withFingerprint()
	release, refusal := d.admit(ctx, r)
	if refusal != nil {
		return nil, nil, refusal
	}
	c, replay, err := d.claim(ctx, r)
	if err != nil {
		release()
		return nil, nil, err
	}
	d.mu.Lock()
	machine := retrier.New(r.retryInfo(time.Now()), d.budget)
	d.mu.Unlock()
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	return &Stream{
		dispatcher:   d,
		request:      r,
		ctx:          ctx,
		cancel:       cancel,
		retryMachine: machine,
		release:      release,
		claim:        c,
		memory:       d.responses.Open(),
	}, replay, nil
}

// Status returns the HTTP status of the backend server's response.
func (s *Stream) Status() int { return s.status }

// Restarted reports whether the stream was restarted since the last call. All
// events returned before must then be discarded. Only Buffered requests restart.
func (s *Stream) Restarted() bool {
	restarted := s.restarted
	s.restarted = false
	return restarted
}

// Next returns the next event without its trailing blank line. It returns
// io.EOF on the [DONE] event, and an [Error] if the stream cannot be completed.
// The bytes are valid until the next call.
func (s *Stream) Next() ([]byte, error) {
	for {
		line, err := s.readLine()
		if err != nil {
			if err := s.retryBroken(err); err != nil {
				return nil, err
			}
			continue
		}
		s.recordProgress()
		line = bytes.TrimRight(line, "\r\n")
		if bytes.Equal(line, doneEvent) {
			s.finishStream()
			return nil, io.EOF
		}
		if bytes.HasPrefix(line, eventPrefix) {
			if err := s.hold(len(line)); err != nil {
				return nil, s.giveUp(retrier.Action{Outcome: retrier.MayHaveRun}, err)
			}
			s.deliveredEvents++
			s.recordEvent(line)
			return line, nil
		}
	}
}

// heldFactor is how many times its length an event takes until its caller has assembled it.
const heldFactor = 2

// hold counts the bytes of an event that the caller holds until the response is complete.
func (s *Stream) hold(bytes int) error {
	if !s.request.Buffered {
		return nil
	}
	if s.heldBytes += bytes; s.heldBytes > maxResponseBytes {
		return faulter.Newf("read response", bounder.KindTooLong, "longer than %d bytes", maxResponseBytes)
	}
	return s.memory.Resize(int64(heldFactor * s.heldBytes))
}

// readLine returns the next line. The bytes are valid until the next call.
func (s *Stream) readLine() ([]byte, error) {
	held := int64(heldFactor * s.heldBytes)
	// Less memory is always available.
	_ = s.memory.Resize(held)
	return readLine(s.reader, func(bytes int) error { return s.memory.Resize(held + int64(bytes)) })
}

// readLine returns the next line, and bufio.ErrBufferFull if it is longer than
// maxLineBytes. A line that is longer than the reader's buffer gets its memory from
// reserve. The bytes are valid until the next call.
func readLine(reader *bufio.Reader, reserve func(bytes int) error) ([]byte, error) {
	line, err := reader.ReadSlice('\n')
	if err != bufio.ErrBufferFull {
		return line, err
	}
	long := bytes.Clone(line)
	for err == bufio.ErrBufferFull && len(long) <= maxLineBytes {
		line, err = reader.ReadSlice('\n')
		if needed := len(long) + len(line); needed > cap(long) {
			// The old buffer is free only after the copy.
			if err := reserve(cap(long) + 2*needed); err != nil {
				return nil, err
			}
			long = append(make([]byte, 0, 2*needed), long...)
		}
		long = append(long, line...)
	}
	return long, err
}

// recordProgress records with the attempt's monitor that data has arrived.
func (s *Stream) recordProgress() {
	if s.current != nil && s.current.monitor != nil {
		s.current.monitor.recordProgress()
	}
}

// recordEvent adds an event to the response that is recorded with the
// idempotency key.
func (s *Stream) recordEvent(event []byte) {
	if s.request.IdempotencyKey != "" {
		s.record.add(event)
	}
}

// finishStream records that the stream is complete.
func (s *Stream) finishStream() {
	if s.current == nil {
		return
	}
	s.current.readToEnd = true
	s.step(retrier.Finished)
	s.claim.recordResponse(s.record.response())
}

// Body returns the rest of a response that is not a stream of events.
func (s *Stream) Body() ([]byte, error) {
	body, err := bounder.ReadAll(s.reader, maxResponseBytes, s.memory)
	if err != nil {
		return nil, s.giveUp(retrier.Action{Outcome: retrier.MayHaveRun}, err)
	}
	if s.current != nil {
		s.current.readToEnd = true
		s.claim.recordResponse(&Response{Status: s.status, Header: s.current.response.Header, Body: body})
	}
	return body, nil
}

// Close ends the stream and releases its resources. It may be called more than
// once.
func (s *Stream) Close() {
	if s.closed {
		return
	}
	s.closed = true
	s.memory.Close()
	if s.current != nil {
		s.dispatcher.finishAttempt(s.current, false)
		s.current = nil
	}
	s.claim.recordFailure(retrier.MayHaveRun)
	s.cancel()
	s.release()
}

// retryBroken handles a stream that ended without its [DONE] event.
func (s *Stream) retryBroken(err error) error {
	if s.current == nil {
		return s.giveUp(retrier.Action{Outcome: retrier.Complete}, err)
	}
	if cause := context.Cause(s.current.ctx); cause != nil {
		err = cause
	}
	s.lastErr = err
	s.avoidBackend(s.current.backend)
	s.recordCrash(s.current.backend, err)
	s.dispatcher.finishAttempt(s.current, true)
	s.current = nil
	return s.sendUntilStarted(retrier.Interrupted)
}

// step passes an event to the retry machine, followed by a Blocked or Expired
// event if either forbids another attempt. The machine must get every event,
// since it derives from them whether the request may have run. The dispatcher's
// lock guards the retry budget, which all requests share.
func (s *Stream) step(kind retrier.EventKind) retrier.Action {
	s.dispatcher.mu.Lock()
	defer s.dispatcher.mu.Unlock()
	now := time.Now()
	action := s.retryMachine.Step(now, retrier.Event{Kind: kind, Delivered: s.deliveredEvents})
	if action.Kind == retrier.Respond {
		return action
	}
	switch {
	case s.dispatcher.quarantine.Blocked(now, s.request.fingerprint):
		return s.retryMachine.Step(now, retrier.Event{Kind: retrier.Blocked})
	case s.ctx.Err() != nil:
		return s.retryMachine.Step(now, retrier.Event{Kind: retrier.Expired})
	}
	return action
}

// sendUntilStarted carries out the actions of the retry machine until a backend
// server has sent a response header or the request has failed.
func (s *Stream) sendUntilStarted(kind retrier.EventKind) error {
	for {
		action := s.step(kind)
		switch action.Kind {
		case retrier.Respond:
			return s.giveUp(action, s.lastErr)
		case retrier.Wait:
			s.wait(action.Delay)
			kind = retrier.WaitElapsed
		case retrier.Attempt:
			next, started := s.sendOnce(action)
			if started {
				return nil
			}
			kind = next
		}
	}
}

func (s *Stream) wait(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.ctx.Done():
	}
}

// sendOnce makes one attempt. It reports whether a backend server has sent a
// response header, and otherwise returns the event for the retry machine.
func (s *Stream) sendOnce(action retrier.Action) (retrier.EventKind, bool) {
	resumeFrom := action.ResumeFrom
	b, found := s.dispatcher.pickBackend(s.request, s.failedBackends)
	if !found {
		return retrier.NoBackend, false
	}
	if s.deliveredEvents > 0 && resumeFrom == 0 {
		s.deliveredEvents, s.heldBytes = 0, 0
		s.restarted = true
	}
	a, kind, err := s.dispatcher.send(s.ctx, s.request, b, resumeFrom)
	if err != nil {
		s.lastErr = err
		s.avoidBackend(b)
		if kind == retrier.Interrupted {
			s.recordCrash(b, err)
		}
		log.WithFields(log.Fields{"request": s.request.ID, "backend": b.name, "event": kind.String()}).WithError(err).Debug("attempt failed")
		return kind, false
	}
	if s.begun && !a.isEventStream() {
		s.lastErr = errors.Newf("stream could not be continued: status %d", a.response.StatusCode)
		s.avoidBackend(b)
		s.dispatcher.finishAttempt(a, true)
		return retrier.Interrupted, false
	}
	s.begun = s.begun || a.isEventStream()
	s.current = a
	s.status = a.response.StatusCode
	s.reader = bufio.NewReaderSize(a.response.Body, streamBufferBytes)
	return retrier.Started, true
}

// avoidBackend makes this request prefer backends other than one that failed
// it. No request is sent to a failed group until a new probe of its head
// succeeds. It does nothing once the deadline has passed or the caller has gone,
// since the failure then says nothing about the backend.
func (s *Stream) avoidBackend(b backend) {
	if s.ctx.Err() != nil {
		return
	}
	if s.failedBackends == nil {
		s.failedBackends = make(map[string]bool)
	}
	s.failedBackends[b.name] = true
	if b.group != nil {
		s.dispatcher.gates.Suspect(b.group.Head().Instance, b.address)
	}
}

// recordCrash records a strike against the request if the attempt's failure
// looks like a crash of the backend server. It then exchanges strikes with the
// peers, for at most strikeExchangeTimeout.
func (s *Stream) recordCrash(b backend, err error) {
	if s.ctx.Err() != nil || !s.dispatcher.isCrash(b, err) {
		return
	}
	strike := quarantiner.Strike{Fingerprint: s.request.fingerprint, Site: b.site}
	known := s.dispatcher.AddStrikes([]quarantiner.Strike{strike})
	ctx, cancel := context.WithTimeout(s.ctx, strikeExchangeTimeout)
	defer cancel()
	s.dispatcher.AddStrikes(s.dispatcher.broadcaster.Broadcast(ctx, known))
}

// isCrash reports whether an attempt's failure looks like a crash of the
// backend server; for a group, that is its head. An attempt that the dispatcher
// itself canceled counts only if the head is lost or has restarted.
func (d *Dispatcher) isCrash(b backend, err error) bool {
	if errors.HasType(err, (*bounder.Error)(nil)) {
		// The response was ended here.
		return false
	}
	if b.group == nil {
		return true
	}
	if !errors.IsAny(err, errGroupBroken, errStalled) {
		return true
	}
	e, found := d.gates.Evidence(b.group.Head().Instance)
	return found && (e.Lost || e.Report.Incarnation != b.group.Head().Incarnation)
}

// giveUp records the outcome with the claim and returns the error for a request
// without a complete response.
func (s *Stream) giveUp(action retrier.Action, cause error) error {
	s.claim.recordFailure(action.Outcome)
	failure := &Error{Op: "complete", Kind: KindBackendFailed, Outcome: action.Outcome, Err: cause}
	failure.RetryAfter = jitter(noBackendRetryDelay)
	switch {
	case action.Final:
		failure.Kind = KindQuarantined
		failure.RetryAfter = 0
	case action.Expired:
		failure.Kind = KindDeadlineExceeded
	case s.retryMachine.Attempts() == 0:
		failure.Kind = KindNoBackend
	}
	return failure
}

// Streaming reports whether the response is a stream of events.
func (s *Stream) Streaming() bool { return s.Status() == http.StatusOK }
