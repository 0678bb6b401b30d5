package leaser

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/waxwingmount/waxwingmount/internal/seeder"
)

// TestNeverTwoHolders guards against two processes that hold the lease at the same
// time. Three processes take random steps in which holders are paused and replies
// are delayed or lost.
func TestNeverTwoHolders(t *testing.T) {
	seeder.Check(t, checkHolders)
}

func checkHolders(t *rapid.T) {
	s := newSimulation(nil)
	names := []string{"a", "b", "c"}
	now := s.start
	for range rapid.IntRange(5, 80).Draw(t, "steps") {
		now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "pause_ms")) * time.Millisecond)
		name := rapid.SampledFrom(names).Draw(t, "process")
		l := s.lease(name)
		switch rapid.SampledFrom([]string{"read", "commit", "lost", "nothing"}).Draw(t, "event") {
		case "read":
			s.pending[name] = l.Step(now, Event{Kind: RowRead, Row: s.row, SentAt: now})
			s.sentAt[name] = now
		case "commit":
			l.Step(now, Event{Kind: CommitCompleted, Outcome: s.commit(name), SentAt: s.sentAt[name]})
			s.pending[name] = Action{}
		case "lost":
			s.commit(name)
			s.pending[name] = Action{}
		}
		holders := 0
		for _, other := range names {
			if s.lease(other).Remaining(now) > 0 {
				holders++
			}
		}
		if holders > 1 {
			t.Fatalf("%d processes hold the lease", holders)
		}
	}
}
