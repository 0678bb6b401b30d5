package forwarder

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/internal/messenger"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
	"github.com/waxwingmount/waxwingmount/pkg/tracker"
)

// TestProgressOutweighsReportedLoss guards against an answer that arrives being cut because
// a peer that can't reach the server reports it as lost.
func TestProgressOutweighsReportedLoss(t *testing.T) {
	f := newFixture(t)
	var attempts atomic.Int32
	handler := func(w http.ResponseWriter, r *http.Request) {
		attempts.Add(1)
		writeHeader(w, r, "text/event-stream")
		for id := 1; id <= 20; id++ {
			if r.Context().Err() != nil {
				return
			}
			writeAndFlush(w, testEvent(id))
			if id == 5 {
				head := r.Header.Get("For")
				f.forwarder.Observer.HandleLosses(messenger.LossesMessage{Losses: []messenger.Loss{{Instance: head, Incarnation: "1"}}})
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	f.addGroup("a", handler)
	f.addGroup("b", handler)
	f.applyConfig()
	_, body, err := f.call("POST", "/stream/", "r1")
	assert.NilError(t, err)
	assert.Assert(t, strings.HasSuffix(body, testEvent(20)), "%q", body)
	assert.Equal(t, attempts.Load(), int32(1))
}

// TestLossKeepsLastAttempt guards against an answer being given up because its server has
// not responded to probes for a moment, when no other attempt could bring it.
func TestLossKeepsLastAttempt(t *testing.T) {
	f := newFixture(t)
	f.addServer("s", "plain", func(w http.ResponseWriter, r *http.Request) {
		f.platform.kill("s")
		time.Sleep(1500 * time.Millisecond)
		writeHeader(w, r, "text/plain")
		writeAndFlush(w, "done")
	})
	f.addServer("t", "other", func(http.ResponseWriter, *http.Request) {})
	f.applyConfig()
	status, body, err := f.call("POST", "/once/", "r1")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, "done")
}

// TestLossEndsLastAttemptInTheEnd guards against a caller being held until its deadline by
// a server that stays silent, alone or with all others.
func TestLossEndsLastAttemptInTheEnd(t *testing.T) {
	for name, others := range map[string]bool{"alone": false, "all": true} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			stop := make(chan struct{})
			defer close(stop)
			f.addServer("s", "plain", func(http.ResponseWriter, *http.Request) {
				f.platform.set(func(p *platformStub) { p.dead["s"], p.unreachable = true, others })
				<-stop
			})
			f.addServer("t", "other", func(http.ResponseWriter, *http.Request) {})
			f.applyConfig()
			began := time.Now()
			status, _, err := f.call("POST", "/once/", "r1")
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusBadGateway)
			assert.Assert(t, time.Since(began) < 2600*time.Millisecond, "the caller got the answer after %s", time.Since(began))
		})
	}
}

// TestStreamSurvivesOwnPathFailure guards against a whole answer being cut because the
// probes of this entry instance time out on its own congested path while nothing comes
// from its servers for a second.
func TestStreamSurvivesOwnPathFailure(t *testing.T) {
	f := newFixture(t)
	var attempts atomic.Int32
	handler := func(w http.ResponseWriter, r *http.Request) {
		attempts.Add(1)
		writeHeader(w, r, "text/event-stream")
		if r.Header.Get("Last-Event-Id") == "" {
			writeAndFlush(w, testEvent(1))
		}
		f.platform.set(func(p *platformStub) { p.unreachable = true })
		time.Sleep(time.Second)
		f.platform.set(func(p *platformStub) { p.unreachable = false })
		writeAndFlush(w, testEvent(2))
	}
	for _, name := range []string{"a", "b", "c"} {
		f.addGroup(name, handler)
	}
	f.applyConfig()
	status, body, err := f.call("POST", "/stream/", "r1")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, testEvent(1)+testEvent(2))
	assert.Equal(t, attempts.Load(), int32(1))
}

// TestManyStreamsSurviveOwnPathFailure guards against streams being cut when the own path is
// congested while all backend servers have requests, so that none is above suspicion.
func TestManyStreamsSurviveOwnPathFailure(t *testing.T) {
	f := newFixture(t)
	var attempts, waiting atomic.Int32
	const streams = 6
	handler := func(w http.ResponseWriter, r *http.Request) {
		attempts.Add(1)
		writeHeader(w, r, "text/event-stream")
		writeAndFlush(w, testEvent(1))
		if waiting.Add(1) == streams {
			f.platform.set(func(p *platformStub) { p.unreachable = true })
		}
		time.Sleep(time.Second)
		f.platform.set(func(p *platformStub) { p.unreachable = false })
		writeAndFlush(w, testEvent(2))
	}
	for _, name := range []string{"a", "b", "c"} {
		f.addGroup(name, handler)
	}
	f.applyConfig()
	var calls sync.WaitGroup
	for i := range streams {
		calls.Go(func() {
			_, body, err := f.call("POST", "/stream/", "r"+strconv.Itoa(i))
			assert.Check(t, err == nil, "%v", err)
			assert.Check(t, body == testEvent(1)+testEvent(2), "%q", body)
		})
	}
	calls.Wait()
	assert.Equal(t, attempts.Load(), int32(streams))
}

// TestReportedLossIsCheckedHere guards against an answer being given up because of a peer's
// report, which is never retracted, of a server that this entry instance reaches.
func TestReportedLossIsCheckedHere(t *testing.T) {
	f := newFixture(t)
	// Where there are many entry instances, each checks a reported loss only rarely.
	f.platform.set(func(p *platformStub) { p.peers = 10_000 })
	f.addServer("s", "plain", func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(50 * time.Millisecond)
		f.forwarder.Observer.HandleLosses(messenger.LossesMessage{Losses: []messenger.Loss{{Instance: "s", Incarnation: "1"}}})
		time.Sleep(2 * time.Second)
		writeHeader(w, r, "text/plain")
		writeAndFlush(w, "done")
	})
	f.applyConfig()
	status, body, err := f.call("POST", "/once/", "r1")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, "done")
}

// TestUnreachableServerHasNotCrashed guards against a request counting as one that crashes
// servers because its connection is reset by the path from here, while peers reach the server.
func TestUnreachableServerHasNotCrashed(t *testing.T) {
	for name, testimony := range map[string]tracker.Testimony{"reached": tracker.Reached, "silent": tracker.Silent} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.platform.set(func(p *platformStub) { p.testimonies = []tracker.Testimony{testimony} })
			f.addServer("s", "plain", func(w http.ResponseWriter, _ *http.Request) {
				f.platform.kill("s")
				resetConnection(w)
			})
			f.addServer("t", "other", func(http.ResponseWriter, *http.Request) {})
			f.applyConfig()
			_, _, err := f.call("POST", "/once/", "r1")
			assert.NilError(t, err)
			f.eventually(func() bool {
				return f.forwarder.Observer.AnyLostOrRestarted([]provider.Instance{{ID: "s", Incarnation: "1"}})
			})
			time.Sleep(2 * crashCheckInterval)
			strikes, _ := f.forwarder.Strikes()
			assert.Equal(t, len(strikes) > 0, testimony == tracker.Silent)
		})
	}
}
