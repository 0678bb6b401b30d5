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

	"github.com/waxwingmount/waxwingmount/internal/logger"
	"github.com/waxwingmount/waxwingmount/pkg/tracker"
)

// place puts the instances whose IDs begin with a prefix into a data centre.
func (f *fixture) place(prefix, dataCentre string) {
	f.platform.set(func(p *platformStub) {
		for i := range p.instances {
			if strings.HasPrefix(p.instances[i].ID, prefix) {
				p.instances[i].DataCentre = dataCentre
			}
		}
	})
}

// evacuate sets the evacuated data centres, and waits until the forwarder under test knows
// them.
func (f *fixture) evacuate(dataCentres ...string) {
	f.t.Helper()
	f.platform.set(func(p *platformStub) { p.evacuated = dataCentres })
	f.eventually(func() bool {
		evacuated := 0
		f.forwarder.Observer.WithTracker(func(t *tracker.Tracker) {
			for _, in := range t.Instances() {
				if t.Evacuated(in) {
					evacuated++
				}
			}
		})
		return evacuated > 0 == (len(dataCentres) > 0)
	})
}

// TestQueuedRequestAvoidsEvacuatedDataCentre guards against a request that has waited in the
// queue since before an evacuation being sent there, and against the evacuation ending the
// streams that run there.
func TestQueuedRequestAvoidsEvacuatedDataCentre(t *testing.T) {
	f := newFixture(t)
	release := make(chan struct{})
	end := sync.OnceFunc(func() { close(release) })
	defer end()
	var there, elsewhere atomic.Int32
	f.addGroup("a", func(w http.ResponseWriter, r *http.Request) {
		there.Add(1)
		writeHeader(w, r, "text/event-stream")
		writeAndFlush(w, testEvent(1))
		<-release
		writeAndFlush(w, testEvent(2))
	})
	f.place("a", "east")
	f.applyConfig()
	var calls sync.WaitGroup
	for i := range testEngine.Slots {
		calls.Go(func() {
			_, body, err := f.call("POST", "/stream/", "runs"+strconv.Itoa(i))
			assert.Check(t, err)
			assert.Check(t, body == testEvent(1)+testEvent(2), body)
		})
	}
	f.eventually(func() bool { return there.Load() == int32(testEngine.Slots) })
	calls.Go(func() {
		status, _, err := f.call("POST", "/stream/", "waits")
		assert.Check(t, err)
		assert.Check(t, status == http.StatusOK, "%d", status)
	})
	time.Sleep(50 * time.Millisecond)
	f.evacuate("east")
	// Free slots there are of no use to it.
	end()
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, elsewhere.Load(), int32(0))
	f.addGroup("b", func(w http.ResponseWriter, r *http.Request) {
		elsewhere.Add(1)
		serveStream(w, r)
	})
	calls.Wait()
	assert.Equal(t, there.Load(), int32(testEngine.Slots))
	assert.Equal(t, elsewhere.Load(), int32(1))
}

// TestResumedStreamAvoidsEvacuatedDataCentre guards against a stream that breaks during an
// evacuation and is resumed there.
func TestResumedStreamAvoidsEvacuatedDataCentre(t *testing.T) {
	f := newFixture(t)
	broken := make(chan struct{})
	end := sync.OnceFunc(func() { close(broken) })
	defer end()
	var began, resumedThere atomic.Int32
	f.addGroup("a", func(w http.ResponseWriter, r *http.Request) {
		began.Add(1)
		writeHeader(w, r, "text/event-stream")
		writeAndFlush(w, testEvent(1))
		<-broken
		resetConnection(w)
	})
	f.place("a", "east")
	f.applyConfig()
	whole := make(chan string, 1)
	go func() {
		_, body, _ := f.call("POST", "/stream/", "r1")
		whole <- body
	}()
	f.eventually(func() bool { return began.Load() == 1 })
	f.addGroup("c", func(w http.ResponseWriter, r *http.Request) {
		resumedThere.Add(1)
		serveStream(w, r)
	})
	f.place("c", "east")
	f.addGroup("b", serveStream)
	f.evacuate("east")
	f.eventually(func() bool { return len(f.forwarder.Observer.Groups("engines", "m")) == 1 })
	end()
	assert.Equal(t, <-whole, testEvent(1)+testEvent(2)+testEvent(3))
	assert.Equal(t, resumedThere.Load(), int32(0))
}

