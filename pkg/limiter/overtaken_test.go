package limiter

import (
	"slices"
	"testing"
	"time"
)

// TestOvertaken guards against the starvation of a class by a more urgent one, and against
// a change of the strict order where there are no objectives.
func TestOvertaken(t *testing.T) {
	for _, test := range []struct {
		objective time.Duration
		after     time.Duration
		want      []uint64
	}{
		{objective: 50 * time.Millisecond, after: 499 * time.Millisecond},
		{objective: 50 * time.Millisecond, after: 501 * time.Millisecond, want: []uint64{9, 19}},
		{after: 501 * time.Millisecond},
	} {
		now := time.Unix(0, 0)
		q := NewQueue(64)
		for id := range uint64(44) {
			ticket := Ticket{ID: id, Objective: test.objective, Deadline: now.Add(time.Second)}
			if id < 4 {
				ticket.Priority = 1
			}
			q.Offer(now, ticket, 0)
		}
		var got []uint64
		for i, ticket := range q.Dequeue(now.Add(test.after), 20) {
			if ticket.Priority == 1 {
				got = append(got, uint64(i))
			}
		}
		if !slices.Equal(got, test.want) {
			t.Errorf("objective %s, after %s: the less urgent class got starts %v, want %v", test.objective, test.after, got, test.want)
		}
	}
}

// TestOvertakenIsKept guards against the refusal of all requests of a class whose time is
// shorter than a more urgent class's backlog. The start rate is 100 per second.
func TestOvertakenIsKept(t *testing.T) {
	for _, test := range []struct {
		objective time.Duration
		want      Verdict
	}{{0, Refused}, {50 * time.Millisecond, Queued}} {
		now := time.Unix(0, 0)
		q := NewQueue(512)
		for id := range uint64(102) {
			q.Offer(now.Add(time.Duration(id)*10*time.Millisecond), Ticket{ID: id, Deadline: now.Add(time.Minute)}, 1)
		}
		now = now.Add(1020 * time.Millisecond)
		for id := range uint64(300) {
			q.Offer(now, Ticket{ID: id, Deadline: now.Add(time.Minute)}, 0)
		}
		low := Ticket{ID: 999, Priority: 1, Objective: test.objective, Deadline: now.Add(2 * time.Second)}
		if got := q.Offer(now, low, 0).Verdict; got != test.want {
			t.Errorf("objective %s: %s, want %s", test.objective, got, test.want)
		}
		if expired := q.Expire(now); len(expired) > 0 {
			t.Errorf("objective %s: expired %v", test.objective, expired)
		}
	}
}
