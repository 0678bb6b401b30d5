package dispatcher

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/waxwingmount/waxwingmount/pkg/retrier"
)

// maxAnswerBytes bounds the answer of a plain service.
const maxAnswerBytes = 32 << 20

// Answer is the whole answer of a plain service.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Call takes a call of a plain service on and returns the whole answer.
func (d *Dispatcher) Call(ctx context.Context, r Request) (*Answer, error) {
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
		if err := s.advance(kind); err != nil {
			return nil, err
		}
		answer, err := s.readAnswer()
		if err == nil {
			s.step(retrier.Finished)
			s.claim.finished(answer)
			return answer, nil
		}
		s.failure = err
		d.finish(s.current, true)
		s.current = nil
		kind = retrier.Interrupted
	}
}

func (s *Stream) readAnswer() (*Answer, error) {
	response := s.current.response
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxAnswerBytes {
		return nil, errors.Newf("answer is longer than %d bytes", maxAnswerBytes)
	}
	return &Answer{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}
