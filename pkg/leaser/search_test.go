package leaser

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// searchDepth is the number of steps of each history that is searched, after its
	// beginning.
	searchDepth = 7
	searchTick  = time.Second
	// A term of two ticks and a margin of one keep the histories short.
	searchTerm   = 2 * searchTick
	searchMargin = searchTick
	// maxSearchEra bounds how often the table comes back from a copy.
	maxSearchEra = 2
	// minSearchStates guards against a search that finds nothing because it visits
	// nothing.
	minSearchStates = 50_000
)

var candidates = []string{"a", "b"}

// searchState is the table, its copy, and two candidates for the lease.
type searchState struct {
	simulation
	ticks int
	// restarted holds the candidates that run their second process.
	restarted map[string]bool
	// holderOf holds which process held the lease in which epoch.
	holderOf map[uint64]string
}

func (s *searchState) now() time.Time { return s.start.Add(time.Duration(s.ticks) * searchTick) }

// clone returns a deep copy.
func (s *searchState) clone() *searchState {
	next := *s
	next.table, next.saved = s.table.clone(), s.saved.clone()
	next.leases = make(map[string]*Lease)
	for name, l := range s.leases {
		copied := *l
		next.leases[name] = &copied
	}
	next.pending, next.sentAt, next.delayedCommits = cloneMap(s.pending), cloneMap(s.sentAt), cloneMap(s.delayedCommits)
	next.holderOf, next.restarted = cloneMap(s.holderOf), cloneMap(s.restarted)
	return &next
}

func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	next := make(map[K]V, len(m))
	for k, v := range m {
		next[k] = v
	}
	return next
}

// key describes the state with all times relative to now, so that histories that
// lead to the same situation are continued once.
func (s *searchState) key() string {
	var b strings.Builder
	relative := func(at time.Time) int { return max(-9, int(at.Sub(s.now())/searchTick)) }
	fmt.Fprintf(&b, "%d %v %v|%v %v", s.table.era, s.table.numbers, s.table.values, s.saved.numbers, s.saved.values)
	for _, name := range candidates {
		l := s.leases[name]
		fmt.Fprintf(&b, "|%v %v %t %t %d %d %d %v", l.version, l.value, l.observed, l.resigned, relative(l.unchangedSince), relative(l.termEnd), l.epoch, l.pendingValue)
		fmt.Fprintf(&b, " %s %d %s", describe(s.pending[name]), relative(s.sentAt[name]), describe(s.delayedCommits[name]))
	}
	fmt.Fprintf(&b, "|%v %v", s.holderOf, s.restarted)
	return b.String()
}

func describe(a Action) string {
	data, err := json.Marshal(a.Transaction)
	if err != nil {
		// A transaction can always be encoded.
		panic(err)
	}
	return string(data)
}

// check returns an error if both candidates hold the lease, or both have held it in
// one epoch.
func (s *searchState) check() error {
	holder := ""
	for _, name := range candidates {
		l := s.leases[name]
		if l.Remaining(s.now()) <= 0 {
			continue
		}
		if holder != "" {
			return fmt.Errorf("%s and %s hold the lease", holder, name)
		}
		holder = name
		process := l.settings.Holder
		if used, found := s.holderOf[l.Epoch()]; found && used != process {
			return fmt.Errorf("%s and %s held the lease in epoch %d", used, process, l.Epoch())
		}
		s.holderOf[l.Epoch()] = process
	}
	return nil
}

