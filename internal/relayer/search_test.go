package relayer

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/internal/messenger"
	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

// modelStore is the platform's store: rows with the version of their last change, the
// versions at which rows were removed, and the configuration.
type modelStore struct {
	era, version uint64
	rows         map[string]uint64
	removed      map[string]uint64
	config       uint64
	// rewritten reports whether the configuration was written in the era.
	rewritten bool
	// newest is the newest version of the configuration that the operator has written.
	newest uint64
	// configReadAt is the time at which a version of the configuration was last read.
	configReadAt map[uint64]time.Time
	// lists holds the lists that were read.
	lists map[listKey]*modelList
}

// listKey names a list by the epoch and the version of the store.
type listKey struct{ epoch, version uint64 }

// modelList is a list as it was read, last at that time.
type modelList struct {
	rows   map[string]uint64
	readAt time.Time
}

func (s *modelStore) toggle(id string) {
	s.version++
	if _, listed := s.rows[id]; listed {
		delete(s.rows, id)
		s.removed[id] = s.version
		return
	}
	s.rows[id] = s.version
	delete(s.removed, id)
}

func (s *modelStore) list() []string { return slices.Sorted(maps.Keys(s.rows)) }

// writeConfig writes a version of the configuration, as the operator does.
func (s *modelStore) writeConfig(version uint64) {
	s.version++
	s.config, s.newest, s.rewritten = version, version, true
}

// returnFromCopy puts an older copy in the store's place.
func (s *modelStore) returnFromCopy() {
	s.era++
	s.version--
	s.removed = make(map[string]uint64)
}

// modelReader is an instance that reads the store: whole at first, then by the feed.
type modelReader struct {
	Relayer
	at    time.Time
	store *modelStore
	era   uint64
	after uint64
	rows  map[string]uint64
	// held is a reading of the configuration that the store has sent, but that has not
	// arrived.
	held *ConfigReading
}

func (r *modelReader) Era() uint64 { return r.store.era }

func (r *modelReader) ReadInstances(context.Context, bool) (InstancesReading, error) {
	s := r.store
	reading := InstancesReading{At: r.at, Era: s.era, Version: s.version}
	for _, id := range s.list() {
		reading.Instances = append(reading.Instances, provider.Instance{ID: id, Incarnation: fmt.Sprint(s.rows[id])})
	}
	if reading.Followed = r.after > 0 && r.era == s.era; reading.Followed {
		for id, version := range s.removed {
			if version > r.after {
				reading.Removed = append(reading.Removed, id)
			}
		}
	}
	reading.Unchanged = reading.Followed && len(reading.Removed) == 0 && maps.Equal(r.rows, s.rows)
	r.era, r.after, r.rows = s.era, s.version, maps.Clone(s.rows)
	key := listKey{epoch: storeEpoch(s.era), version: s.version}
	if s.lists[key] == nil {
		s.lists[key] = &modelList{rows: maps.Clone(s.rows)}
	}
	s.lists[key].readAt = r.at
	return reading, nil
}

func (r *modelReader) ReadConfig(context.Context, bool) (ConfigReading, error) {
	if held := r.held; held != nil {
		r.held = nil
		return *held, nil
	}
	s := r.store
	s.configReadAt[s.config] = r.at
	return ConfigReading{At: r.at, Table: mapper.New(mapper.Config{Version: s.config}), Era: s.era, Rewritten: s.rewritten}, nil
}

// read reads the list and then the configuration.
func (r *modelReader) read(at time.Time) error {
	r.at = at
	if err := r.updateListFromStore(context.Background()); err != nil {
		return err
	}
	return r.updateConfigFromStore(context.Background())
}

// hold begins a reading of the configuration that arrives with the next one.
func (r *modelReader) hold(at time.Time) error {
	r.at, r.held = at, nil
	reading, err := r.ReadConfig(context.Background(), false)
	r.held = &reading
	return err
}

// model is a store, two readers, and an instance that fetches from either.
type model struct {
	at      time.Time
	store   *modelStore
	readers [2]*modelReader
	leaf    *Relayer
	starts  uint64
	// heldReply is a reply to the leaf that has not arrived, and heldSince the time of its
	// call.
	heldReply *messenger.ChangesReply
	heldSince time.Time
}

