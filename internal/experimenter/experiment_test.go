package experimenter

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
		chosen, err := Run(s, "prefix_affinity", 1)
		assert.NilError(t, err)
		for _, baseline := range []string{"random", "round_robin", "least_in_flight"} {
			other, err := Run(s, baseline, 1)
			assert.NilError(t, err)
			assert.Assert(t, chosen.UrgentP95 <= other.UrgentP95, "%s: %d ms, %s %d ms", s.Name, chosen.UrgentP95, baseline, other.UrgentP95)
			if s.Name == "ordinary_day" && baseline == "least_in_flight" {
				assert.Assert(t, float64(chosen.UrgentP95) <= goalShare*float64(other.UrgentP95))
			}
		}
	}
}

// TestSameSeedSameFigures demands that a run can be repeated.
func TestSameSeedSameFigures(t *testing.T) {
	first, err := Run(Scenarios[1], "prefix_affinity", 5)
	assert.NilError(t, err)
	second, err := Run(Scenarios[1], "prefix_affinity", 5)
	assert.NilError(t, err)
	assert.Equal(t, first, second)
}
