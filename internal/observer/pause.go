package observer

import (
	"context"
	"sync"
	"time"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
)

const (
	// pauseTick is the time between two ticks of a process that runs.
	pauseTick = 100 * time.Millisecond
	// minPause is the shortest time without a tick that counts as a pause. Processes that
	// were stopped for one second must not act on what held before.
	minPause = 700 * time.Millisecond
	// resumePatience is how long after a pause the state of the platform is awaited: a read
	// takes up to 300 ms at each of three readers. After that it counts as unavailable, and
	// the last known state applies as it does without a pause.
	resumePatience = time.Second
)

// pauseWatch tells when the process went on after it was stopped or starved.
type pauseWatch struct {
	mu        sync.Mutex
	tickedAt  time.Time
	resumedAt time.Time
}

// tick records that the process runs, and returns when it went on after its last pause, or
// zero. A caller that asks may notice a pause before the loop does.
func (w *pauseWatch) tick(now time.Time) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.tickedAt.IsZero() && now.Sub(w.tickedAt) >= minPause {
		w.resumedAt = now
	}
	// Callers read the clock before they get the lock, so now may be before the last tick.
	if now.After(w.tickedAt) {
		w.tickedAt = now
	}
	return w.resumedAt
}

// tickLoop ticks until ctx ends.
func (w *pauseWatch) tickLoop(ctx context.Context) {
	for {
		w.tick(clocker.Now())
		if !sleep(ctx, pauseTick) {
			return
		}
	}
}

// Current reports whether the view has been read since the process was last stopped, or
// could not be read in time.
func (o *Observer) Current() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.current(clocker.Now())
}

// current is Current for a caller that holds o.mu.
func (o *Observer) current(now time.Time) bool {
	resumed := o.pauses.tick(now)
	return resumed.IsZero() || !o.readBeganAt.Before(resumed) || now.Sub(resumed) >= resumePatience
}

// AwaitCurrent waits until the view is current.
func (o *Observer) AwaitCurrent(ctx context.Context) {
	if o.Current() {
		return
	}
	timer := time.NewTimer(resumePatience)
	defer timer.Stop()
	o.refreshAfterPause()
	for {
		o.mu.Lock()
		current, applied := o.current(clocker.Now()), o.applied
		o.mu.Unlock()
		if current {
			return
		}
		select {
		case <-applied:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// refreshAfterPause makes a read follow at once, one after each pause: if it fails, the next
// ones follow as they do while the store does not respond.
func (o *Observer) refreshAfterPause() {
	o.mu.Lock()
	resumed := o.pauses.tick(clocker.Now())
	due := o.refreshedAfter.Before(resumed)
	o.refreshedAfter = resumed
	o.mu.Unlock()
	if due {
		o.Refresh()
	}
}
