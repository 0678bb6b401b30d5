package limiter

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A store that rejects all entry instances for 8 s must not get more calls the more instances
// there are, beyond what maxBackoff allows, and each instance must notice its return in time.
func TestCallsToFailingStoreAreBounded(t *testing.T) {
	const outage, step = 8 * time.Second, 10 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 2))
	for _, test := range []struct{ callers, most int }{
		{callers: 13, most: 13*4 + 2*8*fleetCallsPerSecond},
		{callers: 71, most: 71*4 + 2*8*fleetCallsPerSecond},
		{callers: 390, most: 390*4 + 2*8*390/3},
	} {
		backoffs := make([]Backoff, test.callers)
		calls, start := 0, time.Unix(0, 0)
		for at := time.Duration(0); at < outage; at += step {
			for i := range backoffs {
				if backoffs[i].Ready(start.Add(at)) {
					calls++
					backoffs[i].Fail(start.Add(at), test.callers, random.Float64())
				}
			}
		}
		assert.Assert(t, calls <= test.most, "%d callers: %d calls, at most %d", test.callers, calls, test.most)
		for i := range backoffs {
			assert.Assert(t, backoffs[i].Ready(start.Add(outage+maxBackoff)))
		}
	}
	var b Backoff
	b.Fail(time.Unix(0, 0), 71, 0.9)
	b.Succeed()
	assert.Assert(t, b.Ready(time.Unix(0, 0)))
}
