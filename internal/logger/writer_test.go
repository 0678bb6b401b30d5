package logger

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestBlockedReader writes to a pipe that nobody reads: no write blocks, and
// the lines that exceed the queue are counted.
func TestBlockedReader(t *testing.T) {
	reader, pipe := io.Pipe()
	defer reader.Close()
	w := New(pipe)
	w.Start(t.Context())
	started := time.Now()
	const lines = 5000
	for i := range lines {
		_, err := fmt.Fprintf(w, "line %d\n", i)
		assert.NilError(t, err)
	}
	assert.Assert(t, time.Since(started) < time.Second)
	assert.Assert(t, w.Dropped() >= lines-queueLines-burstLines, "%d dropped", w.Dropped())
}

// TestLinesComeInOrder checks that lines queued before the stop are written in order.
func TestLinesComeInOrder(t *testing.T) {
	var out strings.Builder
	w := New(&out)
	for i := range 3 {
		fmt.Fprintf(w, "line %d\n", i)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	w.loop(ctx)
	assert.Equal(t, out.String(), "line 0\nline 1\nline 2\n")
}

// TestLinesBeforeStopAreWritten checks that a line written just before the stop is not lost.
func TestLinesBeforeStopAreWritten(t *testing.T) {
	for range 100 {
		var out strings.Builder
		w := New(&out)
		ctx, cancel := context.WithCancel(t.Context())
		w.Start(ctx)
		fmt.Fprintln(w, "last")
		cancel()
		w.Wait(time.Minute)
		assert.Equal(t, out.String(), "last\n")
	}
}

// TestWaitTimeout checks that Wait returns after its timeout if the
// reader of the output is blocked.
func TestWaitTimeout(t *testing.T) {
	reader, pipe := io.Pipe()
	defer reader.Close()
	w := New(pipe)
	ctx, cancel := context.WithCancel(t.Context())
	w.Start(ctx)
	fmt.Fprintln(w, "stuck")
	cancel()
	started := time.Now()
	w.Wait(10 * time.Millisecond)
	assert.Assert(t, time.Since(started) < time.Second)
}
