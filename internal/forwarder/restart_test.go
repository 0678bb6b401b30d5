package forwarder

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// TestRestartedServerIsNotEjected guards against a server that restarts under its ID being
// kept off requests for the failures of its previous run, up to 30 s.
func TestRestartedServerIsNotEjected(t *testing.T) {
	f := newFixture(t)
	var failing atomic.Bool
	var reached atomic.Int32
	failing.Store(true)
	f.addServer("a", "plain", func(w http.ResponseWriter, r *http.Request) {
		reached.Add(1)
		if failing.Load() {
			resetConnection(w)
			return
		}
		answer(w, r)
	})
	f.addServer("b", "plain", answer)
	f.addServer("c", "plain", answer)
	f.applyConfig()
	for i := 0; reached.Load() < 3; i++ {
		f.call("GET", "/safe/", strconv.Itoa(i))
		assert.Assert(t, i < 1000)
	}
	f.platform.set(func(p *platformStub) { p.instances[0].Incarnation = "2" })
	failing.Store(false)
	f.eventually(func() bool {
		in := f.forwarder.Observer.Servers("plain")
		return len(in) == 3 && in[0].Incarnation == "2"
	})
	reached.Store(0)
	for i := range 40 {
		f.call("GET", "/safe/", "r"+strconv.Itoa(i))
	}
	assert.Assert(t, reached.Load() > 0)
}
