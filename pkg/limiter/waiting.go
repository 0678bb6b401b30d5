package limiter

import "time"

// Late reports whether the request can no longer meet its objective at the given time.
func (t Ticket) Late(now time.Time) bool { return t.objectiveRank(now) > 0 }

// Each calls visit for each waiting request, in no particular order.
func (q *Queue) Each(visit func(Ticket)) {
	for _, w := range q.waiting {
		visit(w.ticket)
	}
}
