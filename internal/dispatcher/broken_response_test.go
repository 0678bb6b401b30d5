package dispatcher

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/internal/misresponder"
	"github.com/waxwingmount/waxwingmount/pkg/configurer"
	"github.com/waxwingmount/waxwingmount/pkg/retrier"
)

// ways are the kinds of requests, with the fields and the body of a response.
var ways = map[string]struct {
	fields, body string
	idempotent   bool
	call         func(*testing.T, *Dispatcher, Request) (string, error)
}{
	"service":            {"", "part", false, callService},
	"idempotent service": {"", "part", true, callService},
	"stream":             {"Content-Type: text/event-stream\r\n", "data: 1\n\ndata: 2\n\n", false, callModel},
	"error of a model":   {"", "part", false, callModel},
}

func callService(t *testing.T, d *Dispatcher, r Request) (string, error) {
	r.Service, r.Path = "s", "/x"
	response, err := d.Call(t.Context(), r)
	if err != nil {
		return "", err
	}
	defer response.Release()
	return string(response.Body), nil
}

func callModel(t *testing.T, d *Dispatcher, r Request) (string, error) {
	r.Model, r.Path = "m", "/v1/completions"
	stream, err := d.Open(t.Context(), r)
	if err != nil {
		return "", err
	}
	defer stream.Close()
	if stream.current.isEventStream() {
		for err == nil {
			_, err = stream.Next()
		}
		if err == io.EOF {
			err = nil
		}
		return "", err
	}
	body, err := stream.Body()
	return string(body), err
}

func brokenRequest(idempotent bool, body []byte) Request {
	return Request{
		ID: "r", Method: http.MethodPost, Body: body, Idempotent: idempotent, Deadline: time.Now().Add(2 * time.Second),
		Organisation: configurer.Organisation{Name: "o", RequestsPerSecond: 1000},
	}
}

// TestResetDuringUpload guards against a part of a body that a backend server sends without a
// length, and breaks off with a reset while the upload is being written, being complete.
func TestResetDuringUpload(t *testing.T) {
	const calls = 8
	for name, way := range ways {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := &misresponder.Server{Respond: misresponder.Always("HTTP/1.1 200 OK\r\n" + way.fields + "\r\n" + way.body), Early: true, End: misresponder.Reset}
			d := newCutDispatcher(t, s.Start(t))
			for range calls {
				body, err := way.call(t, d, brokenRequest(way.idempotent, make([]byte, misresponder.LongBodyBytes)))
				checkFailed(t, err, "%q", body)
			}
		})
	}
}

// TestEarlyUndelimitedResponse guards against a complete response that comes without a length
// before its request has been read being taken for a broken one.
func TestEarlyUndelimitedResponse(t *testing.T) {
	const calls = 4
	s := &misresponder.Server{Respond: misresponder.Always("HTTP/1.1 200 OK\r\n\r\nwhole"), Early: true, End: misresponder.HalfClosed}
	d := newCutDispatcher(t, s.Start(t))
	for range calls {
		body, err := callService(t, d, brokenRequest(false, make([]byte, misresponder.LongBodyBytes)))
		assert.NilError(t, err)
		assert.Equal(t, body, "whole")
	}
}

// TestMalformedHead guards against a head that is none being passed on, or its word that the
// request was not run being believed.
func TestMalformedHead(t *testing.T) {
	for name, way := range ways {
		for trouble, head := range misresponder.MalformedHeads {
			for _, fields := range []string{"", headerNotRun + ": true\r\n"} {
				t.Run(fmt.Sprintf("%s, %s, %q", name, trouble, fields), func(t *testing.T) {
					t.Parallel()
					s := &misresponder.Server{Respond: misresponder.Always(head + way.fields + fields + "\r\n" + way.body + "data: [DONE]\n\n")}
					body, err := way.call(t, newCutDispatcher(t, s.Start(t)), brokenRequest(way.idempotent, []byte("x")))
					checkFailed(t, err, "%q", body)
				})
			}
		}
	}
}

// checkFailed checks that a request failed after it may have run.
func checkFailed(t *testing.T, err error, format string, args ...any) {
	t.Helper()
	var failure *Error
	if !errors.As(err, &failure) {
		t.Errorf("error %v, "+format, append([]any{err}, args...)...)
		return
	}
	assert.Check(t, failure.Outcome == retrier.MayHaveRun, "%v", failure)
}
