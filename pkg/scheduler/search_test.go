package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

const (
	// searchDepth is the number of steps that are searched after each beginning.
	searchDepth = 5
	// searchWait is a time after which no report is from before it.
	searchWait = 2 * maxReportAge
	// maxInFlight bounds the orders, and the answers, that are under way.
	maxInFlight = 3
	// minSearchStates guards against a search that finds nothing because it visits nothing.
	minSearchStates = 100_000
)

// searchGroups are the groups of the search, by epoch: each instance is the head of one.
var searchGroups = map[uint64][]string{1: {"a", "b"}, 2: {"b", "a"}}

// searchEngine is one instance.
type searchEngine struct {
	life, orders, maxEpoch, maxFence uint64
	membership                       provider.Membership
}

func (e *searchEngine) report() Report {
	return Report{Incarnation: fmt.Sprint(e.life), Orders: e.orders, Membership: e.membership}
}

// searchOrder is an order, or the answer to one, that is under way.
type searchOrder struct {
	order   Order
	fence   uint64
	outcome Outcome
}

// searchState is two instances, the orders and answers under way, and a scheduler.
type searchState struct {
	fencing   bool
	now       time.Time
	fence     uint64
	scheduler *Scheduler
	// dissolved is set once the scheduler has given up the first group.
	dissolved bool
	engines   map[string]searchEngine
	// lagging holds the report of each instance from before its last change, and listed
	// what the list says of it.
	lagging, listed  map[string]Report
	pending, answers []searchOrder
	restarted        bool
	violation        string
}

func newSearchState(fencing bool) *searchState {
	s := &searchState{
		fencing: fencing, now: time.Unix(1000, 0), fence: 1, scheduler: New(0),
		engines: make(map[string]searchEngine), lagging: make(map[string]Report), listed: make(map[string]Report),
	}
	for _, id := range []string{"a", "b"} {
		e := searchEngine{life: 1}
		s.engines[id], s.lagging[id], s.listed[id] = e, e.report(), e.report()
	}
	return s
}

func (s *searchState) clone() *searchState {
	next := *s
	next.engines, next.lagging, next.listed = maps.Clone(s.engines), maps.Clone(s.lagging), maps.Clone(s.listed)
	next.pending, next.answers = slices.Clone(s.pending), slices.Clone(s.answers)
	next.scheduler = New(0)
	for id, p := range s.scheduler.positions {
		copied := *p
		next.scheduler.positions[id] = &copied
	}
	return &next
}

// key describes the state, so that histories that lead to the same one are continued once.
func (s *searchState) key() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d %t %t", s.fence, s.dissolved, s.restarted)
	for _, id := range []string{"a", "b"} {
		fmt.Fprintf(&b, "|%v %v %v", s.engines[id], s.lagging[id], s.listed[id])
		if p := s.scheduler.positions[id]; p != nil {
			fmt.Fprintf(&b, " %v %v %t %t", p.Report, p.joining, p.doubtedAt.IsZero(), s.now.Sub(p.learnedAt) > maxReportAge)
		}
	}
	for _, under := range [][]searchOrder{s.pending, s.answers} {
		var texts []string
		for _, o := range under {
			texts = append(texts, fmt.Sprint(o.name(), o.order.Instance.Incarnation, o.order.Orders, o.order.Conditional, o.fence, o.outcome))
		}
		slices.Sort(texts)
		fmt.Fprintf(&b, "|%v", texts)
	}
	return b.String()
}

func (o searchOrder) name() string {
	return fmt.Sprintf("%s %s %d", o.order.Kind, o.order.Instance.ID, o.order.Epoch)
}

// change replaces an instance, whose reports may still show it as it was.
func (s *searchState) change(id string, e searchEngine) {
	before := s.engines[id]
	s.lagging[id], s.engines[id] = before.report(), e
}

// carryOut carries an order out as an engine does. It records a violation if an instance
// joins a group while it is in another one whose head is open, or stands still without it.
func (s *searchState) carryOut(o searchOrder) Outcome {
	id := o.order.Instance.ID
	e := s.engines[id]
	if s.fencing && o.fence < e.maxFence {
		return Refused
	}
	e.maxFence = o.fence
	defer func() { s.change(id, e) }()
	if o.order.Conditional && o.order.Orders != e.orders {
		return Conflicting
	}
	m := &e.membership
	same := m.Epoch == o.order.Epoch && m.Epoch != 0
	switch o.order.Kind {
	case Join:
		if same {
			return Satisfied
		}
		if o.order.Epoch < e.maxEpoch {
			return Refused
		}
		if m.Epoch != 0 {
			head := s.engines[searchGroups[m.Epoch][0]].membership
			if head.Epoch == m.Epoch && head.State == provider.Serving {
				s.violation = fmt.Sprintf("%s joined group %d while group %d was open", id, o.order.Epoch, m.Epoch)
			}
		}
		*m, e.maxEpoch = o.order.membership(), o.order.Epoch
	case Open:
		if !same || m.Rank != 0 || m.State == provider.Joining {
			return Conflicting
		}
		if m.State == provider.Serving {
			return Satisfied
		}
		m.State = provider.Serving
	case Close:
		if !same || m.State != provider.Serving {
			return Conflicting
		}
		m.State = provider.MemberReady
	case Leave:
		if !same {
			return Conflicting
		}
		*m = provider.Membership{}
	}
	e.orders++
	return Accepted
}

// order returns an order of the scheduler, with the instance as listed.
func (s *searchState) order(kind OrderKind, id string, epoch uint64) Order {
	listed := s.listed[id]
	return Order{
		Kind: kind, Group: fmt.Sprint("m~", epoch), Epoch: epoch, Members: searchGroups[epoch],
		Instance: provider.Instance{ID: id, Incarnation: listed.Incarnation, Membership: listed.Membership},
	}
}

