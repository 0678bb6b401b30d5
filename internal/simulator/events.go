package simulator

import (
	"container/heap"
	"time"
)

// event is an action that is due at a point in virtual time.
type event struct {
	at       time.Duration
	sequence int
	action   func(now time.Duration)
}

// eventQueue is a heap of events, ordered by time and, for equal times, by order
// of scheduling.
type eventQueue []event

// Len implements [heap.Interface].
func (q eventQueue) Len() int { return len(q) }

// Less implements [heap.Interface].
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}

// Swap implements [heap.Interface].
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements [heap.Interface].
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements [heap.Interface].
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// eventLoop runs events in virtual time.
type eventLoop struct {
	events       eventQueue
	lastSequence int
}

// schedule adds an event that runs action at the given time.
func (l *eventLoop) schedule(when time.Duration, action func(time.Duration)) {
	l.lastSequence++
	heap.Push(&l.events, event{at: when, sequence: l.lastSequence, action: action})
}

// runAll runs all events in order, including those that events schedule, until
// none is left.
func (l *eventLoop) runAll() {
	for len(l.events) > 0 {
		e := heap.Pop(&l.events).(event)
		e.action(e.at)
	}
}
