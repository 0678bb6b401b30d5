package limiter

import "time"

const (
	// durationGain is the weight of a new duration in the moving averages.
	durationGain = 0.05
	// deviationFactor is the number of mean deviations that the estimate is above
	// the mean.
	deviationFactor = 2
)

// durationEstimator estimates the time of a request from its start to its end,
// from the moving averages of the duration and of its absolute deviation.
type durationEstimator struct {
	mean      float64
	deviation float64
}

// record adds the duration of one request.
func (e *durationEstimator) record(took time.Duration) {
	value := float64(took)
	if e.mean == 0 {
		e.mean = value
		return
	}
	difference := value - e.mean
	e.mean += durationGain * difference
	e.deviation += durationGain * (max(difference, -difference) - e.deviation)
}

// estimate returns a duration that most requests stay below, or 0 before any has
// been recorded.
func (e *durationEstimator) estimate() time.Duration {
	return time.Duration(e.mean + deviationFactor*e.deviation)
}
