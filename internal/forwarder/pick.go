package forwarder

import (
	"cmp"
	"slices"
	"time"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/pkg/estimator"
	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
	"github.com/waxwingmount/waxwingmount/pkg/router"
	"github.com/waxwingmount/waxwingmount/pkg/screener"
	"github.com/waxwingmount/waxwingmount/pkg/tracker"
	"github.com/waxwingmount/waxwingmount/pkg/warmer"
)

const (
	// remoteLoadPenalty is added to the load of a plain server in another data
	// centre, in requests.
	remoteLoadPenalty = 0.5
	// remoteDelayPenalty is added to the predicted time to the first token of a
	// group in another data centre: a tenth of what remains of the shortest
	// objective.
	remoteDelayPenalty = 12 * time.Millisecond
	// maxInformedPeers is the largest number of entry instances that learn of
	// each other's load often enough to compare all upstreams. minChoices is
	// how many upstreams are compared in any case.
	maxInformedPeers = 12
	minChoices       = 3
	// remoteChoices is how many of the compared upstreams are in other data
	// centres.
	remoteChoices = 1
	// runningPenalty is the cost of each running request beyond its part in
	// each step, because it makes the batch read and write more later.
	runningPenalty = 3 * time.Millisecond
)

// Idle reports whether neither this entry instance nor its peers have had a
// request yet, on the first start of the system.
func (f *Forwarder) Idle() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.settings.Load().FirstStart || f.lastTicketID > 0 {
		return false
	}
	return f.Works.table.Empty()
}

// localWork returns the work that this entry instance has in progress, by upstream name.
func (f *Forwarder) localWork() map[string]estimator.Work {
	f.mu.Lock()
	defer f.mu.Unlock()
	works := make(map[string]estimator.Work)
	for name, u := range f.upstreams {
		if len(u.active) > 0 {
			works[name] = u.activeWork()
		}
	}
	return works
}

// totalWork returns the work that all entry instances have in progress at an
// upstream, as far as it is known here.
func (f *Forwarder) totalWork(now time.Time, u *upstream) estimator.Work {
	sum, others := u.activeWork(), f.Works.table.Remote(now, u.name)
	sum.Running += others.Running
	sum.UnreadTokens += others.UnreadTokens
	return sum
}

// destination is a group or plain server that the view lists as available.
type destination struct {
	name    string
	members []provider.Instance
	// group and engine are nil for a plain server.
	group  *tracker.Group
	engine *mapper.Engine
	// warmUp is the limit of the service's cold servers.
	warmUp warmer.Limit
}

// destinations returns what may be sent requests of a pool now.
func (f *Forwarder) destinations(config *mapper.RouteTable, key poolKey) []destination {
	service, found := config.Service(key.service)
	if !found {
		return nil
	}
	var available []destination
	warmUp := f.warmUpLimit(service)
	if service.Engine != nil && key.model != "" {
		for _, g := range f.Observer.Groups(key.service, key.model) {
			available = append(available, destination{name: g.Name, members: g.Members, group: &g, engine: service.Engine, warmUp: warmUp})
		}
		return available
	}
	for _, in := range f.Observer.Servers(key.service) {
		available = append(available, destination{name: in.ID, members: []provider.Instance{in}, warmUp: warmUp})
	}
	return available
}

// candidates returns the upstreams of the destinations that may be sent a request.
// Those that only lack a permit are returned separately, and those that may get none because
// they are cold are counted. The caller holds f.mu.
func (f *Forwarder) candidates(now time.Time, destinations []destination) (usable, withoutPermit []*upstream, cold int) {
	usable = make([]*upstream, 0, len(destinations))
	for _, d := range destinations {
		u := f.upstreamFor(now, d)
		if d.warmUp.PerSecond > 0 {
			// The loop may not have applied yet the list that names the server.
			f.warmUps.warmer.Observe(now, listed(d.members[0], d.warmUp))
		}
		switch verdict, _ := f.screen(now, u); verdict {
		case screener.Eligible:
			usable = append(usable, u)
		case screener.Cold:
			cold++
		case screener.NoPermit:
			withoutPermit = append(withoutPermit, u)
		}
	}
	return usable, withoutPermit, cold
}

// wantPermits asks for permits for a few upstreams that have a usable slot free.
// The caller holds f.mu.
func (f *Forwarder) wantPermits(now time.Time, p *pool, withoutPermit []*upstream) {
	var wanted []*upstream
	for _, u := range withoutPermit {
		if f.totalWork(now, u).Running < p.usableSlots(u) {
			wanted = append(wanted, u)
		}
	}
	if len(wanted) == 0 {
		return
	}
	f.random.Shuffle(len(wanted), func(i, j int) { wanted[i], wanted[j] = wanted[j], wanted[i] })
	if f.permits.want(now, wanted[:min(minChoices, len(wanted))]) {
		f.wakeQueues()
	}
}

// cost ranks an upstream with work w for a request. It is the time to the first token in
// milliseconds for a group, and the number of running requests for a plain
// server; remote upstreams have a penalty added. A group that holds the first saved tokens of
// the prompt need not read them.
func (f *Forwarder) cost(u *upstream, w estimator.Work, promptTokens, saved int) float64 {
	remote := u.head().DataCentre != f.settings.Load().DataCentre
	if u.state().group == nil {
		if remote {
			return float64(w.Running) + remoteLoadPenalty
		}
		return float64(w.Running)
	}
	first := timeToFirstToken(u, w, promptTokens, saved) + time.Duration(w.Running)*runningPenalty
	if remote {
		first += remoteDelayPenalty
	}
	return float64(first) / float64(time.Millisecond)
}

