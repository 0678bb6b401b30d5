package estimator

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

func TestUsableShare(t *testing.T) {
	for _, c := range []struct {
		domainSize, groupSize int
		unavailable, want     float64
	}{
		{domainSize: 8, groupSize: 4, want: 1},
		{domainSize: 10, groupSize: 4, want: 0.8},
		{domainSize: 4, groupSize: 4, unavailable: 0.5, want: 1.0 / 16},
		{domainSize: 2, groupSize: 1, unavailable: 0.1, want: 0.9},
		{domainSize: 3, groupSize: 2, unavailable: 0.5, want: 1.0 / 3},
		{domainSize: 2, groupSize: 4, unavailable: 0.1, want: 0.9},
	} {
		got := UsableShare(c.domainSize, c.groupSize, c.unavailable)
		assert.Assert(t, math.Abs(got-c.want) < 1e-9, "%+v: %v", c, got)
	}
}

// TestUsableShareOfLargeGroups compares domains under churn: a larger group
// loses more of them, and less where its size leaves instances over as spares.
func TestUsableShareOfLargeGroups(t *testing.T) {
	const unavailable = 0.1
	assert.Assert(t, UsableShare(8, 4, unavailable) < UsableShare(8, 2, unavailable))
	assert.Assert(t, UsableShare(18, 8, unavailable) < 0.9*UsableShare(18, 2, unavailable))
	assert.Assert(t, UsableShare(19, 8, unavailable) > 0.95*UsableShare(19, 4, unavailable))
}
