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

var idField = []byte("id:")

// readEvent reads one whole event, its blank line included. It returns io.EOF
// at the end of a stream that is complete.
func (t *try) readEvent() ([]byte, error) {
	var event []byte
	for {
		line, err := t.reader.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case err == io.EOF && len(bytes.TrimSpace(event)) == 0:
			return nil, io.EOF
		case err == io.EOF:
			return nil, io.ErrUnexpectedEOF
		case err != nil && len(event) > maxEventBytes:
			return nil, errors.Newf("an event is longer than %d bytes", maxEventBytes)
		case err != nil && !isFull(err):
			return nil, err
		case err == nil && len(bytes.TrimRight(line, "\r\n")) == 0 && len(bytes.TrimSpace(event)) > 0:
			return event, nil
		}
	}
}

// isFull reports whether a line is longer than the reader's buffer, so that
// the rest of it follows.
func isFull(err error) bool { return errors.Is(err, bufio.ErrBufferFull) }

// eventID returns the id of an event, or an empty string.
func eventID(event []byte) string {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if id, found := bytes.CutPrefix(line, idField); found {
			return string(bytes.TrimSpace(id))
		}
	}
	return ""
}

// receiveStream waits for the first event of an answer. The events of a stream
// that goes on elsewhere follow those that the caller has.
func (x *exchange) receiveStream(t *try) (*Response, retrier.Event) {
	event, err := t.readEvent()
	if err == io.EOF {
		t.whole = true
		x.step(retrier.Event{Kind: retrier.Finished})
		return &Response{Status: t.response.StatusCode, Header: answerHeader(t.response), stream: x}, retrier.Event{}
	}
	if err != nil {
		return nil, x.broke(err)
	}
	x.f.progressed(t.flight)
	x.note(event)
	return &Response{Status: t.response.StatusCode, Header: answerHeader(t.response), Body: event, stream: x}, retrier.Event{}
}

// note keeps where the stream would go on.
func (x *exchange) note(event []byte) {
	if x.delivered == 0 {
		x.first = clocker.Now()
	}
	x.delivered++
	if id := eventID(event); id != "" {
		x.lastID = id
	}
}

// broke ends a try whose stream broke.
func (x *exchange) broke(err error) retrier.Event {
	t := x.current
	event := x.broken(t, err)
	x.drop(true)
	return event
}

// next returns the next event for the caller, from whatever lane it takes. It
// returns io.EOF at the end of the stream.
func (x *exchange) next() ([]byte, error) {
	t := x.current
	if t == nil || t.whole {
		return nil, io.EOF
	}
	event, err := t.readEvent()
	if err == nil {
		x.f.progressed(t.flight)
		x.note(event)
		return event, nil
	}
	if err == io.EOF {
		t.whole = true
		x.step(retrier.Event{Kind: retrier.Finished})
		return nil, io.EOF
	}
	answer, err := x.advance(x.broke(err))
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
	defer func() { x.logEnd(a.Status, complete) }()
	x.began = true
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
		event, err = x.next()
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
