package forwarder

import (
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/pkg/estimator"
	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/pkg/prefixer"
)

var testPoolKey = poolKey{service: "engines", model: "m"}

// newPrefixFixture returns a fixture with groups of 20 slots.
func newPrefixFixture(t *testing.T, names ...string) *fixture {
	f := newFixture(t)
	for _, name := range names {
		f.addGroup(name, func(http.ResponseWriter, *http.Request) {})
	}
	config, engine := testConfig(1), *testEngine
	engine.Slots = 20
	config.Services[0].Engine = &engine
	f.apply(config)
	return f
}

// start chooses a group for a prompt of 2,000 tokens with that beginning.
func (f *fixture) start(config *mapper.RouteTable, tokens int) (*activeAttempt, choice) {
	f.t.Helper()
	a := &activeAttempt{promptTokens: 2000, prefix: []prefixer.Part{{ID: 1, Tokens: tokens}}}
	chosen, found := f.forwarder.pick(config, testPoolKey, a, nil)
	assert.Assert(f.t, found)
	return a, chosen
}

// receiveFirstEvent records the first event of an attempt.
func (f *fixture) receiveFirstEvent(a *activeAttempt) {
	f.forwarder.mu.Lock()
	defer f.forwarder.mu.Unlock()
	f.forwarder.holdPrefix(a)
	a.streaming = true
}

// TestHeldPromptWeighedAgainstWait guards against requests that ignore a group which holds
// most of their prompt, and against requests that wait for it longer than it saves.
func TestHeldPromptWeighedAgainstWait(t *testing.T) {
	f := newPrefixFixture(t, "a", "b")
	config := f.forwarder.Observer.Config()
	first, chosen := f.start(config, 1500)
	holder, other := chosen.upstream.name, "m~a"
	if holder == other {
		other = "m~b"
	}
	for _, test := range []struct {
		name     string
		atHolder estimator.Work
		// moreAtOther is the number of requests at the other group besides one.
		moreAtOther  int
		read         bool
		alwaysHolder bool
		neverHolder  bool
		bothEqual    bool
	}{
		{name: "not read yet", neverHolder: true},
		{name: "equal load", read: true, alwaysHolder: true},
		{name: "wait of 60 ms, saving of 30 ms", read: true, atHolder: estimator.Work{UnreadTokens: 3000}, neverHolder: true},
		{name: "no free slot", read: true, atHolder: estimator.Work{Running: 19}, neverHolder: true},
		{name: "no free slot anywhere", read: true, atHolder: estimator.Work{Running: 19}, moreAtOther: 19, bothEqual: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			if test.read && !first.streaming {
				f.receiveFirstEvent(first)
			}
			counts := make(map[string]int)
			for range 20 {
				f.forwarder.Works.SetPeer("peer", map[string]estimator.Work{other: {Running: 1 + test.moreAtOther}, holder: test.atHolder})
				a, chosen := f.start(config, 1500)
				f.forwarder.unregisterAttempt(a, false)
				atHolder := chosen.upstream.name == holder
				assert.Assert(t, !test.alwaysHolder || atHolder)
				assert.Assert(t, !test.neverHolder || !atHolder)
				counts[chosen.upstream.name]++
				if atHolder && !test.bothEqual {
					// 500 tokens at 50,000 a second and 1.5 steps of 5 ms.
					assert.Equal(t, chosen.firstEvent, 17500*time.Microsecond)
				}
			}
			assert.Assert(t, !test.bothEqual || len(counts) == 2, "%v", counts)
		})
	}
	f.forwarder.unregisterAttempt(first, false)
	assert.Assert(t, f.forwarder.prefixes.Empty())
}

// TestHotPromptSpreads guards against a beginning that all requests have and that fills one
// group while others are idle, and against state for beginnings of a few tokens.
func TestHotPromptSpreads(t *testing.T) {
	f := newPrefixFixture(t, "a", "b", "c", "d")
	config := f.forwarder.Observer.Config()
	short, _ := f.start(config, 40)
	f.receiveFirstEvent(short)
	assert.Assert(t, f.forwarder.prefixes.Empty())
	f.forwarder.unregisterAttempt(short, false)
	counts := make(map[string]int)
	for range 48 {
		a, chosen := f.start(config, 1500)
		f.receiveFirstEvent(a)
		counts[chosen.upstream.name]++
	}
	assert.Equal(t, len(counts), 4, "%v", counts)
	for _, n := range counts {
		assert.Assert(t, n < 20, "%v", counts)
	}
}

// TestHolderOutsideSample guards against entry instances of a large fleet that compare a few
// random groups, without the one that holds the prompt.
func TestHolderOutsideSample(t *testing.T) {
	f := newPrefixFixture(t, "a", "b", "c", "d", "e", "f", "g", "h")
	f.platform.set(func(p *platformStub) { p.peers = 78 })
	config := f.forwarder.Observer.Config()
	first, holder := f.start(config, 1500)
	f.receiveFirstEvent(first)
	for range 40 {
		a, chosen := f.start(config, 1500)
		f.forwarder.unregisterAttempt(a, false)
		assert.Equal(t, chosen.upstream.name, holder.upstream.name)
	}
}

// TestPromptHeldWhileStreamRuns guards against prompts that are not tracked from the first
// event of a stream, or are still tracked after its end.
func TestPromptHeldWhileStreamRuns(t *testing.T) {
	f := newFixture(t)
	isEmpty := func() bool {
		f.forwarder.mu.Lock()
		defer f.forwarder.mu.Unlock()
		return f.forwarder.prefixes.Empty()
	}
	beforeEvent, end := make(chan bool, 1), make(chan struct{})
	f.addGroup("a", func(w http.ResponseWriter, r *http.Request) {
		beforeEvent <- isEmpty()
		writeHeader(w, r, "text/event-stream")
		writeAndFlush(w, testEvent(1))
		<-end
	})
	f.applyConfig()
	request, err := http.NewRequest("POST", f.server.URL+"/stream/", http.NoBody)
	assert.NilError(t, err)
	request.Host = "h"
	for name, value := range map[string]string{"Id": "r1", "Key": "k", "Model": "m", "Prefix": "1500"} {
		request.Header.Set(name, value)
	}
	response, err := f.server.Client().Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Assert(t, <-beforeEvent)
	assert.Assert(t, !isEmpty())
	close(end)
	_, err = io.ReadAll(response.Body)
	assert.NilError(t, err)
	f.eventually(isEmpty)
}
