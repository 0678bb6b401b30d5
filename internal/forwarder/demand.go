package forwarder

import (
	"time"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/pkg/estimator"
)

const (
	// demandWindow is how long a request counts towards the demand: about the
	// time to load a model's weights.
	demandWindow = 10 * time.Second
	// extraSharePerMember raises the share of a model for each member of its
	// groups above extraShareAboveSize, because larger groups lose a member
	// more often and wait longer for a spare instance. In simulated runs a
	// larger share raised the score of groups of 8 from 0.51 to 0.66 and gained
	// nothing for groups of 4.
	extraSharePerMember = 0.1
	extraShareAboveSize = 4
	// minDemandInstanceSeconds is how much work must have been requested before
	// the demand is measured.
	minDemandInstanceSeconds = 3
)

// Demand implements [orchestrator.DemandSource]. It returns the share of the
// instances that each model needs: the mean of the configured and the measured
// share once there are enough measurements, and the configured share until
// then.
func (f *Forwarder) Demand(service string) map[string]float64 {
	demand := make(map[string]float64)
	config := f.Observer.Config()
	if config == nil {
		return demand
	}
	s, found := config.Service(service)
	if !found || s.Engine == nil {
		return demand
	}
	sum := 0.0
	for _, m := range s.Engine.Models {
		demand[m.Name] = m.Share * (1 + extraSharePerMember*float64(max(0, m.Size-extraShareAboveSize)))
		sum += demand[m.Name]
	}
	for name := range demand {
		demand[name] /= sum
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if meter := f.demandMeters[service]; meter != nil {
		for name, share := range meter.Shares(clocker.Now(), minDemandInstanceSeconds) {
			demand[name] = (demand[name] + share) / 2
		}
	}
	return demand
}

// recordDemand counts a request towards the demand for its model.
func (f *Forwarder) recordDemand(x *exchange, c choice) {
	u := c.upstream
	if u.state().group == nil || x.route.Objective <= 0 {
		return
	}
	now := clocker.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	meter := f.demandMeters[x.pool.service]
	if meter == nil {
		meter = estimator.NewDemandMeter(demandWindow)
		f.demandMeters[x.pool.service] = meter
	}
	compactGroup := u.state().estimate
	compactGroup.Spread = false
	responseTokens := x.request.LengthHint
	if responseTokens <= 0 {
		responseTokens = u.state().estimate.Engine.UsualAnswer
	}
	meter.Observe(now, x.pool.model, len(u.state().members), compactGroup.Cost(x.request.PromptTokens, responseTokens),
		float64(c.firstEvent)/float64(x.route.Objective))
}
