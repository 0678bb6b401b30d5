package forwarder

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// errorText is what must not be found in a stream that has begun.
const errorText = "id: 3\ndata: overloaded\n\n"

// errorResponses are the responses of a server that can't continue a stream.
var errorResponses = map[string]http.HandlerFunc{
	"refusal": func(w http.ResponseWriter, r *http.Request) {
		writeError(w, r, http.StatusServiceUnavailable, "", true)
	},
	"internal error": func(w http.ResponseWriter, r *http.Request) {
		writeError(w, r, http.StatusInternalServerError, "", false)
	},
	"error as events": func(w http.ResponseWriter, r *http.Request) {
		writeError(w, r, http.StatusBadGateway, eventStreamType, false)
	},
	"not found": func(w http.ResponseWriter, r *http.Request) {
		writeError(w, r, http.StatusNotFound, eventStreamType, false)
	},
	"partial content": func(w http.ResponseWriter, r *http.Request) {
		writeError(w, r, http.StatusPartialContent, eventStreamType, false)
	},
	"no stream":        func(w http.ResponseWriter, r *http.Request) { writeError(w, r, http.StatusOK, "text/plain", false) },
	"no events":        func(w http.ResponseWriter, r *http.Request) { writeRaw(w, r, "overloaded\n") },
	"text as an event": func(w http.ResponseWriter, r *http.Request) { writeRaw(w, r, "overloaded\n\n") },
	"head as an event": func(w http.ResponseWriter, r *http.Request) {
		writeRaw(w, r, "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 10\r\n\r\noverloaded\n\n")
	},
	"no proof": func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", eventStreamType)
		io.WriteString(w, errorText)
	},
	"response to another request": func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", "other")
		w.Header().Set("Proof", "p")
		w.Header().Set("Content-Type", eventStreamType)
		io.WriteString(w, errorText)
	},
}

func writeError(w http.ResponseWriter, r *http.Request, status int, contentType string, notRun bool) {
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Proof", "p")
	w.Header().Set("Content-Type", contentType)
	if notRun {
		w.Header().Set("Not-Run", "1")
	}
	w.WriteHeader(status)
	io.WriteString(w, errorText)
}

// writeRaw sends a text in place of the events of a stream.
func writeRaw(w http.ResponseWriter, r *http.Request, text string) {
	writeHeader(w, r, eventStreamType)
	io.WriteString(w, text)
}

// TestErrorOfNextServerStaysOutOfStream guards against a stream that has begun and that goes on
// with the text or the head of another server's error, or ends as if it were complete. Each
// request is sent to two servers, straight or by a peer.
func TestErrorOfNextServerStaysOutOfStream(t *testing.T) {
	for _, byPeer := range []bool{false, true} {
		for name, respond := range errorResponses {
			t.Run(fmt.Sprintf("%s by peer %t", name, byPeer), func(t *testing.T) {
				t.Parallel()
				testErrorOfNextServer(t, respond, byPeer)
			})
		}
	}
}

func testErrorOfNextServer(t *testing.T, respond http.HandlerFunc, byPeer bool) {
	var calls atomic.Int32
	handler := func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) > 1 {
			respond(w, r)
			return
		}
		writeHeader(w, r, eventStreamType)
		writeAndFlush(w, testEvent(1)+testEvent(2))
		resetConnection(w)
	}
	f := newCutFixture(t, handler, nil)
	server := f.fixture.server
	if byPeer {
		f.cutOff()
		server = f.server
	}
	status, body, err := f.callAt(server, "POST", "/stream/", "r", "k", "body", "")
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, err != nil, "the stream ended as if it were complete")
	assert.Equal(t, body, testEvent(1)+testEvent(2))
	assert.Assert(t, calls.Load() > 1)
	assert.Assert(t, !strings.Contains(body, "overloaded"))
}
