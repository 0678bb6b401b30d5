package forwarder

import (
	"time"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/pkg/estimator"
	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/pkg/tracker"
)

const (
	// demandWindow is how long a request counts towards the demand: about the
	// time to load a model's weights.
	demandWindow = 10 * time.Second
	// minDemandInstanceTime is how much work the fleet must have been offered before the
	// demand is measured.
	minDemandInstanceTime = 3 * time.Second
	// configuredShareRequests is how many requests in demandWindow the configured share
	// counts for beside the measured one: few requests swing from second to second.
	configuredShareRequests = 1700
)

// Demand implements [orchestrator.DemandSource]. It returns the share of the
// instances that each model needs: the configured share, and the more requests all entry
// instances report, the more the share of the work in them. A model gets more
// instances for its share of the work if fewer of them can serve in whole groups.
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
	reports := f.modelReports(config, s)
	arrived := 0.0
	for _, r := range reports {
		arrived += float64(r.Arrived) / estimator.Milli
	}
	weight := arrived / (arrived + configuredShareRequests)
	for name, share := range estimator.DemandShares(reports, minDemandInstanceTime) {
		demand[name] += weight * (share - demand[name])
	}
	domainSize := f.domainSize(service)
	sum := 0.0
	for _, m := range s.Engine.Models {
		demand[m.Name] /= estimator.UsableShare(domainSize, m.Size, estimator.UnavailableShare)
		sum += demand[m.Name]
	}
	if sum > 0 {
		for name := range demand {
			demand[name] /= sum
		}
	}
	return demand
}

// modelReports returns what the fleet knows of the requests to each model of a service.
func (f *Forwarder) modelReports(config *mapper.RouteTable, service mapper.Service) map[string]estimator.PoolReport {
	now := clocker.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	reports := make(map[string]estimator.PoolReport)
	for _, m := range service.Engine.Models {
		reports[m.Name] = f.fleetPool(now, config, poolKey{service: service.Name, model: m.Name})
	}
	return reports
}

// Loads returns the load that the fleet has had for each model of a service over the last
// demandWindow. Live entry instances that do not report, such as those of an older build,
// are taken to have as much as the others. Loads returns nil while fewer than half of them
// report.
func (f *Forwarder) Loads(service string) map[string]estimator.ModelLoad {
	loads := make(map[string]estimator.ModelLoad)
	config := f.Observer.Config()
	if config == nil {
		return loads
	}
	s, found := config.Service(service)
	if !found || s.Engine == nil {
		return loads
	}
	live := f.Peers.Count()
	f.mu.Lock()
	reporters := f.reporters(clocker.Now())
	f.mu.Unlock()
	if 2*reporters < live {
		return nil
	}
	perSecond := max(1, float64(live)/float64(reporters)) / demandWindow.Seconds()
	for name, r := range f.modelReports(config, s) {
		loads[name] = estimator.ModelLoad{
			Offered: r.Offered.Seconds() * perSecond,
			Arrived: float64(r.Arrived) / estimator.Milli * perSecond,
			Missed:  r.MissedShare(),
		}
	}
	return loads
}

// reporters returns how many entry instances report on their pools, this one included. The
// caller holds f.mu.
func (f *Forwarder) reporters(now time.Time) int {
	return 1 + max(0, f.Pools.table.Remote(now, estimator.AllPools).Reporters)
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
