package relayer

import (
	"context"
	"sync"
	"time"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
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

func (f *flight) run(ctx context.Context, l *landing) {
	l.err = f.task(ctx)
	f.mu.Lock()
	f.current, f.lastErr, f.endedAt = nil, l.err, clocker.Now()
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
	case f.lastErr != nil && clocker.Since(f.endedAt) <= maxAge:
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
