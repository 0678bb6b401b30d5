package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/apportioner"
	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

// groupsPerLending is how many groups of a model there must be for each one that ends
// for another model at a time. It allows 4 of 24 groups of 2, which make one group of 8.
const groupsPerLending = 6

// lending is the set of instances of one fabric domain that are to load another model.
type lending struct {
	domain string
	// spares are in no group.
	spares []provider.Instance
	// groups have to drain.
	groups []*group
	// holders counts the domain's instances of the receiving model; staged those
	// that are lent and whose hosts have its weights.
	holders, staged int
}

// loan is the model that an instance is to load in place of its last one.
type loan struct {
	lastModel
	domain string
}

// lend starts the moves of instances between models. Each move is carried out in one
// domain at a time, and only while the loads of all instances that need one run at full
// speed.
func (s *Scheduler) lend(now time.Time, v View, inv *inventory) {
	for _, move := range v.Moves {
		from, foundFrom := v.Engine.Model(move.From)
		to, foundTo := v.Engine.Model(move.To)
		if !foundFrom || !foundTo || s.coldLoadCount()+len(inv.cold)+s.pendingLoans(v) >= max(1, v.Engine.LoadsAtOnce) {
			continue
		}
		if best, found := s.selectLending(now, *inv, from, to, move); found {
			s.startLending(now, best, to, inv)
		}
	}
}

// selectLending returns the best lending of a move: the one that ends the fewest
// groups, in the domain with the most instances of the receiving model.
func (s *Scheduler) selectLending(now time.Time, inv inventory, from, to mapper.Model, move apportioner.Move) (lending, bool) {
	var all []lending
	mayDrain := !s.isRepairing(from.Name)
	for domain := range inv.holders[from.Name] {
		mayDrain = mayDrain && !inv.waitsForMembers(now, from, domain)
	}
	for _, domain := range slices.Sorted(maps.Keys(inv.holders[from.Name])) {
		if s.lendsIn(domain) || inv.waitsForMembers(now, from, domain) {
			continue
		}
		l := s.newLending(inv, from, to, domain)
		if len(l.spares)+len(l.groups) == 0 || len(l.groups) > 0 && (!mayDrain || !s.canEnd(from.Name, len(l.groups), move.Groups)) {
			continue
		}
		all = append(all, l)
	}
	if len(all) == 0 {
		return lending{}, false
	}
	return slices.MinFunc(all, func(a, b lending) int {
		return cmp.Or(len(a.groups)-len(b.groups), b.holders-a.holders, b.staged-a.staged, cmp.Compare(a.domain, b.domain))
	}), true
}

// newLending returns the lending that completes a group of the receiving model in a
// domain. It is empty if the domain has too few instances.
func (s *Scheduler) newLending(inv inventory, from, to mapper.Model, domain string) lending {
	l := lending{domain: domain, holders: inv.holders[to.Name][domain]}
	available := instancesInDomain(inv.ready[from.Name], domain)
	sortStagedFirst(available, to.Name)
	waiting := countInDomain(inv.ready[to.Name], domain) + len(inv.expected[to.Name][domain])
	missing := to.Size - waiting%to.Size
	if len(available) >= missing {
		// All of them that make whole groups, up to one group of the larger size.
		count := min(len(available), max(from.Size, to.Size))
		l.spares = available[:count-(count-missing)%to.Size]
	} else {
		l.spares = available
		l.groups = s.groupsToLend(from, to, domain, missing-len(available))
		if l.groups == nil {
			return lending{}
		}
	}
	l.staged = countStaged(l.spares, to.Name)
	for _, g := range l.groups {
		l.staged += countStaged(g.members, to.Name)
	}
	return l
}

// groupsToLend returns open groups within a domain that together have the missing
// number of members, or nil. Groups whose hosts have the weights come first.
func (s *Scheduler) groupsToLend(from, to mapper.Model, domain string, missing int) []*group {
	var found []*group
	for _, name := range slices.Sorted(maps.Keys(s.groups)) {
		g := s.groups[name]
		if g.model.Name == from.Name && g.opened && g.drainingSince.IsZero() && g.brokenSince.IsZero() && !g.inEvacuated && countInDomain(g.members, domain) == len(g.members) {
			found = append(found, g)
		}
	}
	slices.SortStableFunc(found, func(a, b *group) int { return countStaged(b.members, to.Name) - countStaged(a.members, to.Name) })
	count := (missing + from.Size - 1) / from.Size
	if len(found) < count {
		return nil
	}
	return found[:count]
}

