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

// TestStreamGoesOnElsewhere breaks a stream in the middle of its third event.
// The caller gets every event once, from two groups.
func TestBrokenStreamResumesOnAnotherGroup(t *testing.T) {
	f := newFixture(t)
	var tries atomic.Int32
	handler := func(rw http.ResponseWriter, r *http.Request) {
		first := 1
		if last := r.Header.Get("Last-Event-Id"); last != "" {
			n, err := strconv.Atoi(last)
			assert.Check(t, err)
			first = n + 1
		}
		writeHeader(rw, r, "text/event-stream")
		if tries.Add(1) == 1 {
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
	assert.Equal(t, tries.Load(), int32(2))
}

// TestStreamThatCannotGoOnLooksBroken lets every group break the stream off.
func TestUnresumableStreamEndsWithBrokenConnection(t *testing.T) {
	f := newFixture(t)
	var tries atomic.Int32
	f.addGroup("a", func(rw http.ResponseWriter, r *http.Request) {
		writeHeader(rw, r, "text/event-stream")
		writeAndFlush(rw, testEvent(int(tries.Add(1))))
		// A reset that overtakes the event would drop it on its way.
		time.Sleep(50 * time.Millisecond)
		resetConnection(rw)
	})
	f.applyConfig()
	_, body, err := f.call("POST", "/stream/", "r1")
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.Equal(t, body, testEvent(1)+testEvent(2))
}

// TestMemberLostUnderAStream lets a head fall silent, since its member is gone.
// The stream moves long before the engine gives up.
func TestStreamMovesWhenMemberIsLost(t *testing.T) {
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
	began := time.Now()
	_, body, err := f.call("POST", "/stream/", "r1")
	assert.NilError(t, err)
	assert.Equal(t, body, testEvent(1)+testEvent(2))
	assert.Assert(t, time.Since(began) < 2*time.Second, "moved after %v", time.Since(began))
}

// TestMovesCountAgainstAttempts loses the members of one group after the other
// while their heads live. A stream is sent to two of them, and then broken off.
func TestMovesCountAgainstMaxAttempts(t *testing.T) {
	f := newFixture(t)
	var tries atomic.Int32
	handler := func(rw http.ResponseWriter, r *http.Request) {
		tries.Add(1)
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
	assert.Equal(t, tries.Load(), int32(2))
}

// TestFreshLossExcusesNothing breaks a stream at two heads in a row that no
// longer answer probes. That they are gone for good is not known yet, so that
// the route's two attempts are used up.
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

// TestOnceRunsOnce breaks requests that may run once at several points. What
// may have run is never sent again, and never told as not run.
func TestNonIdempotentRequestRunsOnce(t *testing.T) {
	for _, test := range []struct {
		name   string
		first  http.HandlerFunc
		status int
		tries  int32
	}{
		{"reset before the answer", func(rw http.ResponseWriter, _ *http.Request) { resetConnection(rw) }, http.StatusBadGateway, 1},
		{"reset in the answer", func(rw http.ResponseWriter, r *http.Request) {
			rw.Header().Set("Content-Length", "100")
			writeHeader(rw, r, "text/plain")
			writeAndFlush(rw, "half")
			time.Sleep(50 * time.Millisecond)
			resetConnection(rw)
		}, http.StatusBadGateway, 1},
		{"another request's answer", func(rw http.ResponseWriter, r *http.Request) {
			r.Header.Set("Id", "other")
			writeHeader(rw, r, "text/plain")
		}, http.StatusBadGateway, 1},
		{"answer without a proof", func(rw http.ResponseWriter, r *http.Request) {
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
			var tries atomic.Int32
			handler := func(rw http.ResponseWriter, r *http.Request) {
				if tries.Add(1) == 1 {
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
			assert.Equal(t, tries.Load(), test.tries)
		})
	}
}

// TestIdempotentRunsAgain resets the first try of an idempotent request.
func TestIdempotentRequestIsRetried(t *testing.T) {
	f := newFixture(t)
	var tries atomic.Int32
	handler := func(rw http.ResponseWriter, r *http.Request) {
		if tries.Add(1) == 1 {
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

// TestKeyTakenAwayWhileWaiting fills a group, lets a request wait, and takes
// its key away. It is refused as not run and reaches no server.
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

// TestKeyTakenAwayUnderAStream breaks a stream after a configuration has taken
// its key away: no other group gets the rest of it.
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

// TestNoKeyCountsWithoutTheStore takes the store away for longer than keys
// live: requests with a key are refused as not run, with when to come back.
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

// TestStreamGoesOnWithoutTheStore breaks a stream while the store is away, at
// a time when a new request with its key would be refused: it came while its
// key was proved to count.
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

// TestOlderConfigurationIsIgnored shows an older version after a newer one.
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

// TestRefusals asks for what is not there.
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

// TestRequestThatCrashesServers sends a request that takes down each server
// that begins it. After three it is refused and reaches no other.
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
	assert.Assert(t, reached.Load() <= strikeLimit+1, "it reached %d servers", reached.Load())
}
