package observer

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/internal/messenger"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

// stub is the platform and the peers of one observer.
type stub struct {
	peers  int
	silent atomic.Bool
	told   chan messenger.LossesMessage
}

var errSilent = errors.New("no answer")

func (s *stub) Fetch(context.Context, bool) (Snapshot, error) {
	return Snapshot{ListedAt: clocker.Now(), Instances: []provider.Instance{{ID: "a", Incarnation: "1", Service: "s"}}}, nil
}

func (s *stub) Probe(context.Context, provider.Instance, time.Duration) error {
	if s.silent.Load() {
		return errSilent
	}
	return nil
}

func (s *stub) Announce(_ context.Context, message messenger.LossesMessage) { s.told <- message }
func (s *stub) Count() int                                                  { return s.peers }

func newStub(peers int) (*stub, *Observer) {
	s := &stub{peers: peers, told: make(chan messenger.LossesMessage, 8)}
	o := New(Dependencies{Source: s, Prober: s, Announcer: s, Scope: tally.NoopScope})
	o.look(context.Background())
	return s, o
}

func lost(o *Observer) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.survey.Lost("a")
}

var ofA = []messenger.Loss{{Instance: "a", Incarnation: "1"}}

// TestPeerTakesBackALoss tells of a loss and of an answer: nothing is probed here.
func TestPeerTakesBackALoss(t *testing.T) {
	_, o := newStub(2)
	o.HandleLosses(messenger.LossesMessage{Losses: ofA})
	assert.Assert(t, lost(o))
	o.HandleLosses(messenger.LossesMessage{Found: ofA})
	assert.Assert(t, !lost(o))
}

// TestOwnLossNeedsAnAnswer is an instance that only this entry instance cannot
// reach: what others reach does not help it.
func TestOwnLossNeedsAnAnswer(t *testing.T) {
	s, o := newStub(2)
	s.silent.Store(true)
	o.runCheck(t.Context(), provider.Instance{ID: "a", Incarnation: "1"})
	assert.DeepEqual(t, (<-s.told).Losses, ofA)
	o.HandleLosses(messenger.LossesMessage{Found: ofA})
	assert.Assert(t, lost(o))
	s.silent.Store(false)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go o.recheckLoop(ctx)
	assert.DeepEqual(t, (<-s.told).Found, ofA)
	assert.Assert(t, !lost(o))
}

// TestCrowdSharesTheProbes is a loss in a large installation: of 60 entry
// instances that were told of it, few probe at a time.
func TestCrowdSharesTheProbes(t *testing.T) {
	_, o := newStub(60)
	o.HandleLosses(messenger.LossesMessage{Losses: ofA})
	const rounds = 1000
	probes := 0
	for range rounds {
		probes += len(o.doubtful())
	}
	assert.Assert(t, probes > 0 && probes < rounds/5, "%d of %d", probes, rounds)
}
