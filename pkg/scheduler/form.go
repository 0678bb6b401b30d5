package scheduler

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
	"github.com/waxwingmount/waxwingmount/pkg/tracker"
)

const (
	// homeSlack is by what part of a domain's instances a model may have more
	// than its due before its home domains take another model.
	homeSlack = 0.5
	// patience is how long instances wait for others of their own domain that
	// are about to be ready, before they form a group across domains.
	patience = 2500 * time.Millisecond
	// idleSpeedup is how much faster weights load before the first request.
	idleSpeedup = 10
	// minDemand keeps a model without work from being forgotten.
	minDemand = 0.02
)

// bucket bounds how many loads from the weight store begin.
type bucket struct {
	tokens  float64
	updated time.Time
}

// fill adds what has come in since the last call.
func (b *bucket) fill(now time.Time, perSecond float64) {
	if b.updated.IsZero() {
		b.updated, b.tokens = now, perSecond
	}
	b.tokens = min(b.tokens+now.Sub(b.updated).Seconds()*perSecond, perSecond)
	b.updated = now
}

// stock is what the free instances of a service hold, worked out once a step.
type stock struct {
	// ready holds the free instances with loaded weights, by model.
	ready map[string][]provider.Instance
	// cold holds the free instances without, in order of their names.
	cold []provider.Instance
	// coming says when the instances that load now are expected, by model and
	// domain.
	coming map[string]map[string][]time.Time
	// held counts the instances with or on the way to the weights, by model
	// and domain, also those in groups.
	held map[string]map[string]int
}

func newStock() stock {
	return stock{
		ready:  make(map[string][]provider.Instance),
		coming: make(map[string]map[string][]time.Time),
		held:   make(map[string]map[string]int),
	}
}

func (s stock) hold(model, domain string) {
	if s.held[model] == nil {
		s.held[model] = make(map[string]int)
	}
	s.held[model][domain]++
}

func (s stock) expect(model, domain string, at time.Time) {
	if s.coming[model] == nil {
		s.coming[model] = make(map[string][]time.Time)
	}
	s.coming[model][domain] = append(s.coming[model][domain], at)
	s.hold(model, domain)
}

// total counts the instances with or on the way to the weights of a model.
func (s stock) total(model string) int {
	sum := 0
	for _, n := range s.held[model] {
		sum += n
	}
	return sum
}

// take sorts the instances by what they hold.
func (f *Scheduler) take(now time.Time, v View) stock {
	s := newStock()
	used := make(map[string]*group)
	for _, g := range f.groups {
		for _, member := range g.members {
			if !f.departed(now, member.ID, g.name) {
				used[member.ID] = g
			}
		}
	}
	for _, in := range v.Tracker.Instances() {
		if in.Service != v.Service || in.Leaving || v.Tracker.IsLost(in.ID) {
			delete(f.loading, in.ID)
			continue
		}
		if g := used[in.ID]; g != nil {
			if g.closedAt.IsZero() {
				s.hold(g.model.Name, in.FabricDomain)
			} else {
				s.expect(g.model.Name, in.FabricDomain, now)
			}
			continue
		}
		f.sort(now, v, in, &s)
	}
	return s
}

// sort puts one instance that is in no group where it belongs.
func (f *Scheduler) sort(now time.Time, v View, in provider.Instance, s *stock) {
	model := f.lastModel(in)
	l, loading := f.loading[in.ID]
	state := in.Membership.State
	if loading && state == provider.Joining && in.Membership.Group == l.group {
		l.seen = true
		f.loading[in.ID] = l
	}
	done := loading && in.Membership.Group == l.group && state == provider.MemberReady
	lapsed := loading && (now.After(l.until) || !l.seen && now.Sub(l.began) > joinSeen)
	if done || lapsed || loading && l.incarnation != in.Incarnation {
		delete(f.loading, in.ID)
		loading = false
	}
	switch {
	case f.attached(now, in):
		// Nobody looks after that group yet; it must be left first.
		if model != "" {
			s.hold(model, in.FabricDomain)
		}
	case loading:
		s.expect(l.model, in.FabricDomain, l.expected)
	case state == provider.Joining && in.Membership.Group != "" && !f.departed(now, in.ID, in.Membership.Group):
		s.expect(tracker.ModelOf(in.Membership.Group), in.FabricDomain, now.Add(2*patience))
	case model != "":
		s.ready[model] = append(s.ready[model], in)
		s.hold(model, in.FabricDomain)
	default:
		s.cold = append(s.cold, in)
	}
}

