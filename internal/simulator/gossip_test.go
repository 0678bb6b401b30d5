package simulator

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestGossipCostAtSize guards against a membership whose cost does not fit the budget
// of an entry instance at the size that the project is to reach: 390 members with
// four rounds a second may send at most half of 11 KB a second each, and with a tenth
// of them paused a change must reach all within 12 s.
func TestGossipCostAtSize(t *testing.T) {
	const (
		roundsPerSecond     = 4
		budget              = 11 << 10
		maxRounds           = 12 * roundsPerSecond
		members, neighbours = 390, 4
	)
	cost := MeasureGossipCost(members, neighbours)
	assert.Assert(t, cost.BytesPerRound*roundsPerSecond <= budget/2, "%.0f bytes a second", cost.BytesPerRound*roundsPerSecond)
	assert.Assert(t, cost.RoundsToConverge <= maxRounds, "%d rounds", cost.RoundsToConverge)
}
