// Package limiter decides which requests an entry instance takes on, which
// wait, and which are refused at once with a time to come back.
//
// # Usage
//
//	queue := limiter.NewQueue(256)
//	decision := queue.Offer(now, ticket, free)
//	for _, ticket := range queue.Pump(now, free) { start(ticket) }
//
// Classes are served in order of priority. Within a class, requests that can
// still keep their objective go first, so that a full system answers some in
// time and not all of them late. Beyond that, organisations share by weight, however many requests each of them sends. An [QuotaAllocator]
// splits an organisation's rate over all entry instances.
package limiter

import (
	"slices"
	"time"
)

//go:generate stringer -type=Verdict -linecomment -output=verdict_string.go

// Verdict is what becomes of an offered request.
type Verdict int

// Verdicts on a request.
const (
	// Admitted says that the request starts now.
	Admitted Verdict = iota // admitted
	// Queued says that the request waits.
	Queued // queued
	// Refused says that the request is turned away.
	Refused // refused
)

// Ticket is one request that asks to be taken on.
type Ticket struct {
	ID           uint64
	Organisation string
	// Weight is the organisation's share within its class.
	Weight int
	// Priority orders classes; the lowest number goes first.
	Priority int
	// Deadline is when the answer must be whole.
	Deadline time.Time
	// StartBy is when the request must be started at the latest, if it is set.
	StartBy time.Time
	// ObjectiveStartBy is until when a start keeps the request's objective, if it is set.
	// Requests that can still keep it go before those that cannot.
	ObjectiveStartBy time.Time
	// PreviouslyRefused says that the caller has been refused before. It goes before
	// the others that cannot keep their objective.
	PreviouslyRefused bool
}

// objectiveRank ranks a ticket at a time, within its priority.
func (t Ticket) objectiveRank(now time.Time) int {
	switch {
	case t.ObjectiveStartBy.IsZero() || !now.After(t.ObjectiveStartBy):
		return 0
	case t.PreviouslyRefused:
		return 1
	}
	return 2
}

// Decision is the answer to an offer.
type Decision struct {
	Verdict Verdict
	// RetryAfter tells a refused caller when to come back.
	RetryAfter time.Duration
	// Evicted is a waiting request that lost its place to this one, if any.
	Evicted *Ticket
}

// Queue holds the requests that wait. It does no I/O and is not safe for
// concurrent use.
type Queue struct {
	capacity int
	waiting  []queuedTicket
	// virtualFinish holds each organisation's virtual time of service.
	virtualFinish map[string]float64
	virtualTime   float64
	startRate     startRate
	durations     durationEstimator
}

// queuedTicket is a ticket with its virtual time of service.
type queuedTicket struct {
	ticket       Ticket
	virtualStart float64
}

// NewQueue returns a queue in which up to capacity requests wait.
func NewQueue(capacity int) *Queue {
	return &Queue{capacity: capacity, virtualFinish: make(map[string]float64)}
}

// SetCapacity changes how many requests may wait.
func (q *Queue) SetCapacity(capacity int) { q.capacity = capacity }

// Len returns how many requests wait.
func (q *Queue) Len() int { return len(q.waiting) }

// Offer asks to take on a request while free more can be run.
func (q *Queue) Offer(now time.Time, t Ticket, free int) Decision {
	if free > len(q.waiting) {
		q.charge(t)
		q.startRate.record(now, 1)
		return Decision{Verdict: Admitted}
	}
	wait := q.startRate.timeToStart(q.ahead(now, t) + 1)
	if now.Add(wait).After(q.latestStart(t)) {
		return Decision{Verdict: Refused, RetryAfter: clampRetryAfter(wait)}
	}
	if len(q.waiting) < q.capacity {
		q.push(t)
		return Decision{Verdict: Queued}
	}
	evicted, found := q.evict(now, t)
	if !found {
		return Decision{Verdict: Refused, RetryAfter: clampRetryAfter(wait)}
	}
	q.push(t)
	return Decision{Verdict: Queued, Evicted: &evicted, RetryAfter: clampRetryAfter(wait)}
}

