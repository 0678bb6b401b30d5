package limiter

import "time"

const (
	// serviceGain is the weight of a new time against the mean.
	serviceGain = 0.05
	// deviations is how many mean deviations a request may take longer.
	deviations = 2
)

// service estimates how long a request takes from its start to its end.
type service struct {
	mean      float64
	deviation float64
}

func (s *service) record(took time.Duration) {
	value := float64(took)
	if s.mean == 0 {
		s.mean = value
		return
	}
	difference := value - s.mean
	s.mean += serviceGain * difference
	s.deviation += serviceGain * (max(difference, -difference) - s.deviation)
}

// estimate returns a time that most requests stay below; without any request
// it is zero.
func (s *service) estimate() time.Duration {
	return time.Duration(s.mean + deviations*s.deviation)
}
