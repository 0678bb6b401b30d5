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

// DemandMeter computes the share of the instances that each model needs from the
// requests observed. It does no I/O and is not safe for concurrent use.
type DemandMeter struct {
	decayTime time.Duration
	models    map[string]*modelDemand
}

// modelDemand is the recent demand for one model.
type modelDemand struct {
	// work is the exponentially decaying sum of instance seconds.
	work    float64
	updated time.Time
	// pressure is the moving average of the predicted time to first token
	// divided by its objective.
	pressure float64
}

const (
	// pressureWeight is the weight of a new request in the moving average.
	pressureWeight = 0.03
	// maxPressure caps the pressure that a request adds to the moving average,
	// and thereby how far one model can outweigh another.
	maxPressure = 3
)

// NewDemandMeter returns a meter in which the weight of a request decays
// exponentially with the time constant decayTime.
func NewDemandMeter(decayTime time.Duration) *DemandMeter {
	return &DemandMeter{decayTime: decayTime, models: make(map[string]*modelDemand)}
}

// Observe records a request that uses cost of the time of a group with the given
// number of members. The argument pressure is the request's predicted time to
// first token divided by the objective for it.
func (m *DemandMeter) Observe(now time.Time, model string, members int, cost time.Duration, pressure float64) {
	d := m.models[model]
	if d == nil {
		d = &modelDemand{updated: now, pressure: pressure}
		m.models[model] = d
	}
	d.decay(now, m.decayTime)
	d.work += cost.Seconds() * float64(members)
	d.pressure += pressureWeight * (min(pressure, maxPressure) - d.pressure)
}

// decay reduces the work by the time since the last update.
func (d *modelDemand) decay(now time.Time, decayTime time.Duration) {
	d.work *= math.Exp(-now.Sub(d.updated).Seconds() / decayTime.Seconds())
	d.updated = now
}

// Shares returns the share of the instances that each model needs; they sum to 1.
// It returns nil while the work observed is less than minWork instance seconds.
func (m *DemandMeter) Shares(now time.Time, minWork float64) map[string]float64 {
	shares := make(map[string]float64, len(m.models))
	sum, totalWork := 0.0, 0.0
	for name, d := range m.models {
		d.decay(now, m.decayTime)
		totalWork += d.work
		shares[name] = d.work * math.Sqrt(d.pressure)
		sum += shares[name]
	}
	if totalWork < minWork || sum == 0 {
		return nil
	}
	for name := range shares {
		shares[name] /= sum
	}
	return shares
}
