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

// simulation is a table with one row, and holders that see it.
type simulation struct {
	t       *testing.T
	start   time.Time
	row     provider.Row
	leases  map[string]*Lease
	pending map[string]Action
	sentAt  map[string]time.Time
	// lateActions are the writes without an answer that the table has yet to do.
	lateActions map[string]Action
}

func newSimulation(t *testing.T) *simulation {
	return &simulation{
		t: t, start: time.Now(), row: provider.Row{Key: "leases/x"},
		leases:      make(map[string]*Lease),
		pending:     make(map[string]Action),
		sentAt:      make(map[string]time.Time),
		lateActions: make(map[string]Action),
	}
}

func (w *simulation) lease(name string) *Lease {
	l, found := w.leases[name]
	if !found {
		l = New(Settings{Key: "leases/x", Holder: name, Term: testTerm, Margin: testMargin})
		w.leases[name] = l
	}
	return l
}

// commit applies a holder's pending transaction to the row.
func (w *simulation) commit(name string) provider.Outcome {
	return w.apply(w.pending[name].Transaction)
}

func (w *simulation) apply(tx provider.Transaction) provider.Outcome {
	if len(tx.Writes) == 0 || tx.Guards[0].Version != w.row.Version {
		return provider.Outcome{Conflicts: []provider.Row{w.row}}
	}
	w.row.Version++
	w.row.Value = tx.Writes[0].Value
	return provider.Outcome{Committed: true}
}

// TestScripts drives several holders of one lease: the term is 1000 ms, the
// margin 200 ms. A step may be split, so that replies come late or never.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		w := newSimulation(t)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			name := d.CmdArgs[0].Key
			ms := 0
			d.ScanArgs(t, "at", &ms)
			now := w.start.Add(time.Duration(ms) * time.Millisecond)
			l := w.lease(name)
			switch d.Cmd {
			case "read":
				w.pending[name] = l.Step(now, Event{Kind: RowRead, Row: w.row, SentAt: now})
				w.sentAt[name] = now
				return w.pending[name].Kind.String() + "\n"
			case "commit":
				l.Step(now, Event{Kind: CommitCompleted, Outcome: w.commit(name), SentAt: w.sentAt[name]})
			case "commit_reply_lost":
				w.commit(name)
				l.Step(now, Event{Kind: Failed, SentAt: w.sentAt[name]})
			case "unanswered":
				w.lateActions[name] = w.pending[name]
				l.Step(now, Event{Kind: Failed, SentAt: w.sentAt[name]})
			case "done_late":
				return fmt.Sprintf("applied: %t\n", w.apply(w.lateActions[name].Transaction).Committed)
			case "ended":
				holder := ""
				d.ScanArgs(t, "holder", &holder)
				l.MarkHolderEnded(holder)
			case "resign":
				w.pending[name] = l.Step(now, Event{Kind: Resigned})
				w.sentAt[name] = now
			}
			remaining := l.Remaining(now)
			if remaining <= 0 {
				return fmt.Sprintf("not held, epoch %d\n", l.Epoch())
			}
			return "held for " + strconv.FormatInt(remaining.Milliseconds(), 10) + " ms, epoch " + strconv.FormatUint(l.Epoch(), 10) + "\n"
		})
	})
}
