package forwarder

import (
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

// TestBrokenStreamResumesOnAnotherGroup breaks a stream in the middle of its
// third event. The caller receives each event exactly once, from two groups.
func TestBrokenStreamResumesOnAnotherGroup(t *testing.T) {
	f := newFixture(t)
	var attempts atomic.Int32
	handler := func(rw http.ResponseWriter, r *http.Request) {
		first := 1
		if last := r.Header.Get("Last-Event-Id"); last != "" {
			n, err := strconv.Atoi(last)
			assert.Check(t, err)
			first = n + 1
		}
		writeHeader(rw, r, "text/event-stream")
		if attempts.Add(1) == 1 {
			writeAndFlush(rw, testEvent(1)+testEvent(2)+"id: 3\nda")
			time.Sleep(50 * time.Millisecond)
			resetConnection(rw)
			return
		}
		for id := first; id <= 5; id++ {
			writeAndFlush(rw, testEvent(id))
		}
	}
	f.addGroup("a", handler)
	f.addGroup("b", handler)
	f.applyConfig()
	status, body, err := f.call("POST", "/stream/", "r1")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, testEvent(1)+testEvent(2)+testEvent(3)+testEvent(4)+testEvent(5))
	assert.Equal(t, attempts.Load(), int32(2))
}

// TestUnresumableStreamEndsWithBrokenConnection lets every attempt break the
// stream. The caller must see that the response is incomplete.
func TestUnresumableStreamEndsWithBrokenConnection(t *testing.T) {
	f := newFixture(t)
	var attempts atomic.Int32
	f.addGroup("a", func(rw http.ResponseWriter, r *http.Request) {
		writeHeader(rw, r, "text/event-stream")
		writeAndFlush(rw, testEvent(int(attempts.Add(1))))
		// A reset sent at once would discard the event before it is read.
		time.Sleep(50 * time.Millisecond)
		resetConnection(rw)
	})
	f.applyConfig()
	_, body, err := f.call("POST", "/stream/", "r1")
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.Equal(t, body, testEvent(1)+testEvent(2))
}

// TestStreamResumesWhenMemberIsLost makes a head stop sending because a member
// of its group is lost. The stream must resume on another group within 2 s,
// long before the engine itself gives up.
func TestStreamResumesWhenMemberIsLost(t *testing.T) {
	f := newFixture(t)
	var lost sync.Once
	stop := make(chan struct{})
	defer close(stop)
	handler := func(rw http.ResponseWriter, r *http.Request) {
		silent := false
		lost.Do(func() { silent = true })
		writeHeader(rw, r, "text/event-stream")
		if silent {
			writeAndFlush(rw, testEvent(1))
			f.platform.kill(r.Header.Get("For")[:1] + "-member")
			select {
			case <-stop:
			case <-r.Context().Done():
			}
			return
		}
		assert.Check(t, r.Header.Get("Last-Event-Id") == "1")
		writeAndFlush(rw, testEvent(2))
	}
	f.addGroup("a", handler)
	f.addGroup("b", handler)
	f.applyConfig()
	start := time.Now()
	_, body, err := f.call("POST", "/stream/", "r1")
	assert.NilError(t, err)
	assert.Equal(t, body, testEvent(1)+testEvent(2))
	assert.Assert(t, time.Since(start) < 2*time.Second, "the stream resumed after %v", time.Since(start))
}

// TestRetriesCountAgainstMaxAttempts loses a member of each group in turn while
// the heads stay alive. The stream is sent to two groups, the route's maximum,
// and is then aborted.
func TestRetriesCountAgainstMaxAttempts(t *testing.T) {
	f := newFixture(t)
	var attempts atomic.Int32
	handler := func(rw http.ResponseWriter, r *http.Request) {
		attempts.Add(1)
		writeHeader(rw, r, "text/event-stream")
		http.NewResponseController(rw).Flush()
		f.platform.kill(r.Header.Get("For")[:1] + "-member")
		<-r.Context().Done()
	}
	for _, name := range []string{"a", "b", "c"} {
		f.addGroup(name, handler)
	}
	f.applyConfig()
	status, _, err := f.call("POST", "/stream/", "r1")
	assert.Assert(t, err != nil || status == http.StatusBadGateway, "status %d", status)
	assert.Equal(t, attempts.Load(), int32(2))
}

