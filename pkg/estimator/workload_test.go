package estimator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestUsableSlotsOfSpreadGroup checks that a group across domains is not filled
// beyond what lets requests meet their objectives, while one within a domain
// uses all of its slots.
func TestUsableSlotsOfSpreadGroup(t *testing.T) {
	var w Workload
	for range 100 {
		w.ObserveRequest(700, 240*time.Millisecond, 200*time.Millisecond)
	}
	compact, spread := Group{Engine: testEngine, Pace: 1}, Group{Engine: testEngine, Pace: 1, Spread: true}
	assert.Equal(t, w.UsableSlots(compact), testEngine.Slots)
	usable := w.UsableSlots(spread)
	assert.Assert(t, usable < testEngine.Slots, "%d", usable)
	assert.Assert(t, w.meetsObjectives(spread, usable))
	assert.Assert(t, !w.meetsObjectives(spread, usable+1))
}

// TestUsableSlotsOfSlowEngines checks that instances which turn slow, so that all
// first events are late, leave a group within one domain its slots: to fill it less
// would add refusals to the late responses. A group across domains keeps a few.
func TestUsableSlotsOfSlowEngines(t *testing.T) {
	var w Workload
	w.ObserveRequest(700, 100*time.Millisecond, 0)
	for range 400 {
		w.ObserveFirstEvent(80*time.Millisecond, 5*time.Second)
	}
	assert.Equal(t, w.UsableSlots(Group{Engine: testEngine, Pace: 1}), testEngine.Slots)
	assert.Equal(t, w.UsableSlots(Group{Engine: testEngine, Pace: 1, Spread: true}), 4)
	assert.Equal(t, w.Offset(), maxOffset)
}

// TestOffsetFollowsMedian checks that the offset reaches a constant delay of all
// first events, and is not drawn away by a few very late ones.
func TestOffsetFollowsMedian(t *testing.T) {
	var w Workload
	for i := range 400 {
		delay := 120 * time.Millisecond
		if i%10 == 0 {
			delay = 5 * time.Second
		}
		w.ObserveFirstEvent(80*time.Millisecond, 80*time.Millisecond+delay)
	}
	assert.Assert(t, w.Offset() >= 110*time.Millisecond && w.Offset() <= 130*time.Millisecond, "%v", w.Offset())
}
