package relayer

import (
	"context"
	"crypto/rand"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/internal/messenger"
	"github.com/waxwingmount/waxwingmount/internal/observer"
	"github.com/waxwingmount/waxwingmount/pkg/evacuator"
	"github.com/waxwingmount/waxwingmount/pkg/gossiper"
	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
	"github.com/waxwingmount/waxwingmount/pkg/tracker"
)

// source is a peer that knows the store's state of a time ago until it is cut off from the
// store, and that can fall silent.
type source struct {
	lag         time.Duration
	cut, silent atomic.Bool
	released    <-chan struct{}
	listener    net.Listener

	mu    sync.Mutex
	state *versionedState
}

// News implements the peers' call.
func (s *source) News(arguments messenger.ChangesArguments, reply *messenger.ChangesReply) error {
	if s.silent.Load() {
		<-s.released
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.cut.Load() {
		at := clocker.Now().Add(-s.lag)
		s.state.confirmList(at, 1)
		s.state.configConfirmedAt = at
		s.state.evacuations.Observe(at, evacuator.Reading{Version: 1})
	}
	*reply = s.state.changesSince(clocker.Now(), arguments)
	return nil
}

// Accept implements [net.Listener]. A silent source's connections are never served.
func (s *source) Accept() (net.Conn, error) {
	conn, err := s.listener.Accept()
	if err == nil && s.silent.Load() {
		<-s.released
	}
	return conn, err
}

// Close implements [net.Listener].
func (s *source) Close() error { return s.listener.Close() }

// Addr implements [net.Listener].
func (s *source) Addr() net.Addr { return s.listener.Addr() }

func newSource(t *testing.T, lag time.Duration) *source {
	t.Helper()
	s := &source{state: newVersionedState(1), lag: lag, released: t.Context().Done()}
	s.state.updateList(InstancesReading{At: clocker.Now().Add(-lag), Version: 1, Instances: []provider.Instance{{ID: "a", Service: "s"}}})
	s.state.updateConfig(clocker.Now().Add(-lag), "", mapper.New(mapper.Config{Version: 1}), false)
	s.state.evacuations.Observe(clocker.Now().Add(-lag), evacuator.Reading{Version: 1})
	var err error
	s.listener, err = net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server, err := messenger.NewServer(messenger.Security{}, messenger.PeerService, s, rand.Read)
	assert.NilError(t, err)
	go server.Serve(t.Context(), s)
	return s
}

// soundStore answers each reading after a time.
type soundStore struct {
	takes time.Duration
	reads atomic.Int32
	// configReads counts the readings of the configuration.
	configReads atomic.Int32
}

func (s *soundStore) ReadInstances(context.Context, bool) (InstancesReading, error) {
	s.reads.Add(1)
	at := clocker.Now()
	time.Sleep(s.takes)
	return InstancesReading{At: at, Version: 1, Instances: []provider.Instance{{ID: "a", Service: "s"}}}, nil
}

func (s *soundStore) ReadConfig(context.Context, bool) (ConfigReading, error) {
	s.configReads.Add(1)
	at := clocker.Now()
	time.Sleep(s.takes)
	return ConfigReading{At: at, Table: mapper.New(mapper.Config{Version: 1}), Evacuations: &evacuator.Reading{Version: 1}}, nil
}

func (*soundStore) Era() uint64 { return 0 }

// noPeers is the prober and the announcer of an observer without either.
type noPeers struct{}

func (noPeers) Probe(context.Context, provider.Instance, time.Duration) error { return nil }
func (noPeers) Announce(context.Context, messenger.LossesMessage)             {}
func (noPeers) Count() int                                                    { return 1 }

func (noPeers) AskWitnesses(context.Context, provider.Instance, int) []tracker.Testimony {
	return nil
}

// TestListAgeIsBounded guards against a list of backend servers, or evacuations, that an
// instance acts upon for longer than a server may be sent requests after the store knows that
// it leaves, or that its data centre is evacuated:
// each step of a fetch kept its own limit, and nobody added them up. The store is sound;
// the instance's sources fall silent, or go on answering without the store. In calm the store
// is left to the readers.
func TestListAgeIsBounded(t *testing.T) {
	const (
		storeTakes = 300 * time.Millisecond
		watched    = 4 * time.Second
		phases     = 4
		calmAge    = 700 * time.Millisecond
		// readerLag is how far a reader may lag behind a store that holds its calls, and
		// relayLag how far a relay that asks it.
		readerLag = 570 * time.Millisecond
		relayLag  = readerLag + relayInterval
	)
	type run struct {
		leaf  *leaf
		bound time.Duration
		name  string
	}
	var runs []*run
	for _, test := range []struct {
		name    string
		bound   time.Duration
		members int
		// disturb is what happens to each source.
		disturb func(*source)
		// told means that a silent source has told of a newer configuration.
		told bool
	}{
		{name: "silent readers", bound: 2 * time.Second, members: 4, disturb: fallSilent},
		{name: "readers without the store", bound: 2 * time.Second, members: 4, disturb: cutOff},
		{name: "silent readers, newer version told", bound: 2 * time.Second, members: 4, disturb: fallSilent, told: true},
		{name: "silent relays and readers", bound: 3 * time.Second, members: 16, disturb: fallSilent},
		{name: "relays and readers without the store", bound: 3 * time.Second, members: 16, disturb: cutOff},
		{name: "silent relays and readers, short bound", bound: 2 * time.Second, members: 16, disturb: fallSilent},
	} {
		for phase := range phases {
			lag := readerLag
			if test.members > maxDirectMembers {
				lag = relayLag
			}
			lag = lag * time.Duration(phase) / (phases - 1)
			l := newLeaf(t, newSource(t, lag), &soundStore{takes: storeTakes}, test.members, test.bound)
			l.disturb, l.told = test.disturb, test.told
			l.calm = time.Second + time.Duration(phase)*observer.PollInterval/phases
			l.watched = watched
			runs = append(runs, &run{leaf: l, bound: test.bound, name: fmt.Sprint(test.name, " ", phase)})
		}
	}
	var running sync.WaitGroup
	for _, r := range runs {
		running.Go(r.leaf.run)
	}
	running.Wait()
	for _, r := range runs {
		t.Run(r.name, func(t *testing.T) {
			assert.Assert(t, r.leaf.ageInCalm < calmAge+r.leaf.source.lag, "%s in calm", r.leaf.ageInCalm)
			assert.Equal(t, r.leaf.readsInCalm, int32(0))
			t.Logf("at most %s of %s", r.leaf.oldest.Round(time.Millisecond), r.bound)
			assert.Assert(t, r.leaf.oldest <= r.bound, "acted upon a list of %s", r.leaf.oldest)
			t.Logf("evacuations at most %s", r.leaf.oldestEvacuations.Round(time.Millisecond))
			assert.Assert(t, r.leaf.oldestEvacuations <= r.bound, "acted upon evacuations of %s", r.leaf.oldestEvacuations)
		})
	}
}

// leaf is an instance that fetches from others.
type leaf struct {
	source   *source
	store    *soundStore
	relayer  *Relayer
	observer *observer.Observer
	disturb  func(*source)
	told     bool
	// calm is the time until the sources are disturbed, and watched the time from then.
	calm, watched time.Duration

	// ageInCalm is the list's age before the disturbance, and oldest the greatest one after
	// it, less the time for which the machine did not run the test.
	ageInCalm, oldest time.Duration
	// oldestEvacuations is like oldest, for the evacuations.
	oldestEvacuations time.Duration
	// readsInCalm is how often the store was read before the disturbance.
	readsInCalm int32
}

func newLeaf(t *testing.T, from *source, store *soundStore, count int, bound time.Duration) *leaf {
	t.Helper()
	l := &leaf{source: from, store: store}
	var members []gossiper.Member
	for i := range count {
		members = append(members, gossiper.Member{ID: fmt.Sprint("entry-", i), Peer: l.source.Addr().(*net.TCPAddr).AddrPort()})
	}
	l.relayer = New(Dependencies{
		Platform: store, Members: stubMembers(leafFirst(t, members)),
		Pool: messenger.NewPool(messenger.Security{}), Epoch: 9, MaxAge: StateMaxAge(bound),
	})
	l.observer = observer.New(observer.Dependencies{Source: l.relayer, Prober: noPeers{}, Announcer: noPeers{}, Scope: tally.NoopScope})
	l.observer.Start(t.Context())
	return l
}

func (l *leaf) run() {
	const (
		step  = 5 * time.Millisecond
		stall = 25 * time.Millisecond
	)
	time.Sleep(l.calm)
	l.ageInCalm, l.readsInCalm = l.observer.ListAge(), l.store.reads.Load()
	l.disturb(l.source)
	began := time.Now()
	stalled := time.Duration(0)
	for last := began; time.Since(began) < l.watched+stalled; {
		time.Sleep(step)
		if gap := time.Since(last); gap > stall {
			stalled += gap
		}
		last = time.Now()
		l.oldest = max(l.oldest, l.observer.ListAge()-stalled)
		l.oldestEvacuations = max(l.oldestEvacuations, l.observer.EvacuationsAge()-stalled)
		if l.told && l.relayer.HearVersion(l.source.Addr().(*net.TCPAddr).AddrPort(), 2) {
			l.observer.Refresh()
		}
	}
}

func fallSilent(s *source) { s.silent.Store(true) }
func cutOff(s *source)     { s.cut.Store(true) }

// leafFirst returns the members with one that is neither reader nor relay first.
func leafFirst(t *testing.T, members []gossiper.Member) []gossiper.Member {
	t.Helper()
	for i, m := range members {
		if own, from := sources(m, members); own == roleLeaf && len(from) >= readerCount {
			members[0], members[i] = members[i], members[0]
			return members
		}
	}
	t.Fatal("no leaf")
	return nil
}

// hangingStore answers at once until it hangs.
type hangingStore struct {
	soundStore
	hangs   atomic.Bool
	release <-chan struct{}
}

func (s *hangingStore) ReadInstances(ctx context.Context, hold bool) (InstancesReading, error) {
	if s.hangs.Load() {
		<-s.release
	}
	return s.soundStore.ReadInstances(ctx, hold)
}

// TestReaderAgeIsBounded guards against a reader whose list outlives the bound, for itself
// and for all that ask it, because its calls to the store hang and one of the other readers
// is silent; the third one is sound.
func TestReaderAgeIsBounded(t *testing.T) {
	const (
		bound   = 2 * time.Second
		watched = 4 * time.Second
		stall   = 25 * time.Millisecond
	)
	var members []gossiper.Member
	for i := range readerCount {
		members = append(members, gossiper.Member{ID: fmt.Sprint("entry-", i)})
	}
	silent, sound := newSource(t, 0), newSource(t, 0)
	_, others := sources(members[0], members)
	for i := range members {
		switch members[i].ID {
		case others[0].ID:
			members[i].Peer = silent.Addr().(*net.TCPAddr).AddrPort()
		case others[1].ID:
			members[i].Peer = sound.Addr().(*net.TCPAddr).AddrPort()
		}
	}
	store := &hangingStore{release: t.Context().Done()}
	r := New(Dependencies{
		Platform: store, Members: stubMembers(members), Pool: messenger.NewPool(messenger.Security{}), Epoch: 9, MaxAge: StateMaxAge(bound),
	})
	o := observer.New(observer.Dependencies{Source: r, Prober: noPeers{}, Announcer: noPeers{}, Scope: tally.NoopScope})
	o.Start(t.Context())
	time.Sleep(time.Second)
	silent.silent.Store(true)
	store.hangs.Store(true)
	oldest, stalled, last := time.Duration(0), time.Duration(0), time.Now()
	for began := last; time.Since(began) < watched+stalled; {
		time.Sleep(5 * time.Millisecond)
		if gap := time.Since(last); gap > stall {
			stalled += gap
		}
		last = time.Now()
		oldest = max(oldest, o.ListAge()-stalled)
	}
	t.Logf("at most %s of %s", oldest.Round(time.Millisecond), bound)
	assert.Assert(t, oldest <= bound)
}

// unconfirmedStore is a store in a new era that does not show the configuration's rewriting.
type unconfirmedStore struct{ soundStore }

func (s *unconfirmedStore) ReadConfig(ctx context.Context, hold bool) (ConfigReading, error) {
	reading, err := s.soundStore.ReadConfig(ctx, hold)
	reading.Era = 1
	return reading, err
}

// TestNewEraIsReadInCalm guards against reads of the store at the pace of an instance that
// lags behind, by hundreds of instances at once, while the newest that there is does not
// count as confirmed.
func TestNewEraIsReadInCalm(t *testing.T) {
	const bound = 2 * time.Second
	l := newLeaf(t, newSource(t, 0), &soundStore{}, maxDirectMembers+4, bound)
	store := &unconfirmedStore{}
	r := New(Dependencies{
		Platform: store, Members: l.relayer.Members, Pool: messenger.NewPool(messenger.Security{}), Epoch: 9, MaxAge: StateMaxAge(bound),
		EraSettled: func(context.Context, uint64) bool { return false },
	})
	_, err := r.Fetch(t.Context(), false)
	assert.NilError(t, err)
	cutOff(l.source)
	r.mu.Lock()
	r.state.observeEra(clocker.Now(), 1)
	r.state.configConfirmedAt = clocker.Now().Add(-relayedMaxAge)
	r.mu.Unlock()
	_, err = r.Fetch(t.Context(), false)
	assert.NilError(t, err)
	assert.Equal(t, store.reads.Load(), int32(1))
	assert.Assert(t, r.age() > r.softMaxAge())
	assert.Equal(t, r.Interval(), observer.PollInterval)
}
