package forwarder

import (
	"time"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
	"github.com/waxwingmount/waxwingmount/pkg/router"
)

const (
	// peerLoadTTL is how long a peer's word of its load counts: five of its
	// messages.
	peerLoadTTL = time.Second
	// farLoad is the load that weighs as much as another data centre.
	farLoad = 0.5
)

// peerLoad is what one peer has under way, by lane.
type peerLoad struct {
	at     time.Time
	counts map[string]int
}

// Idle reports whether this instance and its peers have had no request yet.
func (f *Forwarder) Idle() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.FirstStart || f.nextTicket > 0 {
		return false
	}
	for _, load := range f.peerLoads {
		if len(load.counts) > 0 {
			return false
		}
	}
	return true
}

// Load returns how many requests are under way, by lane, to tell the peers.
func (f *Forwarder) Load() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	counts := make(map[string]int)
	for name, l := range f.lanes {
		if n := len(l.flights); n > 0 {
			counts[name] = n
		}
	}
	return counts
}

// LearnLoad takes in what a peer has under way.
func (f *Forwarder) LearnLoad(peer string, counts map[string]int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peerLoads[peer] = peerLoad{at: clocker.Now(), counts: counts}
}

// othersLoad sums what the peers have under way at a lane.
func (f *Forwarder) othersLoad(now time.Time, name string) int {
	sum := 0
	for peer, load := range f.peerLoads {
		if now.Sub(load.at) > peerLoadTTL {
			delete(f.peerLoads, peer)
			continue
		}
		sum += load.counts[name]
	}
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

// load returns all requests that a lane has, own and others'.
func (f *Forwarder) load(now time.Time, l *lane) float64 {
	return float64(len(l.flights) + f.othersLoad(now, l.name))
}

// free returns how many more requests a pool can run at once.
func (f *Forwarder) free(config *mapper.Map, key poolKey) int {
	lanes := f.candidates(config, key)
	now := clocker.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	free := 0
	for _, l := range lanes {
		free += max(0, l.slots-int(f.load(now, l)))
	}
	return free
}

// pick chooses a lane for a request, rather one that has not failed it, and
// counts the request there.
func (f *Forwarder) pick(config *mapper.Map, key poolKey, failed map[string]bool) (*lane, bool) {
	lanes := f.candidates(config, key)
	now := clocker.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	var fresh []router.Candidate
	byName := make(map[string]*lane, len(lanes))
	for _, l := range untried(lanes, failed) {
		byName[l.name] = l
		load := f.load(now, l)
		if l.head().DataCentre != f.DataCentre {
			load += farLoad
		}
		fresh = append(fresh, router.Candidate{Group: l.name, Load: load})
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

// Demand implements [organiser.Demand]: the part of the work of each model, as
// the configuration gives it for the start.
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
	return demand
}
