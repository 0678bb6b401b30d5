package observer

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
	"github.com/waxwingmount/waxwingmount/pkg/tracker"
)

// identityStub answers for the servers of some instances, and counts the questions.
type identityStub struct {
	stub
	answers map[string]tracker.Identity

	mu    sync.Mutex
	asked map[string]int
}

func (s *identityStub) Identify(_ context.Context, in provider.Instance, _ time.Duration) (tracker.Identity, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked[in.ID]++
	if identity, answers := s.answers[in.ID]; answers {
		return identity, nil
	}
	return tracker.Unidentified, errNoResponse
}

// TestServersOfContradictingEntriesAreAsked guards against entries that name one address never
// being resolved, and against more questions than are needed for it.
func TestServersOfContradictingEntriesAreAsked(t *testing.T) {
	s := &identityStub{answers: map[string]tracker.Identity{"a": tracker.Confirmed, "b": tracker.Denied}, asked: make(map[string]int)}
	o := New(Dependencies{Source: s, Prober: s, Identifier: s, Announcer: s, Scope: tally.NoopScope})
	address := netip.MustParseAddrPort("10.0.0.1:80")
	o.apply(Snapshot{ListedAt: clocker.Now(), Instances: []provider.Instance{
		{ID: "a", Incarnation: "1", Service: "s", Address: address},
		{ID: "b", Incarnation: "1", Service: "s", Address: address},
		{ID: "c", Incarnation: "1", Service: "s", Address: netip.MustParseAddrPort("10.0.0.2:80")},
	}})
	assert.Equal(t, len(o.Servers("s")), 3)
	o.identify(t.Context())
	servers := o.Servers("s")
	assert.Equal(t, len(servers), 2)
	assert.Equal(t, servers[0].ID+servers[1].ID, "ac")
	o.identify(t.Context())
	assert.DeepEqual(t, s.asked, map[string]int{"a": 1, "b": 1})
}

// TestQuestionsAreBounded guards against another writer that repeats all entries making an entry
// instance ask all servers at once.
func TestQuestionsAreBounded(t *testing.T) {
	s := &identityStub{asked: make(map[string]int)}
	o := New(Dependencies{Source: s, Prober: s, Identifier: s, Announcer: s, Scope: tally.NoopScope})
	var list []provider.Instance
	for i := range 40 {
		list = append(list, provider.Instance{ID: string(rune('A' + i)), Incarnation: "1", Service: "s", Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(1+i/2))})
	}
	o.apply(Snapshot{ListedAt: clocker.Now(), Instances: list})
	for round := range 5 {
		o.identify(t.Context())
		assert.Equal(t, len(s.asked), (round+1)*identifiesPerRound)
	}
}
