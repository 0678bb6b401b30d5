package observer

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/pkg/mapper"
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

func (s *identityStub) Identify(_ context.Context, in provider.Instance, path string, _ time.Duration) (tracker.Identity, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked[in.ID+path]++
	if identity, answers := s.answers[in.ID]; answers {
		return identity, nil
	}
	return tracker.Unidentified, errNoResponse
}

// newIdentityObserver returns an observer with a service "s" whose model "m" has groups of two.
func newIdentityObserver(answers map[string]tracker.Identity, list []provider.Instance) (*identityStub, *Observer) {
	s := &identityStub{answers: answers, asked: make(map[string]int)}
	o := New(Dependencies{Source: s, Prober: s, Identifier: s, Announcer: s, Scope: tally.NoopScope})
	now := clocker.Now()
	o.apply(Snapshot{ListedAt: now, Instances: list, ConfirmedAt: now, Config: mapper.New(mapper.Config{
		Version:  1,
		Services: []mapper.Service{{Name: "s", HealthPath: "/health", Engine: &mapper.Engine{Models: []mapper.Model{{Name: "m", Size: 2}}}}},
	})})
	return s, o
}

// member returns an instance that says it has a rank of the group m~1.
func member(id string, rank int, state provider.MemberState) provider.Instance {
	return provider.Instance{ID: id, Incarnation: "1", Service: "s", Membership: provider.Membership{Group: "m~1", Epoch: 1, Rank: rank, State: state}}
}

// TestClaimantsAreAsked guards against a rank that several entries claim never being resolved, and
// against more questions than are needed for it.
func TestClaimantsAreAsked(t *testing.T) {
	s, o := newIdentityObserver(map[string]tracker.Identity{"a": tracker.Confirmed, "copy": tracker.Denied}, []provider.Instance{
		member("a", 0, provider.Serving), member("b", 1, provider.MemberReady), member("copy", 0, provider.Serving),
	})
	assert.Equal(t, len(o.Groups("s", "m")), 0)
	o.identify(t.Context())
	assert.Equal(t, len(o.Groups("s", "m")), 1)
	assert.Equal(t, o.Groups("s", "m")[0].Head().ID, "a")
	o.identify(t.Context())
	assert.DeepEqual(t, s.asked, map[string]int{"a/health": 1, "copy/health": 1})
}

// TestDeniedInstanceGetsNothing guards against an entry whose address another server has refused
// requests at being used on.
func TestDeniedInstanceGetsNothing(t *testing.T) {
	copied := provider.Instance{ID: "copy", Incarnation: "1", Service: "s"}
	_, o := newIdentityObserver(nil, []provider.Instance{copied, {ID: "a", Incarnation: "1", Service: "s"}})
	o.HandleDenial(copied)
	servers := o.Servers("s")
	assert.Equal(t, len(servers), 1)
	assert.Equal(t, servers[0].ID, "a")
}

// TestQuestionsAreBounded guards against another writer that repeats all entries making an entry
// instance ask all servers at once.
func TestQuestionsAreBounded(t *testing.T) {
	var list []provider.Instance
	for i := range 40 {
		list = append(list, member(string(rune('A'+i)), i%2, provider.MemberReady))
	}
	s, o := newIdentityObserver(nil, list)
	for round := range 5 {
		o.identify(t.Context())
		assert.Equal(t, len(s.asked), (round+1)*identifiesPerRound)
	}
}
