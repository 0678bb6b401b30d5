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
)

const (
	// farLoad is the load of a plain server that weighs as much as another
	// data centre.
	farLoad = 0.5
	// farDelay is the delay to a head that weighs as much: a tenth of what is
	// left of the shortest objective.
	farDelay = 12 * time.Millisecond
	// informedPeers is how many entry instances hear of each other's load often
	// enough to compare all lanes; minChoices is how many are compared by any.
	informedPeers = 12
	minChoices    = 3
	// farChoices is how many of them are in other data centres.
	farChoices = 1
	// runningDelay is what one more running request weighs beyond its part in
	// each step, since it makes the batch read and write more later.
	runningDelay = 3 * time.Millisecond
)

// Idle reports whether this instance and its peers have had no request yet.
func (f *Forwarder) Idle() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.settings.Load().FirstStart || f.nextTicket > 0 {
		return false
	}
	return f.book.Empty()
}

// Load returns what is under way, by lane, to tell the peers.
func (f *Forwarder) Load() map[string]estimator.Work {
	f.mu.Lock()
	defer f.mu.Unlock()
	works := make(map[string]estimator.Work)
	for name, l := range f.lanes {
		if len(l.flights) > 0 {
			works[name] = l.work()
		}
	}
	return works
}

// LearnLoad takes in what a near peer has under way.
func (f *Forwarder) LearnLoad(peer string, works map[string]estimator.Work) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.book.Learn(clocker.Now(), peer, works)
}

// LearnFarLoad takes in what another data centre has under way.
func (f *Forwarder) LearnFarLoad(dataCentre string, works map[string]estimator.Work) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.book.LearnSum(clocker.Now(), dataCentre, works)
}

// NearLoad returns what this data centre has under way, to tell the others.
func (f *Forwarder) NearLoad() map[string]estimator.Work {
	own := f.Load()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.book.Sum(clocker.Now(), own)
}

// work sums what this instance and the others have under way at a lane.
func (f *Forwarder) work(now time.Time, l *lane) estimator.Work {
	sum, others := l.work(), f.book.Work(now, l.name)
	sum.Running += others.Running
	sum.UnreadTokens += others.UnreadTokens
	return sum
}

// candidates returns the lanes that may be sent a request of a pool now.
func (f *Forwarder) candidates(config *mapper.Map, key poolKey) []*lane {
	service, found := config.Service(key.service)
	if !found {
		return nil
	}
	now := clocker.Now()
	if service.Engine != nil && key.model != "" {
		groups := f.Observer.Groups(key.service, key.model)
		f.mu.Lock()
		defer f.mu.Unlock()
		lanes := make([]*lane, 0, len(groups))
		for _, g := range groups {
			if l := f.laneFor(g.Name, g.Members, &g, service.Engine); now.After(l.shunned) {
				lanes = append(lanes, l)
			}
		}
		return lanes
	}
	servers := f.Observer.Servers(key.service)
	f.mu.Lock()
	defer f.mu.Unlock()
	lanes := make([]*lane, 0, len(servers))
	for _, in := range servers {
		if l := f.laneFor(in.ID, []provider.Instance{in}, nil, nil); now.After(l.shunned) {
			lanes = append(lanes, l)
		}
	}
	return lanes
}

// cost ranks a lane for a request: for a group the time to the first token in
// milliseconds, for a plain server the requests that it has.
func (f *Forwarder) cost(now time.Time, l *lane, promptTokens int) float64 {
	w := f.work(now, l)
	far := l.head().DataCentre != f.settings.Load().DataCentre
	if l.at().group == nil {
		if far {
			return float64(w.Running) + farLoad
		}
		return float64(w.Running)
	}
	first := l.at().speed.First(w, promptTokens) + time.Duration(w.Running)*runningDelay
	if far {
		first += farDelay
	}
	return float64(first) / float64(time.Millisecond)
}

// free returns how many more requests a pool can run at once.
func (f *Forwarder) free(config *mapper.Map, key poolKey) int {
	lanes := f.candidates(config, key)
	now := clocker.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	free := 0
	for _, l := range lanes {
		free += max(0, l.at().slots-f.work(now, l).Running)
	}
	return free
}

