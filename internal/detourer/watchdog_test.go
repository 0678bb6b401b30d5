package detourer

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestWatchdogOfStoppedProcess guards against a hop that counts as silent because this
// process did not run: its timers expire at once when it goes on, before it has read what
// has arrived.
func TestWatchdogOfStoppedProcess(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	w := newWatchdog(time.Hour, cancel)
	stop := func() {
		w.mu.Lock()
		w.beganAt = w.beganAt.Add(-10 * time.Hour)
		w.mu.Unlock()
		w.runStage()
	}
	w.arm()
	for range 3 {
		stop()
		assert.NilError(t, ctx.Err())
		assert.Assert(t, !w.hasFired())
		w.arm()
	}
	stop()
	stop()
	assert.Assert(t, w.hasFired())
	assert.Equal(t, ctx.Err(), context.Canceled)
}

// TestWatchdogLateTimer guards against a hop that is cancelled by a timer that had expired
// while it was being set again, or while nobody waits for bytes.
func TestWatchdogLateTimer(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	w := newWatchdog(time.Hour, cancel)
	w.arm()
	for range 2 * silenceStages {
		w.runStage()
	}
	w.disarm()
	w.mu.Lock()
	w.beganAt = w.beganAt.Add(-10 * time.Hour)
	w.mu.Unlock()
	for range 2 * silenceStages {
		w.runStage()
	}
	w.stop()
	w.arm()
	assert.NilError(t, ctx.Err())
}
