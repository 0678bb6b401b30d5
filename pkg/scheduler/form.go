package scheduler

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/apportioner"
	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
	"github.com/waxwingmount/waxwingmount/pkg/tracker"
)

const (
	// maxHomeSurplus is the largest surplus of instances, as a fraction of a
	// domain's instances, with which a model is still loaded in the domains where
	// it is the home model.
	maxHomeSurplus = 0.5
	// domainWait is the longest expected time for which instances wait for others
	// of their domain to become ready, rather than form a group across domains.
	domainWait = 2500 * time.Millisecond
	// idleLoadSpeedup is the factor by which weights load faster before the first
	// request.
	idleLoadSpeedup = 10
	// minDemand is the minimum demand fraction of a model, so that a model without
	// requests keeps some capacity.
	minDemand = 0.02
)

// tokenBucket limits the rate at which loads from the weight store start.
type tokenBucket struct {
	tokens  float64
	updated time.Time
}

// refill adds the tokens accrued since the last call; the bucket holds at most
// one second's tokens.
func (b *tokenBucket) refill(now time.Time, perSecond float64) {
	if b.updated.IsZero() {
		b.updated, b.tokens = now, perSecond
	}
	b.tokens = min(b.tokens+now.Sub(b.updated).Seconds()*perSecond, perSecond)
	b.updated = now
}

// inventory holds which weights the instances of a service hold or load. It is
// computed once per step.
type inventory struct {
	// ready holds the instances in no group that have loaded weights, by model.
	ready map[string][]provider.Instance
	// cold holds the instances in no group without loaded weights, sorted by ID.
	cold []provider.Instance
	// lent holds the instances in no group that are to load another model.
	lent []provider.Instance
	// expected holds the times at which the instances that load weights or drain
	// are expected to be ready, by model and domain.
	expected map[string]map[string][]time.Time
	// holders counts the instances that hold or load a model's weights, in groups
	// or not, by model and domain.
	holders map[string]map[string]int
}

