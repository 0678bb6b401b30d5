package receiver

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/waxwingmount/waxwingmount/internal/dispatcher"
	"github.com/waxwingmount/waxwingmount/pkg/retrier"
)

// writeTimeout bounds how long a caller may leave one event unread.
const writeTimeout = 30 * time.Second

// completionAnswer is the answer to a completion that a back end has begun.
type completionAnswer struct {
	request *completion
	stream  *dispatcher.Stream
	// whole is the answer of a caller that did not ask for a stream.
	whole []byte
}

// complete is the endpoint for completions.
func (r *Receiver) complete(ctx context.Context, request any) (any, error) {
	c := request.(*completion)
	stream, err := r.Dispatcher.Open(ctx, c.Request)
	if err != nil {
		return nil, err
	}
	answer := &completionAnswer{request: c, stream: stream}
	if !stream.Streaming() || c.stream {
		return answer, nil
	}
	defer stream.Close()
	answer.whole, err = assemble(c, stream)
	return answer, err
}

// assemble reads a stream to its end and makes one body of it.
func assemble(c *completion, stream *dispatcher.Stream) ([]byte, error) {
	a := assembler{shape: c.shape}
	for {
		event, err := stream.Next()
		if stream.Restarted() {
			a = assembler{shape: c.shape}
		}
		switch {
		case err == io.EOF:
			return a.body()
		case err != nil:
			return nil, err
		}
		if err := a.add(event); err != nil {
			return nil, err
		}
	}
}

// encodeCompletion writes the answer to a completion.
func (r *Receiver) encodeCompletion(_ context.Context, w http.ResponseWriter, response any) error {
	answer := response.(*completionAnswer)
	h := w.Header()
	h.Set(headerRequestID, answer.request.ID)
	switch {
	case answer.whole != nil:
		h.Set(headerOutcome, retrier.Complete.String())
		h.Set("Content-Type", "application/json")
		h.Set("Content-Length", strconv.Itoa(len(answer.whole)))
		w.Write(answer.whole)
		return nil
	case !answer.stream.Streaming():
		return passOn(w, answer.stream)
	}
	defer answer.stream.Close()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	pump(w, answer.stream)
	return nil
}

// passOn passes a back end's answer on that is not a stream.
func passOn(w http.ResponseWriter, stream *dispatcher.Stream) error {
	defer stream.Close()
	body, err := stream.Body()
	if err != nil {
		return err
	}
	w.Header().Set(headerOutcome, retrier.Complete.String())
	w.WriteHeader(stream.Status())
	w.Write(body)
	return nil
}

// pump copies events to the caller as they come. A stream that cannot be
// completed ends in an error event and a connection that breaks off, so that
// nobody takes it for a whole answer.
func pump(w http.ResponseWriter, stream *dispatcher.Stream) {
	controller := http.NewResponseController(w)
	for {
		event, err := stream.Next()
		switch {
		case err == io.EOF:
			w.Write(doneEvent)
			return
		case err != nil:
			writeCut(w, err)
			controller.Flush()
			panic(http.ErrAbortHandler)
		}
		controller.SetWriteDeadline(time.Now().Add(writeTimeout))
		w.Write(event)
		if _, err := w.Write(eventEnd); err != nil {
			return
		}
		controller.Flush()
	}
}

var (
	eventEnd  = []byte("\n\n")
	doneEvent = []byte("data: [DONE]\n\n")
)

// writeCut writes the event that tells why a stream is cut.
func writeCut(w io.Writer, err error) {
	data, encodeErr := json.Marshal(problemBody{Error: describe(err)})
	if encodeErr != nil {
		log.WithError(errors.CombineErrors(err, encodeErr)).Error("cut not told")
		return
	}
	io.WriteString(w, "data: "+string(data)+"\n\n")
}

// call is the endpoint for plain services.
func (r *Receiver) call(ctx context.Context, request any) (any, error) {
	return r.Dispatcher.Call(ctx, *request.(*dispatcher.Request))
}

// encodeAnswer writes the answer of a plain service.
func encodeAnswer(_ context.Context, w http.ResponseWriter, response any) error {
	answer := response.(*dispatcher.Response)
	h := w.Header()
	if kind := answer.Header.Get("Content-Type"); kind != "" {
		h.Set("Content-Type", kind)
	}
	h.Set(headerOutcome, retrier.Complete.String())
	h.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	w.WriteHeader(answer.Status)
	w.Write(answer.Body)
	return nil
}