func newModel() *model {
	m := &model{at: time.Unix(1000, 0), store: &modelStore{
		version: 10, rows: make(map[string]uint64), removed: make(map[string]uint64), config: 1, newest: 1, rewritten: true,
		configReadAt: make(map[uint64]time.Time), lists: make(map[listKey]*modelList),
	}}
	for i := range m.readers {
		m.readers[i] = m.newReader()
	}
	m.leaf = &Relayer{state: m.newState()}
	for _, state := range m.states() {
		state.firstStart = true
	}
	return m
}

func (m *model) newState() *versionedState {
	m.starts++
	return newVersionedState(1_000_000 + m.starts)
}

func (m *model) newReader() *modelReader {
	r := &modelReader{store: m.store}
	r.Relayer.Dependencies = Dependencies{Platform: r, Members: stubMembers{{ID: "self"}}, EraSettled: func(context.Context, uint64) bool { return false }}
	r.Relayer.state = m.newState()
	return r
}

// states returns the states of all instances.
func (m *model) states() []*versionedState {
	return []*versionedState{m.readers[0].state, m.readers[1].state, m.leaf.state}
}

func (m *model) call(to *Relayer, from *versionedState) messenger.ChangesReply {
	arguments := to.state.arguments()
	// Packing takes most of the time, and has a test of its own.
	arguments.AcceptsPacked, arguments.AcceptsPackedConfig = false, false
	return from.changesSince(m.at, arguments)
}

func (m *model) fetch(to *Relayer, from *versionedState) error {
	to.takeReply(m.at, "reader", m.call(to, from), maxAge)
	return nil
}

// steps are all that can happen; the letters name them in failures.
var steps = map[byte]func(*model) error{
	'a': func(m *model) error { m.store.toggle("a"); return nil },
	'b': func(m *model) error { m.store.toggle("b"); return nil },
	'c': func(m *model) error { m.store.writeConfig(m.store.newest + 1); return nil },
	'1': func(m *model) error { return m.readers[0].read(m.at) },
	'2': func(m *model) error { return m.readers[1].read(m.at) },
	'x': func(m *model) error { return m.fetch(m.leaf, m.readers[0].state) },
	'y': func(m *model) error { return m.fetch(m.leaf, m.readers[1].state) },
	'z': func(m *model) error { return m.fetch(&m.readers[1].Relayer, m.readers[0].state) },
	'R': func(m *model) error { m.readers[1] = m.newReader(); return nil },
	// The history of the first reader's feed is gone, so that it reads the list whole.
	'G': func(m *model) error { m.readers[0].after = 0; return nil },
	'L': func(m *model) error { m.leaf, m.heldReply = &Relayer{state: m.newState()}, nil; return nil },
	// The store comes back from an older copy, which lacks one row.
	'E': func(m *model) error { m.store.returnFromCopy(); delete(m.store.rows, "b"); return nil },
	// The store comes back from an older copy, which lacks the last version of the
	// configuration.
	'O': func(m *model) error {
		m.store.returnFromCopy()
		m.store.config, m.store.rewritten = max(1, m.store.config-1), false
		return nil
	},
	// The operator writes the newest version again.
	'W': func(m *model) error { m.store.writeConfig(m.store.newest); return nil },
	// The operator is waited for no longer.
	'T': func(m *model) error { m.at = m.at.Add(rewriteTimeout); return nil },
	// A reading and a reply that are slow, and what they hold when they arrive.
	'h': func(m *model) error { return m.readers[1].hold(m.at) },
	'q': func(m *model) error {
		reply := m.call(m.leaf, m.readers[0].state)
		m.heldReply, m.heldSince = &reply, m.at
		return nil
	},
	'Q': func(m *model) error {
		if m.heldReply != nil {
			m.leaf.takeReply(m.heldSince, "reader", *m.heldReply, maxAge)
			m.heldReply = nil
		}
		return nil
	},
}

// check returns an error if an instance counts a version or a list as current later than
// the source was read with it, or if its list is none that was read.
func (m *model) check() error {
	for i, state := range m.states() {
		readAt := m.store.configReadAt[state.configVersion()]
		if state.configConfirmedAt.After(readAt) {
			return fmt.Errorf("instance %d: version %d confirmed %s after it was last read", i+1, state.configVersion(), state.configConfirmedAt.Sub(readAt))
		}
		if state.listedAt.IsZero() {
			continue
		}
		list := m.store.lists[listKey{epoch: state.epoch, version: state.revision}]
		if list == nil || !list.holds(state) {
			return fmt.Errorf("instance %d: its list is not that of version %d", i+1, state.revision)
		}
		if state.listedAt.After(list.readAt) {
			return fmt.Errorf("instance %d: list of version %d current %s after it was last read", i+1, state.revision, state.listedAt.Sub(list.readAt))
		}
	}
	return nil
}

