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
	// maxHomeSurplus is by what part of a domain's instances a model may have more
	// than its due before its home domains take another model.
	maxHomeSurplus = 0.5
	// domainWait is how long instances wait for others of their own domain that
	// are about to be ready, before they form a group across domains.
	domainWait = 2500 * time.Millisecond
	// idleLoadSpeedup is how much faster weights load before the first request.
	idleLoadSpeedup = 10
	// minDemand keeps a model without work from being forgotten.
	minDemand = 0.02
)

// tokenBucket bounds how many loads from the weight store begin.
type tokenBucket struct {
	tokens  float64
	updated time.Time
}

// refill adds what has come in since the last call.
func (b *tokenBucket) refill(now time.Time, perSecond float64) {
	if b.updated.IsZero() {
		b.updated, b.tokens = now, perSecond
	}
	b.tokens = min(b.tokens+now.Sub(b.updated).Seconds()*perSecond, perSecond)
	b.updated = now
}

// inventory is what the free instances of a service hold, worked out once a step.
type inventory struct {
	// ready holds the free instances with loaded weights, by model.
	ready map[string][]provider.Instance
	// cold holds the free instances without, in order of their names.
	cold []provider.Instance
	// expected says when the instances that load now are expected, by model and
	// domain.
	expected map[string]map[string][]time.Time
	// holders counts the instances with or on the way to the weights, by model
	// and domain, also those in groups.
	holders map[string]map[string]int
}

func newInventory() inventory {
	return inventory{
		ready:  make(map[string][]provider.Instance),
		expected: make(map[string]map[string][]time.Time),
		holders:   make(map[string]map[string]int),
	}
}

func (inv inventory) addHolder(model, domain string) {
	if inv.holders[model] == nil {
		inv.holders[model] = make(map[string]int)
	}
	inv.holders[model][domain]++
}

func (inv inventory) addExpected(model, domain string, at time.Time) {
	if inv.expected[model] == nil {
		inv.expected[model] = make(map[string][]time.Time)
	}
	inv.expected[model][domain] = append(inv.expected[model][domain], at)
	inv.addHolder(model, domain)
}

// holderCount counts the instances with or on the way to the weights of a model.
func (inv inventory) holderCount(model string) int {
	sum := 0
	for _, n := range inv.holders[model] {
		sum += n
	}
	return sum
}

// takeInventory sorts the instances by what they hold.
func (f *Scheduler) takeInventory(now time.Time, v View) inventory {
	inv := newInventory()
	groupOf := make(map[string]*group)
	for _, g := range f.groups {
		for _, member := range g.members {
			if !f.recentlyLeft(now, member.ID, g.name) {
				groupOf[member.ID] = g
			}
		}
	}
	for _, in := range v.Tracker.Instances() {
		if in.Service != v.Service || in.Leaving || v.Tracker.IsLost(in.ID) {
			delete(f.loading, in.ID)
			continue
		}
		if g := groupOf[in.ID]; g != nil {
			if g.drainingSince.IsZero() {
				inv.addHolder(g.model.Name, in.FabricDomain)
			} else {
				inv.addExpected(g.model.Name, in.FabricDomain, now)
			}
			continue
		}
		f.classify(now, v, in, &inv)
	}
	return inv
}

// classify puts one instance that is in no group where it belongs.
func (f *Scheduler) classify(now time.Time, v View, in provider.Instance, inv *inventory) {
	model := f.lastModel(in)
	l, loading := f.loading[in.ID]
	state := in.Membership.State
	if loading && state == provider.Joining && in.Membership.Group == l.group {
		l.reported = true
		f.loading[in.ID] = l
	}
	done := loading && in.Membership.Group == l.group && state == provider.MemberReady
	expired := loading && (now.After(l.deadline) || !l.reported && now.Sub(l.startedAt) > expired)
	if done || expired || loading && l.incarnation != in.Incarnation {
		delete(f.loading, in.ID)
		loading = false
	}
	switch {
	case f.inUnmanagedGroup(now, in):
		// Nobody looks after that group yet; it must be left first.
		if model != "" {
			inv.addHolder(model, in.FabricDomain)
		}
	case loading:
		inv.addExpected(l.model, in.FabricDomain, l.expectedAt)
	case state == provider.Joining && in.Membership.Group != "" && !f.recentlyLeft(now, in.ID, in.Membership.Group):
		inv.addExpected(tracker.ModelOf(in.Membership.Group), in.FabricDomain, now.Add(2*domainWait))
	case model != "":
		inv.ready[model] = append(inv.ready[model], in)
		inv.addHolder(model, in.FabricDomain)
	default:
		inv.cold = append(inv.cold, in)
	}
}

