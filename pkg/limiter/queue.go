// Package limiter implements admission control: it decides which requests an entry
// instance starts, queues, or refuses at once with a time to retry after.
//
// # Usage
//
//	queue := limiter.NewQueue(256)
//	decision := queue.Offer(now, ticket, free)
//	for _, ticket := range queue.Dequeue(now, free) { start(ticket) }
//
// Priority classes are served in order; a class whose requests have an objective and are
// overtaken for long gets one of every ten starts. Within a class, requests that can still
// meet their latency objective go first, so that an overloaded system serves some
// requests in time instead of all of them late. Among those, organisations are
// served by weighted fair queueing, regardless of how many requests each sends. A
// [QuotaAllocator] splits an organisation's rate limit among the entry instances.
package limiter

import (
	"slices"
	"time"
)

//go:generate stringer -type=Verdict -linecomment -output=verdict_string.go

// Verdict is the result of an admission decision.
type Verdict int

// Values of Verdict.
const (
	// Admitted means that the request starts now.
	Admitted Verdict = iota // admitted
	// Queued means that the request waits in the queue.
	Queued // queued
	// Refused means that the request is rejected.
	Refused // refused
)

// Ticket holds the attributes of a request that determine its admission.
type Ticket struct {
	ID           uint64
	Organisation string
	// Weight is the organisation's weight within its priority class; less than 1
	// counts as 1.
	Weight int
	// Priority is the priority class; the lowest number is served first.
	Priority int
	// Deadline is when the response must be complete.
	Deadline time.Time
	// StartBy is the latest time to start the request; the zero time means no
	// limit.
	StartBy time.Time
	// ObjectiveStartBy is the latest start that meets the request's latency
	// objective; the zero time means that there is none. Requests that can still
	// meet it are served before those that cannot.
	ObjectiveStartBy time.Time
	// Objective is the request's latency objective; zero means that there is none.
	Objective time.Duration
	// PreviouslyRefused reports whether the request has been refused before. Such
	// requests are served before others that cannot meet their objective.
	PreviouslyRefused bool
}

// objectiveRank returns the rank of the ticket within its priority class at the
// given time; the lowest is served first.
func (t Ticket) objectiveRank(now time.Time) int {
	switch {
	case t.ObjectiveStartBy.IsZero() || !now.After(t.ObjectiveStartBy):
		return 0
	case t.PreviouslyRefused:
		return 1
	}
	return 2
}

// Decision is the result of [Queue.Offer].
type Decision struct {
	Verdict Verdict
	// RetryAfter is the time after which a refused or evicted request should be
	// retried.
	RetryAfter time.Duration
	// Evicted is the waiting request that this one has displaced, or nil.
	Evicted *Ticket
}

// Queue is a bounded queue of waiting requests. It does no I/O and is not safe for
// concurrent use.
type Queue struct {
	capacity int
	waiting  []queuedTicket
	// virtualFinish is the virtual finish time of each organisation's last
	// request, as in weighted fair queueing.
	virtualFinish map[string]float64
	virtualTime   float64
	startRate     startRate
	durations     durationEstimator
	// overtaking is the number of starts since an overtaken class had one.
	overtaking int
}

// queuedTicket is a waiting ticket with its arrival and its virtual start time.
type queuedTicket struct {
	ticket       Ticket
	arrived      time.Time
	virtualStart float64
}

// NewQueue returns a queue for up to capacity waiting requests.
func NewQueue(capacity int) *Queue {
	return &Queue{capacity: capacity, virtualFinish: make(map[string]float64)}
}

// SetCapacity sets the maximum number of waiting requests.
func (q *Queue) SetCapacity(capacity int) { q.capacity = capacity }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.waiting) }

