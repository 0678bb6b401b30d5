package forwarder

import (
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/pkg/tracker"
)

// answer responds like a backend server that has run the request.
func answer(rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set("Id", r.Header.Get("Id"))
	rw.Header().Set("Proof", "p")
	fmt.Fprint(rw, "ok")
}

// TestLeavingServerGetsNothingMore guards against requests to a server that has said in
// a response that it leaves, while the list goes on saying that it is ready; a later
// incarnation of it is sent requests again.
func TestLeavingServerGetsNothingMore(t *testing.T) {
	f := newFixture(t)
	var left, stayed atomic.Int32
	f.addServer("a", "plain", func(rw http.ResponseWriter, r *http.Request) {
		left.Add(1)
		rw.Header().Set("Leaving", "1")
		answer(rw, r)
	})
	f.addServer("b", "plain", func(rw http.ResponseWriter, r *http.Request) {
		stayed.Add(1)
		answer(rw, r)
	})
	f.applyConfig()
	for i := range 60 {
		status, _, _ := f.call("GET", "/safe/", strconv.Itoa(i))
		assert.Equal(t, status, http.StatusOK)
		time.Sleep(15 * time.Millisecond)
	}
	assert.Equal(t, left.Load(), int32(1))
	assert.Equal(t, stayed.Load(), int32(59))

	f.platform.set(func(p *platformStub) { p.instances[0].Incarnation = "2" })
	f.eventually(func() bool {
		status, _, _ := f.call("GET", "/safe/", "again")
		return status == http.StatusOK && left.Load() > 1
	})
}

// TestRefusingServerLeaves guards against missing the statement in a response that says
// that the request was not run.
func TestRefusingServerLeaves(t *testing.T) {
	f := newFixture(t)
	var refused atomic.Int32
	f.addServer("a", "plain", func(rw http.ResponseWriter, _ *http.Request) {
		refused.Add(1)
		rw.Header().Set("Leaving", "1")
		rw.Header().Set("Not-Run", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
	})
	f.addServer("b", "plain", answer)
	f.applyConfig()
	for i := range 20 {
		status, _, _ := f.call("GET", "/once/", strconv.Itoa(i))
		assert.Equal(t, status, http.StatusOK)
	}
	assert.Equal(t, refused.Load(), int32(1))
}

// TestLeavingHeadFinishesStreams guards against a group that gets new streams after its
// head has said that it leaves, and against breaking those that run there.
func TestLeavingHeadFinishesStreams(t *testing.T) {
	f := newFixture(t)
	var first, second atomic.Int32
	release := make(chan struct{})
	f.addGroup("first", func(rw http.ResponseWriter, r *http.Request) {
		first.Add(1)
		rw.Header().Set("Leaving", "1")
		rw.Header().Set("Id", r.Header.Get("Id"))
		rw.Header().Set("Proof", "p")
		rw.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprint(rw, "id: 1\ndata: x\n\n")
		http.NewResponseController(rw).Flush()
		<-release
		fmt.Fprint(rw, "id: 2\ndata: y\n\n")
	})
	f.applyConfig()
	whole := make(chan string, 1)
	go func() {
		_, body, _ := f.call("POST", "/stream/", "s1")
		whole <- body
	}()
	f.eventually(func() bool { return first.Load() == 1 })
	f.addGroup("second", func(rw http.ResponseWriter, r *http.Request) {
		second.Add(1)
		rw.Header().Set("Id", r.Header.Get("Id"))
		rw.Header().Set("Proof", "p")
		rw.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprint(rw, "id: 1\ndata: z\n\n")
	})
	f.eventually(func() bool {
		groups := 0
		f.forwarder.Observer.WithTracker(func(tr *tracker.Tracker) { groups = len(tr.Groups("engines", "m")) })
		return groups == 1
	})
	for i := range 4 {
		status, _, _ := f.call("POST", "/stream/", strconv.Itoa(i))
		assert.Equal(t, status, http.StatusOK)
	}
	close(release)
	assert.Equal(t, <-whole, "id: 1\ndata: x\n\nid: 2\ndata: y\n\n")
	assert.Equal(t, first.Load(), int32(1))
	assert.Equal(t, second.Load(), int32(4))
}

// TestDeferringServer guards against more than two requests to a server that has said
// for how long it wants nothing, while another server serves, and against a caller that
// is not told when to come back while there is none.
func TestDeferringServer(t *testing.T) {
	const wait = 2 * time.Second
	f := newFixture(t)
	var saidAt atomic.Int64
	var tooSoon atomic.Int32
	f.addServer("a", "plain", func(rw http.ResponseWriter, r *http.Request) {
		now := time.Now()
		since := now.Sub(time.UnixMilli(saidAt.Load()))
		if saidAt.Load() != 0 && since < wait {
			tooSoon.Add(1)
		}
		if saidAt.Load() != 0 && since >= wait {
			answer(rw, r)
			return
		}
		saidAt.Store(now.UnixMilli())
		rw.Header().Set("Not-Run", "1")
		rw.Header().Set("Defer", "2")
		rw.WriteHeader(http.StatusServiceUnavailable)
	})
	f.applyConfig()
	request, err := http.NewRequest("GET", f.server.URL+"/once/", nil)
	assert.NilError(t, err)
	request.Host = "h"
	request.Header.Set("Id", "first")
	request.Header.Set("Key", "k")
	response, err := f.server.Client().Do(request)
	assert.NilError(t, err)
	response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, after > 1.5 && after <= 2, "Retry-After %v", after)

	f.addServer("b", "plain", answer)
	f.eventually(func() bool {
		status, _, _ := f.call("GET", "/once/", "other")
		return status == http.StatusOK
	})
	for i := range 30 {
		status, _, _ := f.call("GET", "/safe/", strconv.Itoa(i))
		assert.Equal(t, status, http.StatusOK)
	}
	assert.Equal(t, tooSoon.Load(), int32(0))
	time.Sleep(time.Until(time.UnixMilli(saidAt.Load()).Add(wait)))
	before := saidAt.Load()
	f.eventually(func() bool {
		status, _, _ := f.call("GET", "/safe/", "back")
		return status == http.StatusOK
	})
	assert.Equal(t, saidAt.Load(), before, "the server was asked again before its time")
}