// TestRecentLossDoesNotExcuseAttempt breaks a stream at two heads in a row that
// no longer answer probes. They may still respond again, so both attempts count
// and the route's maximum of two is reached.
func TestRecentLossDoesNotExcuseAttempt(t *testing.T) {
	f := newFixture(t)
	var reached atomic.Int32
	for _, name := range []string{"a", "b", "c"} {
		f.addGroup(name, func(rw http.ResponseWriter, r *http.Request) {
			n := int(reached.Add(1))
			writeHeader(rw, r, "text/event-stream")
			writeAndFlush(rw, testEvent(n))
			f.platform.kill(name + "-head")
			time.Sleep(20 * time.Millisecond)
			resetConnection(rw)
		})
	}
	f.applyConfig()
	_, _, err := f.call("POST", "/stream/", "r")
	assert.Assert(t, err != nil)
	assert.Equal(t, reached.Load(), int32(2))
}

// TestNonIdempotentRequestRunsOnce breaks requests that may run only once at
// several points. A request that may have run is never sent again, and is never
// reported as not run.
func TestNonIdempotentRequestRunsOnce(t *testing.T) {
	for _, test := range []struct {
		name     string
		first    http.HandlerFunc
		status   int
		attempts int32
	}{
		{"reset before the response", func(rw http.ResponseWriter, _ *http.Request) { resetConnection(rw) }, http.StatusBadGateway, 1},
		{"reset within the response", func(rw http.ResponseWriter, r *http.Request) {
			rw.Header().Set("Content-Length", "100")
			writeHeader(rw, r, "text/plain")
			writeAndFlush(rw, "half")
			time.Sleep(50 * time.Millisecond)
			resetConnection(rw)
		}, http.StatusBadGateway, 1},
		{"another request's response", func(rw http.ResponseWriter, r *http.Request) {
			r.Header.Set("Id", "other")
			writeHeader(rw, r, "text/plain")
		}, http.StatusBadGateway, 1},
		{"unverified response", func(rw http.ResponseWriter, r *http.Request) {
			rw.Header().Set("Id", r.Header.Get("Id"))
			io.WriteString(rw, "ok")
		}, http.StatusBadGateway, 1},
		{"not run", func(rw http.ResponseWriter, _ *http.Request) {
			rw.Header().Set("Not-Run", "1")
			rw.WriteHeader(http.StatusServiceUnavailable)
		}, http.StatusOK, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			var attempts atomic.Int32
			handler := func(rw http.ResponseWriter, r *http.Request) {
				if attempts.Add(1) == 1 {
					test.first(rw, r)
					return
				}
				writeHeader(rw, r, "text/plain")
			}
			f.addServer("a", "plain", handler)
			f.addServer("b", "plain", handler)
			f.applyConfig()
			status, _, err := f.call("POST", "/once/", "r1")
			assert.NilError(t, err)
			assert.Equal(t, status, test.status)
			assert.Equal(t, attempts.Load(), test.attempts)
		})
	}
}

// TestIdempotentRequestIsRetried resets the connection of an idempotent
// request's first attempt.
func TestIdempotentRequestIsRetried(t *testing.T) {
	f := newFixture(t)
	var attempts atomic.Int32
	handler := func(rw http.ResponseWriter, r *http.Request) {
		if attempts.Add(1) == 1 {
			resetConnection(rw)
			return
		}
		writeHeader(rw, r, "text/plain")
		io.WriteString(rw, "ok")
	}
	f.addServer("a", "plain", handler)
	f.addServer("b", "plain", handler)
	f.applyConfig()
	status, body, err := f.call("GET", "/safe/", "r1")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, "ok")
}