// Offer admits, queues or refuses a request; free is the number of requests that
// can start now. It refuses a request that would probably start too late.
func (q *Queue) Offer(now time.Time, t Ticket, free int) Decision {
	if free > len(q.waiting) {
		q.charge(t)
		q.startRate.record(now, 1)
		return Decision{Verdict: Admitted}
	}
	ahead, inClass := q.ahead(now, t)
	wait := q.startRate.timeToStart(ahead + 1)
	start := q.expectedStart(now, queuedTicket{ticket: t, arrived: now}, ahead+1, inClass+1)
	if start.After(q.latestStart(t)) {
		return Decision{Verdict: Refused, RetryAfter: clampRetryAfter(wait)}
	}
	if len(q.waiting) < q.capacity {
		q.push(now, t)
		return Decision{Verdict: Queued}
	}
	evicted, found := q.evict(now, t)
	if !found {
		return Decision{Verdict: Refused, RetryAfter: clampRetryAfter(wait)}
	}
	q.push(now, t)
	return Decision{Verdict: Queued, Evicted: &evicted, RetryAfter: clampRetryAfter(wait)}
}

// Dequeue removes and returns up to free waiting requests, which start now.
func (q *Queue) Dequeue(now time.Time, free int) []Ticket {
	var started []Ticket
	for len(started) < free && len(q.waiting) > 0 {
		w := q.remove(q.next(now))
		q.virtualTime = max(q.virtualTime, w.virtualStart)
		started = append(started, w.ticket)
	}
	q.startRate.record(now, len(started))
	return started
}

// Expire removes and returns the waiting requests that are not expected to start
// in time. They are dropped now rather than at their deadline, so that their
// callers can retry sooner.
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
	kept, inClass := q.waiting[:0], make(map[int]int)
	for _, w := range q.waiting {
		class := w.ticket.Priority
		start := q.expectedStart(now, w, len(kept), inClass[class])
		if start.Before(q.latestStart(w.ticket)) {
			kept = append(kept, w)
			inClass[class]++
		} else {
			expired = append(expired, w.ticket)
		}
	}
	q.waiting = kept
	return expired
}

// RecordDuration records the time of a request from its start to its end.
func (q *Queue) RecordDuration(took time.Duration) { q.durations.record(took) }

// latestStart returns the latest time to start a request: StartBy or the deadline
// minus the estimated duration, whichever is earlier.
func (q *Queue) latestStart(t Ticket) time.Time {
	latest := t.Deadline.Add(-q.durations.estimate())
	if !t.StartBy.IsZero() && t.StartBy.Before(latest) {
		return t.StartBy
	}
	return latest
}

// Cancel removes the waiting request with the given ID, whose caller has
// disconnected. It reports whether the request was waiting.
func (q *Queue) Cancel(id uint64) bool {
	for i := range q.waiting {
		if q.waiting[i].ticket.ID == id {
			q.remove(i)
			return true
		}
	}
	return false
}

// RetryAfter returns the time after which a request that is refused now should be
// retried.
func (q *Queue) RetryAfter() time.Duration {
	return clampRetryAfter(q.startRate.timeToStart(len(q.waiting) + 1))
}

func (q *Queue) push(now time.Time, t Ticket) {
	q.waiting = append(q.waiting, queuedTicket{ticket: t, arrived: now, virtualStart: q.charge(t)})
}

// charge adds a request to the organisation's virtual finish time and returns the
// request's virtual start time.
func (q *Queue) charge(t Ticket) float64 {
	if len(q.waiting) == 0 {
		clear(q.virtualFinish)
		q.virtualTime = 0
	}
	start := max(q.virtualTime, q.virtualFinish[t.Organisation])
	q.virtualFinish[t.Organisation] = start + 1/float64(max(1, t.Weight))
	return start
}

// ahead returns the number of waiting requests that would be served before t, and of those
// of its priority class.
func (q *Queue) ahead(now time.Time, t Ticket) (all, inClass int) {
	next := queuedTicket{ticket: t, virtualStart: max(q.virtualTime, q.virtualFinish[t.Organisation])}
	for _, w := range q.waiting {
		if servedBefore(now, next, w) {
			continue
		}
		all++
		if w.ticket.Priority == t.Priority {
			inClass++
		}
	}
	return all, inClass
}

// evict removes and returns the waiting request that would be served last, if t
// would be served before it.
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

// servedBefore reports whether a is served before b.
func servedBefore(now time.Time, a, b queuedTicket) bool {
	if a.ticket.Priority != b.ticket.Priority {
		return a.ticket.Priority < b.ticket.Priority
	}
	if d := a.ticket.objectiveRank(now) - b.ticket.objectiveRank(now); d != 0 {
		return d < 0
	}
	return a.virtualStart < b.virtualStart
}
