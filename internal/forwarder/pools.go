package forwarder

import (
	"time"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/pkg/estimator"
	"github.com/waxwingmount/waxwingmount/pkg/limiter"
	"github.com/waxwingmount/waxwingmount/pkg/mapper"
)

// reportName returns the name under which a pool is reported, or false for a model that
// the service does not have. Callers choose the model; for a service without models it has
// no meaning.
func reportName(config *mapper.RouteTable, key poolKey) (string, bool) {
	service, found := config.Service(key.service)
	if !found {
		return "", false
	}
	if service.Engine == nil {
		return poolKey{service: key.service}.String(), true
	}
	_, found = service.Engine.Model(key.model)
	return key.String(), found
}

// localPools returns this entry instance's reports on the requests to each pool.
func (f *Forwarder) localPools() map[string]estimator.PoolReport {
	config, now := f.Observer.Config(), clocker.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	reports := map[string]estimator.PoolReport{estimator.AllPools: {Reporters: 1}}
	if config == nil {
		return reports
	}
	for key, p := range f.pools {
		name, found := reportName(config, key)
		if r := p.report(now, config); found && r != (estimator.PoolReport{}) {
			reports[name] = reports[name].Plus(r)
		}
	}
	return reports
}

// report returns what this entry instance knows of the requests to the pool.
func (p *pool) report(now time.Time, config *mapper.RouteTable) estimator.PoolReport {
	r := p.meter.Report(now)
	p.queue.Each(func(t limiter.Ticket) {
		if class := config.RankClass(t.Priority, estimator.Ranks); t.Late(now) {
			r.Late[class]++
		} else {
			r.Waiting[class]++
		}
	})
	return r
}

// fleetPool returns what all entry instances that report know of the requests to a pool.
// The caller holds f.mu.
func (f *Forwarder) fleetPool(now time.Time, config *mapper.RouteTable, key poolKey) estimator.PoolReport {
	own := f.poolFor(key).report(now, config)
	name, found := reportName(config, key)
	if !found {
		return own
	}
	return own.Plus(f.Pools.table.Remote(now, name))
}

// recordArrival counts a request towards the demand for its pool. A request that a caller
// repeats after a refusal has been counted before, and one that came by a peer after it
// waited or was attempted there has been counted there.
func (f *Forwarder) recordArrival(now time.Time, x *exchange) {
	if d := x.request.Detour; d != nil && (d.Counted || d.LastEventID != "" || len(d.Excluded) > 0) {
		return
	}
	var cost time.Duration
	members := 0
	if service, found := x.config.Service(x.pool.service); found && service.Engine != nil {
		if model, found := service.Engine.Model(x.pool.model); found {
			responseTokens := x.request.LengthHint
			if responseTokens <= 0 {
				responseTokens = service.Engine.UsualAnswer
			}
			cost = estimator.Group{Engine: service.Engine, Pace: model.Pace}.Cost(x.request.PromptTokens, responseTokens)
			members = model.Size
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.previouslyRefused(now, x.fingerprint) {
		return
	}
	x.observed, x.observedPool = true, x.pool
	f.poolFor(x.pool).meter.Observe(now, members, cost)
}

// recordOutcome counts a request towards those that missed their objective if it was not
// served, or if its response, or the first event of it, comes too late.
func (f *Forwarder) recordOutcome(x *exchange, served bool) {
	now := clocker.Now()
	late := x.route.Objective > 0 && now.Sub(x.request.Arrived) > x.route.Objective
	if !x.observed || served && !late {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.poolFor(x.observedPool).meter.Miss(now)
}
