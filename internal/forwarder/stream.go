package forwarder

import (
	"bufio"
	"bytes"
	"io"
	"net/http"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/internal/logger"
	"github.com/waxwingmount/waxwingmount/pkg/retrier"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

var idFieldPrefix = []byte("id:")

// readEvent reads one whole event, its blank line included. It returns io.EOF
// at the end of a stream that is complete.
func (a *attempt) readEvent() ([]byte, error) {
	var event []byte
	for {
		line, err := a.reader.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case err == io.EOF && len(bytes.TrimSpace(event)) == 0:
			return nil, io.EOF
		case err == io.EOF:
			return nil, io.ErrUnexpectedEOF
		case err != nil && len(event) > maxEventBytes:
			return nil, errors.Newf("an event is longer than %d bytes", maxEventBytes)
		case err != nil && !isBufferFull(err):
			return nil, err
		case err == nil && len(bytes.TrimRight(line, "\r\n")) == 0 && len(bytes.TrimSpace(event)) > 0:
			return event, nil
		}
	}
}

// isFull reports whether a line is longer than the reader's buffer, so that
// the rest of it follows.
func isBufferFull(err error) bool { return errors.Is(err, bufio.ErrBufferFull) }

// eventID returns the id of an event, or an empty string.
func eventID(event []byte) string {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if id, found := bytes.CutPrefix(line, idFieldPrefix); found {
			return string(bytes.TrimSpace(id))
		}
	}
	return ""
}

// receiveStream waits for the first event of an answer. The events of a stream
// that goes on elsewhere follow those that the caller has.
func (x *exchange) receiveStream(a *attempt) (*Response, retrier.Event) {
	event, err := a.readEvent()
	if err == io.EOF {
		a.complete = true
		x.step(retrier.Event{Kind: retrier.Finished})
		return &Response{Status: a.response.StatusCode, Header: responseHeader(a.response), stream: x}, retrier.Event{}
	}
	if err != nil {
		return nil, x.endBrokenStream(err)
	}
	x.f.recordProgress(a.active)
	x.recordEvent(event)
	return &Response{Status: a.response.StatusCode, Header: responseHeader(a.response), Body: event, stream: x}, retrier.Event{}
}

// note keeps where the stream would go on.
func (x *exchange) recordEvent(event []byte) {
	if x.deliveredEvents == 0 {
		x.firstEventAt = clocker.Now()
	}
	x.deliveredEvents++
	if id := eventID(event); id != "" {
		x.lastEventID = id
	}
}

// broke ends a try whose stream broke.
func (x *exchange) endBrokenStream(err error) retrier.Event {
	a := x.current
	event := x.handleBreak(a, err)
	x.endAttempt(true)
	return event
}

// next returns the next event for the caller, from whatever lane it takes. It
// returns io.EOF at the end of the stream.
func (x *exchange) nextEvent() ([]byte, error) {
	a := x.current
	if a == nil || a.complete {
		return nil, io.EOF
	}
	event, err := a.readEvent()
	if err == nil {
		x.f.recordProgress(a.active)
		x.recordEvent(event)
		return event, nil
	}
	if err == io.EOF {
		a.complete = true
		x.step(retrier.Event{Kind: retrier.Finished})
		return nil, io.EOF
	}
	answer, err := x.run(x.endBrokenStream(err))
	if err != nil {
		return nil, err
	}
	if answer.stream == nil {
		return nil, errors.Newf("the stream did not go on: status %d", answer.Status)
	}
	if len(answer.Body) == 0 {
		return nil, io.EOF
	}
	return answer.Body, nil
}

// relay sends a stream to its caller, event by event. A stream that cannot be
// completed ends with a broken connection, so that it looks unfinished.
func (a *Response) relay(w http.ResponseWriter) error {
	x := a.stream
	defer x.close()
	complete := false
	defer func() { x.logResponse(a.Status, complete) }()
	x.headerSent = true
	control := http.NewResponseController(w)
	event := a.Body
	for len(event) > 0 {
		if _, err := w.Write(event); err != nil {
			return err
		}
		if err := control.Flush(); err != nil {
			return err
		}
		var err error
		event, err = x.nextEvent()
		if err == io.EOF {
			complete = true
			return nil
		}
		if err != nil {
			if x.ctx.Err() == nil {
				log.WithField(logger.FieldRequest, x.request.ID).WithError(err).Warn("stream broken off")
			}
			panic(http.ErrAbortHandler)
		}
	}
	return nil
}