// inUnmanagedGroup reports whether an instance is in a group of several.
func (f *Scheduler) inUnmanagedGroup(now time.Time, in provider.Instance) bool {
	m := in.Membership
	return m.Group != "" && m.State != provider.Unattached && m.State != provider.Joining &&
		!f.recentlyLeft(now, in.ID, m.Group) && !f.loadingOrUnopened(in)
}

// expired is how long a join may take to show in the reports.
const expired = 2500 * time.Millisecond

// weightLoad is one instance on its way to the weights of a model.
type weightLoad struct {
	group       string
	model       string
	incarnation string
	startedAt       time.Time
	expectedAt    time.Time
	deadline       time.Time
	// cold says that the weights come from the weight store.
	cold bool
	// reported says that the instance has reported the join.
	reported bool
}

// formGroups gives the free instances weights and makes groups of those that have.
func (f *Scheduler) formGroups(now time.Time, v View) []Order {
	f.loadTokens.refill(now, v.Engine.LoadsPerSecond)
	inv := f.takeInventory(now, v)
	var orders []Order
	f.readyCounts = make(map[string]int)
	for _, m := range v.Engine.Models {
		for {
			members := f.selectMembers(now, v, inv, m)
			if members == nil {
				break
			}
			orders = append(orders, f.createGroup(now, m, members)...)
			inv.ready[m.Name] = exclude(inv.ready[m.Name], members)
		}
		f.readyCounts[m.Name] = len(inv.ready[m.Name])
	}
	if !v.Idle {
		f.compact(now, v, inv)
	}
	return append(orders, f.startLoads(now, v, inv)...)
}

// createGroup makes a group of the members.
func (f *Scheduler) createGroup(now time.Time, m mapper.Model, members []provider.Instance) []Order {
	g := &group{model: m, members: members, createdAt: now}
	g.name, g.epoch = f.nextGroupName(m.Name)
	f.groups[g.name] = g
	var orders []Order
	for _, member := range members {
		orders = append(orders, f.throttle(now, f.newOrder(Join, member, g))...)
	}
	return orders
}

// selectMembers returns the members of a new group of a model: of one domain if there
// are enough, else of as few as possible, unless a domain will have enough of
// its own soon.
func (f *Scheduler) selectMembers(now time.Time, v View, inv inventory, m mapper.Model) []provider.Instance {
	byDomain := make(map[string][]provider.Instance)
	var domains []string
	for _, in := range inv.ready[m.Name] {
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
		if !v.Idle && len(free)+countExpected(now, inv.expected[m.Name][domain]) < m.Size {
			mixed = append(mixed, free...)
		}
	}
	if len(mixed) < m.Size {
		return nil
	}
	return mixed[:m.Size]
}

// countExpected counts the instances that are expected within the patience.
func countExpected(now time.Time, expected []time.Time) int {
	count := 0
	for _, at := range expected {
		if at.Sub(now) < domainWait {
			count++
		}
	}
	return count
}

func exclude(all, gone []provider.Instance) []provider.Instance {
	return slices.DeleteFunc(slices.Clone(all), func(in provider.Instance) bool {
		return slices.ContainsFunc(gone, func(g provider.Instance) bool { return g.ID == in.ID })
	})
}

