package limiter

import "time"

const (
	// durationGain is the weight of a new time against the mean.
	durationGain = 0.05
	// deviationFactor is how many mean deviationFactor a request may take longer.
	deviationFactor = 2
)

// durationEstimator estimates how long a request takes from its start to its end.
type durationEstimator struct {
	mean      float64
	deviation float64
}

func (s *durationEstimator) record(took time.Duration) {
	value := float64(took)
	if s.mean == 0 {
		s.mean = value
		return
	}
	difference := value - s.mean
	s.mean += durationGain * difference
	s.deviation += durationGain * (max(difference, -difference) - s.deviation)
}

// estimate returns a time that most requests stay below; without any request
// it is zero.
func (s *durationEstimator) estimate() time.Duration {
	return time.Duration(s.mean + deviationFactor*s.deviation)
}
