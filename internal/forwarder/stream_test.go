package forwarder

import (
	"bufio"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/internal/partitioner"
	"github.com/waxwingmount/waxwingmount/pkg/bounder"
)

func readEvents(t *testing.T, stream string) []string {
	t.Helper()
	a := &attempt{reader: bufio.NewReaderSize(strings.NewReader(stream), streamBufferBytes), memory: bounder.NewBudget(partitioner.DefaultResponses).Open()}
	defer a.memory.Close()
	var events []string
	for {
		event, err := a.readEvent()
		if err != nil {
			return events
		}
		events = append(events, string(event))
	}
}

// TestLongLineIsOneEvent guards against an event that is taken apart after a line that fills
// the reader's buffer.
func TestLongLineIsOneEvent(t *testing.T) {
	for _, size := range []int{1, streamBufferBytes - 1, streamBufferBytes, streamBufferBytes + 1, 3 * streamBufferBytes} {
		for _, end := range []string{"\n", "\r\n"} {
			t.Run(fmt.Sprintf("%d%q", size, end), func(t *testing.T) {
				event := "data:" + strings.Repeat("x", max(0, size-len("data:"))) + end + "id: 7" + end + end
				events := readEvents(t, event+event)
				assert.Assert(t, slices.Equal(events, []string{event, event}), "%d events of %d bytes together, want 2", len(events), len(strings.Join(events, "")))
			})
		}
	}
}

// TestBlankLinesCostNoMoreThanOthers guards against a server whose blank lines each cost as
// much as all before them: they kept a processor busy for seconds, and a request beyond its
// timeout.
func TestBlankLinesCostNoMoreThanOthers(t *testing.T) {
	const (
		lines    = 64 << 10
		maxRatio = 20
	)
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	cost := func(line string) time.Duration {
		began := threadTime(t)
		readEvents(t, strings.Repeat(line, lines))
		return threadTime(t) - began
	}
	comments := cost(":\n")
	blank := cost("\n")
	assert.Assert(t, blank < maxRatio*max(comments, time.Millisecond), "%s for blank lines, %s for comments", blank, comments)
}

// threadTime returns how long the thread has run on a processor.
func threadTime(t *testing.T) time.Duration {
	t.Helper()
	var usage unix.Rusage
	assert.NilError(t, unix.Getrusage(unix.RUSAGE_THREAD, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