// pick chooses a lane for a request, rather one that has not failed it, and
// counts the request there.
func (f *Forwarder) pick(config *mapper.Map, key poolKey, promptTokens int, failed map[string]bool) (*lane, bool) {
	lanes := f.candidates(config, key)
	now := clocker.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	var fresh []router.Candidate
	byName := make(map[string]*lane, len(lanes))
	for _, l := range f.sample(untried(lanes, failed)) {
		byName[l.name] = l
		fresh = append(fresh, router.Candidate{Group: l.name, Load: f.cost(now, l, promptTokens)})
	}
	fresh = f.tracker.Admit(now, fresh)
	if len(fresh) == 0 {
		return nil, false
	}
	best, ties := 0, 1
	for i := 1; i < len(fresh); i++ {
		switch {
		case fresh[i].Load < fresh[best].Load:
			best, ties = i, 1
		case fresh[i].Load == fresh[best].Load:
			ties++
			if f.random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	f.tracker.Begin(fresh[best].Group)
	return byName[fresh[best].Group], true
}

// sample returns the lanes that are compared for one request. Few entry
// instances hear of each other's choices in time and compare all. Many do not,
// and would all run to the same lane; each compares a few at random, most of
// them in its own data centre.
func (f *Forwarder) sample(all []*lane) []*lane {
	choices := max(minChoices, len(all)*informedPeers/max(1, f.Peers.Count()))
	if choices >= len(all) {
		return all
	}
	f.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	here := f.settings.Load().DataCentre
	slices.SortStableFunc(all, func(a, b *lane) int {
		return cmp.Compare(btoi(a.head().DataCentre != here), btoi(b.head().DataCentre != here))
	})
	near := slices.IndexFunc(all, func(l *lane) bool { return l.head().DataCentre != here })
	if near > choices-farChoices && near >= 0 {
		// Keep the nearest, and a few of the others in case all near are busy.
		return append(all[:choices-farChoices:choices-farChoices], all[near:min(len(all), near+farChoices)]...)
	}
	return all[:choices]
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// untried leaves out the lanes that failed, unless there is no other.
func untried(lanes []*lane, failed map[string]bool) []*lane {
	var others []*lane
	for _, l := range lanes {
		if !failed[l.name] {
			others = append(others, l)
		}
	}
	if len(others) == 0 {
		return lanes
	}
	return others
}

const (
	// demandMemory is how long a request counts towards the demand: about the
	// time to load a model's weights.
	demandMemory = 10 * time.Second
	// fragility raises the share of a model for each member of its groups above
	// sturdySize: larger groups lose a member more often and wait longer for a
	// spare. From plays of groups of 4 (no gain) and 8 (worth 0.51 to 0.66).
	fragility  = 0.1
	sturdySize = 4
	// leastWork is how many instance seconds must have been asked for before
	// the demand is measured.
	leastWork = 3
)

// Demand implements [orchestrator.DemandSource]: the part of the instances that each
// model needs, as measured, or as the configuration gives it for the start.
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
		demand[m.Name] = m.Share * (1 + fragility*float64(max(0, m.Size-sturdySize)))
		sum += demand[m.Name]
	}
	for name := range demand {
		demand[name] /= sum
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if meter := f.meters[service]; meter != nil {
		for name, share := range meter.Shares(clocker.Now(), leastWork) {
			demand[name] = (demand[name] + share) / 2
		}
	}
	return demand
}

// outlook returns how many requests a lane has, as far as is known here, and
// when a group's first token is expected.
func (f *Forwarder) outlook(x *exchange, l *lane) (running int, first time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.work(clocker.Now(), l)
	if l.at().group != nil {
		first = l.at().speed.First(w, x.request.PromptTokens)
	}
	return w.Running, first
}

// observe counts a request towards the demand for its model.
func (f *Forwarder) observe(x *exchange, l *lane) {
	if l.at().group == nil || x.route.Objective <= 0 {
		return
	}
	now := clocker.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	meter := f.meters[x.pool.service]
	if meter == nil {
		meter = estimator.NewMeter(demandMemory)
		f.meters[x.pool.service] = meter
	}
	compact := l.at().speed
	compact.Spread = false
	answer := x.request.LengthHint
	if answer <= 0 {
		answer = l.at().speed.Engine.UsualAnswer
	}
	first := l.at().speed.First(f.work(now, l), x.request.PromptTokens)
	meter.Observe(now, x.pool.model, len(l.at().members), compact.Cost(x.request.PromptTokens, answer),
		float64(first)/float64(x.route.Objective))
}
