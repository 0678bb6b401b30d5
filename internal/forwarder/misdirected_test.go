package forwarder

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// refuseAsAnother refuses each request because it is for another server, and counts them.
func refuseAsAnother(refused *atomic.Int64) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		refused.Add(1)
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Not-Run", "1")
		w.Header().Set("Misdirected", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	}
}

// TestDeniedPlainServerIsNotTriedAgain guards against an entry of another writer that repeats a
// plain server's address, where each request for it is refused, costing requests again and again.
func TestDeniedPlainServerIsNotTriedAgain(t *testing.T) {
	var none, refused atomic.Int64
	f := newFixture(t)
	f.addServer("copy", "plain", refuseAsAnother(&refused))
	f.addServer("sound", "plain", countArrivals(&none, &arrivalLog{}))
	f.apply(testConfig(1))
	for i := range 40 {
		status, _, _ := f.call("GET", "/safe/", strconv.Itoa(i))
		assert.Equal(t, status, http.StatusOK)
	}
	assert.Equal(t, refused.Load(), int64(1))
	servers := f.forwarder.Observer.Servers("plain")
	assert.Equal(t, len(servers), 1)
	assert.Equal(t, servers[0].ID, "sound")
}

// TestHeadThatRefusesIsNotDenied guards against the head of a group, which also refuses requests
// when it has left the group, being taken for another server.
func TestHeadThatRefusesIsNotDenied(t *testing.T) {
	var refused atomic.Int64
	f := newFixture(t)
	f.addGroup("1", refuseAsAnother(&refused))
	f.apply(testConfig(1))
	f.call("POST", "/stream/", "a")
	assert.Assert(t, refused.Load() > 0)
	assert.Equal(t, len(f.forwarder.Observer.Groups("engines", "m")), 1)
}