// TestKeyRevokedWhileQueued fills a group, queues a request, and revokes its
// key. The request is refused as not run and reaches no server.
func TestKeyRevokedWhileQueued(t *testing.T) {
	f := newFixture(t)
	release := make(chan struct{})
	var reached atomic.Int32
	f.addGroup("a", func(rw http.ResponseWriter, r *http.Request) {
		reached.Add(1)
		writeHeader(rw, r, "text/event-stream")
		writeAndFlush(rw, testEvent(1))
		<-release
	})
	f.applyConfig()
	var calls sync.WaitGroup
	for i := range testEngine.Slots {
		calls.Go(func() { f.call("POST", "/stream/", "full"+strconv.Itoa(i)) })
	}
	f.eventually(func() bool { return reached.Load() == int32(testEngine.Slots) })
	waiting := make(chan int, 1)
	calls.Go(func() {
		status, _, _ := f.call("POST", "/stream/", "waits")
		waiting <- status
	})
	time.Sleep(50 * time.Millisecond)
	config := testConfig(2)
	config.Organisations[0].Keys = nil
	f.platform.configure(config)
	time.Sleep(900 * time.Millisecond)
	close(release)
	calls.Wait()
	assert.Equal(t, <-waiting, http.StatusServiceUnavailable)
	assert.Equal(t, reached.Load(), int32(testEngine.Slots))
}

// TestKeyRevokedDuringStream breaks a stream after a new configuration revoked
// its key. The stream must not resume on another group.
func TestKeyRevokedDuringStream(t *testing.T) {
	f := newFixture(t)
	var reached atomic.Int32
	release := make(chan struct{})
	handler := func(rw http.ResponseWriter, r *http.Request) {
		if reached.Add(1) == 1 {
			writeHeader(rw, r, "text/event-stream")
			writeAndFlush(rw, testEvent(1))
			<-release
			resetConnection(rw)
			return
		}
		writeHeader(rw, r, "text/event-stream")
		writeAndFlush(rw, testEvent(2))
	}
	f.addGroup("a", handler)
	f.addGroup("b", handler)
	f.applyConfig()
	time.AfterFunc(200*time.Millisecond, func() {
		config := testConfig(2)
		config.Organisations[0].Keys = nil
		f.platform.configure(config)
	})
	time.AfterFunc(1200*time.Millisecond, func() { close(release) })
	_, body, err := f.call("POST", "/stream/", "r")
	assert.Assert(t, err != nil)
	assert.Equal(t, body, testEvent(1))
	assert.Equal(t, reached.Load(), int32(1))
}

// TestKeysExpireWithoutStore makes the store unavailable for longer than keys
// are accepted. Requests with a key are refused as not run until the store is
// back.
func TestKeysExpireWithoutStore(t *testing.T) {
	f := newFixture(t)
	f.addServer("a", "plain", func(rw http.ResponseWriter, r *http.Request) { writeHeader(rw, r, "text/plain") })
	f.applyConfig()
	f.platform.set(func(p *platformStub) { p.down = true })
	time.Sleep(testKeyTTL)
	status, _, err := f.call("GET", "/safe/", "r1")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	f.platform.set(func(p *platformStub) { p.down = false })
	f.eventually(func() bool {
		status, _, _ := f.call("GET", "/safe/", "r2")
		return status == http.StatusOK
	})
}

