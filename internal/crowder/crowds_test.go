//go:build crowds

package crowder

import (
	"context"
	"net"
	"strings"
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
	for _, c := range readCrowds(t, "testdata/crowds.txt") {
		t.Run(c.name, func(t *testing.T) {
			e := startEntry(t, entryLimits{memoryMB: c.memoryMB, fds: c.fds, bodyBytes: maxBodyBytes})
			meter := startGauge(e.command.Process.Pid)
			crowd := e.gather(t.Context(), c)
			time.Sleep(crowdStay)
			e.awaitOrdinary("an ordinary request beside the crowd")
			crowd.disperse()
			e.awaitOrdinary("an ordinary request after the crowd")
			e.checkLimits(meter, c.memoryMB, c.fds)
		})
	}
}

// gather opens the connections of a crowd at the port of its target.
func (e *entry) gather(ctx context.Context, c crowd) *gathering {
	if c.target == targetHops {
		return c.gatherHops(ctx, e.settings.PeerAddress)
	}
	return c.gather(func() (net.Conn, error) {
		return (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", e.address(c.target).String())
	}, e.path(c.target))
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