// moves returns the steps that are possible, by name. A candidate that is cut off
// from the table makes none.
func (s *searchState) moves() map[string]func(*searchState) {
	moves := map[string]func(*searchState){
		"tick": func(n *searchState) { n.ticks++ },
		"save": func(n *searchState) { n.saved = n.table.clone() },
	}
	if s.table.era < maxSearchEra {
		moves["step back"] = func(n *searchState) { n.stepBack() }
	}
	for _, name := range candidates {
		pending := s.pending[name].Kind == Commit
		if !pending {
			moves[name+" reads"] = func(n *searchState) {
				n.sentAt[name] = n.now()
				n.pending[name] = n.lease(name).Step(n.now(), Event{Kind: RowRead, Row: n.table.read(testKey), SentAt: n.now()})
			}
		} else {
			moves[name+" commits"] = func(n *searchState) {
				n.lease(name).Step(n.now(), n.complete(name))
				n.pending[name] = Action{}
			}
			moves[name+"'s commit is late"] = func(n *searchState) {
				n.lease(name).Step(n.now(), Event{Kind: Failed, SentAt: n.sentAt[name]})
				n.delayedCommits[name], n.pending[name] = n.pending[name], Action{}
			}
		}
		if !s.leases[name].resigned {
			moves[name+" resigns"] = func(n *searchState) { n.lease(name).Step(n.now(), Event{Kind: Resigned}) }
		}
		if !s.restarted[name] {
			moves[name+" restarts"] = func(n *searchState) {
				n.restarted[name] = true
				n.leases[name] = newCandidate(name + "'")
				n.pending[name] = Action{}
			}
		}
		if s.delayedCommits[name].Kind == Commit {
			moves[name+"'s late commit is applied"] = func(n *searchState) {
				n.table.apply(n.delayedCommits[name].Transaction)
				n.delayedCommits[name] = Action{}
			}
		}
	}
	return moves
}

// TestNoTwoHoldersInAnyHistory guards against two holders of one lease, or of one
// epoch, when the table comes back from an older copy. It searches all histories of
// searchDepth steps of two candidates with reads, commits, late commits, copies and
// returns of the table.
func TestNoTwoHoldersInAnyHistory(t *testing.T) {
	total := 0
	for _, beginning := range beginnings {
		total += searchFrom(t, beginning)
	}
	t.Logf("%d states in histories of %d steps after %d beginnings", total, searchDepth, len(beginnings))
	assert.Assert(t, total > minSearchStates, "%d states", total)
}

// beginnings are the steps before those that are searched.
var beginnings = [][]string{
	nil,
	// The copy is older than the change of the holder; the first one is still there.
	{"a reads", "a commits", "save", "b reads", "tick", "tick", "tick", "b reads", "b commits"},
	// As above, with a late commit of the first holder.
	{"a reads", "a commits", "save", "b reads", "a reads", "a's commit is late", "tick", "tick", "tick", "b reads", "b commits", "step back"},
	// The second holder's row gets the version of which a late commit of the first
	// one makes a condition.
	{
		"a reads", "a commits", "save", "a reads", "a commits", "a reads", "a's commit is late", "step back",
		"b reads", "tick", "tick", "tick", "b reads", "b commits", "a's late commit is applied",
	},
	// The copy is from a time without a holder.
	{"save", "a reads", "a commits", "step back"},
}

func newCandidate(holder string) *Lease {
	return New(Settings{Key: testKey, Holder: holder, Term: searchTerm, Margin: searchMargin})
}

// searchNode is a state and the steps that led to it.
type searchNode struct {
	state *searchState
	path  string
}

// searchFrom searches the histories that start with the given steps, and returns
// the number of different states.
func searchFrom(t *testing.T, beginning []string) int {
	root := &searchState{simulation: *newSimulation(t), holderOf: make(map[uint64]string), restarted: make(map[string]bool)}
	for _, name := range candidates {
		root.leases[name] = newCandidate(name)
	}
	for _, name := range beginning {
		move, possible := root.moves()[name]
		assert.Assert(t, possible, name)
		move(root)
		assert.NilError(t, root.check(), name)
	}
	seen := map[string]bool{root.key(): true}
	level := []searchNode{{state: root, path: strings.Join(beginning, "; ")}}
	for range searchDepth {
		var next []searchNode
		for _, n := range level {
			for name, move := range n.state.moves() {
				s := n.state.clone()
				move(s)
				path := n.path + "; " + name
				assert.NilError(t, s.check(), path)
				if key := s.key(); !seen[key] {
					seen[key] = true
					next = append(next, searchNode{state: s, path: path})
				}
			}
		}
		level = next
	}
	return len(seen)
}
