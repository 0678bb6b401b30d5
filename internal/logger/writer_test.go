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

// TestReaderThatStopped writes to a pipe that nobody reads: no write blocks, and
// the lines that exceed the queue are counted.
func TestReaderThatStopped(t *testing.T) {
	reader, pipe := io.Pipe()
	defer reader.Close()
	w := New(pipe)
	w.Start(t.Context())
	began := time.Now()
	const lines = 5000
	for i := range lines {
		_, err := fmt.Fprintf(w, "line %d\n", i)
		assert.NilError(t, err)
	}
	assert.Assert(t, time.Since(began) < time.Second)
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

// TestLastLinesAreWritten checks that a line written just before the stop is not lost.
func TestLastLinesAreWritten(t *testing.T) {
	for range 100 {
		var out strings.Builder
		w := New(&out)
		ctx, end := context.WithCancel(t.Context())
		w.Start(ctx)
		fmt.Fprintln(w, "last")
		end()
		w.Wait(time.Minute)
		assert.Equal(t, out.String(), "last\n")
	}
}

// TestEndDoesNotWaitForAReader checks that Wait returns after its timeout if the
// reader of the output is blocked.
func TestEndDoesNotWaitForAReader(t *testing.T) {
	reader, pipe := io.Pipe()
	defer reader.Close()
	w := New(pipe)
	ctx, end := context.WithCancel(t.Context())
	w.Start(ctx)
	fmt.Fprintln(w, "stuck")
	end()
	began := time.Now()
	w.Wait(10 * time.Millisecond)
	assert.Assert(t, time.Since(began) < time.Second)
}
