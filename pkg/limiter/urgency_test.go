package limiter

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A rank must not be overtaken by a lower one at the servers, and within a rank the
// requests that can only be late must not take the room of those that can be in time.
func TestUrgencyOrdersRanksThenTimeliness(t *testing.T) {
	last := NewUrgency(3, Interrupted)
	for rank := range 4 {
		for _, timeliness := range []Timeliness{InTime, TooLate} {
			u := NewUrgency(rank, timeliness)
			assert.Assert(t, u > last && u.IsSet(), "rank %d, timeliness %d: %d after %d", rank, timeliness, u, last)
			last = u
		}
	}
	assert.Equal(t, NewUrgency(7, TooLate), last)
	assert.Assert(t, !Urgency(0).IsSet())
}
