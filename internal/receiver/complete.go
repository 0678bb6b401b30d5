package receiver

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/waxwingmount/waxwingmount/internal/dispatcher"
	"github.com/waxwingmount/waxwingmount/pkg/retrier"
)

// completionResult is the result of a completion to which a backend server has
// responded.
type completionResult struct {
	request *completion
	stream  *dispatcher.Stream
	// body is the complete response for a caller that did not request a stream.
	body []byte
}

// complete is the endpoint for completions.
func (r *Receiver) complete(ctx context.Context, request any) (any, error) {
	c := request.(*completion)
	stream, err := r.Dispatcher.Open(ctx, c.Request)
	if err != nil {
		return nil, err
	}
	result := &completionResult{request: c, stream: stream}
	if !stream.Streaming() || c.stream {
		return result, nil
	}
	defer stream.Close()
	result.body, err = assemble(c, stream)
	return result, err
}

// assemble reads a stream to its end and returns its events as one response
// body.
func assemble(c *completion, stream *dispatcher.Stream) ([]byte, error) {
	a := assembler{format: c.format}
	for {
		event, err := stream.Next()
		if stream.Restarted() {
			a = assembler{format: c.format}
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

// encodeCompletion writes the response to a completion.
func (r *Receiver) encodeCompletion(_ context.Context, w http.ResponseWriter, response any) error {
	result := response.(*completionResult)
	h := w.Header()
	h.Set(headerRequestID, result.request.ID)
	switch {
	case result.body != nil:
		h.Set(headerOutcome, retrier.Complete.String())
		h.Set("Content-Type", "application/json")
		h.Set("Content-Length", strconv.Itoa(len(result.body)))
		w.Write(result.body)
		return nil
	case !result.stream.Streaming():
		return forwardResponse(w, result.stream)
	}
	defer result.stream.Close()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	writeEvents(w, result.stream)
	return nil
}

// forwardResponse writes a backend server's response that is not a stream.
func forwardResponse(w http.ResponseWriter, stream *dispatcher.Stream) error {
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

// writeEvents copies events to the caller as they arrive. If the stream cannot
// be completed, it writes an error event and aborts the connection, so that the
// caller does not take the partial response for a complete one.
func writeEvents(w http.ResponseWriter, stream *dispatcher.Stream) {
	controller := http.NewResponseController(w)
	for {
		event, err := stream.Next()
		switch {
		case err == io.EOF:
			w.Write(doneEvent)
			return
		case err != nil:
			writeErrorEvent(w, err)
			controller.Flush()
			panic(http.ErrAbortHandler)
		}
		w.Write(event)
		if _, err := w.Write(eventSeparator); err != nil {
			return
		}
		controller.Flush()
	}
}

var (
	eventSeparator = []byte("\n\n")
	doneEvent      = []byte("data: [DONE]\n\n")
)

// writeErrorEvent writes an event that says why a stream is incomplete.
func writeErrorEvent(w io.Writer, err error) {
	data, encodeErr := json.Marshal(errorBody{Error: problemOf(err)})
	if encodeErr != nil {
		log.WithError(errors.CombineErrors(err, encodeErr)).Error("cannot encode the error event of an incomplete stream")
		return
	}
	io.WriteString(w, "data: "+string(data)+"\n\n")
}

// callService is the endpoint for requests to plain services.
func (r *Receiver) callService(ctx context.Context, request any) (any, error) {
	return r.Dispatcher.Call(ctx, *request.(*dispatcher.Request))
}

// encodeServiceResponse writes the response of a plain service.
func encodeServiceResponse(_ context.Context, w http.ResponseWriter, response any) error {
	result := response.(*dispatcher.Response)
	defer result.Release()
	h := w.Header()
	if contentType := result.Header.Get("Content-Type"); contentType != "" {
		h.Set("Content-Type", contentType)
	}
	h.Set(headerOutcome, retrier.Complete.String())
	h.Set("Content-Length", strconv.Itoa(len(result.Body)))
	w.WriteHeader(result.Status)
	w.Write(result.Body)
	return nil
}