// freeSlots returns how many more requests a pool can run at once, as far as this entry
// instance may start them.
func (f *Forwarder) freeSlots(config *mapper.RouteTable, key poolKey) int {
	shared, own := f.freeSlotsByUse(config, key)
	return shared + own
}

// freeSlotsByUse returns how many more requests a pool can run at once: on servers to which
// all entry instances send requests, and on cold ones, whose allowances are only this
// instance's.
func (f *Forwarder) freeSlotsByUse(config *mapper.RouteTable, key poolKey) (shared, own int) {
	destinations := f.destinations(config, key)
	now := clocker.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.poolFor(key)
	usable, withoutPermit, _ := f.candidates(now, destinations)
	for _, u := range usable {
		slots := max(0, p.usableSlots(u)-f.totalWork(now, u).Running)
		if f.permits.isLimited(u.head()) {
			// A permit is for one request.
			slots = min(slots, 1)
		}
		if f.warmUps.warmer.Limited(now, limitKey(u.head())) {
			// An allowance is for one request.
			own += min(slots, 1)
			continue
		}
		shared += slots
	}
	if shared+own == 0 {
		f.wantPermits(now, p, withoutPermit)
	}
	return shared, own
}

// usableSlots returns how many requests an upstream can run so that the pool's
// requests meet their objectives.
func (p *pool) usableSlots(u *upstream) int {
	state := u.state()
	if state.group == nil {
		return state.slots
	}
	return min(state.slots, p.workload.UsableSlots(state.estimate))
}

// withFreeSlots returns the upstreams that have a usable slot free, or all of
// them if none has. Many entry instances compare only a few upstreams for a
// request; without this, they fill the queue of one while others have free slots.
func (p *pool) withFreeSlots(all []*upstream, works map[*upstream]estimator.Work) []*upstream {
	var free []*upstream
	for _, u := range all {
		if works[u].Running < p.usableSlots(u) {
			free = append(free, u)
		}
	}
	if len(free) == 0 {
		return all
	}
	return free
}

// choice is the upstream chosen for a request, with the state on which the
// choice is based.
type choice struct {
	upstream *upstream
	// running is how many requests the upstream has, as far as it is known here.
	running int
	// firstEvent is the predicted time to the first token, or zero for a plain
	// server.
	firstEvent time.Duration
}

// pick chooses an upstream for an attempt, preferring those that have not
// failed the request, and registers the attempt there. It reports whether there
// is any. Choosing and registering are one step, so that checkUpstreams finds
// every chosen upstream in use.
func (f *Forwarder) pick(config *mapper.RouteTable, key poolKey, a *activeAttempt, failed map[string]bool) (choice, bool) {
	destinations := f.destinations(config, key)
	now := clocker.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	usable, withoutPermit, cold := f.candidates(now, destinations)
	f.metrics.coldRefusals.Inc(int64(cold))
	f.wantPermits(now, f.poolFor(key), withoutPermit)
	upstreams := withoutFailed(usable, failed)
	works := make(map[*upstream]estimator.Work, len(upstreams))
	for _, u := range upstreams {
		works[u] = f.totalWork(now, u)
	}
	var candidates []router.Candidate
	byName := make(map[string]*upstream, len(upstreams))
	p := f.poolFor(key)
	saved := f.savedTokens(p, upstreams, works, a)
	for _, u := range withBestSaving(f.sample(p.withFreeSlots(upstreams, works)), upstreams, works, saved) {
		byName[u.loadKey()] = u
		candidates = append(candidates, router.Candidate{Group: u.loadKey(), Load: f.cost(u, works[u], a.promptTokens, saved[u])})
	}
	candidates = f.tracker.FilterEjected(now, candidates)
	if len(candidates) == 0 {
		return choice{}, false
	}
	best, ties := 0, 1
	for i := 1; i < len(candidates); i++ {
		switch {
		case candidates[i].Load < candidates[best].Load:
			best, ties = i, 1
		case candidates[i].Load == candidates[best].Load:
			ties++
			if f.random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	u := byName[candidates[best].Group]
	chosen := choice{upstream: u, running: works[u].Running}
	if u.state().group != nil {
		chosen.firstEvent = timeToFirstToken(u, works[u], a.promptTokens, saved[u])
	}
	a.savedTokens = saved[u]
	f.metrics.savedTokens.Inc(int64(a.savedTokens))
	f.registerAttempt(now, u, a)
	return chosen, true
}

// sample returns the upstreams that are compared for one request. A few entry
// instances learn of each other's choices in time, so they compare all
// upstreams. Many do not, and would all choose the same one; each of them
// compares a few random upstreams, most of them in its own data centre.
func (f *Forwarder) sample(all []*upstream) []*upstream {
	choices := max(minChoices, len(all)*maxInformedPeers/max(1, f.Peers.Count()))
	if choices >= len(all) {
		return all
	}
	f.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	local := f.settings.Load().DataCentre
	slices.SortStableFunc(all, func(a, b *upstream) int {
		return cmp.Compare(boolToInt(a.head().DataCentre != local), boolToInt(b.head().DataCentre != local))
	})
	firstRemote := slices.IndexFunc(all, func(u *upstream) bool { return u.head().DataCentre != local })
	if firstRemote > choices-remoteChoices && firstRemote >= 0 {
		// Include remote upstreams in case all local ones are busy.
		return append(all[:choices-remoteChoices:choices-remoteChoices], all[firstRemote:min(len(all), firstRemote+remoteChoices)]...)
	}
	return all[:choices]
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// withoutFailed returns the upstreams that have not failed, or all of them if
// each has.
func withoutFailed(upstreams []*upstream, failed map[string]bool) []*upstream {
	var others []*upstream
	for _, u := range upstreams {
		if !failed[u.name] {
			others = append(others, u)
		}
	}
	if len(others) == 0 {
		return upstreams
	}
	return others
}
