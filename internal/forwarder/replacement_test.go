package forwarder

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
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

// TestNonIdempotentRequestIsNotReplaced guards against a request that may run only once being
// sent to a second server while its first one is silent.
func TestNonIdempotentRequestIsNotReplaced(t *testing.T) {
	f := newFixture(t)
	var sent atomic.Int32
	for _, id := range []string{"s", "t"} {
		f.addServer(id, "plain", func(w http.ResponseWriter, r *http.Request) {
			sent.Add(1)
			f.platform.kill(id)
			time.Sleep(3 * silence / 2)
			writeHeader(w, r, "text/plain")
			writeAndFlush(w, "done")
		})
	}
	f.addServer("u", "other", func(http.ResponseWriter, *http.Request) {})
	f.applyConfig()
	status, body, err := f.call("POST", "/once/", "r1")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, "done")
	assert.Equal(t, sent.Load(), int32(1))
}

// endsWithin waits for the end of a request at a server, and returns how long it took.
func endsWithin(r *http.Request, limit time.Duration) time.Duration {
	began := time.Now()
	select {
	case <-r.Context().Done():
	case <-time.After(limit):
	}
	return time.Since(began)
}

// TestLoserOfReplacementIsCanceled guards against a server that works on for nobody after the
// other one of two has responded first.
func TestLoserOfReplacementIsCanceled(t *testing.T) {
	for name, firstWins := range map[string]bool{"first wins": true, "second wins": false} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			var sent atomic.Int32
			responded := make(chan struct{})
			took := make(chan time.Duration, 1)
			for _, group := range []string{"a", "b"} {
				f.addGroup(group, func(w http.ResponseWriter, r *http.Request) {
					// A server notices that its caller has gone once it has read the body.
					_, err := io.Copy(io.Discard, r.Body)
					assert.Check(t, err)
					isFirst := sent.Add(1) == 1
					writeHeader(w, r, "text/event-stream")
					if isFirst {
						writeAndFlush(w, testEvent(1)+testEvent(2))
						f.platform.kill(group + "-head")
						time.Sleep(silence)
					}
					if isFirst != firstWins {
						<-responded
						took <- endsWithin(r, 2*silence)
						return
					}
					if !isFirst {
						http.NewResponseController(w).Flush()
					}
					close(responded)
					for id := 3; id <= 5; id++ {
						writeAndFlush(w, testEvent(id))
						time.Sleep(100 * time.Millisecond)
					}
				})
			}
			f.addServer("t", "other", func(http.ResponseWriter, *http.Request) {})
			f.applyConfig()
			_, body, err := f.call("POST", "/stream/", "r1")
			assert.NilError(t, err)
			assert.Equal(t, body, testStream(5))
			assert.Equal(t, sent.Load(), int32(2))
			assert.Assert(t, <-took < 500*time.Millisecond)
		})
	}
}

// TestCallerEndsBothAttempts guards against servers that work on after the caller has left
// while its stream was being replaced.
func TestCallerEndsBothAttempts(t *testing.T) {
	f := newFixture(t)
	var sent atomic.Int32
	both := make(chan struct{})
	ended := make(chan time.Time, 2)
	for _, group := range []string{"a", "b"} {
		f.addGroup(group, func(w http.ResponseWriter, r *http.Request) {
			_, err := io.Copy(io.Discard, r.Body)
			assert.Check(t, err)
			if sent.Add(1) == 1 {
				writeHeader(w, r, "text/event-stream")
				writeAndFlush(w, testEvent(1))
				f.platform.kill(group + "-head")
			} else {
				close(both)
			}
			endsWithin(r, 2*silence)
			ended <- time.Now()
		})
	}
	f.addServer("t", "other", func(http.ResponseWriter, *http.Request) {})
	f.applyConfig()
	ctx, leave := context.WithCancel(t.Context())
	var left time.Time
	go func() {
		<-both
		left = time.Now()
		leave()
	}()
	_, _, err := f.callContext(ctx, "POST", "/stream/", "r1", "k")
	assert.ErrorIs(t, err, context.Canceled)
	for range 2 {
		at := <-ended
		assert.Assert(t, at.Sub(left) < 500*time.Millisecond, "a server worked on for %s", at.Sub(left))
	}
	f.eventually(func() bool { return f.forwarder.ActiveRequests() == 0 })
}

