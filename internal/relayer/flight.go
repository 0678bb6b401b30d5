package relayer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/pkg/limiter"
)

// flight runs a task in the background, at most once at a time, so that a slow task
// holds up neither its caller nor other tasks.
type flight struct {
	// task is given the context of the caller that began it.
	task func(ctx context.Context) error

	mu      sync.Mutex
	current *landing
	// lastErr is the error of the last task that has ended, and endedAt when it ended.
	lastErr error
	endedAt time.Time
	// backoff spaces the tasks that are begun by beginSpaced after failures, and callers is
	// how many entry instances run such tasks.
	backoff limiter.Backoff
	callers int
}

// landing is the result of a task, which is set when done is closed.
type landing struct {
	began time.Time
	done  chan struct{}
	err   error
}

// hasLanded reports whether the task has ended.
func (l *landing) hasLanded() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

// begin starts the task, or joins the one that is running.
func (f *flight) begin(ctx context.Context) *landing {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current == nil {
		f.current = &landing{began: clocker.Now(), done: make(chan struct{})}
		go f.run(ctx, f.current)
	}
	return f.current
}

// beginSpaced is like begin for one of a number of callers of a service. After a failed task
// it does not run another one for a while, and returns the result of the last one.
func (f *flight) beginSpaced(ctx context.Context, callers int) *landing {
	f.mu.Lock()
	f.callers = callers
	if f.current == nil && f.isSpacing() {
		l := &landing{began: f.endedAt, done: make(chan struct{}), err: f.lastErr}
		close(l.done)
		f.mu.Unlock()
		return l
	}
	f.mu.Unlock()
	return f.begin(ctx)
}

// isSpacing reports whether the next spaced task has to wait after a failed one. The caller
// holds f.mu.
func (f *flight) isSpacing() bool {
	return f.callers > 0 && f.lastErr != nil && !f.backoff.Ready(clocker.Now())
}

func (f *flight) run(ctx context.Context, l *landing) {
	l.err = f.task(ctx)
	f.mu.Lock()
	f.current, f.lastErr, f.endedAt = nil, l.err, clocker.Now()
	if l.err != nil {
		f.backoff.Fail(f.endedAt, f.callers, rand.Float64())
	} else {
		f.backoff.Succeed()
	}
	f.mu.Unlock()
	close(l.done)
}

// isRunning reports whether the task is running.
func (f *flight) isRunning() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current != nil
}

// trouble returns the error of the last task if it has ended within maxAge, or else
// errSlowStore if the one that is running takes longer than the limit.
func (f *flight) trouble(limit time.Duration) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.lastErr != nil && (clocker.Since(f.endedAt) <= maxAge || f.isSpacing()):
		return f.lastErr
	case f.current != nil && clocker.Since(f.current.began) >= limit:
		return errSlowStore
	}
	return nil
}

// await waits until the task has ended, for up to a limit.
func (l *landing) await(ctx context.Context, limit time.Duration) {
	timer := time.NewTimer(max(0, limit))
	defer timer.Stop()
	select {
	case <-l.done:
	case <-timer.C:
	case <-ctx.Done():
	}
}
