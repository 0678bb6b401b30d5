package observer

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
)

// failingSource is a source whose reads fail at once.
type failingSource struct{ reads atomic.Int32 }

func (s *failingSource) Interval() time.Duration { return 0 }

func (s *failingSource) Fetch(context.Context, bool) (Snapshot, error) {
	s.reads.Add(1)
	return Snapshot{}, errors.New("unavailable")
}

// TestPauseWithoutStore guards against requests that are held up for longer than
// resumePatience after a pause while no read succeeds, and against a read for each of them.
func TestPauseWithoutStore(t *testing.T) {
	_, o := newStubObserver(2)
	source := &failingSource{}
	o.Source = source
	now := clocker.Now()
	o.pauses.tick(now.Add(-2 * minPause))
	o.pauses.tick(now)
	assert.Assert(t, !o.Current())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go o.pollLoop(ctx)
	for range 50 {
		go o.AwaitCurrent(ctx)
	}
	o.AwaitCurrent(ctx)
	took := clocker.Since(now)
	assert.Assert(t, took < 2*resumePatience, "waited %s", took)
	assert.Assert(t, int(source.reads.Load()) <= 3+int(took/retryInterval), "%d reads in %s", source.reads.Load(), took)
	go o.pauses.tickLoop(ctx)
	assert.Assert(t, o.Current())
}

// TestLateTickIsNoPause guards against a pause that is found where there was none: a caller
// that read the clock and waited for its turn must not move the last tick back.
func TestLateTickIsNoPause(t *testing.T) {
	start := clocker.Now()
	var w pauseWatch
	for at := time.Duration(0); at <= minPause; at += pauseTick {
		assert.Assert(t, w.tick(start.Add(at)).IsZero())
	}
	w.tick(start)
	assert.Assert(t, w.tick(start.Add(minPause+pauseTick)).IsZero())
}