// TestStreamResumesWithoutStore breaks a stream while the store is unavailable,
// at a time when a new request with its key would be refused. The stream still
// resumes, since its key was current when the request arrived.
func TestStreamResumesWithoutStore(t *testing.T) {
	f := newFixture(t)
	const interval = 100 * time.Millisecond
	events := int((testKeyTTL - keyTTLMargin) / interval)
	var mu sync.Mutex
	broken := false
	handler := func(rw http.ResponseWriter, r *http.Request) {
		writeHeader(rw, r, "text/event-stream")
		from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		for id := from + 1; id <= events+2; id++ {
			mu.Lock()
			breaks := !broken && id == events+1
			broken = broken || breaks
			mu.Unlock()
			if breaks {
				resetConnection(rw)
				return
			}
			writeAndFlush(rw, testEvent(id))
			time.Sleep(interval)
		}
	}
	f.addGroup("one", handler)
	f.addGroup("two", handler)
	f.applyConfig()
	f.platform.set(func(p *platformStub) { p.down = true })
	status, body, err := f.call("POST", "/stream/x", "r")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, strings.HasSuffix(body, testEvent(events+2)), "%q", body)
	status, _, _ = f.call("GET", "/safe/x", "late")
	assert.Equal(t, status, http.StatusServiceUnavailable)
}

// TestOlderConfigurationIsIgnored offers an older configuration after a newer
// one, whose keys stay in force.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	f := newFixture(t)
	f.addServer("a", "plain", func(rw http.ResponseWriter, r *http.Request) { writeHeader(rw, r, "text/plain") })
	f.applyConfig()
	newer := testConfig(5)
	newer.Organisations[0].Keys = []string{"k2"}
	f.platform.configure(newer)
	f.eventually(func() bool {
		status, _, _ := f.callWith("GET", "/safe/", "r1", "k2")
		return status == http.StatusOK
	})
	f.platform.configure(testConfig(4))
	time.Sleep(time.Second)
	status, _, err := f.callWith("GET", "/safe/", "r2", "k")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusUnauthorized)
}

// TestRefusals checks the status of requests without a configuration, key,
// route or server.
func TestRefusals(t *testing.T) {
	f := newFixture(t)
	status, _, err := f.call("GET", "/safe/", "r0")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusServiceUnavailable, "before there is a configuration")
	f.applyConfig()
	for _, test := range []struct {
		path, key string
		status    int
	}{
		{"/safe/", "wrong", http.StatusUnauthorized},
		{"/safe/", "", http.StatusUnauthorized},
		{"/nowhere/", "k", http.StatusNotFound},
		{"/safe/", "k", http.StatusServiceUnavailable},
	} {
		status, _, err := f.callWith("GET", test.path, "r1", test.key)
		assert.NilError(t, err)
		assert.Equal(t, status, test.status, "%s with key %q", test.path, test.key)
	}
}

// TestRequestThatCrashesServersIsQuarantined sends a request that crashes each
// server that runs it. After strikeLimit crashes it is refused and reaches no
// other server; the check allows one more.
func TestRequestThatCrashesServersIsQuarantined(t *testing.T) {
	f := newFixture(t)
	var reached atomic.Int32
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		f.addServer(id, "plain", func(rw http.ResponseWriter, _ *http.Request) {
			reached.Add(1)
			f.platform.kill(id)
			resetConnection(rw)
		})
	}
	f.applyConfig()
	for range 5 {
		f.call("GET", "/safe/", "r")
		time.Sleep(300 * time.Millisecond)
	}
	assert.Assert(t, reached.Load() <= strikeLimit+1, "the request reached %d servers", reached.Load())
}

// TestStalledStreamIsKeptWithoutAnotherAttempt guards against a stream being cut
// because its server is silent, when no other attempt is left that could go on with
// it.
func TestStalledStreamIsKeptWithoutAnotherAttempt(t *testing.T) {
	f := newFixture(t)
	var stalled atomic.Int32
	handler := func(w http.ResponseWriter, r *http.Request) {
		if stalled.Add(1) == 1 {
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		writeHeader(w, r, "text/event-stream")
		writeAndFlush(w, testEvent(1))
		time.Sleep(1500 * time.Millisecond)
		writeAndFlush(w, testEvent(2))
	}
	f.addGroup("a", handler)
	f.addGroup("b", handler)
	f.applyConfig()
	status, body, err := f.call("POST", "/stream/", "s1")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, testEvent(1)+testEvent(2))
}