// Dequeue returns the waiting requests that start now that free can be run.
func (q *Queue) Dequeue(now time.Time, free int) []Ticket {
	var started []Ticket
	for len(started) < free && len(q.waiting) > 0 {
		best := 0
		for i := range q.waiting {
			if servedBefore(now, q.waiting[i], q.waiting[best]) {
				best = i
			}
		}
		w := q.remove(best)
		q.virtualTime = max(q.virtualTime, w.virtualStart)
		started = append(started, w.ticket)
	}
	q.startRate.record(now, len(started))
	return started
}

// Expire removes and returns the waiting requests that will not be started in
// time, as far as can be told now; they are given up at once and not when
// their time is over.
func (q *Queue) Expire(now time.Time) []Ticket {
	slices.SortStableFunc(q.waiting, func(a, b queuedTicket) int {
		switch {
		case servedBefore(now, a, b):
			return -1
		case servedBefore(now, b, a):
			return 1
		}
		return 0
	})
	var expired []Ticket
	kept := q.waiting[:0]
	for _, w := range q.waiting {
		start := now.Add(q.startRate.timeToStart(len(kept)))
		if start.Before(q.latestStart(w.ticket)) {
			kept = append(kept, w)
		} else {
			expired = append(expired, w.ticket)
		}
	}
	q.waiting = kept
	return expired
}

// RecordDuration takes in how long a request took from its start to its end.
func (q *Queue) RecordDuration(took time.Duration) { q.durations.record(took) }

// latestStart returns when a request must be started to end in time.
func (q *Queue) latestStart(t Ticket) time.Time {
	latest := t.Deadline.Add(-q.durations.estimate())
	if !t.StartBy.IsZero() && t.StartBy.Before(latest) {
		return t.StartBy
	}
	return latest
}

// Cancel removes a waiting request whose caller has gone.
func (q *Queue) Cancel(id uint64) bool {
	for i := range q.waiting {
		if q.waiting[i].ticket.ID == id {
			q.remove(i)
			return true
		}
	}
	return false
}

// RetryAfter estimates when a request that is refused now should come back.
func (q *Queue) RetryAfter() time.Duration {
	return clampRetryAfter(q.startRate.timeToStart(len(q.waiting) + 1))
}

func (q *Queue) push(t Ticket) {
	q.waiting = append(q.waiting, queuedTicket{ticket: t, virtualStart: q.charge(t)})
}

// charge books one request to the organisation and returns its virtual time.
func (q *Queue) charge(t Ticket) float64 {
	if len(q.waiting) == 0 {
		clear(q.virtualFinish)
		q.virtualTime = 0
	}
	start := max(q.virtualTime, q.virtualFinish[t.Organisation])
	q.virtualFinish[t.Organisation] = start + 1/float64(max(1, t.Weight))
	return start
}

// ahead counts the waiting requests that would be served before t.
func (q *Queue) ahead(now time.Time, t Ticket) int {
	next := queuedTicket{ticket: t, virtualStart: max(q.virtualTime, q.virtualFinish[t.Organisation])}
	count := 0
	for _, w := range q.waiting {
		if !servedBefore(now, next, w) {
			count++
		}
	}
	return count
}

// evict removes the waiting request that would be served last, if t would be
// served before it.
func (q *Queue) evict(now time.Time, t Ticket) (Ticket, bool) {
	if len(q.waiting) == 0 {
		return Ticket{}, false
	}
	worst := 0
	for i := range q.waiting {
		if !servedBefore(now, q.waiting[i], q.waiting[worst]) {
			worst = i
		}
	}
	next := queuedTicket{ticket: t, virtualStart: max(q.virtualTime, q.virtualFinish[t.Organisation])}
	if !servedBefore(now, next, q.waiting[worst]) {
		return Ticket{}, false
	}
	return q.remove(worst).ticket, true
}

func (q *Queue) remove(i int) queuedTicket {
	w := q.waiting[i]
	q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
	return w
}

// servedBefore reports whether a is served servedBefore b.
func servedBefore(now time.Time, a, b queuedTicket) bool {
	if a.ticket.Priority != b.ticket.Priority {
		return a.ticket.Priority < b.ticket.Priority
	}
	if d := a.ticket.objectiveRank(now) - b.ticket.objectiveRank(now); d != 0 {
		return d < 0
	}
	return a.virtualStart < b.virtualStart
}
