package simulator

import (
	"container/heap"
	"time"
)

// event is something that happens at a moment of virtual time.
type event struct {
	at    time.Duration
	order int
	do    func(now time.Duration)
}

// eventQueue holds events by time, and by order of planning within one time.
type eventQueue []event

// Len implements [heap.Interface].
func (q eventQueue) Len() int { return len(q) }

// Less implements [heap.Interface].
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
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

// timeline plays events in virtual time.
type timeline struct {
	events eventQueue
	order  int
}

// at plans an event.
func (t *timeline) at(at time.Duration, do func(time.Duration)) {
	t.order++
	heap.Push(&t.events, event{at: at, order: t.order, do: do})
}

// play plays all events, and those that they plan.
func (t *timeline) play() {
	for len(t.events) > 0 {
		e := heap.Pop(&t.events).(event)
		e.do(e.at)
	}
}
