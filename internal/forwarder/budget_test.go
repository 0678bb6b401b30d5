package forwarder

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	budgetRatio = 0.2
	budgetSlack = 20
	// budgetEntries is the number of entry instances among which the slack is divided.
	budgetEntries = 4
)

// breakingServers counts the arrivals of requests at servers that reset the first one of each
// request and run the others.
type breakingServers struct {
	mu       sync.Mutex
	arrivals map[string]int
}

// newBreakingServers adds servers of a service to the fixture.
func newBreakingServers(f *fixture, service string, count int) *breakingServers {
	b := &breakingServers{arrivals: make(map[string]int)}
	for i := range count {
		f.addServer(service+strconv.Itoa(i), service, func(w http.ResponseWriter, r *http.Request) {
			if b.arrive(r.Header.Get("Id")) == 1 {
				resetConnection(w)
				return
			}
			answer(w, r)
		})
	}
	return b
}

func (b *breakingServers) arrive(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arrivals[id]++
	return b.arrivals[id]
}

// counts returns the number of requests that arrived, and of arrivals after their first.
func (b *breakingServers) counts() (requests, repeats int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range b.arrivals {
		requests, repeats = requests+1, repeats+n-1
	}
	return requests, repeats
}

// checkRepeats checks the rule for all entry instances together, of which all requests lie in
// one window.
func (b *breakingServers) checkRepeats(t *testing.T) {
	t.Helper()
	requests, repeats := b.counts()
	allowed := int(budgetRatio*float64(requests) + budgetSlack)
	t.Logf("%d requests, %d repeats, %d allowed", requests, repeats, allowed)
	assert.Assert(t, repeats <= allowed)
}

func budgetSettings() Settings {
	return Settings{
		KeyTTL: time.Minute, RetryRatio: budgetRatio, RetrySlack: budgetSlack, MemoryBytes: testMemoryBytes,
		FewestEntries: budgetEntries,
	}
}

// runEntries starts the entry instances a number of times, one process after the other, each of
// which takes some requests. Each process sees as many peers.
func (f *fixture) runEntries(peers, starts, requests int) {
	f.platform.set(func(p *platformStub) { p.peers = peers })
	f.applyConfig()
	var entries sync.WaitGroup
	for i := range budgetEntries {
		entries.Go(func() {
			for start := range starts {
				f.runEntry(fmt.Sprintf("e%d-%d", i, start), requests)
			}
		})
	}
	entries.Wait()
}

// runEntry starts a process, which takes some requests.
func (f *fixture) runEntry(name string, requests int) {
	forwarder, server := f.newForwarderWith(f.platform, budgetSettings())
	f.eventually(func() bool { return forwarder.Observer.Config() != nil && len(forwarder.Observer.Servers("plain")) > 0 })
	for i := range requests {
		f.callAt(server, "GET", "/safe/", name+"-"+strconv.Itoa(i), "k", "", "")
	}
}

// TestRestartsKeepRetryBudget guards against retries beyond the budget of the fleet because
// each process that starts has a part of the slack that the one before it has spent.
func TestRestartsKeepRetryBudget(t *testing.T) {
	f := newFixture(t)
	servers := newBreakingServers(f, "plain", 8)
	f.runEntries(budgetEntries-1, 4, 10)
	servers.checkRepeats(t)
}

// TestUnseenPeersKeepRetryBudget guards against retries beyond the budget of the fleet because
// entry instances that see no peer take the whole slack for their own.
func TestUnseenPeersKeepRetryBudget(t *testing.T) {
	f := newFixture(t)
	servers := newBreakingServers(f, "plain", 8)
	f.runEntries(0, 1, 15)
	servers.checkRepeats(t)
}

// TestServicesKeepRetryBudget guards against retries of one service that the requests of
// another pay for.
func TestServicesKeepRetryBudget(t *testing.T) {
	f := newFixture(t)
	f.forwarder.Configure(budgetSettings())
	servers := newBreakingServers(f, "engines", 0)
	for i := range 4 {
		f.addGroup("g"+strconv.Itoa(i), func(w http.ResponseWriter, r *http.Request) {
			if servers.arrive(r.Header.Get("Id")) == 1 {
				resetConnection(w)
				return
			}
			writeHeader(w, r, "text/event-stream")
			writeAndFlush(w, testEvent(1))
		})
	}
	f.addServer("p", "plain", answer)
	f.applyConfig()
	for i := range 60 {
		for j := range 6 {
			f.call("GET", "/safe/", "p"+strconv.Itoa(i)+"-"+strconv.Itoa(j))
		}
		f.call("POST", "/stream/", "s"+strconv.Itoa(i))
	}
	servers.checkRepeats(t)
}