// TestReplacedStreamsAreWhole guards against events that are missing or come twice when both
// servers respond at about the same moment, and against a third attempt.
func TestReplacedStreamsAreWhole(t *testing.T) {
	f := newFixture(t)
	var mu sync.Mutex
	sent := make(map[string]int)
	// The loss is found after about 0.2 s; the second server responds 30 ms later.
	const found = 190 * time.Millisecond
	for _, group := range []string{"a", "b", "c", "d"} {
		f.addGroup(group, func(w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get("Id")
			mu.Lock()
			sent[id]++
			isFirst := sent[id] == 1
			mu.Unlock()
			writeHeader(w, r, "text/event-stream")
			if isFirst {
				writeAndFlush(w, testEvent(1)+testEvent(2))
				f.platform.kill(group + "-head")
				n, err := strconv.Atoi(strings.TrimPrefix(id, "r"))
				assert.Check(t, err)
				time.Sleep(found + time.Duration(n)*8*time.Millisecond)
				f.platform.set(func(p *platformStub) { delete(p.dead, group+"-head") })
			} else {
				time.Sleep(30 * time.Millisecond)
			}
			for id := max(nextID(r), map[bool]int{true: 3}[isFirst]); id <= 20; id++ {
				if r.Context().Err() != nil {
					return
				}
				writeAndFlush(w, testEvent(id))
				time.Sleep(time.Duration(id%3) * time.Millisecond)
			}
		})
	}
	f.addServer("t", "other", func(http.ResponseWriter, *http.Request) {})
	f.applyConfig()
	for i := range 12 {
		id := "r" + strconv.Itoa(i)
		_, body, err := f.call("POST", "/stream/", id)
		assert.NilError(t, err)
		assert.Equal(t, body, testStream(20))
		f.eventually(func() bool { return f.forwarder.ActiveRequests() == 0 })
		time.Sleep(200 * time.Millisecond)
	}
	mu.Lock()
	defer mu.Unlock()
	replaced := 0
	for id, n := range sent {
		assert.Assert(t, n <= 2, "request %s was sent to %d servers", id, n)
		replaced += n - 1
	}
	assert.Assert(t, replaced > 0)
}

// TestUnsentReplacementCostsNoAttempt guards against a stream that can't be resumed after its
// connection broke, because a replacement that was never sent anywhere had used up its
// attempts.
func TestUnsentReplacementCostsNoAttempt(t *testing.T) {
	f := newFixture(t)
	f.addGroup("a", func(w http.ResponseWriter, r *http.Request) {
		writeHeader(w, r, "text/event-stream")
		writeAndFlush(w, testEvent(1))
		f.platform.kill("a-head")
		time.Sleep(silence)
		writeAndFlush(w, testEvent(2))
		f.addGroup("b", func(w http.ResponseWriter, r *http.Request) {
			writeHeader(w, r, "text/event-stream")
			for id := nextID(r); id <= 5; id++ {
				writeAndFlush(w, testEvent(id))
			}
		})
		time.Sleep(100 * time.Millisecond)
		resetConnection(w)
	})
	f.addServer("t", "other", func(http.ResponseWriter, *http.Request) {})
	f.applyConfig()
	_, body, err := f.call("POST", "/stream/", "r1")
	assert.NilError(t, err)
	assert.Equal(t, body, testStream(5))
}

// TestRefusedReplacementCostsNoAttempt guards against a stream being cut because a
// replacement, whose servers refused the connection, has used its last attempt.
func TestRefusedReplacementCostsNoAttempt(t *testing.T) {
	for name, refusing := range map[string]bool{"no server": false, "refused": true} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.addGroup("a", func(w http.ResponseWriter, r *http.Request) {
				writeHeader(w, r, "text/event-stream")
				writeAndFlush(w, testEvent(1))
				if refusing {
					f.addGroup("b", notRunHandler).Close()
					time.Sleep(100 * time.Millisecond)
				}
				f.platform.kill("a-head")
				time.Sleep(silence)
				f.platform.set(func(p *platformStub) { delete(p.dead, "a-head") })
				writeAndFlush(w, testEvent(2))
				f.addGroup("c", func(w http.ResponseWriter, r *http.Request) {
					writeHeader(w, r, "text/event-stream")
					for id := nextID(r); id <= 5; id++ {
						writeAndFlush(w, testEvent(id))
					}
				})
				for range 6 {
					time.Sleep(100 * time.Millisecond)
					writeAndFlush(w, ": c\n")
				}
				resetConnection(w)
			})
			f.addServer("t", "other", func(http.ResponseWriter, *http.Request) {})
			f.applyConfig()
			_, body, err := f.call("POST", "/stream/", "r1")
			assert.NilError(t, err)
			assert.Equal(t, body, testStream(5))
		})
	}
}

