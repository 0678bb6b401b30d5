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
	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
	"github.com/waxwingmount/waxwingmount/pkg/tracker"
)

// stub implements the platform and the peers of one observer.
type stub struct {
	peers       int
	unreachable atomic.Bool
	announced   chan messenger.LossesMessage
	// testimonies are the answers of peers that are asked.
	testimonies []tracker.Testimony
}

var errNoResponse = errors.New("no response")

func (s *stub) Interval() time.Duration { return 0 }

func (s *stub) Fetch(context.Context, bool) (Snapshot, error) {
	return Snapshot{ListedAt: clocker.Now(), Instances: []provider.Instance{{ID: "a", Incarnation: "1", Service: "s"}}}, nil
}

func (s *stub) Probe(context.Context, provider.Instance, time.Duration) error {
	if s.unreachable.Load() {
		return errNoResponse
	}
	return nil
}

func (s *stub) Announce(_ context.Context, message messenger.LossesMessage) { s.announced <- message }
func (s *stub) Count() int                                                  { return s.peers }

func (s *stub) AskWitnesses(context.Context, provider.Instance, int) []tracker.Testimony {
	return s.testimonies
}

func newStubObserver(peers int) (*stub, *Observer) {
	s := &stub{peers: peers, announced: make(chan messenger.LossesMessage, 8)}
	o := New(Dependencies{Source: s, Prober: s, Announcer: s, Scope: tally.NoopScope})
	o.poll(context.Background())
	return s, o
}

func isLost(o *Observer) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.tracker.IsLost("a")
}

var lossOfA = []messenger.Loss{{Instance: "a", Incarnation: "1"}}

// TestPeerRetractsLoss guards against an instance staying lost after the peer
// that reported the loss has retracted it. No probe runs.
func TestPeerRetractsLoss(t *testing.T) {
	_, o := newStubObserver(2)
	o.HandleLosses(messenger.LossesMessage{Losses: lossOfA})
	assert.Assert(t, isLost(o))
	o.HandleLosses(messenger.LossesMessage{Found: lossOfA})
	assert.Assert(t, !isLost(o))
}

// TestPeerRetractsEarlierLoss guards against a late retraction, of an earlier incarnation,
// clearing the loss of the present one.
func TestPeerRetractsEarlierLoss(t *testing.T) {
	_, o := newStubObserver(2)
	o.HandleLosses(messenger.LossesMessage{Losses: lossOfA})
	o.HandleLosses(messenger.LossesMessage{Found: []messenger.Loss{{Instance: "a", Incarnation: "0"}}})
	assert.Assert(t, isLost(o))
}

// TestTestimonyOfRestartedInstance guards against a probe of an earlier incarnation being
// taken for the answer of the present one.
func TestTestimonyOfRestartedInstance(t *testing.T) {
	s, o := newStubObserver(2)
	list := func(at time.Time, incarnation string) {
		o.apply(Snapshot{ListedAt: at, Instances: []provider.Instance{{ID: "a", Incarnation: incarnation, Service: "s"}}})
	}
	now := clocker.Now()
	list(now, "1")
	s.unreachable.Store(true)
	assert.Equal(t, o.Testify(t.Context(), messenger.Loss{Instance: "a", Incarnation: "1"}), tracker.Silent)
	s.unreachable.Store(false)
	list(now.Add(time.Millisecond), "2")
	assert.Equal(t, o.Testify(t.Context(), messenger.Loss{Instance: "a", Incarnation: "2"}), tracker.Reached)
}

// TestOwnLossClearedOnlyByOwnProbe covers an instance that is unreachable from
// this entry instance only. A peer that reaches it must not clear the loss.
func TestOwnLossClearedOnlyByOwnProbe(t *testing.T) {
	s, o := newStubObserver(2)
	s.unreachable.Store(true)
	o.runCheck(t.Context(), provider.Instance{ID: "a", Incarnation: "1"})
	assert.DeepEqual(t, (<-s.announced).Losses, lossOfA)
	o.HandleLosses(messenger.LossesMessage{Found: lossOfA})
	assert.Assert(t, isLost(o))
	s.unreachable.Store(false)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go o.recheckLoop(ctx)
	assert.DeepEqual(t, (<-s.announced).Found, lossOfA)
	assert.Assert(t, !isLost(o))
}

// TestFewInstancesRecheckLoss covers a loss in a large installation. Only a few
// of the 60 entry instances that learned of it probe at a time.
func TestFewInstancesRecheckLoss(t *testing.T) {
	_, o := newStubObserver(60)
	o.HandleLosses(messenger.LossesMessage{Losses: lossOfA})
	const rounds = 1000
	probes := 0
	for range rounds {
		probes += len(o.recheckTargets())
	}
	assert.Assert(t, probes > 0 && probes < rounds/5, "%d of %d", probes, rounds)
}

// staleSource is a source whose readings can hang.
type staleSource struct {
	*stub
	hang    atomic.Bool
	version atomic.Uint64
}

func (s *staleSource) Fetch(ctx context.Context, _ bool) (Snapshot, error) {
	for s.hang.Load() && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	now := clocker.Now()
	return Snapshot{ListedAt: now, Config: mapper.New(mapper.Config{Version: s.version.Load()}), ConfirmedAt: now}, nil
}

// TestAwaitConfig guards against a process that has been starved or paused and answers its
// first requests by the configuration of before; and against waits for each request
// while nothing newer is to be had.
func TestAwaitConfig(t *testing.T) {
	const maxAge, limit = 50 * time.Millisecond, 100 * time.Millisecond
	source := &staleSource{stub: &stub{peers: 1}}
	source.version.Store(1)
	o := New(Dependencies{Source: source, Prober: source, Announcer: source, Scope: tally.NoopScope})
	o.poll(t.Context())
	time.Sleep(2 * maxAge)
	source.version.Store(2)
	go o.pollLoop(t.Context())
	o.AwaitConfig(t.Context(), maxAge, limit)
	assert.Equal(t, o.Config().Version, uint64(2))

	source.hang.Store(true)
	time.Sleep(2 * PollInterval)
	for i, longest := range []time.Duration{2 * limit, limit / 2, limit / 2} {
		began := time.Now()
		o.AwaitConfig(t.Context(), maxAge, limit)
		assert.Assert(t, time.Since(began) < longest, "wait %d took %s", i, time.Since(began))
	}
	source.version.Store(3)
	source.hang.Store(false)
	time.Sleep(2 * maxAge)
	o.AwaitConfig(t.Context(), maxAge, limit)
	assert.Equal(t, o.Config().Version, uint64(3))
}
