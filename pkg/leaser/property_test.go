package leaser

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/waxwingmount/waxwingmount/internal/seeder"
)

// TestNeverTwoHolders lets three processes take random steps, with frozen
// holders, late and lost replies, and demands that no two hold the lease at
// one time.
func TestNeverTwoHolders(t *testing.T) {
	seeder.Check(t, checkHolders)
}

func checkHolders(t *rapid.T) {
	w := newSimulation(nil)
	names := []string{"a", "b", "c"}
	now := w.start
	for range rapid.IntRange(5, 80).Draw(t, "steps") {
		now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "pause_ms")) * time.Millisecond)
		name := rapid.SampledFrom(names).Draw(t, "process")
		l := w.lease(name)
		switch rapid.SampledFrom([]string{"read", "commit", "lost", "nothing"}).Draw(t, "event") {
		case "read":
			w.pending[name] = l.Step(now, Event{Kind: RowRead, Row: w.row, SentAt: now})
			w.sentAt[name] = now
		case "commit":
			l.Step(now, Event{Kind: CommitCompleted, Outcome: w.commit(name), SentAt: w.sentAt[name]})
			w.pending[name] = Action{}
		case "lost":
			w.commit(name)
			w.pending[name] = Action{}
		}
		holders := 0
		for _, other := range names {
			if w.lease(other).Remaining(now) > 0 {
				holders++
			}
		}
		if holders > 1 {
			t.Fatalf("%d processes hold the lease", holders)
		}
	}
}
