package relayer

import (
	"context"
	"crypto/rand"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/internal/messenger"
	"github.com/waxwingmount/waxwingmount/internal/observer"
	"github.com/waxwingmount/waxwingmount/pkg/evacuator"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
	"github.com/waxwingmount/waxwingmount/pkg/tracker"
)

// evacuate sets what a source has read of the evacuations, without any other change.
func (s *source) evacuate(version uint64, dataCentres ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.evacuations.Observe(clocker.Now(), evacuator.Reading{Version: version, DataCentres: dataCentres})
}

// untilEvacuated returns how long it takes until an observer acts upon an evacuation of a
// data centre, or upon its end.
func untilEvacuated(t *testing.T, o *observer.Observer, dataCentre string, want bool) time.Duration {
	t.Helper()
	for began := time.Now(); time.Since(began) < 5*time.Second; time.Sleep(2 * time.Millisecond) {
		evacuated := false
		o.WithTracker(func(t *tracker.Tracker) { evacuated = t.Evacuated(provider.Instance{DataCentre: dataCentre}) })
		if evacuated == want {
			return time.Since(began)
		}
	}
	t.Fatalf("evacuation of %s: not %t", dataCentre, want)
	return 0
}

// TestEvacuationReachesLeaves guards against an evacuation that leaves don't learn of from
// their peers as soon as of a change of the configuration, because nothing else has changed,
// and against an instance that has just started and does not know it. The store can't be read.
func TestEvacuationReachesLeaves(t *testing.T) {
	const slack = 250 * time.Millisecond
	from := newSource(t, 0)
	l := newLeaf(t, from, &soundStore{takes: time.Hour}, maxDirectMembers+4, 2*time.Second)
	untilEvacuated(t, l.observer, "east", false)
	time.Sleep(observer.PollInterval / 2)
	from.evacuate(2, "east")
	assert.Assert(t, untilEvacuated(t, l.observer, "east", true) < observer.PollInterval+slack)

	late := newLeaf(t, from, &soundStore{takes: time.Hour}, maxDirectMembers+4, 2*time.Second)
	for late.observer.Config() == nil {
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, untilEvacuated(t, late.observer, "east", true) < slack)

	from.evacuate(3)
	assert.Assert(t, untilEvacuated(t, l.observer, "east", false) < observer.PollInterval+slack)
}

// oldSource answers like a peer of an older build.
type oldSource struct{ *source }

func (s oldSource) News(arguments messenger.ChangesArguments, reply *messenger.ChangesReply) error {
	err := s.source.News(arguments, reply)
	reply.Evacuations = nil
	return err
}

// TestPeerOfOlderBuildEndsNoEvacuation guards against an instance that takes the silence of
// an older build for the end of an evacuation, or that never reads the evacuations because
// its sources are of such a build.
func TestPeerOfOlderBuildEndsNoEvacuation(t *testing.T) {
	from := newSource(t, 0)
	server, err := messenger.NewServer(messenger.Security{}, messenger.PeerService, oldSource{from}, rand.Read)
	assert.NilError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go server.Serve(t.Context(), listener)
	const bound = 2 * time.Second
	l := newLeaf(t, &source{listener: listener}, &soundStore{}, maxDirectMembers+4, bound)
	for !l.relayer.hasState() || l.relayer.Evacuations() == nil {
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, l.relayer.HearEvacuations(&evacuator.Report{Reading: evacuator.Reading{Version: 2, DataCentres: []string{"east"}}}))
	assert.Assert(t, !l.relayer.HearEvacuations(&evacuator.Report{Reading: evacuator.Reading{Version: 2, DataCentres: []string{"east"}}}))
	l.observer.Refresh()
	untilEvacuated(t, l.observer, "east", true)
	for range 3 {
		_, err := l.relayer.Fetch(t.Context(), false)
		assert.NilError(t, err)
		assert.DeepEqual(t, l.relayer.Evacuations().Reading.DataCentres, []string{"east"})
		time.Sleep(observer.PollInterval / 2)
		assert.Assert(t, l.observer.EvacuationsAge() < bound)
	}
}

// evacuatedStore is a store whose configuration can't be decoded.
type evacuatedStore struct{ stubPlatform }

func (p *evacuatedStore) ReadConfig(context.Context, bool) (ConfigReading, error) {
	return ConfigReading{At: clocker.Now(), Evacuations: &evacuator.Reading{Version: 2, DataCentres: []string{"east"}}}, errors.New("decode configuration")
}

// TestEvacuationWithoutConfig guards against an evacuation that is not in force because the
// configuration beside it is invalid.
func TestEvacuationWithoutConfig(t *testing.T) {
	r := newTestRelayer(&evacuatedStore{})
	o := observer.New(observer.Dependencies{Source: r, Prober: noPeers{}, Announcer: noPeers{}, Scope: tally.NoopScope})
	o.SetStoreReadInterval(100 * time.Millisecond)
	o.Start(t.Context())
	untilEvacuated(t, o, "east", true)
}

// TestHeartbeatsLeaveStoreAlone guards against a leaf that reads the store at each fetch,
// and holds requests up, because heartbeats tell it of newer readings than its sources do.
// Each write to the store raises its version, whatever it concerns.
func TestHeartbeatsLeaveStoreAlone(t *testing.T) {
	from, store := newSource(t, 0), &soundStore{}
	l := newLeaf(t, from, store, maxDirectMembers+4, 2*time.Second)
	for !l.relayer.hasState() {
		time.Sleep(time.Millisecond)
	}
	before := store.configReads.Load()
	oldest := time.Duration(0)
	for version, began := uint64(2), time.Now(); time.Since(began) < 3*time.Second; version++ {
		from.evacuate(version)
		l.relayer.HearEvacuations(&evacuator.Report{Reading: evacuator.Reading{Version: version + 100}})
		time.Sleep(20 * time.Millisecond)
		oldest = max(oldest, l.observer.EvacuationsAge())
	}
	assert.Equal(t, store.configReads.Load(), before)
	assert.Assert(t, oldest < 2*time.Second, "%v", oldest)
}