// startLending drains the groups and marks the spares for the receiving model.
func (s *Scheduler) startLending(now time.Time, l lending, to mapper.Model, inv *inventory) {
	for _, in := range l.spares {
		s.lent[in.ID] = loan{lastModel{in.Incarnation, to.Name}, in.FabricDomain}
		inv.lent = append(inv.lent, in)
	}
	for _, g := range l.groups {
		g.drainingSince, g.lentTo = now, to.Name
	}
	for model, ready := range inv.ready {
		inv.ready[model] = exclude(ready, l.spares)
	}
}

// isRepairing reports whether a group of a model is being formed or is broken.
func (s *Scheduler) isRepairing(model string) bool {
	for _, g := range s.groups {
		if g.model.Name == model && (!g.brokenSince.IsZero() || !g.opened && g.drainingSince.IsZero()) {
			return true
		}
	}
	return false
}

// waitsForMembers reports whether instances of a model wait in a domain for others that
// will soon complete a group.
func (inv inventory) waitsForMembers(now time.Time, m mapper.Model, domain string) bool {
	ready := countInDomain(inv.ready[m.Name], domain)
	return ready > 0 && ready+countExpected(now, inv.expected[m.Name][domain]) >= m.Size
}

// canEnd reports whether a number of a model's groups may end for another model: at
// most the limit, at most a small share at a time, and not the last one.
func (s *Scheduler) canEnd(model string, count, limit int) bool {
	open, ending := s.countOpenAndEnding(model)
	return count <= limit && count < open && ending+count <= max(1, (open+ending)/groupsPerLending)
}

// lendsIn reports whether instances of a domain are about to load, or load, a model
// for which they were lent.
func (s *Scheduler) lendsIn(domain string) bool {
	for _, g := range s.groups {
		if g.lentTo != "" && countInDomain(g.members, domain) > 0 {
			return true
		}
	}
	for _, l := range s.lent {
		if l.domain == domain {
			return true
		}
	}
	for _, l := range s.loading {
		if l.lentIn == domain {
			return true
		}
	}
	return false
}

// lentModel returns the model that an instance was lent to and has yet to load, or "".
func (s *Scheduler) lentModel(in provider.Instance) string { return s.lent[in.ID].model(in) }

// loanHolds reports whether an instance can still load the model that it was lent to: it has
// not restarted since, and the model is configured.
func (s *Scheduler) loanHolds(v View, in provider.Instance) bool {
	_, found := v.Engine.Model(s.lentModel(in))
	return found && !v.Tracker.Evacuated(in)
}

// pendingLoans counts the instances that are lent and have yet to load.
func (s *Scheduler) pendingLoans(v View) int {
	sum := 0
	for _, m := range v.Engine.Models {
		sum += s.countLent(m.Name)
	}
	return sum
}

// countLent counts the instances that have yet to load a model to which they are lent.
func (s *Scheduler) countLent(model string) int {
	count := 0
	for _, l := range s.lent {
		if l.name == model {
			count++
		}
	}
	for _, g := range s.groups {
		if g.lentTo == model && !g.loaned {
			count += len(g.members)
		}
	}
	return count
}

// startLentLoads makes the lent instances load their model.
func (s *Scheduler) startLentLoads(now time.Time, v View, inv inventory) []Order {
	var orders []Order
	for _, in := range inv.lent {
		m, found := v.Engine.Model(s.lentModel(in))
		cold := !slices.Contains(in.Staged, m.Name)
		if !found || cold && !s.canStartColdLoad(v) {
			continue
		}
		delete(s.lent, in.ID)
		// It no longer holds the weights of its last group.
		delete(s.lastModels, in.ID)
		orders = append(orders, s.startLoad(now, v, inv, in, m, cold)...)
		l := s.loading[in.ID]
		l.lentIn = in.FabricDomain
		s.loading[in.ID] = l
	}
	return orders
}

// instancesInDomain returns the instances that are in a domain.
func instancesInDomain(all []provider.Instance, domain string) []provider.Instance {
	return slices.DeleteFunc(slices.Clone(all), func(in provider.Instance) bool { return in.FabricDomain != domain })
}

// sortStagedFirst puts the instances whose hosts have a model's weights first.
func sortStagedFirst(all []provider.Instance, model string) {
	slices.SortStableFunc(all, func(a, b provider.Instance) int {
		return countStaged([]provider.Instance{b}, model) - countStaged([]provider.Instance{a}, model)
	})
}

// countStaged returns the number of instances whose hosts have a model's weights.
func countStaged(all []provider.Instance, model string) int {
	count := 0
	for _, in := range all {
		if slices.Contains(in.Staged, model) {
			count++
		}
	}
	return count
}
