package relayer

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

// modelStore is the platform's store: rows with the version of their last change, and the
// versions at which rows were removed.
type modelStore struct {
	era, version uint64
	rows         map[string]uint64
	removed      map[string]uint64
	config       uint64
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

// modelReader is an instance that reads the store: whole at first, then by the feed.
type modelReader struct {
	state *versionedState
	era   uint64
	after uint64
}

func (r *modelReader) read(at time.Time, s *modelStore) {
	reading := InstancesReading{At: at, Era: s.era, Version: s.version}
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
	r.era, r.after = s.era, s.version
	r.state.updateList(reading)
	r.state.updateConfig(at, "", mapper.New(mapper.Config{Version: s.config}), true)
}

// model is a store, two readers, and an instance that fetches from either.
type model struct {
	at      time.Time
	store   *modelStore
	readers [2]*modelReader
	leaf    *Relayer
	starts  uint64
}

func newModel() *model {
	m := &model{at: time.Unix(1000, 0), store: &modelStore{version: 10, rows: make(map[string]uint64), removed: make(map[string]uint64), config: 1}}
	for i := range m.readers {
		m.readers[i] = &modelReader{state: m.newState()}
	}
	m.leaf = &Relayer{state: m.newState()}
	return m
}

func (m *model) newState() *versionedState {
	m.starts++
	state := newVersionedState(1_000_000 + m.starts)
	state.firstStart = true
	return state
}

func (m *model) fetch(to *Relayer, from *versionedState) error {
	if from.config == nil {
		return nil
	}
	arguments := to.state.arguments()
	// Packing takes most of the time, and has a test of its own.
	arguments.AcceptsPacked, arguments.AcceptsPackedConfig = false, false
	reply := from.changesSince(m.at, arguments)
	if reply.Era >= to.state.era {
		to.applyReply(m.at, "reader", reply)
	}
	return nil
}

// steps are all that can happen; the letters name them in failures.
var steps = map[byte]func(*model) error{
	'a': func(m *model) error { m.store.toggle("a"); return nil },
	'b': func(m *model) error { m.store.toggle("b"); return nil },
	'c': func(m *model) error { m.store.version++; m.store.config++; return nil },
	'1': func(m *model) error { m.readers[0].read(m.at, m.store); return nil },
	'2': func(m *model) error { m.readers[1].read(m.at, m.store); return nil },
	'x': func(m *model) error { return m.fetch(m.leaf, m.readers[0].state) },
	'y': func(m *model) error { return m.fetch(m.leaf, m.readers[1].state) },
	'z': func(m *model) error { return m.fetch(&Relayer{state: m.readers[1].state}, m.readers[0].state) },
	'R': func(m *model) error { m.readers[1] = &modelReader{state: m.newState()}; return nil },
	// The history of the first reader's feed is gone, so that it reads the list whole.
	'G': func(m *model) error { m.readers[0].after = 0; return nil },
	'L': func(m *model) error { m.leaf = &Relayer{state: m.newState()}; return nil },
	'E': func(m *model) error {
		// The store comes back from an older copy, which lacks one row.
		m.store.era++
		m.store.version--
		delete(m.store.rows, "b")
		m.store.removed = make(map[string]uint64)
		return nil
	},
}

// run runs a history and then lets the leaf fetch from each reader once more. It returns an
// error if the leaf's configuration goes back in one run, or if at the end its list is not
// that of the store or its configuration is not the newest.
func (m *model) run(history string) error {
	version := uint64(0)
	for i := range len(history) {
		m.at = m.at.Add(time.Millisecond)
		if err := steps[history[i]](m); err != nil {
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
	for i, r := range m.readers {
		m.at = m.at.Add(time.Millisecond)
		r.read(m.at, m.store)
		if err := m.fetch(m.leaf, r.state); err != nil {
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
	}
	return nil
}

// TestEveryHistoryConverges guards against a list or configuration that stays wrong after
// some order of changes, readings by feed or whole, fetches from either reader or from one
// reader by the other, restarts, and a return of the store from an older copy: all
// histories of searchDepth steps after each of a few beginnings.
func TestEveryHistoryConverges(t *testing.T) {
	const searchDepth = 5
	beginnings := []string{"", "ab1x2y", "a1xa2bR"}
	letters := slices.Sorted(maps.Keys(steps))
	histories := 0
	for _, beginning := range beginnings {
		var search func(history string, depth int)
		search = func(history string, depth int) {
			histories++
			if err := newModel().run(history); err != nil {
				t.Fatalf("history %q: %v", history, err)
			}
			if depth == 0 {
				return
			}
			for _, letter := range letters {
				search(history+string(letter), depth-1)
			}
		}
		search(beginning, searchDepth)
	}
	t.Logf("%d histories of up to %d steps after %s", histories, searchDepth, strings.Join(beginnings, ", "))
	assert.Assert(t, histories > 500_000)
}
