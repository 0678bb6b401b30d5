package observer

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/internal/messenger"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
	"github.com/waxwingmount/waxwingmount/pkg/tracker"
)

// unconfirmedAfter is how long an instance must have responded to no probe before it is
// given up although the path may be the cause. Callers leave after two seconds.
const unconfirmedAfter = 1200 * time.Millisecond

// pathStub is a platform with instances in several fabric domains, to which probes are
// answered after a delay.
type pathStub struct {
	*stub
	instances []provider.Instance
	// delay returns the time after which an instance responds.
	delay func(id string) time.Duration
	// failure is the error of a probe without a response.
	failure error
}

func (s *pathStub) Fetch(context.Context, bool) (Snapshot, error) {
	return Snapshot{ListedAt: clocker.Now(), Instances: s.instances}, nil
}

func (s *pathStub) Probe(ctx context.Context, in provider.Instance, timeout time.Duration) error {
	delay := s.delay(in.ID)
	if !sleep(ctx, min(delay, timeout)) || delay >= timeout {
		return s.failure
	}
	return nil
}

// newPathObserver returns an observer of instances a, b, c and so on, each in a fabric
// domain of its own.
func newPathObserver(count int, delay func(id string) time.Duration) (*pathStub, *Observer) {
	s := &pathStub{stub: &stub{peers: 2, announced: make(chan messenger.LossesMessage, 8)}, delay: delay, failure: errNoResponse}
	for i := range count {
		s.instances = append(s.instances, provider.Instance{
			ID: string(rune('a' + i)), Incarnation: "1", Service: "s", FabricDomain: strconv.Itoa(i),
		})
	}
	o := New(Dependencies{Source: s, Prober: s, Announcer: s, Scope: tally.NoopScope})
	o.poll(context.Background())
	return s, o
}

// TestOwnPathFailureIsNoLoss guards against an entry instance whose own path is congested
// holding sound backend servers for lost and telling its peers so: no instance responds in
// time, or the references only slowly.
func TestOwnPathFailureIsNoLoss(t *testing.T) {
	for name, reference := range map[string]time.Duration{"silent": time.Hour, "slow": promptResponse + probeTimeout/4} {
		t.Run(name, func(t *testing.T) {
			s, o := newPathObserver(6, func(id string) time.Duration {
				if id == "a" {
					return time.Hour
				}
				return reference
			})
			o.runCheck(t.Context(), s.instances[0])
			assert.Assert(t, !isLost(o))
			select {
			case m := <-s.announced:
				t.Fatalf("announced %+v", m)
			default:
			}
		})
	}
}

// TestLossBesideOwnPath checks that an instance that does not respond while others do is
// lost at once, and that its peers are told.
func TestLossBesideOwnPath(t *testing.T) {
	s, o := newPathObserver(6, func(id string) time.Duration {
		if id == "a" {
			return time.Hour
		}
		return time.Millisecond
	})
	began := time.Now()
	o.runCheck(t.Context(), s.instances[0])
	assert.Assert(t, isLost(o))
	assert.Assert(t, time.Since(began) < 4*probeTimeout, "the loss was found after %s", time.Since(began))
	assert.DeepEqual(t, (<-s.announced).Losses, lossOfA)
}

// TestLongPathFailureStopsSending guards against requests being sent on and on over a path
// that stays broken: instances that respond to no probe for that long are lost
// for this entry instance, but not for its peers.
func TestLongPathFailureStopsSending(t *testing.T) {
	s, o := newPathObserver(6, func(string) time.Duration { return time.Hour })
	began := time.Now()
	for !isLost(o) && time.Since(began) < 2*unconfirmedAfter {
		o.runCheck(t.Context(), s.instances[0])
	}
	assert.Assert(t, isLost(o))
	assert.Assert(t, time.Since(began) >= unconfirmedAfter)
	assert.Equal(t, len(s.announced), 0)
}

// TestOwnPathFailureOfAll guards against losses being announced when the own path fails while
// requests run on all instances, so that each of them is under suspicion: for a moment, and
// for so long that they are given up here one after the other.
func TestOwnPathFailureOfAll(t *testing.T) {
	for _, count := range []int{2, 3, 6} {
		t.Run(strconv.Itoa(count), func(t *testing.T) {
			s, o := newPathObserver(count, func(string) time.Duration { return time.Hour })
			o.Suspect(t.Context(), s.instances)
			time.Sleep(4 * probeTimeout)
			assert.Equal(t, len(lostInstances(o)), 0)
			for began := time.Now(); time.Since(began) < 2*unconfirmedAfter; time.Sleep(checkInterval) {
				o.Suspect(t.Context(), s.instances)
			}
			assert.Equal(t, len(lostInstances(o)), count)
			assert.Equal(t, len(s.announced), 0)
			o.WithTracker(func(tr *tracker.Tracker) {
				for _, in := range s.instances {
					assert.Assert(t, !tr.LostForAll(in.ID))
				}
			})
		})
	}
}

// TestOwnPathFailureInOneDomain guards against the same where all instances share a fabric
// domain.
func TestOwnPathFailureInOneDomain(t *testing.T) {
	s, o := newPathObserver(6, func(string) time.Duration { return time.Hour })
	for i := range s.instances {
		s.instances[i].FabricDomain = "d"
	}
	o.poll(t.Context())
	o.runCheck(t.Context(), s.instances[0])
	assert.Equal(t, len(lostInstances(o)), 0)
}

