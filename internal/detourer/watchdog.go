package detourer

import (
	"context"
	"io"
	"sync"
	"time"
)

// silenceStages is the number of steps in which silence is counted. A process that was
// stopped finds one step over when it goes on, and has the others to read what has arrived.
const silenceStages = 2

// watchdog cancels a hop while it is armed and nothing happens.
type watchdog struct {
	stage  time.Duration
	cancel context.CancelFunc

	mu      sync.Mutex
	timer   *time.Timer
	beganAt time.Time
	passed  int
	armed   bool
	stopped bool
	fired   bool
}

func newWatchdog(silence time.Duration, cancel context.CancelFunc) *watchdog {
	return &watchdog{stage: silence / silenceStages, cancel: cancel}
}

// silence returns the time without any event after which the watchdog fires.
func (w *watchdog) silence() time.Duration { return w.stage * silenceStages }

// arm begins to count silence, from now on.
func (w *watchdog) arm() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	w.armed, w.passed, w.beganAt = true, 0, time.Now()
	if w.timer == nil {
		w.timer = time.AfterFunc(w.stage, w.runStage)
		return
	}
	w.timer.Reset(w.stage)
}

// disarm ends the counting until arm is called again.
func (w *watchdog) disarm() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.armed = false
	if w.timer != nil {
		w.timer.Stop()
	}
}

// stop ends the counting for ever.
func (w *watchdog) stop() {
	w.disarm()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
}

// runStage counts one step of silence.
func (w *watchdog) runStage() {
	w.mu.Lock()
	defer w.mu.Unlock()
	// The timer may have expired while it was being set again.
	if !w.armed || time.Since(w.beganAt) < w.stage {
		return
	}
	w.passed++
	if w.passed < silenceStages {
		w.beganAt = time.Now()
		w.timer.Reset(w.stage)
		return
	}
	w.armed, w.fired = false, true
	w.cancel()
}

// hasFired reports whether the watchdog has cancelled the hop.
func (w *watchdog) hasFired() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fired
}

// watchedReader arms a watchdog while it waits for bytes.
type watchedReader struct {
	io.Reader
	watch *watchdog
}

// Read implements [io.Reader].
func (r *watchedReader) Read(p []byte) (int, error) {
	r.watch.arm()
	defer r.watch.disarm()
	return r.Reader.Read(p)
}
