package forwarder

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/internal/logger"
	"github.com/waxwingmount/waxwingmount/pkg/retrier"
)

const (
	// maxEventBytes bounds one event of a stream, with the comments before it.
	maxEventBytes = 1 << 20
	// freeEventBytes is the size up to which an event counts as part of its connection's
	// buffers, and not against the memory for responses.
	freeEventBytes = 4096
	// pathCheckTime is how long it takes to find that the path to the servers is cut, and
	// not the server lost, if connections are reset or refused. A stream that resumes before
	// is sent into the cut again.
	pathCheckTime = 30 * time.Millisecond
)

var (
	idFieldPrefix = []byte("id:")
	// eventFields are the fields that an event may have. A line that begins with a colon is a
	// comment.
	eventFields = []string{"", "data", "event", "id", "retry"}

	errNoEvent = errors.New("the stream goes on with a text that is no event")
)

// readEvent reads one whole event, including the blank line that ends it. It
// returns io.EOF at the end of a complete stream, and io.ErrUnexpectedEOF
// within an event.
func (a *attempt) readEvent() ([]byte, error) {
	var event []byte
	// blank says that the event holds nothing but blank lines so far, and lineBegins that
	// the next bytes are the first ones of a line.
	blank, lineBegins := true, true
	for {
		line, err := a.reader.ReadSlice('\n')
		if memoryErr := a.reserve(len(event) + len(line)); memoryErr != nil {
			return nil, memoryErr
		}
		event = append(event, line...)
		blank = blank && len(bytes.TrimSpace(line)) == 0
		switch {
		case len(event) > maxEventBytes:
			return nil, errors.Newf("stream event is longer than %d bytes", maxEventBytes)
		case err == io.EOF && blank:
			return nil, io.EOF
		case err == io.EOF:
			return nil, io.ErrUnexpectedEOF
		case err != nil && !isBufferFull(err):
			return nil, err
		case err == nil && lineBegins && len(bytes.TrimRight(line, "\r\n")) == 0 && !blank:
			return event, nil
		}
		lineBegins = err == nil
	}
}

// reserve takes the memory for an event of that size.
func (a *attempt) reserve(size int) error {
	if size <= freeEventBytes {
		size = 0
	}
	// Growing a slice takes up to twice its size.
	return a.memory.Resize(2 * int64(size))
}

// isBufferFull reports whether a line is longer than the reader's buffer, so
// that the rest of it follows.
func isBufferFull(err error) bool { return errors.Is(err, bufio.ErrBufferFull) }

// eventID returns the ID of an event, or an empty string.
func eventID(event []byte) string {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if id, found := bytes.CutPrefix(line, idFieldPrefix); found {
			return string(bytes.TrimSpace(id))
		}
	}
	return ""
}

// isEvent reports whether a text has any field of an event.
func isEvent(text []byte) bool {
	for line := range bytes.SplitSeq(text, []byte("\n")) {
		line = bytes.TrimRight(line, "\r")
		if field, _, _ := bytes.Cut(line, []byte(":")); len(line) > 0 && slices.Contains(eventFields, string(field)) {
			return true
		}
	}
	return false
}

// receiveStream waits for the first event of a response. On a resumed stream,
// it is the event after the last one that was sent to the caller.
func (x *exchange) receiveStream(a *attempt) (*Response, retrier.Event) {
	x.beginWait(a)
	event, err := a.readEvent()
	if err == io.EOF && !isDelimited(a.response) {
		// A server that crashes after the header ends the connection in the same way.
		err = io.ErrUnexpectedEOF
	}
	if err == nil && x.deliveredEvents > 0 && !isEvent(event) {
		// A server's error may come in the place of the rest.
		err = errNoEvent
	}
	err = x.endWait(a, err)
	if err == io.EOF {
		a.complete = true
		x.recordStreamEnd(a)
		return &Response{Status: a.response.StatusCode, Header: responseHeader(a.response), stream: x}, retrier.Event{}
	}
	if err != nil {
		return nil, x.endBrokenStream(err)
	}
	a.firstEventAt = clocker.Now()
	x.recordEvent(event)
	return &Response{Status: a.response.StatusCode, Header: responseHeader(a.response), Body: event, stream: x}, retrier.Event{}
}

