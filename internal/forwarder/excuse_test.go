package forwarder

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/internal/messenger"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
	"github.com/waxwingmount/waxwingmount/pkg/tracker"
)

// checkTwoServers sends a stream to groups whose heads break it off, and checks that it reaches
// two of them, as its route allows. The second head goes on for over a second and calls
// beforeBreak with the first one, which has not ended, before it breaks the stream off.
func checkTwoServers(f *fixture, beforeBreak func(first string)) {
	f.t.Helper()
	var reached atomic.Int32
	var first atomic.Value
	for _, group := range []string{"a", "b", "c"} {
		f.addGroup(group, func(w http.ResponseWriter, r *http.Request) {
			n := int(reached.Add(1))
			writeHeader(w, r, "text/event-stream")
			writeAndFlush(w, testEvent(n))
			switch n {
			case 1:
				first.Store(group + "-head")
			case 2:
				for id := 3; id < 27; id++ {
					time.Sleep(50 * time.Millisecond)
					writeAndFlush(w, testEvent(id))
				}
				beforeBreak(first.Load().(string))
			}
			resetConnection(w)
		})
	}
	f.applyConfig()
	_, _, err := f.call("POST", "/stream/", "r")
	assert.Assert(f.t, err != nil)
	assert.Equal(f.t, reached.Load(), int32(2))
}

// TestLossFoundLateDoesNotExcuseAttempt guards against a request on more servers than its
// route allows because the server of an attempt that broke long ago, and that goes on, is held
// for lost at the moment of the next break.
func TestLossFoundLateDoesNotExcuseAttempt(t *testing.T) {
	f := newFixture(t)
	checkTwoServers(f, func(first string) {
		f.forwarder.Observer.HandleLosses(messenger.LossesMessage{Losses: []messenger.Loss{{Instance: first, Incarnation: "1"}}})
	})
}

// TestEarlierRunDoesNotExcuseAttempt guards against a request on more servers than its route
// allows because an entry of another writer, or an older one, names another run of a server
// that goes on.
func TestEarlierRunDoesNotExcuseAttempt(t *testing.T) {
	for name, incarnation := range map[string]string{"earlier": "0", "unknown": "", "no number": "odd"} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			checkTwoServers(f, func(first string) { f.renameRun(first, incarnation) })
		})
	}
}

// renameRun gives the entry of a server another incarnation and waits until it is read.
func (f *fixture) renameRun(id, incarnation string) {
	f.platform.set(func(p *platformStub) {
		for i := range p.instances {
			if p.instances[i].ID == id {
				p.instances[i].Incarnation = incarnation
			}
		}
	})
	f.eventually(func() bool {
		current := provider.Instance{}
		f.forwarder.Observer.WithTracker(func(t *tracker.Tracker) { current, _ = t.Instance(id) })
		return current.Incarnation == incarnation
	})
}

// slowView is the platform as an entry instance sees it that has so little processor time that
// responses to probes take it a while. Its peers reach all servers.
type slowView struct {
	*platformStub
	delay atomic.Int64
}

// Probe returns the response after the delay, or an error if the time for it is shorter.
func (v *slowView) Probe(ctx context.Context, in provider.Instance, timeout time.Duration) error {
	delay := time.Duration(v.delay.Load())
	time.Sleep(min(delay, timeout))
	if delay > timeout {
		return context.DeadlineExceeded
	}
	return v.platformStub.Probe(ctx, in, timeout)
}

// AskWitnesses returns that a peer reaches the server.
func (v *slowView) AskWitnesses(context.Context, provider.Instance, int) []tracker.Testimony {
	return []tracker.Testimony{tracker.Reached}
}

// TestSlowInstanceDoesNotExcuseAttempt guards against a request on more servers than its route
// allows because an entry instance that is slow holds its path to the servers for cut, and so
// the servers of broken attempts for cut off.
func TestSlowInstanceDoesNotExcuseAttempt(t *testing.T) {
	f := newFixture(t)
	f.takeDetours("sound", f.forwarder)
	view := &slowView{platformStub: f.platform}
	slow, server := f.newForwarderOn(view)
	var reached atomic.Int32
	for _, name := range []string{"a", "b", "c"} {
		f.addGroup(name, func(w http.ResponseWriter, r *http.Request) {
			writeHeader(w, r, "text/event-stream")
			writeAndFlush(w, testEvent(nextID(r)))
			if reached.Add(1) == 1 {
				view.delay.Store(int64(200 * time.Millisecond))
				for !slow.Observer.PathCut() && r.Context().Err() == nil {
					slow.Observer.Suspect(f.t.Context(), f.platform.allInstances())
					time.Sleep(50 * time.Millisecond)
				}
			}
			resetConnection(w)
		})
	}
	f.applyConfig()
	f.eventually(func() bool { return slow.Observer.Config() != nil && len(slow.Observer.Groups("engines", "m")) == 3 })
	_, _, err := f.callAt(server, "POST", "/stream/", "r", "k", "body", "")
	assert.Assert(t, err != nil)
	assert.Equal(t, reached.Load(), int32(2))
}