// TestOldLossDoesNotEndLastAttempt guards against an answer being cut for a loss whose server
// has gone on since, when it pauses for a moment.
func TestOldLossDoesNotEndLastAttempt(t *testing.T) {
	for i := range 5 {
		t.Run(strconv.Itoa(i), func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			var sent atomic.Int32
			f.addGroup("a", func(w http.ResponseWriter, r *http.Request) {
				if sent.Add(1) > 1 {
					notRunHandler(w, r)
					return
				}
				writeHeader(w, r, "text/event-stream")
				writeAndFlush(w, testEvent(1))
				f.platform.kill("a-head")
				time.Sleep(1350 * time.Millisecond)
				f.platform.set(func(p *platformStub) { delete(p.dead, "a-head") })
				writeAndFlush(w, testEvent(2))
				time.Sleep(400 * time.Millisecond)
				for id := 3; id <= 5; id++ {
					writeAndFlush(w, testEvent(id))
				}
			})
			f.addServer("t", "other", func(http.ResponseWriter, *http.Request) {})
			f.applyConfig()
			_, body, err := f.call("POST", "/stream/", "r1")
			assert.NilError(t, err)
			assert.Equal(t, body, testStream(5))
		})
	}
}

// TestSilentAttemptIsNotExcused guards against a request running on more servers than its
// route allows because the one that is being replaced, which goes on, no longer counts.
func TestSilentAttemptIsNotExcused(t *testing.T) {
	f := newFixture(t)
	var sent atomic.Int32
	for _, group := range []string{"a", "b", "c"} {
		head := group + "-head"
		f.addGroup(group, func(w http.ResponseWriter, r *http.Request) {
			n := sent.Add(1)
			writeHeader(w, r, "text/event-stream")
			if n == 1 {
				writeAndFlush(w, testEvent(1)+testEvent(2))
			}
			if n <= 2 {
				f.platform.kill(head)
				time.Sleep(1400 * time.Millisecond)
				f.platform.set(func(p *platformStub) { delete(p.dead, head) })
			}
			for id := max(nextID(r), map[bool]int{true: 3}[n == 1]); id <= 5; id++ {
				writeAndFlush(w, testEvent(id))
			}
		})
	}
	f.addServer("t", "other", func(http.ResponseWriter, *http.Request) {})
	f.applyConfig()
	_, body, err := f.call("POST", "/stream/", "r1")
	assert.NilError(t, err)
	assert.Equal(t, body, testStream(5))
	assert.Equal(t, sent.Load(), int32(2))
}

// TestUnusedReplacementReleasesMemory guards against the memory for responses shrinking with
// each replacement whose whole response can't go on with a stream.
func TestUnusedReplacementReleasesMemory(t *testing.T) {
	f := newFixture(t)
	var sent atomic.Int32
	for _, group := range []string{"a", "b"} {
		silent := silentServer(f, group+"-head", silence)
		f.addGroup(group, func(w http.ResponseWriter, r *http.Request) {
			if sent.Add(1) == 1 {
				silent(w, r)
				return
			}
			w.Header().Set("Id", r.Header.Get("Id"))
			w.Header().Set("Proof", "p")
			w.WriteHeader(http.StatusConflict)
			w.Write([]byte(strings.Repeat("x", 20000)))
		})
	}
	f.addServer("t", "other", func(http.ResponseWriter, *http.Request) {})
	f.applyConfig()
	_, body, err := f.call("POST", "/stream/", "r1")
	assert.NilError(t, err)
	assert.Equal(t, body, testStream(5))
	f.eventually(func() bool { return f.forwarder.responses.Used() == 0 })
}
