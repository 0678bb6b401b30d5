package estimator

import (
	"bytes"
	"encoding/gob"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// maxPoolsBytes is what the reports on two pools may add to a load message. An entry
// instance sends up to 160 of them a second.
const maxPoolsBytes = 140

// TestPoolsOfMessageAreSmall guards against reports that make load messages large.
func TestPoolsOfMessageAreSmall(t *testing.T) {
	report := PoolReport{Offered: 61_234_567_891, Arrived: 62_345, Missed: 2_345, Waiting: [Ranks]int{12, 3, 0, 0}, Late: [Ranks]int{2, 0, 1, 0}}
	message := struct{ Pools map[string]PoolReport }{
		map[string]PoolReport{AllPools: {Reporters: 1}, "engines/large": report, "engines/small": report},
	}
	var sent bytes.Buffer
	encoder := gob.NewEncoder(&sent)
	assert.NilError(t, encoder.Encode(message))
	// The types are sent once for a connection.
	sent.Reset()
	assert.NilError(t, encoder.Encode(message))
	t.Logf("%d bytes", sent.Len())
	assert.Assert(t, sent.Len() <= maxPoolsBytes, "%d bytes", sent.Len())
}

// TestSameQueues guards against a change of a queue that is not reported, and against
// messages for values that only decay.
func TestSameQueues(t *testing.T) {
	pools := func(waiting, arrived int) map[string]PoolReport {
		return map[string]PoolReport{"p": {Arrived: arrived, Waiting: [Ranks]int{0, waiting}}}
	}
	assert.Assert(t, SameQueues(pools(1, 2000), pools(1, 1900)))
	assert.Assert(t, !SameQueues(pools(1, 2000), pools(2, 2000)))
	assert.Assert(t, !SameQueues(nil, pools(0, 1)))
}

// TestPoolMeterOfRareRequests guards against requests that are rounded away where each entry
// instance has one every few seconds: 71 instances with three requests in ten seconds each.
func TestPoolMeterOfRareRequests(t *testing.T) {
	const instances, interval = 71, 3 * time.Second
	start := time.Unix(1000, 0)
	end := start.Add(2 * time.Minute)
	var sum PoolReport
	for i := range instances {
		meter := NewPoolMeter(10 * time.Second)
		for at := start.Add(time.Duration(i) * interval / instances); at.Before(end); at = at.Add(interval) {
			meter.Observe(at, 8, 100*time.Millisecond)
			if at.Second()%2 == 0 {
				meter.Miss(at)
			}
		}
		sum = sum.Plus(meter.Report(end))
	}
	perSecond := float64(sum.Arrived) / Milli / 10
	assert.Assert(t, perSecond > 0.98*instances/3 && perSecond < 1.02*instances/3, "%v", perSecond)
	assert.Assert(t, sum.MissedShare() > 0.4 && sum.MissedShare() < 0.6, "%v", sum.MissedShare())
	offered := sum.Offered.Seconds() / 10
	assert.Assert(t, offered > 0.98*0.8*instances/3 && offered < 1.02*0.8*instances/3, "%v", offered)
}