func newInventory() inventory {
	return inventory{
		ready:    make(map[string][]provider.Instance),
		expected: make(map[string]map[string][]time.Time),
		holders:  make(map[string]map[string]int),
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

// holderCount returns the number of instances that hold or load a model's weights.
func (inv inventory) holderCount(model string) int {
	sum := 0
	for _, n := range inv.holders[model] {
		sum += n
	}
	return sum
}

// takeInventory builds the inventory and removes the loads of instances that
// are leaving or lost. Instances in evacuated data centres, and in groups whose heads are
// there, are not in it.
func (s *Scheduler) takeInventory(now time.Time, v View) inventory {
	inv := newInventory()
	groupOf := make(map[string]*group)
	for _, g := range s.groups {
		for _, member := range g.members {
			if !s.recentlyLeft(now, member.ID, g.name) {
				groupOf[member.ID] = g
			}
		}
	}
	for _, in := range v.Tracker.Instances() {
		if in.Service != v.Service || in.Leaving || v.Tracker.IsLost(in.ID) {
			delete(s.loading, in.ID)
			delete(s.lent, in.ID)
			continue
		}
		if g := groupOf[in.ID]; g != nil {
			if !g.evacuated {
				s.addMember(now, v, g, in, inv)
			}
			continue
		}
		s.classify(now, v, in, &inv)
	}
	return inv
}

// addMember adds a member of one of the scheduler's groups to the inventory.
func (s *Scheduler) addMember(now time.Time, v View, g *group, in provider.Instance, inv inventory) {
	switch to, lent := v.Engine.Model(g.lentTo); {
	case g.drainingSince.IsZero():
		inv.addHolder(g.model.Name, in.FabricDomain)
	case lent:
		inv.addExpected(to.Name, in.FabricDomain, now.Add(drainTimeout+to.Load))
	default:
		inv.addExpected(g.model.Name, in.FabricDomain, now)
	}
}

// classify adds an instance that is in none of the scheduler's groups to the
// inventory, and updates its load.
func (s *Scheduler) classify(now time.Time, v View, in provider.Instance, inv *inventory) {
	model := s.lastModel(in)
	l, loading := s.updateLoad(now, in)
	state := in.Membership.State
	if !s.loanHolds(v, in) {
		delete(s.lent, in.ID)
	}
	if v.Tracker.Evacuated(in) {
		return
	}
	switch {
	case s.inUnmanagedGroup(now, in):
		// The scheduler does not manage that group yet. The instance must leave it
		// before it can join another.
		if model != "" {
			inv.addHolder(model, in.FabricDomain)
		}
	case loading:
		inv.addExpected(l.model, in.FabricDomain, l.expectedAt)
	case state == provider.Joining && in.Membership.Group != "" && !s.recentlyLeft(now, in.ID, in.Membership.Group):
		inv.addExpected(tracker.ModelOf(in.Membership.Group), in.FabricDomain, now.Add(2*domainWait))
	case s.lentModel(in) != "":
		inv.lent = append(inv.lent, in)
		inv.addHolder(s.lentModel(in), in.FabricDomain)
	case model != "":
		inv.ready[model] = append(inv.ready[model], in)
		inv.addHolder(model, in.FabricDomain)
	default:
		inv.cold = append(inv.cold, in)
	}
}

// updateLoad updates an instance's load by its report, and returns it if it is in progress.
func (s *Scheduler) updateLoad(now time.Time, in provider.Instance) (weightLoad, bool) {
	l, loading := s.loading[in.ID]
	state := in.Membership.State
	if loading && state == provider.Joining && in.Membership.Group == l.group {
		l.reported = true
		s.loading[in.ID] = l
	}
	done := loading && in.Membership.Group == l.group && state == provider.MemberReady
	expired := loading && (now.After(l.deadline) || !l.reported && now.Sub(l.startedAt) > joinReportTimeout)
	if done || expired || loading && l.incarnation != in.Incarnation {
		delete(s.loading, in.ID)
		loading = false
	}
	return l, loading
}

// inUnmanagedGroup reports whether an instance that is in none of the
// scheduler's groups reports a group with other members.
func (s *Scheduler) inUnmanagedGroup(now time.Time, in provider.Instance) bool {
	m := in.Membership
	return m.Group != "" && m.State != provider.Unattached && m.State != provider.Joining &&
		!s.recentlyLeft(now, in.ID, m.Group) && !s.loadsAlone(in)
}

// joinReportTimeout is how long it may take until an instance reports a join.
const joinReportTimeout = 2500 * time.Millisecond

// weightLoad is the load of a model's weights by one instance.
type weightLoad struct {
	group       string
	model       string
	incarnation string
	startedAt   time.Time
	// expectedAt is the estimated end of the load.
	expectedAt time.Time
	// deadline is when the load is considered to have failed.
	deadline time.Time
	// cold reports whether the weights are read from the weight store rather than
	// from the host's memory.
	cold bool
	// lentIn is the instance's domain if it was lent to the model, or "".
	lentIn string
	// reported is set once the instance has reported the join.
	reported bool
}

// formGroups forms groups from the unassigned instances that hold weights, starts
// draining groups for compaction or for another model, and starts loads on the
// unassigned instances without weights.
func (s *Scheduler) formGroups(now time.Time, v View) []Order {
	s.loadTokens.refill(now, v.Engine.LoadsPerSecond)
	inv := s.takeInventory(now, v)
	var orders []Order
	s.readyCounts = make(map[string]int)
	for _, m := range v.Engine.Models {
		for {
			members := s.selectMembers(now, v, inv, m)
			if members == nil {
				break
			}
			orders = append(orders, s.createGroup(now, m, members)...)
			inv.ready[m.Name] = exclude(inv.ready[m.Name], members)
		}
		s.readyCounts[m.Name] = len(inv.ready[m.Name])
	}
	if !v.Idle {
		s.compact(now, v, inv)
		s.lend(now, v, &inv)
	}
	return append(orders, s.startLoads(now, v, inv)...)
}

// createGroup adds a group with the given members and returns its Join orders.
func (s *Scheduler) createGroup(now time.Time, m mapper.Model, members []provider.Instance) []Order {
	g := &group{model: m, members: members, createdAt: now}
	g.name, g.epoch = s.nextGroupName(m.Name)
	s.groups[g.name] = g
	var orders []Order
	for _, member := range members {
		orders = append(orders, s.throttle(now, s.newOrder(Join, member, g))...)
	}
	return orders
}

// selectMembers returns the members of a new group of a model, or nil. It takes
// them from one domain if that has enough, else from as few domains as
// possible, leaving out domains that will soon have enough of their own.
func (s *Scheduler) selectMembers(now time.Time, v View, inv inventory, m mapper.Model) []provider.Instance {
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
		ready := byDomain[domain]
		if len(ready) >= m.Size {
			return ready[:m.Size]
		}
		if !v.Idle && len(ready)+countExpected(now, inv.expected[m.Name][domain]) < m.Size {
			mixed = append(mixed, ready...)
		}
	}
	if len(mixed) < m.Size {
		return nil
	}
	return mixed[:m.Size]
}

// countExpected counts the instances that are expected within domainWait.
func countExpected(now time.Time, expected []time.Time) int {
	count := 0
	for _, at := range expected {
		if at.Sub(now) < domainWait {
			count++
		}
	}
	return count
}

// exclude returns the instances that are not in excluded.
func exclude(all, excluded []provider.Instance) []provider.Instance {
	return slices.DeleteFunc(slices.Clone(all), func(in provider.Instance) bool {
		return slices.ContainsFunc(excluded, func(e provider.Instance) bool { return e.ID == in.ID })
	})
}

// startLoads makes the instances without weights load a model. Each joins a
// single-member group that is never opened; when it later joins another group
// of the same model, it is ready almost at once.
func (s *Scheduler) startLoads(now time.Time, v View, inv inventory) []Order {
	slices.SortStableFunc(inv.cold, func(a, b provider.Instance) int { return strings.Compare(a.FabricDomain, b.FabricDomain) })
	var orders []Order
	for _, in := range inv.cold {
		m, cold := s.modelToLoad(v, inv, in)
		if m.Name == "" || cold && !s.canStartColdLoad(v) {
			continue
		}
		orders = append(orders, s.startLoad(now, v, inv, in, m, cold)...)
	}
	return append(orders, s.startLentLoads(now, v, inv)...)
}

// startLoad makes one instance load a model.
func (s *Scheduler) startLoad(now time.Time, v View, inv inventory, in provider.Instance, m mapper.Model, cold bool) []Order {
	g := &group{model: m, members: []provider.Instance{in}}
	g.name, g.epoch = s.nextGroupName(m.Name)
	l := weightLoad{group: g.name, model: m.Name, incarnation: in.Incarnation, startedAt: now, cold: cold}
	l.expectedAt = now.Add(s.estimateLoadTime(v, m, cold))
	l.deadline = now.Add(2*l.expectedAt.Sub(now) + joinTimeoutMargin)
	s.loading[in.ID] = l
	s.loadGroups[in.ID] = g.name
	if cold {
		s.loadTokens.tokens--
	}
	inv.addExpected(m.Name, in.FabricDomain, l.expectedAt)
	return s.throttle(now, s.newOrder(Join, in, g))
}

// modelToLoad returns the model that an instance should load and whether the
// weights must be read from the weight store. A model whose weights are in the
// host's memory takes precedence over the balance between models; next is the
// home model of the domain unless its surplus is too large, then the model with
// the largest deficit.
func (s *Scheduler) modelToLoad(v View, inv inventory, in provider.Instance) (mapper.Model, bool) {
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
		if m.Name == home && deficit > -maxHomeSurplus*float64(size) && !v.givesAway(m) {
			return m, true
		}
		if deficit > bestDeficit {
			best, bestDeficit = m, deficit
		}
	}
	return best, true
}