// moves returns the steps that are possible, by name.
func (s *searchState) moves() map[string]func(*searchState) {
	moves := map[string]func(*searchState){
		"wait": func(n *searchState) {
			n.now = n.now.Add(searchWait)
			for id, e := range n.engines {
				n.lagging[id] = e.report()
			}
		},
	}
	if !s.dissolved {
		moves["dissolve"] = func(n *searchState) { n.dissolved = true }
	}
	if s.fence == 1 {
		moves["takeover"] = func(n *searchState) { n.fence, n.scheduler, n.answers = 2, New(0), nil }
	}
	for id := range s.engines {
		s.addEngineMoves(moves, id)
		s.addOrderMoves(moves, id)
	}
	for i, o := range s.pending {
		moves["carry out "+o.name()] = func(n *searchState) {
			n.pending = slices.Delete(n.pending, i, i+1)
			o.outcome = n.carryOut(o)
			if o.fence == n.fence && len(n.answers) < maxInFlight {
				n.answers = append(n.answers, o)
			}
		}
	}
	for i, o := range s.answers {
		moves["answer "+o.name()] = func(n *searchState) {
			n.answers = slices.Delete(n.answers, i, i+1)
			n.scheduler.HandleOutcome(n.now, o.order, o.outcome)
		}
	}
	return moves
}

// addEngineMoves adds the steps of one instance and of what is read of it.
func (s *searchState) addEngineMoves(moves map[string]func(*searchState), id string) {
	e := s.engines[id]
	if e.membership.State == provider.Joining {
		moves[id+" is ready"] = func(n *searchState) {
			e.membership.State = provider.MemberReady
			n.change(id, e)
		}
	}
	if !s.restarted {
		moves[id+" restarts"] = func(n *searchState) {
			n.restarted = true
			n.change(id, searchEngine{life: e.life + 1})
		}
	}
	moves["list "+id] = func(n *searchState) { n.listed[id] = e.report() }
	moves["read "+id] = func(n *searchState) { n.scheduler.HandleReport(n.now, id, e.report()) }
	moves["read "+id+" late"] = func(n *searchState) { n.scheduler.HandleReport(n.now, id, n.lagging[id]) }
}

// addOrderMoves adds the orders that the scheduler may send to an instance. It gives up the
// first group before it forms the second.
func (s *searchState) addOrderMoves(moves map[string]func(*searchState), id string) {
	if len(s.pending) >= maxInFlight {
		return
	}
	send := func(kind OrderKind, epoch uint64) {
		o := searchOrder{order: s.order(kind, id, epoch)}
		moves["send "+o.name()] = func(n *searchState) {
			order, readiness := n.scheduler.Prepare(n.now, n.order(kind, id, epoch))
			if readiness != NeedsReport {
				n.pending = append(n.pending, searchOrder{order: order, fence: n.fence})
			}
		}
	}
	current := uint64(1)
	if s.dissolved {
		send(Leave, 1)
		current = 2
	}
	send(Join, current)
	if searchGroups[current][0] == id {
		send(Open, current)
		send(Close, current)
	}
}

// searchBeginnings are the steps before those that are searched.
var searchBeginnings = [][]string{
	nil,
	// Both members have joined the first group; a copy of one Join order is under way.
	{"read a", "read b", "send join a 1", "carry out join a 1", "answer join a 1", "send join b 1", "send join b 1", "carry out join b 1", "answer join b 1", "a is ready"},
	// The group is given up while the order that opens it is under way.
	{
		"read a", "read b", "send join a 1", "carry out join a 1", "answer join a 1", "send join b 1", "send join b 1",
		"carry out join b 1", "answer join b 1", "a is ready", "send open a 1", "dissolve", "send leave b 1",
	},
	// The group is open, and the head leaves it.
	{
		"read a", "read b", "send join b 1", "carry out join b 1", "send join a 1", "send join a 1", "carry out join a 1", "answer join a 1",
		"a is ready", "send open a 1", "carry out open a 1", "dissolve", "send leave a 1",
	},
}

// TestNoJoinOutOfAnOpenGroupInAnyHistory guards against an instance that is taken out of a
// group whose head is open by an order that is carried out late, twice, after newer ones,
// after a takeover or in a new incarnation. It searches all histories of searchDepth steps
// after several beginnings, with and without fences.
func TestNoJoinOutOfAnOpenGroupInAnyHistory(t *testing.T) {
	total := 0
	for _, fencing := range []bool{true, false} {
		for _, beginning := range searchBeginnings {
			total += searchFrom(t, fencing, beginning)
		}
	}
	t.Logf("%d states in histories of %d steps after %d beginnings", total, searchDepth, len(searchBeginnings))
	assert.Assert(t, total > minSearchStates, "%d states", total)
}

// searchFrom searches the histories that start with the given steps, and returns the number
// of different states.
func searchFrom(t *testing.T, fencing bool, beginning []string) int {
	root := newSearchState(fencing)
	for _, name := range beginning {
		move, possible := root.moves()[name]
		assert.Assert(t, possible, name)
		move(root)
	}
	type node struct {
		state *searchState
		path  string
	}
	seen := map[string]bool{root.key(): true}
	level := []node{{root, strings.Join(beginning, "; ")}}
	for range searchDepth {
		var next []node
		for _, n := range level {
			for name, move := range n.state.moves() {
				s := n.state.clone()
				move(s)
				path := n.path + "; " + name
				assert.Assert(t, s.violation == "", "%s: %s", path, s.violation)
				if key := s.key(); !seen[key] {
					seen[key] = true
					next = append(next, node{s, path})
				}
			}
		}
		level = next
	}
	return len(seen)
}
