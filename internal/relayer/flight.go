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
	f.current = nil
	f.mu.Unlock()
	close(l.done)
}
