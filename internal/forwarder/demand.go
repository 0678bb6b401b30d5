package forwarder

import (
	"time"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/pkg/estimator"
	"github.com/waxwingmount/waxwingmount/pkg/tracker"
)

const (
	// demandWindow is how long a request counts towards the demand: about the
	// time to load a model's weights.
	demandWindow = 10 * time.Second
	// unavailableShare is the fraction of the instances that are assumed to be
	// lost, or to load weights, at any time.
	unavailableShare = 0.1
	// minDemandInstanceSeconds is how much work must have been requested before
	// the demand is measured.
	minDemandInstanceSeconds = 3
)

// Demand implements [orchestrator.DemandSource]. It returns the share of the
// instances that each model needs. The share of the work is the mean of the
// configured and the measured share once there are enough measurements, and the
// configured share until then. A model gets more instances for its share of the
// work if fewer of them can serve in whole groups.
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
	for _, m := range s.Engine.Models {
		demand[m.Name] = m.Share
	}
	f.mu.Lock()
	if meter := f.demandMeters[service]; meter != nil {
		for name, share := range meter.Shares(clocker.Now(), minDemandInstanceSeconds) {
			demand[name] = (demand[name] + share) / 2
		}
	}
	f.mu.Unlock()
	domainSize := f.domainSize(service)
	sum := 0.0
	for _, m := range s.Engine.Models {
		demand[m.Name] /= estimator.UsableShare(domainSize, m.Size, unavailableShare)
		sum += demand[m.Name]
	}
	if sum > 0 {
		for name := range demand {
			demand[name] /= sum
		}
	}
	return demand
}

// domainSize returns the number of instances of a service in its largest fabric
// domain.
func (f *Forwarder) domainSize(service string) int {
	counts := make(map[string]int)
	f.Observer.WithTracker(func(t *tracker.Tracker) {
		for _, in := range t.Instances() {
			if in.Service == service {
				counts[in.FabricDomain]++
			}
		}
	})
	largest := 0
	for _, n := range counts {
		largest = max(largest, n)
	}
	return largest
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