// recordEvent records an event and the ID from which the stream would resume.
func (x *exchange) recordEvent(event []byte) {
	now := clocker.Now()
	if x.deliveredEvents == 0 {
		x.firstEventAt = now
		x.recordFirstEvent(now)
	} else {
		x.maxGap = max(x.maxGap, now.Sub(x.lastEventAt))
	}
	x.lastEventAt = now
	x.deliveredEvents++
	if id := eventID(event); id != "" {
		x.lastEventID = id
	}
}

// recordFirstEvent compares the time to the first event of the first attempt with
// the prediction.
func (x *exchange) recordFirstEvent(now time.Time) {
	if x.predictedFirstEvent == 0 || len(x.triedUpstreams) > 1 {
		return
	}
	x.f.mu.Lock()
	defer x.f.mu.Unlock()
	x.f.poolFor(x.pool).workload.ObserveFirstEvent(x.predictedFirstEvent, now.Sub(x.admittedAt))
}

// recordStreamEnd records that a stream is complete.
func (x *exchange) recordStreamEnd(a *attempt) {
	if !a.firstEventAt.IsZero() {
		x.judgeEnd(a, a.firstEventAt)
	}
	x.step(retrier.Event{Kind: retrier.Finished})
}

// endBrokenStream ends the current attempt after its stream broke.
func (x *exchange) endBrokenStream(err error) retrier.Event {
	a := x.current
	event := x.handleBreak(a, err)
	x.endAttempt(true)
	if x.deliveredEvents > 0 && x.ctx.Err() == nil && !errors.Is(x.lastErr, errReplaced) {
		x.wait(pathCheckTime)
	}
	return event
}

// nextEvent returns the next event for the caller, and resumes a broken stream
// on another upstream. It returns io.EOF at the end of the stream.
func (x *exchange) nextEvent() ([]byte, error) {
	a := x.current
	if a == nil || a.complete {
		return nil, io.EOF
	}
	waitingSince := clocker.Now()
	x.beginWait(a)
	event, err := a.readEvent()
	err = x.endWait(a, err)
	if err == nil {
		x.recordEvent(event)
		x.recordWait(a, clocker.Now().Sub(waitingSince))
		return event, nil
	}
	if err == io.EOF {
		a.complete = true
		x.recordStreamEnd(a)
		return nil, io.EOF
	}
	next := x.endBrokenStream(err)
	response := x.failOver()
	if response == nil {
		if response, err = x.run(next); err != nil {
			return nil, err
		}
	}
	if response.stream == nil {
		response.memory.Close()
		return nil, errors.Newf("stream could not be resumed: status %d", response.Status)
	}
	if len(response.Body) == 0 {
		return nil, io.EOF
	}
	return response.Body, nil
}

// relay sends a stream to its caller, event by event. If the stream cannot be
// completed, it aborts the connection, so that the caller sees that the
// response is incomplete.
func (r *Response) relay(w http.ResponseWriter) error {
	control := http.NewResponseController(w)
	var writeErr error
	err := r.forEachEvent(func(event []byte) error {
		if _, writeErr = w.Write(event); writeErr == nil {
			writeErr = control.Flush()
		}
		return writeErr
	})
	if err != nil && writeErr == nil {
		if r.stream.ctx.Err() == nil {
			log.WithField(logger.FieldRequest, r.stream.request.ID).WithError(err).Warn("stream aborted; it could not be completed")
		}
		panic(http.ErrAbortHandler)
	}
	return writeErr
}

// forEachEvent passes the events of a stream to write until the stream ends or an error
// occurs, and closes the exchange.
func (r *Response) forEachEvent(write func(event []byte) error) error {
	x := r.stream
	defer x.close()
	complete := false
	defer func() { x.logResponse(r.Status, complete) }()
	x.headerSent = true
	event := r.Body
	for len(event) > 0 {
		if err := write(event); err != nil {
			return err
		}
		var err error
		event, err = x.nextEvent()
		if err == io.EOF {
			complete = true
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}