// homeModel returns the model that most instances of a domain hold, and the
// number of instances of the domain that hold any model. Domains prefer one
// model because groups of the same model can share the domain's spares.
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

// deficit returns how many instances a model lacks compared with its share; it is
// negative for a surplus.
func (inv inventory) deficit(v View, model string) float64 {
	all, sum := 0, 0.0
	for name := range inv.holders {
		all += inv.holderCount(name)
	}
	for _, m := range v.Engine.Models {
		sum += v.share(m.Name)
	}
	return v.share(model)/sum*float64(all+1) - float64(inv.holderCount(model))
}

// share returns the share of the instances that a model should have. The shares may
// add up to more than one.
func (v View) share(model string) float64 {
	if v.Wanted == nil {
		return max(v.Demand[model], minDemand)
	}
	sum := 0
	for _, n := range v.Wanted {
		sum += n
	}
	return max(float64(v.Wanted[model])/float64(max(1, sum)), minDemand)
}

// givesAway reports whether groups of a model end for a model of the same size or
// smaller, which can use an instance in any domain.
func (v View) givesAway(m mapper.Model) bool {
	return slices.ContainsFunc(v.Moves, func(move apportioner.Move) bool {
		to, found := v.Engine.Model(move.To)
		return move.From == m.Name && found && to.Size <= m.Size
	})
}

// coldLoadCount returns the number of loads from the weight store in progress.
func (s *Scheduler) coldLoadCount() int {
	count := 0
	for _, l := range s.loading {
		if l.cold {
			count++
		}
	}
	return count
}

// canStartColdLoad reports whether the limits on rate and concurrency allow
// another load from the weight store.
func (s *Scheduler) canStartColdLoad(v View) bool {
	return v.Idle || s.loadTokens.tokens >= 1 && s.coldLoadCount() < v.Engine.LoadsAtOnce+extraLoads
}

// estimateLoadTime returns the estimated time for an instance to load a model.
// Concurrent loads above LoadsAtOnce slow each other down in proportion.
func (s *Scheduler) estimateLoadTime(v View, m mapper.Model, cold bool) time.Duration {
	if !cold {
		return m.Warm
	}
	slowdown := max(1, float64(s.coldLoadCount()+1)/float64(max(1, v.Engine.LoadsAtOnce)))
	duration := time.Duration(float64(m.Load) * slowdown)
	if v.Idle {
		duration /= idleLoadSpeedup
	}
	return duration
}

// lastModel returns the model that an instance held last, or "" if unknown.
func (s *Scheduler) lastModel(in provider.Instance) string {
	switch {
	case in.Membership.Group != "" && in.Membership.State != provider.Joining:
		return tracker.ModelOf(in.Membership.Group)
	case len(in.Loaded) > 0:
		return in.Loaded[0]
	}
	return s.lastModels[in.ID].model(in)
}
