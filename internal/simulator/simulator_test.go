package simulator

import (
	"testing"

	"gotest.tools/v3/assert"
)

// maxUrgentP95Ratio is the upper limit of the 95th percentile of the urgent
// class's time to first token on an ordinary day, relative to least_in_flight: the
// goal is at least 30 % less.
const maxUrgentP95Ratio = 0.7

// TestPrefixAffinityReducesUrgentLatency compares the default policy with the
// baselines in every scenario, with one seed.
func TestPrefixAffinityReducesUrgentLatency(t *testing.T) {
	for _, s := range Scenarios {
		chosen, err := SimulateRouting(s, "prefix_affinity", 1)
		assert.NilError(t, err)
		for _, baseline := range []string{"random", "round_robin", "least_in_flight"} {
			other, err := SimulateRouting(s, baseline, 1)
			assert.NilError(t, err)
			assert.Assert(t, chosen.UrgentFirstTokenP95 <= other.UrgentFirstTokenP95, "%s: %d ms, %s %d ms", s.Name, chosen.UrgentFirstTokenP95, baseline, other.UrgentFirstTokenP95)
			if s.Name == "ordinary_day" && baseline == "least_in_flight" {
				assert.Assert(t, float64(chosen.UrgentFirstTokenP95) <= maxUrgentP95Ratio*float64(other.UrgentFirstTokenP95))
			}
		}
	}
}

// TestSameSeedGivesSameResult guards against simulations that are not
// deterministic.
func TestSameSeedGivesSameResult(t *testing.T) {
	first, err := SimulateRouting(Scenarios[1], "prefix_affinity", 5)
	assert.NilError(t, err)
	second, err := SimulateRouting(Scenarios[1], "prefix_affinity", 5)
	assert.NilError(t, err)
	assert.Equal(t, first, second)
}

const (
	// minGoodputShare is the lowest goodput at twice the capacity or more, as a
	// fraction of the peak.
	minGoodputShare = 0.95
	// minSmallServed is the lowest fraction of the small organisations' requests
	// that are served while a large one sends more than the capacity.
	minSmallServed = 0.95
)

// TestGoodputUnderOverload offers up to three times the capacity.
func TestGoodputUnderOverload(t *testing.T) {
	peak := 0.0
	for _, load := range []float64{0.8, 1, 1.5, 2, 3} {
		result := SimulateOverload(load, true, 1)
		peak = max(peak, result.Goodput)
		if load >= 2 {
			assert.Assert(t, result.Goodput >= minGoodputShare*peak, "load %.1f: goodput %.3f of peak %.3f", load, result.Goodput, peak)
		}
		assert.Assert(t, result.SmallServed >= minSmallServed, "load %.1f: %.3f of the small organisations' requests", load, result.SmallServed)
	}
}
