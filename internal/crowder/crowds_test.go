//go:build crowds

package crowder

import (
	"net"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/platform/emulator"
)

const (
	// crowdStay is how long a crowd stays once it has sent all.
	crowdStay = 3 * time.Second
	// reservedFDs is the part of a process's descriptors that is for files.
	reservedFDs = 200
)

// TestCrowds guards against callers that misbehave in numbers: the process ends at its
// limit of memory or runs out of descriptors, and all other callers with it.
func TestCrowds(t *testing.T) {
	for _, s := range readScenarios(t, "testdata/crowds.txt") {
		t.Run(s.name, func(t *testing.T) {
			e := startEntry(t, entryLimits{memoryMB: s.memoryMB, fds: s.fds, bodyBytes: maxBodyBytes})
			meter := startGauge(e.command.Process.Pid)
			disperse := e.gather(t.Context(), s.target, s.crowd)
			time.Sleep(crowdStay)
			e.awaitOrdinary("an ordinary request beside the crowd")
			t.Logf("%+v", disperse())
			e.awaitOrdinary("an ordinary request after the crowd")
			e.checkLimits(meter, s.memoryMB, s.fds)
		})
	}
}

// together are the crowds of TestCrowdsTogether.
var together = []string{"length", "small_chunks", "whole", "small_heads", "pipelined", "unread", "hop_length", "directory_body"}

// TestCrowdsTogether guards against parts of a process that are each within their limit, and
// together beyond that of the process.
func TestCrowdsTogether(t *testing.T) {
	const memoryMB, fds = 128, 4100
	e := startEntry(t, entryLimits{memoryMB: memoryMB, fds: fds, bodyBytes: maxBodyBytes})
	meter := startGauge(e.command.Process.Pid)
	var wait sync.WaitGroup
	for _, s := range readScenarios(t, "testdata/crowds.txt") {
		if slices.Contains(together, s.name) {
			wait.Go(func() {
				disperse := e.gather(t.Context(), s.target, s.crowd)
				t.Cleanup(func() { disperse() })
			})
		}
	}
	wait.Wait()
	time.Sleep(crowdStay)
	e.awaitOrdinary("an ordinary request beside the crowds")
	e.checkLimits(meter, memoryMB, fds)
}

// stopShort is the crowd of the tests of a process's start and stop.
var stopShort = scenario{target: targetCallers, memoryMB: 128, fds: 4100, crowd: Crowd{Conns: 300, Length: 1 << 20, Sent: 1<<20 - 1}}

// TestCrowdWhileStarting guards against limits that hold only once there is a configuration.
func TestCrowdWhileStarting(t *testing.T) {
	e, applyConfig := launchEntry(t, entryLimits{memoryMB: stopShort.memoryMB, fds: stopShort.fds, bodyBytes: maxBodyBytes})
	meter := startGauge(e.command.Process.Pid)
	e.await("the port of callers", func() error {
		conn, err := net.DialTimeout("tcp", e.settings.CallerAddress.String(), dialTimeout)
		if err == nil {
			conn.Close()
		}
		return err
	})
	disperse := e.gather(t.Context(), stopShort.target, stopShort.crowd)
	time.Sleep(crowdStay)
	applyConfig()
	e.awaitOrdinary("an ordinary request beside the crowd")
	disperse()
	e.checkLimits(meter, stopShort.memoryMB, stopShort.fds)
}

// TestCrowdWhileStopping guards against a process that exceeds its limits, or doesn't end, if
// callers stop short of their end late in a planned stop.
func TestCrowdWhileStopping(t *testing.T) {
	e := startEntry(t, entryLimits{memoryMB: stopShort.memoryMB, fds: stopShort.fds, bodyBytes: maxBodyBytes})
	meter := startGauge(e.command.Process.Pid)
	disperseFirst := e.gather(t.Context(), stopShort.target, stopShort.crowd)
	defer disperseFirst()
	assert.NilError(t, e.command.Process.Signal(syscall.SIGTERM))
	disperseLate := e.gather(t.Context(), stopShort.target, stopShort.crowd)
	defer disperseLate()
	select {
	case <-e.ended:
	case <-time.After(patience):
		t.Fatal("the process has not ended")
	}
	worst, descriptors, _ := meter.end()
	t.Logf("resident with sockets %d MB, descriptors %d", worst.memory()>>20, descriptors)
	assert.Check(t, worst.memory() <= int64(stopShort.memoryMB)<<20, "%d MB with the bytes in the sockets, %d are allowed", worst.memory()>>20, stopShort.memoryMB)
	assert.Check(t, descriptors <= stopShort.fds-reservedFDs)
}

// Limits of the smallest machine on which the largest legal body must be served.
const (
	smallestMemoryMB = 184
	smallestFDs      = 4100
	largestBodyBytes = 4 << 20
)

// TestLargestBodyIsServedInCalm guards against a limit that a single body of the largest legal
// size meets.
func TestLargestBodyIsServedInCalm(t *testing.T) {
	e := startEntry(t, entryLimits{memoryMB: smallestMemoryMB, fds: smallestFDs, bodyBytes: largestBodyBytes})
	meter := startGauge(e.command.Process.Pid)
	body := strings.Repeat("x", largestBodyBytes)
	for _, chunked := range []bool{false, true} {
		response := e.caller.Do(t.Context(), e.settings.CallerAddress, emulator.Request{
			ID: "largest", Host: host, Path: pathOrdinary, Key: key, Body: body, Timeout: routeTimeout, Chunked: chunked,
		})
		assert.NilError(t, response.Err)
		assert.Equal(t, response.Status, 200)
		assert.Assert(t, response.Verified && strings.HasSuffix(response.Body, body))
	}
	e.checkLimits(meter, smallestMemoryMB, smallestFDs)
}
