package forwarder

import (
	"context"
	"io"
	"math"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/internal/logger"
	"github.com/waxwingmount/waxwingmount/pkg/estimator"
)

// TestCheckBetweenPickAndSend runs the check of the upstreams after a request
// has chosen a new upstream and before it is sent. The check must keep the
// upstream: its request counts as load, and is canceled once a member is lost.
func TestCheckBetweenPickAndSend(t *testing.T) {
	f := newFixture(t)
	onLogLine(t, logger.LineSent, func() { f.forwarder.checkUpstreams(context.Background()) })
	running := make(chan map[string]estimator.Work, 1)
	f.addGroup("a", func(w http.ResponseWriter, r *http.Request) {
		writeHeader(w, r, "text/event-stream")
		writeAndFlush(w, testEvent(1))
		running <- f.forwarder.Works.Local()
		f.platform.kill("a-member")
		<-r.Context().Done()
	})
	f.applyConfig()
	request, err := http.NewRequest("POST", f.server.URL+"/stream/", http.NoBody)
	assert.NilError(t, err)
	request.Host = "h"
	request.Header.Set("Id", "r1")
	request.Header.Set("Key", "k")
	request.Header.Set("Model", "m")
	response, err := f.server.Client().Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, (<-running)["m~a"].Running, 1)
	_, err = io.ReadAll(response.Body)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// TestRequestsGoToFreeSlots lets 79 entry instances share eight groups, seven of
// which are full after the loss of others. Each instance compares only a few
// random groups for a request; it must still find the one with free slots, or the
// queues inside the engines grow while slots are free.
func TestRequestsGoToFreeSlots(t *testing.T) {
	f := newFixture(t)
	f.platform.set(func(p *platformStub) { p.peers = 78 })
	for i := range 8 {
		f.addGroup(string(rune('a'+i)), func(http.ResponseWriter, *http.Request) {})
	}
	f.applyConfig()
	full := make(map[string]estimator.Work)
	for i := range 7 {
		full["m~"+string(rune('a'+i))] = estimator.Work{Running: testEngine.Slots}
	}
	config, pool := f.forwarder.Observer.Config(), poolKey{service: "engines", model: "m"}
	for range 40 {
		f.forwarder.Works.SetPeer("peer", full)
		_, cancel := context.WithCancelCause(context.Background())
		a := &activeAttempt{cancel: cancel, promptTokens: 100}
		chosen, found := f.forwarder.pick(config, pool, a, nil)
		assert.Assert(t, found)
		assert.Equal(t, chosen.upstream.name, "m~h")
		f.forwarder.unregisterAttempt(a, false)
	}
	f.forwarder.Works.SetPeer("peer", full)
	assert.Equal(t, f.forwarder.freeSlots(config, pool), testEngine.Slots)
}

// TestServersWithManySlots guards against requests that wait for ever because entries with
// numbers that are too large make the sum of the free slots negative.
func TestServersWithManySlots(t *testing.T) {
	f := newFixture(t)
	for _, id := range []string{"a", "b", "c"} {
		f.addServer(id, "plain", answer)
	}
	f.platform.set(func(p *platformStub) { p.instances[0].Slots, p.instances[1].Slots = math.MaxInt, math.MaxInt })
	f.applyConfig()
	status, _, err := f.call("GET", "/safe/", "r")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
}
