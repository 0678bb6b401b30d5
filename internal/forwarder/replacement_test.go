package forwarder

import (
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// silence is how long a sound server may fall silent in these tests.
const silence = time.Second

// testStream returns the events of a whole stream.
func testStream(last int) string {
	var stream strings.Builder
	for id := 1; id <= last; id++ {
		stream.WriteString(testEvent(id))
	}
	return stream.String()
}

// nextID returns the ID of the first event that a request asks for.
func nextID(r *http.Request) int {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	return last + 1
}

// silentServer returns a handler that sends two events, falls silent for a time, also to
// probes, and then sends the rest of a stream of five.
func silentServer(f *fixture, head string, pause time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		writeHeader(w, r, "text/event-stream")
		writeAndFlush(w, testEvent(1)+testEvent(2))
		f.platform.kill(head)
		time.Sleep(pause)
		f.platform.set(func(p *platformStub) { delete(p.dead, head) })
		writeAndFlush(w, testEvent(3)+testEvent(4)+testEvent(5))
	}
}

// notRunHandler rejects a request as a server with a full queue does.
func notRunHandler(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Proof", "p")
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// TestSilentServerCompletesAnswer guards against a stream that is cut because its server is
// given up during a short silence, and the server that it is sent to instead does not help.
func TestSilentServerCompletesAnswer(t *testing.T) {
	for name, second := range map[string]func(*fixture, string) http.HandlerFunc{
		"silent for longer": func(f *fixture, head string) http.HandlerFunc {
			return func(_ http.ResponseWriter, r *http.Request) {
				f.platform.kill(head)
				select {
				case <-r.Context().Done():
				case <-time.After(3 * silence):
				}
			}
		},
		"not run": func(*fixture, string) http.HandlerFunc { return notRunHandler },
		"breaks": func(*fixture, string) http.HandlerFunc {
			return func(w http.ResponseWriter, _ *http.Request) { resetConnection(w) }
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			var sent atomic.Int32
			for _, group := range []string{"a", "b"} {
				head := group + "-head"
				silent, other := silentServer(f, head, silence), second(f, head)
				f.addGroup(group, func(w http.ResponseWriter, r *http.Request) {
					if sent.Add(1) == 1 {
						silent(w, r)
						return
					}
					other(w, r)
				})
			}
			f.addServer("t", "other", func(http.ResponseWriter, *http.Request) {})
			f.applyConfig()
			status, body, err := f.call("POST", "/stream/", "r1")
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusOK)
			assert.Equal(t, body, testStream(5))
			assert.Assert(t, sent.Load() <= 2, "sent to %d servers", sent.Load())
		})
	}
}

// TestSilentServerCompletesAnswerAlone guards against a stream that is cut because its server
// is given up during a short silence although no other server can be picked.
func TestSilentServerCompletesAnswerAlone(t *testing.T) {
	for name, refusing := range map[string]bool{"no other": false, "other refuses connections": true} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			var sent atomic.Int32
			silent := silentServer(f, "a-head", silence)
			f.addGroup("a", func(w http.ResponseWriter, r *http.Request) {
				if sent.Add(1) > 1 {
					writeHeader(w, r, "text/event-stream")
					for id := nextID(r); id <= 5; id++ {
						writeAndFlush(w, testEvent(id))
					}
					return
				}
				if refusing {
					// From now on there is another group, whose head refuses connections.
					f.addGroup("b", notRunHandler).Close()
					time.Sleep(silence)
				}
				silent(w, r)
			})
			f.addServer("t", "other", func(http.ResponseWriter, *http.Request) {})
			f.applyConfig()
			status, body, err := f.call("POST", "/stream/", "r1")
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusOK)
			assert.Equal(t, body, testStream(5))
			assert.Equal(t, sent.Load(), int32(1))
		})
	}
}

// TestBriefSilenceOfBothServers guards against a stream that is cut because both servers that
// it is sent to are silent for a moment.
func TestBriefSilenceOfBothServers(t *testing.T) {
	f := newFixture(t)
	var sent atomic.Int32
	for _, group := range []string{"a", "b"} {
		head := group + "-head"
		silent := silentServer(f, head, silence)
		f.addGroup(group, func(w http.ResponseWriter, r *http.Request) {
			if sent.Add(1) == 1 {
				silent(w, r)
				return
			}
			writeHeader(w, r, "text/event-stream")
			http.NewResponseController(w).Flush()
			f.platform.kill(head)
			time.Sleep(silence / 2)
			f.platform.set(func(p *platformStub) { delete(p.dead, head) })
			for id := nextID(r); id <= 5; id++ {
				writeAndFlush(w, testEvent(id))
			}
		})
	}
	f.addServer("t", "other", func(http.ResponseWriter, *http.Request) {})
	f.applyConfig()
	status, body, err := f.call("POST", "/stream/", "r1")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, testStream(5))
}

// TestSilentServerCompletesRequest guards against an error for a request that may run again:
// its server is given up during a short silence, before it responds or in the middle of its
// response, and the other server does not run the request.
func TestSilentServerCompletesRequest(t *testing.T) {
	for name, begin := range map[string]func(http.ResponseWriter, *http.Request){
		"before the response": func(http.ResponseWriter, *http.Request) {},
		"within the response": func(w http.ResponseWriter, r *http.Request) {
			writeHeader(w, r, "text/plain")
			writeAndFlush(w, "half ")
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			var sent atomic.Int32
			for _, id := range []string{"s", "t"} {
				f.addServer(id, "plain", func(w http.ResponseWriter, r *http.Request) {
					if sent.Add(1) > 1 {
						notRunHandler(w, r)
						return
					}
					begin(w, r)
					f.platform.kill(id)
					time.Sleep(3 * silence / 2)
					if w.Header().Get("Id") == "" {
						writeHeader(w, r, "text/plain")
					}
					writeAndFlush(w, "done")
				})
			}
			f.addServer("u", "other", func(http.ResponseWriter, *http.Request) {})
			f.applyConfig()
			status, body, err := f.call("GET", "/safe/", "r1")
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusOK)
			assert.Assert(t, strings.HasSuffix(body, "done"), "%q", body)
		})
	}
}
