package apportioner

import "math"

const (
	// varianceFactor is the variance of the groups needed at a moment, as a multiple
	// of their mean. It is chosen, not measured: with 30 groups, a burst of 1.5 times
	// the mean is then three standard deviations.
	varianceFactor = 1
	// minSaving is the smallest saving of a group, as a fraction of the requests that
	// it can serve, for which it counts as needed.
	minSaving = 0.001
	// minFraction is the fraction of a model's work for which it keeps groups even if
	// every group of another model would save more requests.
	minFraction = 0.5
)

// load is what one model needs.
type load struct {
	model Model
	// mean is the mean number of groups that are needed.
	mean float64
	// value is the weighted number of requests per second that one group serves.
	value float64
	// arrived is the weighted number of requests per second.
	arrived float64
	// instances is the number of instances per group.
	instances float64
}

func newLoad(m Model, a average) load {
	weight := m.Weight
	if weight <= 0 {
		weight = 1
	}
	l := load{model: m, instances: m.instancesPerGroup(), arrived: weight * a.arrived}
	if a.offered > 0 && m.Size > 0 {
		l.mean = a.offered / float64(m.Size) * a.correction
		l.value = l.arrived / l.mean
	}
	return l
}

// scaled returns the load with a multiple of its requests.
func (l load) scaled(factor float64) load {
	l.mean *= factor
	l.arrived *= factor
	return l
}

// lost returns the weighted number of requests per second that a number of groups
// does not serve.
func (l load) lost(groups float64) float64 {
	if l.mean == 0 {
		return 0
	}
	return l.value * expectedShortfall(l.mean, math.Sqrt(varianceFactor*l.mean), groups)
}

// saving returns the requests per second and instance that one more group saves.
func (l load) saving(groups int) float64 {
	return (l.lost(float64(groups)) - l.lost(float64(groups+1))) / l.instances
}

// expectedShortfall returns E[(A-c)+] for a normally distributed A.
func expectedShortfall(mean, deviation, c float64) float64 {
	z := (c - mean) / deviation
	density := math.Exp(-z*z/2) / math.Sqrt(2*math.Pi)
	above := math.Erfc(z/math.Sqrt2) / 2
	return max(0, deviation*density+(mean-c)*above)
}

// divide returns the number of groups of each load. Since each saving falls with the
// number of groups, giving every next group to the largest saving is optimal, but for
// the rest that is too small for a group.
func divide(instances float64, loads []load) []int {
	counts := minimum(instances, loads)
	for i, l := range loads {
		instances -= float64(counts[i]) * l.instances
	}
	for {
		best := -1
		for i, l := range loads {
			if l.mean > 0 && l.instances <= instances+0.5 && (best < 0 || l.goesBefore(loads[best], counts[i], counts[best])) {
				best = i
			}
		}
		if best < 0 {
			return counts
		}
		counts[best]++
		instances -= loads[best].instances
	}
}

// goesBefore reports whether the next group goes to l rather than to o. Groups that
// neither needs are divided in proportion to the work.
func (l load) goesBefore(o load, groups, otherGroups int) bool {
	saving, other := l.saving(groups), o.saving(otherGroups)
	needed := saving*l.instances > minSaving*l.value
	otherNeeded := other*o.instances > minSaving*o.value
	switch {
	case needed != otherNeeded:
		return needed
	case needed:
		return saving > other
	}
	return float64(groups)/l.mean < float64(otherGroups)/o.mean
}

// minimum returns the groups that each model keeps in any case: those for minFraction
// of its work, or of its proportional part if the instances are too few for all, and
// at least one while it has arrivals and there are instances for its members.
func minimum(instances float64, loads []load) []int {
	needed := 0.0
	for _, l := range loads {
		needed += l.mean * l.instances
	}
	counts := make([]int, len(loads))
	rest := instances
	// The first group takes its members only: in a small deployment, the instances that may
	// be out of service besides are not there.
	for i, l := range loads {
		if size := float64(l.model.Size); l.mean > 0 && size <= rest {
			counts[i] = 1
			rest -= size
		}
	}
	for i, l := range loads {
		if counts[i] == 0 {
			continue
		}
		least := int(minFraction * l.mean * min(1, instances/needed))
		more := max(0, min(least-1, int(rest/l.instances)))
		counts[i] += more
		rest -= float64(more) * l.instances
	}
	return counts
}
