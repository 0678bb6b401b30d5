package simulator

import (
	"testing"

	"gotest.tools/v3/assert"
)

// goalShare is the goal: the first token of the urgent class at the 95th
// percentile at least 30 % under least_in_flight on an ordinary day.
const goalShare = 0.7

// TestPrefixAffinityKeepsItsGoal runs every scenario under the default policy
// and the baselines with one seed.
func TestPrefixAffinityKeepsItsGoal(t *testing.T) {
	for _, s := range Scenarios {
		chosen, err := SimulateRouting(s, "prefix_affinity", 1)
		assert.NilError(t, err)
		for _, baseline := range []string{"random", "round_robin", "least_in_flight"} {
			other, err := SimulateRouting(s, baseline, 1)
			assert.NilError(t, err)
			assert.Assert(t, chosen.UrgentFirstTokenP95 <= other.UrgentFirstTokenP95, "%s: %d ms, %s %d ms", s.Name, chosen.UrgentFirstTokenP95, baseline, other.UrgentFirstTokenP95)
			if s.Name == "ordinary_day" && baseline == "least_in_flight" {
				assert.Assert(t, float64(chosen.UrgentFirstTokenP95) <= goalShare*float64(other.UrgentFirstTokenP95))
			}
		}
	}
}

// TestSameSeedSameFigures demands that a run can be repeated.
func TestSameSeedSameFigures(t *testing.T) {
	first, err := SimulateRouting(Scenarios[1], "prefix_affinity", 5)
	assert.NilError(t, err)
	second, err := SimulateRouting(Scenarios[1], "prefix_affinity", 5)
	assert.NilError(t, err)
	assert.Equal(t, first, second)
}

const (
	// goodputGoal is the share of the peak that is kept at twice the capacity.
	goodputGoal = 0.95
	// fairServed is the share of small organisations' requests that are served
	// while a large one sends more than the capacity.
	fairServed = 0.95
)

// TestOverloadKeepsGoodput offers up to three times the capacity.
func TestOverloadKeepsGoodput(t *testing.T) {
	peak := 0.0
	for _, load := range []float64{0.8, 1, 1.5, 2, 3} {
		o := SimulateOverload(load, true, 1)
		peak = max(peak, o.Goodput)
		if load >= 2 {
			assert.Assert(t, o.Goodput >= goodputGoal*peak, "load %.1f: goodput %.3f of peak %.3f", load, o.Goodput, peak)
		}
		assert.Assert(t, o.SmallServed >= fairServed, "load %.1f: %.3f of the small organisations' requests", load, o.SmallServed)
	}
}