// startLoads makes the instances without weights load some, each in a group of its
// own that is never opened. An instance that joins another group of the same
// model after that is ready almost at once.
func (f *Scheduler) startLoads(now time.Time, v View, inv inventory) []Order {
	slices.SortStableFunc(inv.cold, func(a, b provider.Instance) int { return strings.Compare(a.FabricDomain, b.FabricDomain) })
	var orders []Order
	for _, in := range inv.cold {
		m, cold := f.modelToLoad(v, inv, in)
		if m.Name == "" || cold && !f.canStartColdLoad(v) {
			continue
		}
		g := &group{model: m, members: []provider.Instance{in}}
		g.name, g.epoch = f.nextGroupName(m.Name)
		l := weightLoad{group: g.name, model: m.Name, incarnation: in.Incarnation, startedAt: now, cold: cold}
		l.expectedAt = now.Add(f.estimateLoadTime(v, m, cold))
		l.deadline = now.Add(2*l.expectedAt.Sub(now) + joinTimeoutMargin)
		f.loading[in.ID] = l
		if cold {
			f.loadTokens.tokens--
		}
		inv.addExpected(m.Name, in.FabricDomain, l.expectedAt)
		orders = append(orders, f.throttle(now, f.newOrder(Join, in, g))...)
	}
	return orders
}

// modelToLoad returns the model that an instance should load, and whether that
// takes the weight store. Weights in the host's memory go before the balance.
func (f *Scheduler) modelToLoad(v View, inv inventory, in provider.Instance) (mapper.Model, bool) {
	for _, m := range v.Engine.Models {
		if slices.Contains(in.Staged, m.Name) {
			return m, false
		}
	}
	home, size := inv.homeModel(in.FabricDomain)
	var best mapper.Model
	bestDeficit := math.Inf(-1)
	for _, m := range v.Engine.Models {
		deficit := inv.deficit(v, m.Name)
		if m.Name == home && deficit > -maxHomeSurplus*float64(size) {
			return m, true
		}
		if deficit > bestDeficit {
			best, bestDeficit = m, deficit
		}
	}
	return best, true
}

// homeModel returns the model that most instances of a domain hold, and how many
// hold any. Groups of one model share their domain's spares.
func (inv inventory) homeModel(domain string) (string, int) {
	home, most, sum := "", 0, 0
	for _, model := range slices.Sorted(maps.Keys(inv.holders)) {
		n := inv.holders[model][domain]
		sum += n
		if n > most {
			home, most = model, n
		}
	}
	return home, sum
}

// deficit returns how many instances a model has less than its due.
func (inv inventory) deficit(v View, model string) float64 {
	all, sum := 0, 0.0
	for name := range inv.holders {
		all += inv.holderCount(name)
	}
	for _, m := range v.Engine.Models {
		sum += max(v.Demand[m.Name], minDemand)
	}
	return max(v.Demand[model], minDemand)/sum*float64(all+1) - float64(inv.holderCount(model))
}

// coldLoadCount counts the loads from the weight store that are under way.
func (f *Scheduler) coldLoadCount() int {
	count := 0
	for _, l := range f.loading {
		if l.cold {
			count++
		}
	}
	return count
}

// canStartColdLoad reports whether a load from the weight store may begin now.
func (f *Scheduler) canStartColdLoad(v View) bool {
	return v.Idle || f.loadTokens.tokens >= 1 && f.coldLoadCount() < v.Engine.LoadsAtOnce+extraLoads
}

// estimateLoadTime estimates how long an instance takes to hold a model.
func (f *Scheduler) estimateLoadTime(v View, m mapper.Model, cold bool) time.Duration {
	if !cold {
		return m.Warm
	}
	slowdown := max(1, float64(f.coldLoadCount()+1)/float64(max(1, v.Engine.LoadsAtOnce)))
	duration := time.Duration(float64(m.Load) * slowdown)
	if v.Idle {
		duration /= idleLoadSpeedup
	}
	return duration
}

// lastModel returns the model that an instance held last, if that is known.
func (f *Scheduler) lastModel(in provider.Instance) string {
	switch {
	case in.Membership.Group != "" && in.Membership.State != provider.Joining:
		return tracker.ModelOf(in.Membership.Group)
	case len(in.Loaded) > 0:
		return in.Loaded[0]
	}
	return f.lastModels[in.ID].model(in)
}