// attached reports whether an instance is in a group of several.
func (f *Scheduler) attached(now time.Time, in provider.Instance) bool {
	m := in.Membership
	return m.Group != "" && m.State != provider.Unattached && m.State != provider.Joining &&
		!f.departed(now, in.ID, m.Group) && !f.alone(in)
}

// joinSeen is how long a join may take to show in the reports.
const joinSeen = 2500 * time.Millisecond

// load is one instance on its way to the weights of a model.
type load struct {
	group       string
	model       string
	incarnation string
	began       time.Time
	expected    time.Time
	until       time.Time
	// cold says that the weights come from the weight store.
	cold bool
	// seen says that the instance has reported the join.
	seen bool
}

// form gives the free instances weights and makes groups of those that have.
func (f *Scheduler) form(now time.Time, v View) []Order {
	f.loads.fill(now, v.Engine.LoadsPerSecond)
	s := f.take(now, v)
	var orders []Order
	f.idle = make(map[string]int)
	for _, m := range v.Engine.Models {
		for {
			members := f.gather(now, v, s, m)
			if members == nil {
				break
			}
			orders = append(orders, f.found(now, m, members)...)
			s.ready[m.Name] = without(s.ready[m.Name], members)
		}
		f.idle[m.Name] = len(s.ready[m.Name])
	}
	if !v.Idle {
		f.compact(now, v, s)
	}
	return append(orders, f.warm(now, v, s)...)
}

// found makes a group of the members.
func (f *Scheduler) found(now time.Time, m mapper.Model, members []provider.Instance) []Order {
	g := &group{model: m, members: members, born: now}
	g.name, g.epoch = f.newName(m.Name)
	f.groups[g.name] = g
	var orders []Order
	for _, member := range members {
		orders = append(orders, f.once(now, f.order(Join, member, g))...)
	}
	return orders
}

// gather returns the members of a new group of a model: of one domain if there
// are enough, else of as few as possible, unless a domain will have enough of
// its own soon.
func (f *Scheduler) gather(now time.Time, v View, s stock, m mapper.Model) []provider.Instance {
	byDomain := make(map[string][]provider.Instance)
	var domains []string
	for _, in := range s.ready[m.Name] {
		if byDomain[in.FabricDomain] == nil {
			domains = append(domains, in.FabricDomain)
		}
		byDomain[in.FabricDomain] = append(byDomain[in.FabricDomain], in)
	}
	slices.SortFunc(domains, func(a, b string) int {
		if d := len(byDomain[b]) - len(byDomain[a]); d != 0 {
			return d
		}
		return strings.Compare(a, b)
	})
	var mixed []provider.Instance
	for _, domain := range domains {
		free := byDomain[domain]
		if len(free) >= m.Size {
			return free[:m.Size]
		}
		if !v.Idle && len(free)+soon(now, s.coming[m.Name][domain]) < m.Size {
			mixed = append(mixed, free...)
		}
	}
	if len(mixed) < m.Size {
		return nil
	}
	return mixed[:m.Size]
}

// soon counts the instances that are expected within the patience.
func soon(now time.Time, expected []time.Time) int {
	count := 0
	for _, at := range expected {
		if at.Sub(now) < patience {
			count++
		}
	}
	return count
}

func without(all, gone []provider.Instance) []provider.Instance {
	return slices.DeleteFunc(slices.Clone(all), func(in provider.Instance) bool {
		return slices.ContainsFunc(gone, func(g provider.Instance) bool { return g.ID == in.ID })
	})
}

