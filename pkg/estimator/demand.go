package estimator

import (
	"math"
	"time"
)

// Cost returns how much of the group's time a request uses: its prefill, and its
// share of the token steps of a full batch.
func (g Group) Cost(promptTokens, responseTokens int) time.Duration {
	slots := max(1, g.Engine.Slots)
	return g.PrefillTime(promptTokens) + time.Duration(responseTokens)*g.StepTime(slots)/time.Duration(slots)
}

// maxPressure is the pressure of a model all of whose requests miss their objective. It
// bounds how far one model can outweigh another with the same work.
const maxPressure = 3

// DemandShares returns the share of the instances that each model needs, from the reports on
// its requests; the shares sum to 1. A model needs instances for its offered work, and more
// if its requests miss their objective, since a queue needs free slots to stay short. The
// result is nil if the offered work is less than minOffered.
func DemandShares(reports map[string]PoolReport, minOffered time.Duration) map[string]float64 {
	shares := make(map[string]float64, len(reports))
	offered, sum := time.Duration(0), 0.0
	for name, r := range reports {
		offered += r.Offered
		pressure := 1 + (maxPressure-1)*r.MissedShare()
		shares[name] = r.Offered.Seconds() * math.Sqrt(pressure)
		sum += shares[name]
	}
	if offered < minOffered || sum <= 0 {
		return nil
	}
	for name := range shares {
		shares[name] /= sum
	}
	return shares
}