// holds reports whether a state holds the same list.
func (l *modelList) holds(state *versionedState) bool {
	for id, version := range l.rows {
		if e, listed := state.instances[id]; !listed || e.instance.Incarnation != strconv.FormatUint(version, 10) {
			return false
		}
	}
	return len(state.instances) == len(l.rows)
}

// run runs a history, after which the operator writes the newest version again if the store
// lacks it and the leaf fetches from each reader once more. It returns an error if an
// instance's state fails the check, if the leaf's configuration goes back in one run, or if at
// the end its list or configuration is not that of the store, or not current.
func (m *model) run(history string) error {
	version := uint64(0)
	for i := range len(history) {
		m.at = m.at.Add(time.Millisecond)
		if err := steps[history[i]](m); err != nil {
			return err
		}
		if err := m.check(); err != nil {
			return err
		}
		if history[i] == 'L' {
			version = 0
		}
		if m.leaf.state.configVersion() < version {
			return fmt.Errorf("version %d came back after %d", m.leaf.state.configVersion(), version)
		}
		version = m.leaf.state.configVersion()
	}
	if !m.store.rewritten {
		m.store.writeConfig(m.store.newest)
	}
	for i, r := range m.readers {
		m.at = m.at.Add(time.Millisecond)
		r.held = nil
		if err := r.read(m.at); err != nil {
			return err
		}
		if err := m.fetch(m.leaf, r.state); err != nil {
			return err
		}
		if err := m.check(); err != nil {
			return err
		}
		var listed []string
		for _, in := range m.leaf.state.all() {
			listed = append(listed, in.ID+"@"+in.Incarnation)
		}
		var want []string
		for _, id := range m.store.list() {
			want = append(want, fmt.Sprint(id, "@", m.store.rows[id]))
		}
		slices.Sort(listed)
		if !slices.Equal(listed, want) {
			return fmt.Errorf("after reader %d: list %v, want %v", i+1, listed, want)
		}
		if got := m.leaf.state.configVersion(); got != m.store.config {
			return fmt.Errorf("after reader %d: version %d, want %d", i+1, got, m.store.config)
		}
		if age := m.at.Sub(m.leaf.state.configConfirmedAt); age != 0 {
			return fmt.Errorf("after reader %d: version confirmed %s ago", i+1, age)
		}
		if age := m.at.Sub(m.leaf.state.listedAt); age != 0 {
			return fmt.Errorf("after reader %d: list %s old", i+1, age)
		}
	}
	return nil
}

// search runs all histories of up to depth steps with the letters after each beginning, and
// returns how many there are.
func search(t *testing.T, beginnings []string, letters string, depth int) int {
	t.Helper()
	histories := 0
	var extend func(history string, depth int)
	extend = func(history string, depth int) {
		histories++
		if err := newModel().run(history); err != nil {
			t.Fatalf("history %q: %v", history, err)
		}
		if depth == 0 {
			return
		}
		for _, letter := range letters {
			extend(history+string(letter), depth-1)
		}
	}
	for _, beginning := range beginnings {
		extend(beginning, depth)
	}
	t.Logf("%d histories of up to %d steps after %s", histories, depth, strings.Join(beginnings, ", "))
	return histories
}

// TestEveryHistoryConverges guards against a list or configuration that stays wrong after
// some order of changes, readings by feed or whole, fetches from either reader or from one
// reader by the other, restarts, and a return of the store from an older copy, and against a
// version that counts as confirmed later than it was read.
func TestEveryHistoryConverges(t *testing.T) {
	const letters = "abc12xyzRGLE"
	histories := search(t, []string{"", "ab1x2y", "a1xa2bR"}, letters, 5)
	// The second reader does not know an instance that the leaf knows.
	histories += search(t, []string{"21a1x", "21a1xaG"}, letters, 4)
	assert.Assert(t, histories > 500_000)
}

// TestEveryHistoryConfirmsWhatWasRead guards against a version that counts as confirmed
// later than the source was read with it, where the store comes back from an older copy that
// lacks the version, the operator is late to write it again, and readings and replies are
// slow.
func TestEveryHistoryConfirmsWhatWasRead(t *testing.T) {
	histories := search(t, []string{"", "c1x", "c1xOR2T", "c12yOT"}, "c12xyzRLOWThqQ", 4)
	assert.Assert(t, histories > 100_000)
}
