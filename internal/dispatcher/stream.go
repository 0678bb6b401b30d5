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

	"github.com/waxwingmount/waxwingmount/pkg/quarantiner"
	"github.com/waxwingmount/waxwingmount/pkg/retrier"
)

var (
	eventPrefix  = []byte("data: ")
	terminalMark = []byte("data: [DONE]")
)

const (
	streamBuffer = 8192
	// maxLineBytes bounds one line of a stream.
	maxLineBytes = 4 << 20
	// strikeTimeout bounds how long a retry waits for the peers' word.
	strikeTimeout = 150 * time.Millisecond
)

// Stream is the answer to one completion, event by event, through whatever
// back ends it takes. It is not safe for concurrent use.
type Stream struct {
	dispatcher *Dispatcher
	request    Request
	ctx        context.Context
	cancel     context.CancelFunc
	machine    *retrier.Machine
	leave      func()

	claim      *claim
	transcript transcript

	// current is nil while a recorded answer is replayed.
	current *try
	status  int
	reader  *bufio.Reader
	// delivered counts the events that Next has returned.
	delivered int
	// restarted says that a Buffered stream began anew.
	restarted bool
	failure   error
	// failed holds the back ends that this request has failed at.
	failed map[string]bool
	closed bool
}

// Open takes a completion on and returns its stream once a back end answers.
func (d *Dispatcher) Open(ctx context.Context, r Request) (*Stream, error) {
	s, replay, err := d.begin(ctx, r)
	if err != nil {
		return nil, err
	}
	if replay != nil {
		s.status = replay.Status
		s.reader = bufio.NewReaderSize(bytes.NewReader(replay.Body), streamBuffer)
		return s, nil
	}
	if err := s.advance(retrier.Started); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// begin admits and claims a request. It returns the recorded answer when the
// request has been run before.
func (d *Dispatcher) begin(ctx context.Context, r Request) (*Stream, *Answer, error) {
	r = r.identified()
	leave, refusal := d.admit(ctx, r)
	if refusal != nil {
		return nil, nil, refusal
	}
	c, replay, err := d.claim(ctx, r)
	if err != nil {
		leave()
		return nil, nil, err
	}
	d.mu.Lock()
	machine := retrier.New(r.facts(time.Now()), d.budget)
	d.mu.Unlock()
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	return &Stream{
		dispatcher: d,
		request:    r,
		ctx:        ctx,
		cancel:     cancel,
		machine:    machine,
		leave:      leave,
		claim:      c,
	}, replay, nil
}

// Status returns the back end's HTTP status.
func (s *Stream) Status() int { return s.status }

// Restarted reports, once, that all events returned so far must be thrown
// away. It happens to Buffered requests only.
func (s *Stream) Restarted() bool {
	restarted := s.restarted
	s.restarted = false
	return restarted
}

// Next returns the next event without its blank line. It returns io.EOF after
// the terminal mark, and an [Error] when the stream cannot be completed. The
// bytes are valid until the next call.
func (s *Stream) Next() ([]byte, error) {
	for {
		line, err := readLine(s.reader)
		if err != nil {
			if err := s.broke(err); err != nil {
				return nil, err
			}
			continue
		}
		s.touch()
		line = bytes.TrimRight(line, "\r\n")
		if bytes.Equal(line, terminalMark) {
			s.completed()
			return nil, io.EOF
		}
		if bytes.HasPrefix(line, eventPrefix) {
			s.delivered++
			s.note(line)
			return line, nil
		}
	}
}

// readLine returns the next line, however long it is. The bytes of a line that
// fits the reader's buffer are valid until the next call.
func readLine(reader *bufio.Reader) ([]byte, error) {
	line, err := reader.ReadSlice('\n')
	if err != bufio.ErrBufferFull {
		return line, err
	}
	long := bytes.Clone(line)
	for err == bufio.ErrBufferFull && len(long) <= maxLineBytes {
		line, err = reader.ReadSlice('\n')
		long = append(long, line...)
	}
	return long, err
}

// touch notes that the stream makes progress.
func (s *Stream) touch() {
	if s.current != nil && s.current.flight != nil {
		s.current.flight.touch()
	}
}

// note keeps an event for the record of a claimed request.
func (s *Stream) note(event []byte) {
	if s.request.Key != "" {
		s.transcript.add(event)
	}
}

// completed notes that the whole stream has come.
func (s *Stream) completed() {
	if s.current == nil {
		return
	}
	s.current.whole = true
	s.step(retrier.Finished)
	s.claim.finished(s.transcript.answer())
}

// Body returns the rest of a back end's answer that is not a stream.
func (s *Stream) Body() ([]byte, error) {
	body, err := io.ReadAll(s.reader)
	if err != nil {
		return nil, s.refusal(retrier.Action{Outcome: retrier.MayHaveRun}, err)
	}
	if s.current != nil {
		s.current.whole = true
		s.claim.finished(&Answer{Status: s.status, Header: s.current.response.Header, Body: body})
	}
	return body, nil
}

// Close ends the stream. It may be called more than once.
func (s *Stream) Close() {
	if s.closed {
		return
	}
	s.closed = true
	if s.current != nil {
		s.dispatcher.finish(s.current, false)
		s.current = nil
	}
	s.claim.failed(retrier.MayHaveRun)
	s.cancel()
	s.leave()
}

// broke handles a stream that ended without its terminal mark.
func (s *Stream) broke(err error) error {
	if s.current == nil {
		return s.refusal(retrier.Action{Outcome: retrier.Complete}, err)
	}
	if cause := context.Cause(s.current.ctx); cause != nil {
		err = cause
	}
	s.failure = err
	s.blame(s.current.backend)
	s.strike(s.current.backend, err)
	s.dispatcher.finish(s.current, true)
	s.current = nil
	return s.advance(retrier.Interrupted)
}

// step passes an event to the machine, and after it what forbids another try.
// The machine must see each event, since it knows by them whether the request
// may have run. The budget is shared, so that the dispatcher's lock is held.
func (s *Stream) step(kind retrier.EventKind) retrier.Action {
	s.dispatcher.mu.Lock()
	defer s.dispatcher.mu.Unlock()
	now := time.Now()
	action := s.machine.Step(now, retrier.Event{Kind: kind, Delivered: s.delivered})
	if action.Kind == retrier.Respond {
		return action
	}
	switch {
	case s.dispatcher.quarantine.Blocked(now, s.request.fingerprint):
		return s.machine.Step(now, retrier.Event{Kind: retrier.Blocked})
	case s.ctx.Err() != nil:
		return s.machine.Step(now, retrier.Event{Kind: retrier.Expired})
	}
	return action
}

// advance carries out what the machine says until a back end answers or the
// request is given up.
func (s *Stream) advance(kind retrier.EventKind) error {
	for {
		action := s.step(kind)
		switch action.Kind {
		case retrier.Respond:
			return s.refusal(action, s.failure)
		case retrier.Wait:
			s.wait(action.Delay)
			kind = retrier.WaitElapsed
		case retrier.Attempt:
			next, started := s.try(action)
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

// try sends the request once. It reports whether the back end began to answer,
// or else the event for the machine.
func (s *Stream) try(action retrier.Action) (retrier.EventKind, bool) {
	resumeFrom := action.ResumeFrom
	b, found := s.dispatcher.pick(s.request, s.failed)
	if !found {
		return retrier.NoBackend, false
	}
	if s.delivered > 0 && resumeFrom == 0 {
		s.delivered = 0
		s.restarted = true
	}
	t, kind, err := s.dispatcher.send(s.ctx, s.request, b, resumeFrom)
	if err != nil {
		s.failure = err
		s.blame(b)
		if kind == retrier.Interrupted {
			s.strike(b, err)
		}
		log.WithFields(log.Fields{"request": s.request.ID, "backend": b.name, "event": kind.String()}).WithError(err).Debug("try failed")
		return kind, false
	}
	s.current = t
	s.status = t.response.StatusCode
	s.reader = bufio.NewReaderSize(t.response.Body, streamBuffer)
	return retrier.Started, true
}

// blame keeps this request away from a back end that failed it, and closes
// the gate of a group until its head has been seen anew.
func (s *Stream) blame(b backend) {
	if s.ctx.Err() != nil {
		return
	}
	if s.failed == nil {
		s.failed = make(map[string]bool)
	}
	s.failed[b.name] = true
	if b.group != nil {
		s.dispatcher.gates.Doubt(b.group.Head().Instance, b.address)
	}
}

// strike counts a crash against the request where the head is to blame or
// gone, and waits shortly for what the peers know.
func (s *Stream) strike(b backend, err error) {
	if s.ctx.Err() != nil || !s.dispatcher.crashed(b, err) {
		return
	}
	strike := quarantiner.Strike{Fingerprint: s.request.fingerprint, Site: b.site}
	known := s.dispatcher.Strike([]quarantiner.Strike{strike})
	ctx, cancel := context.WithTimeout(s.ctx, strikeTimeout)
	defer cancel()
	s.dispatcher.Strike(s.dispatcher.broadcaster.Broadcast(ctx, known))
}

// crashed reports whether a try's failure looks like a crash of the head.
func (d *Dispatcher) crashed(b backend, err error) bool {
	if b.group == nil {
		return true
	}
	if !errors.IsAny(err, errGroupBroken, errStalled) {
		return true
	}
	e, found := d.gates.Evidence(b.group.Head().Instance)
	return found && (e.Lost || e.Report.Incarnation != b.group.Head().Incarnation)
}

// refusal builds the error for a request without a whole answer.
func (s *Stream) refusal(action retrier.Action, cause error) error {
	s.claim.failed(action.Outcome)
	refusal := &Error{Op: "complete", Kind: KindBackendFailed, Outcome: action.Outcome, Err: cause}
	refusal.RetryAfter = jitter(noBackendRetry)
	switch {
	case action.Final:
		refusal.Kind = KindQuarantined
		refusal.RetryAfter = 0
	case action.Expired:
		refusal.Kind = KindDeadline
	case s.machine.Attempts() == 0:
		refusal.Kind = KindNoBackend
	}
	return refusal
}

// Streaming reports whether the back end answers with a stream of events.
func (s *Stream) Streaming() bool { return s.Status() == http.StatusOK }
