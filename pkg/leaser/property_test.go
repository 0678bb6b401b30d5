package leaser

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/waxwingmount/waxwingmount/internal/seeder"
)

// TestNeverTwoHolders guards against two processes that hold the lease at the same
// time, or in the same epoch. Three processes take random steps in which holders
// are paused, replies are delayed or lost, commits are applied late, and the table
// comes back from an older copy.
func TestNeverTwoHolders(t *testing.T) {
	seeder.Check(t, checkHolders)
}

func checkHolders(t *rapid.T) {
	s := newSimulation(nil)
	names := []string{"a", "b", "c"}
	holderOf := make(map[uint64]string)
	now := s.start
	for range rapid.IntRange(5, 80).Draw(t, "steps") {
		now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "pause_ms")) * time.Millisecond)
		name := rapid.SampledFrom(names).Draw(t, "process")
		l := s.lease(name)
		switch rapid.SampledFrom([]string{"read", "commit", "read", "commit", "lost", "nothing", "resign", "delay", "apply_delayed", "save", "step_back"}).Draw(t, "event") {
		case "read":
			s.pending[name] = l.Step(now, Event{Kind: RowRead, Row: s.table.read(testKey), SentAt: now})
			s.sentAt[name] = now
		case "commit":
			l.Step(now, s.complete(name))
			s.pending[name] = Action{}
		case "lost":
			s.commit(name)
			s.pending[name] = Action{}
		case "resign":
			l.Step(now, Event{Kind: Resigned})
		case "delay":
			s.delayedCommits[name] = s.pending[name]
			s.pending[name] = Action{}
		case "apply_delayed":
			s.table.apply(s.delayedCommits[name].Transaction)
		case "save":
			s.saved = s.table.clone()
		case "step_back":
			s.stepBack()
		}
		holders := 0
		for _, other := range names {
			if s.lease(other).Remaining(now) > 0 {
				holders++
				epoch := s.lease(other).Epoch()
				if used, found := holderOf[epoch]; found && used != other {
					t.Fatalf("%s and %s held the lease in epoch %d", used, other, epoch)
				}
				holderOf[epoch] = other
			}
		}
		if holders > 1 {
			t.Fatalf("%d processes hold the lease", holders)
		}
	}
}
