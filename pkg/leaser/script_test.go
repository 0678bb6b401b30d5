package leaser

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

const (
	testTerm   = time.Second
	testMargin = 200 * time.Millisecond
)

// simulation is a table, and the processes that compete for the lease in it.
type simulation struct {
	t     *testing.T
	start time.Time
	table tableState
	// saved is the copy from which the table may come back.
	saved   tableState
	leases  map[string]*Lease
	pending map[string]Action
	sentAt  map[string]time.Time
	// delayedCommits holds, by process, the commit that got no response and that
	// the table may still apply.
	delayedCommits map[string]Action
}

func newSimulation(t *testing.T) *simulation {
	return &simulation{
		t: t, start: time.Now(), table: newTableState(), saved: newTableState(),
		leases:         make(map[string]*Lease),
		pending:        make(map[string]Action),
		sentAt:         make(map[string]time.Time),
		delayedCommits: make(map[string]Action),
	}
}

func (s *simulation) lease(name string) *Lease {
	l, found := s.leases[name]
	if !found {
		l = New(Settings{Key: testKey, Holder: name, Term: testTerm, Margin: testMargin})
		s.leases[name] = l
	}
	return l
}

// commit applies a process's pending transaction to the table.
func (s *simulation) commit(name string) provider.Outcome {
	return s.table.apply(s.pending[name].Transaction)
}

// complete applies a process's pending transaction and returns the event that
// carries its result. The result is unknown if the table has come back from an
// older copy since its guards were read.
func (s *simulation) complete(name string) Event {
	tx := s.pending[name].Transaction
	outcome := s.commit(name)
	if len(tx.Guards) > 0 && tx.Guards[0].Version.Era != s.table.era {
		return Event{Kind: Failed, SentAt: s.sentAt[name]}
	}
	return Event{Kind: CommitCompleted, Outcome: outcome, SentAt: s.sentAt[name]}
}

// stepBack brings the table back from the saved copy.
func (s *simulation) stepBack() {
	era := s.table.era
	s.table = s.saved.clone()
	s.table.era = era + 1
}

// TestScripts runs the scripts in testdata against several processes that compete
// for one lease with a term of 1000 ms and a margin of 200 ms. Reads and commits
// are separate commands, so that replies can be delayed or lost. The command save
// takes a copy of the table, and step_back brings the table back from that copy.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := newSimulation(t)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "save":
				s.saved = s.table.clone()
				return ""
			case "step_back":
				s.stepBack()
				return ""
			}
			name := d.CmdArgs[0].Key
			ms := 0
			d.ScanArgs(t, "at", &ms)
			now := s.start.Add(time.Duration(ms) * time.Millisecond)
			l := s.lease(name)
			switch d.Cmd {
			case "read":
				s.pending[name] = l.Step(now, Event{Kind: RowRead, Row: s.table.read(testKey), SentAt: now})
				s.sentAt[name] = now
				return s.pending[name].Kind.String() + "\n"
			case "commit":
				l.Step(now, s.complete(name))
			case "commit_reply_lost":
				s.commit(name)
				l.Step(now, Event{Kind: Failed, SentAt: s.sentAt[name]})
			case "commit_delayed":
				s.delayedCommits[name] = s.pending[name]
				l.Step(now, Event{Kind: Failed, SentAt: s.sentAt[name]})
			case "apply_delayed":
				return fmt.Sprintf("applied: %t\n", s.table.apply(s.delayedCommits[name].Transaction).Committed)
			case "ended":
				holder := ""
				d.ScanArgs(t, "holder", &holder)
				l.MarkHolderEnded(holder)
			case "resign":
				s.pending[name] = l.Step(now, Event{Kind: Resigned})
				s.sentAt[name] = now
			}
			remaining := l.Remaining(now)
			if remaining <= 0 {
				return fmt.Sprintf("not held, epoch %d\n", l.Epoch())
			}
			return "held for " + strconv.FormatInt(remaining.Milliseconds(), 10) + " ms, epoch " + strconv.FormatUint(l.Epoch(), 10) + "\n"
		})
	})
}