// TestEvacuationBetweenPickAndSend guards against a request that has chosen its server just
// before the evacuation came into force and is sent there after it.
func TestEvacuationBetweenPickAndSend(t *testing.T) {
	f := newFixture(t)
	var there atomic.Int32
	f.addServer("p", "plain", func(w http.ResponseWriter, r *http.Request) {
		there.Add(1)
		answer(w, r)
	})
	f.place("p", "east")
	f.applyConfig()
	var once sync.Once
	onLogLine(t, logger.LineSent, func() {
		once.Do(func() {
			f.forwarder.Observer.WithTracker(func(t *tracker.Tracker) { t.SetEvacuated(map[string]bool{"east": true}) })
			f.platform.set(func(p *platformStub) { p.evacuated = []string{"east"} })
		})
	})
	status, _, err := f.call("GET", "/once/", "r1")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, there.Load(), int32(0))
}

// TestAllServersEvacuated guards against a caller that waits in the queue, or is not told
// when to come back, while all servers are in evacuated data centres; and against servers
// that get nothing after the end.
func TestAllServersEvacuated(t *testing.T) {
	f := newFixture(t)
	f.addServer("p", "plain", servePlain)
	f.addServer("q", "plain", servePlain)
	f.place("p", "east")
	f.place("q", "west")
	f.applyConfig()
	f.evacuate("east", "west")
	request, err := http.NewRequestWithContext(t.Context(), "GET", f.server.URL+"/once/", http.NoBody)
	assert.NilError(t, err)
	request.Host = "h"
	request.Header.Set("Id", "r1")
	request.Header.Set("Key", "k")
	began := time.Now()
	response, err := f.server.Client().Do(request)
	assert.NilError(t, err)
	response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, response.Header.Get("Retry-After") != "")
	assert.Assert(t, time.Since(began) < testRouteTimeout/4)

	f.evacuate()
	status, _, err := f.call("GET", "/once/", "r2")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
}

// TestPeerRespectsEvacuation guards against a request that reaches an evacuated data centre
// by a peer: the peer has learned of the evacuation, and the sender, which is cut from all
// servers, has not.
func TestPeerRespectsEvacuation(t *testing.T) {
	var reached atomic.Int32
	f := newCutFixture(t, nil, func(w http.ResponseWriter, r *http.Request) {
		reached.Add(1)
		servePlain(w, r)
	})
	f.path.mu.Lock()
	f.path.unaware = true
	f.path.mu.Unlock()
	f.place("", "east")
	f.cutOff()
	f.evacuate("east")
	status, _, _ := f.callAt(f.server, "GET", "/safe/", "r1", "k", "", "")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, reached.Load(), int32(0))
}

// TestOldEvacuationsAreConfirmed guards against a process that was stopped for a while and
// sends requests by what it knew of the evacuations before.
func TestOldEvacuationsAreConfirmed(t *testing.T) {
	const ttl = 400 * time.Millisecond
	f := newFixture(t)
	var there atomic.Int32
	f.addServer("p", "plain", func(w http.ResponseWriter, r *http.Request) {
		there.Add(1)
		answer(w, r)
	})
	f.place("p", "east")
	f.forwarder.Configure(Settings{KeyTTL: time.Minute, RetryRatio: 0.2, RetrySlack: 100, MemoryBytes: testMemoryBytes, EvacuationTTL: ttl})
	f.applyConfig()
	for range 3 {
		// The view grows old between two reads, and the evacuation begins meanwhile.
		for f.forwarder.Observer.EvacuationsAge() < ttl-50*time.Millisecond {
			time.Sleep(5 * time.Millisecond)
		}
		before := there.Load()
		f.platform.set(func(p *platformStub) { p.evacuated = []string{"east"} })
		status, _, err := f.call("GET", "/once/", "r1")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusServiceUnavailable)
		assert.Equal(t, there.Load(), before)
		f.evacuate()
	}
}