// TestRefusedProbeIsLoss checks that an instance whose machine refuses the connection is lost
// at once, whatever the path is like: for all if peers don't reach it either, or there are
// none, and otherwise only here.
func TestRefusedProbeIsLoss(t *testing.T) {
	for name, c := range map[string]struct {
		testimonies []tracker.Testimony
		forAll      bool
	}{
		"no peers": {nil, true},
		"silent":   {[]tracker.Testimony{tracker.Unknown, tracker.Silent}, true},
		"reached":  {[]tracker.Testimony{tracker.Silent, tracker.Reached}, false},
		"unknown":  {[]tracker.Testimony{tracker.Unknown, tracker.Unknown}, false},
	} {
		t.Run(name, func(t *testing.T) {
			s, o := newPathObserver(6, func(string) time.Duration { return time.Hour })
			s.failure, s.testimonies = syscall.ECONNREFUSED, c.testimonies
			o.runCheck(t.Context(), s.instances[0])
			assert.Assert(t, o.AnyLostOrRestarted(s.instances[:1]))
			assert.Equal(t, o.LostForAllOrRestarted(s.instances[0]), c.forAll)
			if c.forAll {
				assert.DeepEqual(t, (<-s.announced).Losses, lossOfA)
			}
			assert.Equal(t, len(s.announced), 0)
		})
	}
}

// TestReferencesAreOfOtherPlaces guards against the references of a suspect being of its own
// rack, which fails with it, so that its silence looks like one of the path.
func TestReferencesAreOfOtherPlaces(t *testing.T) {
	s, o := newPathObserver(2*pathReferences, func(string) time.Duration { return time.Hour })
	for i := range s.instances {
		s.instances[i].FabricDomain = strconv.Itoa(min(i, pathReferences))
	}
	o.poll(t.Context())
	rack := s.instances[pathReferences:]
	for range 100 {
		o.mu.Lock()
		references := o.references(clocker.Now(), rack[0])
		o.mu.Unlock()
		assert.Equal(t, len(references), pathReferences)
		for _, in := range references {
			assert.Assert(t, in.FabricDomain != rack[0].FabricDomain, "%s is of the same rack", in.ID)
		}
	}
}

// TestWitnessDoubtsItself guards against an entry instance whose own path fails being
// believed that an instance does not respond.
func TestWitnessDoubtsItself(t *testing.T) {
	// a, the first one, responds only if the others do; the rest stand for the path.
	for name, c := range map[string]struct {
		silent       func(id string) bool
		contradicted string
		incarnation  string
		want         tracker.Testimony
	}{
		"reached":        {func(string) bool { return false }, "", "1", tracker.Reached},
		"silent":         {func(id string) bool { return id == "a" }, "", "1", tracker.Silent},
		"own path":       {func(string) bool { return true }, "", "1", tracker.Unknown},
		"most of path":   {func(id string) bool { return id != "b" }, "", "1", tracker.Unknown},
		"contradicted":   {func(id string) bool { return id == "a" }, "c", "1", tracker.Unknown},
		"it itself":      {func(id string) bool { return id == "a" }, "a", "1", tracker.Silent},
		"other run":      {func(string) bool { return false }, "", "2", tracker.Unknown},
		"doubts reached": {func(string) bool { return false }, "c", "1", tracker.Reached},
	} {
		t.Run(name, func(t *testing.T) {
			s, o := newPathObserver(4, func(id string) time.Duration {
				if c.silent(id) {
					return time.Hour
				}
				return time.Millisecond
			})
			o.WithTracker(func(tr *tracker.Tracker) {
				for _, in := range s.instances {
					if in.ID == c.contradicted {
						tr.ContradictPath(clocker.Now(), in, tracker.PathEvidence{})
					}
				}
			})
			assert.Equal(t, o.Testify(t.Context(), messenger.Loss{Instance: "a", Incarnation: c.incarnation}), c.want)
		})
	}
}

// TestTestimonyIsShared guards against many peers that ask for the same instance having it
// probed as often, and against a response from before a crash being told after it.
func TestTestimonyIsShared(t *testing.T) {
	var probes atomic.Int32
	_, o := newPathObserver(4, func(id string) time.Duration {
		if id != "a" {
			return time.Millisecond
		}
		probes.Add(1)
		return time.Hour
	})
	var askers sync.WaitGroup
	for range 50 {
		askers.Go(func() {
			assert.Check(t, o.Testify(t.Context(), lossOfA[0]) == tracker.Silent)
		})
	}
	askers.Wait()
	assert.Equal(t, probes.Load(), int32(1))
	reached := &testimony{done: make(chan struct{}), began: clocker.Now(), answer: tracker.Reached}
	close(reached.done)
	assert.Assert(t, !reached.current(reached.began.Add(probeTimeout)))
}

func lostInstances(o *Observer) []provider.Instance {
	var lost []provider.Instance
	o.WithTracker(func(tr *tracker.Tracker) { lost = tr.LostInstances() })
	return lost
}
