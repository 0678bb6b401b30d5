package dispatcher

import (
	"context"
	"net/http"

	"github.com/waxwingmount/waxwingmount/pkg/bounder"
	"github.com/waxwingmount/waxwingmount/pkg/retrier"
)

// maxResponseBytes bounds the response body of a plain service.
const maxResponseBytes = 32 << 20

// Response is a complete response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// memory is what the body takes of the memory for responses.
	memory *bounder.Share
}

// Release gives back the memory of the body, which must not be used afterwards.
func (r *Response) Release() { r.memory.Close() }

// Call forwards a request to a plain service and returns the complete
// response, which the caller releases. The error is an [Error].
func (d *Dispatcher) Call(ctx context.Context, r Request) (*Response, error) {
	s, replay, err := d.begin(ctx, r)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	if replay != nil {
		return replay, nil
	}
	kind := retrier.Started
	for {
		if err := s.sendUntilStarted(kind); err != nil {
			return nil, err
		}
		response, err := s.readResponse()
		if err == nil {
			s.step(retrier.Finished)
			s.claim.recordResponse(response)
			return response, nil
		}
		s.lastErr = err
		d.finishAttempt(s.current, true)
		s.current = nil
		kind = retrier.Interrupted
	}
}

func (s *Stream) readResponse() (*Response, error) {
	response := s.current.response
	memory := s.dispatcher.responses.Open()
	body, err := bounder.ReadAll(response.Body, maxResponseBytes, memory)
	if err != nil {
		memory.Close()
		return nil, err
	}
	return &Response{Status: response.StatusCode, Header: response.Header, Body: body, memory: memory}, nil
}
