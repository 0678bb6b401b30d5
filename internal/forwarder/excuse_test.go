package forwarder

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/internal/messenger"
)

// TestLossFoundLateDoesNotExcuseAttempt guards against a request on more servers than its
// route allows because the server of an attempt that broke long ago, and that goes on, is held
// for lost at the moment of the next break.
func TestLossFoundLateDoesNotExcuseAttempt(t *testing.T) {
	f := newFixture(t)
	var reached atomic.Int32
	var first atomic.Value
	for _, name := range []string{"a", "b", "c"} {
		f.addGroup(name, func(w http.ResponseWriter, r *http.Request) {
			n := int(reached.Add(1))
			writeHeader(w, r, "text/event-stream")
			writeAndFlush(w, testEvent(n))
			switch n {
			case 1:
				first.Store(name + "-head")
			case 2:
				for id := 3; id < 27; id++ {
					time.Sleep(50 * time.Millisecond)
					writeAndFlush(w, testEvent(id))
				}
				lost := messenger.Loss{Instance: first.Load().(string), Incarnation: "1"}
				f.forwarder.Observer.HandleLosses(messenger.LossesMessage{Losses: []messenger.Loss{lost}})
			}
			resetConnection(w)
		})
	}
	f.applyConfig()
	_, _, err := f.call("POST", "/stream/", "r")
	assert.Assert(t, err != nil)
	assert.Equal(t, reached.Load(), int32(2))
}
