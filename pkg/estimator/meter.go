package estimator

import (
	"math"
	"time"
)

// Cost returns how much of a group's time a request takes: its reading, and
// its part of the steps of a full batch.
func (g Group) Cost(promptTokens, answerTokens int) time.Duration {
	slots := max(1, g.Engine.Slots)
	return g.PrefillTime(promptTokens) + time.Duration(answerTokens)*g.StepTime(slots)/time.Duration(slots)
}

// DemandMeter tells which part of the instances each model needs, from the requests
// that came. It does no I/O and is not safe for concurrent use.
type DemandMeter struct {
	decayTime time.Duration
	models    map[string]*modelDemand
}

// modelDemand is what one model has been asked for.
type modelDemand struct {
	// work is the decaying sum of instance seconds.
	work    float64
	updated time.Time
	// pressure is the decaying mean of predicted first tokens over objectives.
	pressure float64
}

const (
	// pressureWeight is the part of a new request in the mean.
	pressureWeight = 0.03
	// maxPressure bounds how much one model may outweigh another.
	maxPressure = 3
)

// NewDemandMeter returns a meter that forgets what is older than memory.
func NewDemandMeter(decayTime time.Duration) *DemandMeter {
	return &DemandMeter{decayTime: decayTime, models: make(map[string]*modelDemand)}
}

// Observe counts a request that takes so much time of a group of size
// instances, and whose first token was predicted after that part of its
// objective.
func (m *DemandMeter) Observe(now time.Time, model string, members int, cost time.Duration, pressure float64) {
	u := m.models[model]
	if u == nil {
		u = &modelDemand{updated: now, pressure: pressure}
		m.models[model] = u
	}
	u.decay(now, m.decayTime)
	u.work += cost.Seconds() * float64(members)
	u.pressure += pressureWeight * (min(pressure, maxPressure) - u.pressure)
}

func (u *modelDemand) decay(now time.Time, decayTime time.Duration) {
	u.work *= math.Exp(-now.Sub(u.updated).Seconds() / decayTime.Seconds())
	u.updated = now
}

// Shares returns each model's part, or nothing while too little has come.
func (m *DemandMeter) Shares(now time.Time, minWork float64) map[string]float64 {
	shares := make(map[string]float64, len(m.models))
	sum, totalWork := 0.0, 0.0
	for name, u := range m.models {
		u.decay(now, m.decayTime)
		totalWork += u.work
		shares[name] = u.work * math.Sqrt(u.pressure)
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
