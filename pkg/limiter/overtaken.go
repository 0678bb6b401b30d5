package limiter

import "time"

const (
	// overtakenDivisor is the part of the time that a request may wait after which its
	// priority class counts as overtaken.
	overtakenDivisor = 2
	// overtakenStarts is how many starts there are for each one that an overtaken class gets.
	overtakenStarts = 10
)

// next returns the index of the waiting request that starts now: the first in order, or at
// every tenth start the first of an overtaken class, so that no class is starved.
func (q *Queue) next(now time.Time) int {
	best := q.first(now, func(Ticket) bool { return true })
	class, found := q.overtakenClass(now, q.waiting[best].ticket.Priority)
	if !found {
		q.overtaking = 0
		return best
	}
	if q.overtaking++; q.overtaking < overtakenStarts {
		return best
	}
	q.overtaking = 0
	return q.first(now, func(t Ticket) bool { return t.Priority == class })
}

// first returns the index of the first request in order among those that match.
func (q *Queue) first(now time.Time, matches func(Ticket) bool) int {
	best := -1
	for i, w := range q.waiting {
		if matches(w.ticket) && (best < 0 || servedBefore(now, w, q.waiting[best])) {
			best = i
		}
	}
	return best
}

// overtakenClass returns the class less urgent than served of the request that has waited
// for the longest, among those that have waited for more than half of what they may.
// Requests without an objective are not considered: their classes are strict.
func (q *Queue) overtakenClass(now time.Time, served int) (int, bool) {
	class, longest := 0, time.Duration(0)
	for _, w := range q.waiting {
		wait := now.Sub(w.arrived)
		if w.ticket.Objective > 0 && w.ticket.Priority > served && now.After(q.overtakenFrom(w)) && wait > longest {
			class, longest = w.ticket.Priority, wait
		}
	}
	return class, longest > 0
}

// overtakenFrom returns when the class of the request counts as overtaken if it still waits.
func (q *Queue) overtakenFrom(w queuedTicket) time.Time {
	return w.arrived.Add(q.latestStart(w.ticket).Sub(w.arrived) / overtakenDivisor)
}

// expectedStart estimates when the request starts that has the given numbers of requests
// ahead of it, in all and in its class: in order, or by the starts of an overtaken class.
func (q *Queue) expectedStart(now time.Time, w queuedTicket, ahead, inClass int) time.Time {
	start := now.Add(q.startRate.timeToStart(ahead))
	if w.ticket.Objective <= 0 {
		return start
	}
	from := q.overtakenFrom(w)
	if from.Before(now) {
		from = now
	}
	if overtaken := from.Add(q.startRate.timeToStart(overtakenStarts * (inClass + 1))); overtaken.Before(start) {
		return overtaken
	}
	return start
}