// warm makes the instances without weights load some, each in a group of its
// own that is never opened. An instance that joins another group of the same
// model after that is ready almost at once.
func (f *Scheduler) warm(now time.Time, v View, s stock) []Order {
	slices.SortStableFunc(s.cold, func(a, b provider.Instance) int { return strings.Compare(a.FabricDomain, b.FabricDomain) })
	var orders []Order
	for _, in := range s.cold {
		m, cold := f.wanted(v, s, in)
		if m.Name == "" || cold && !f.mayLoad(v) {
			continue
		}
		g := &group{model: m, members: []provider.Instance{in}}
		g.name, g.epoch = f.newName(m.Name)
		l := load{group: g.name, model: m.Name, incarnation: in.Incarnation, began: now, cold: cold}
		l.expected = now.Add(f.loadTime(v, m, cold))
		l.until = now.Add(2*l.expected.Sub(now) + joinSlack)
		f.loading[in.ID] = l
		if cold {
			f.loads.tokens--
		}
		s.expect(m.Name, in.FabricDomain, l.expected)
		orders = append(orders, f.once(now, f.order(Join, in, g))...)
	}
	return orders
}

// wanted returns the model that an instance should load, and whether that
// takes the weight store. Weights in the host's memory go before the balance.
func (f *Scheduler) wanted(v View, s stock, in provider.Instance) (mapper.Model, bool) {
	for _, m := range v.Engine.Models {
		if slices.Contains(in.Staged, m.Name) {
			return m, false
		}
	}
	home, size := s.home(in.FabricDomain)
	var best mapper.Model
	bestLack := math.Inf(-1)
	for _, m := range v.Engine.Models {
		lack := s.lack(v, m.Name)
		if m.Name == home && lack > -homeSlack*float64(size) {
			return m, true
		}
		if lack > bestLack {
			best, bestLack = m, lack
		}
	}
	return best, true
}

// home returns the model that most instances of a domain hold, and how many
// hold any. Groups of one model share their domain's spares.
func (s stock) home(domain string) (string, int) {
	home, most, sum := "", 0, 0
	for _, model := range slices.Sorted(maps.Keys(s.held)) {
		n := s.held[model][domain]
		sum += n
		if n > most {
			home, most = model, n
		}
	}
	return home, sum
}

// lack returns how many instances a model has less than its due.
func (s stock) lack(v View, model string) float64 {
	all, sum := 0, 0.0
	for name := range s.held {
		all += s.total(name)
	}
	for _, m := range v.Engine.Models {
		sum += max(v.Demand[m.Name], minDemand)
	}
	return max(v.Demand[model], minDemand)/sum*float64(all+1) - float64(s.total(model))
}

// coldLoads counts the loads from the weight store that are under way.
func (f *Scheduler) coldLoads() int {
	count := 0
	for _, l := range f.loading {
		if l.cold {
			count++
		}
	}
	return count
}

// mayLoad reports whether a load from the weight store may begin now.
func (f *Scheduler) mayLoad(v View) bool {
	return v.Idle || f.loads.tokens >= 1 && f.coldLoads() < v.Engine.LoadsAtOnce+loadsAhead
}

// loadTime estimates how long an instance takes to hold a model.
func (f *Scheduler) loadTime(v View, m mapper.Model, cold bool) time.Duration {
	if !cold {
		return m.Warm
	}
	crowd := max(1, float64(f.coldLoads()+1)/float64(max(1, v.Engine.LoadsAtOnce)))
	took := time.Duration(float64(m.Load) * crowd)
	if v.Idle {
		took /= idleSpeedup
	}
	return took
}

// lastModel returns the model that an instance held last, if that is known.
func (f *Scheduler) lastModel(in provider.Instance) string {
	switch {
	case in.Membership.Group != "" && in.Membership.State != provider.Joining:
		return tracker.ModelOf(in.Membership.Group)
	case len(in.Loaded) > 0:
		return in.Loaded[0]
	}
	return f.last[in.ID].model(in)
}
