package former

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
	"github.com/waxwingmount/waxwingmount/pkg/surveyor"
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

// endLoads notes which instances have ended their loads.
func (f *Former) endLoads(now time.Time, v View) {
	f.loads.fill(now, v.Engine.LoadsPerSecond)
	for id, until := range f.loading {
		in, listed := v.Survey.Instance(id)
		if !listed || now.After(until) || in.Membership.State == provider.MemberReady || in.Membership.State == provider.Serving {
			delete(f.loading, id)
		}
	}
}

// form makes new groups of the free instances of each fabric domain.
func (f *Former) form(now time.Time, v View) []Order {
	free := f.free(now, v)
	filled := f.filled(v)
	var orders []Order
	for {
		g := f.best(v, free, filled)
		if g == nil {
			return orders
		}
		f.groups[g.name] = g
		g.born = now
		filled[g.model.Name] += float64(g.model.Size)
		domain := g.members[0].FabricDomain
		for _, member := range g.members {
			if !f.holds(member, g.model.Name) {
				if !v.Idle {
					f.loads.tokens--
				}
				f.loading[member.ID] = now.Add(g.model.Load*2 + joinSlack)
			}
			free[domain] = slices.DeleteFunc(free[domain], func(in provider.Instance) bool { return in.ID == member.ID })
			orders = append(orders, f.once(now, f.order(Join, member, g))...)
		}
	}
}

// free returns the instances of each fabric domain that are in no group.
func (f *Former) free(now time.Time, v View) map[string][]provider.Instance {
	used := make(map[string]bool)
	for _, g := range f.groups {
		for _, member := range g.members {
			used[member.ID] = true
		}
	}
	free := make(map[string][]provider.Instance)
	for _, in := range v.Survey.Instances() {
		if in.Service != v.Service || used[in.ID] || in.Leaving || v.Survey.Lost(in.ID) || now.Before(f.held[in.ID]) {
			continue
		}
		free[in.FabricDomain] = append(free[in.FabricDomain], in)
	}
	return free
}

// filled returns how many instances work for each model.
func (f *Former) filled(v View) map[string]float64 {
	filled := make(map[string]float64)
	for _, g := range f.groups {
		if g.brokenAt.IsZero() && g.closedAt.IsZero() {
			filled[g.model.Name] += float64(g.model.Size)
		}
	}
	return filled
}

// best returns the group that is wanted most and can be formed now, or nil.
func (f *Former) best(v View, free map[string][]provider.Instance, filled map[string]float64) *group {
	var best []provider.Instance
	var model mapper.Model
	bestScore, bestCold := math.Inf(1), 0
	for _, m := range v.Engine.Models {
		for _, domain := range slices.Sorted(maps.Keys(free)) {
			if len(free[domain]) < m.Size {
				continue
			}
			members := f.choose(free[domain], m)
			cold := f.coldCount(members, m.Name)
			score := (filled[m.Name] + float64(m.Size)) / max(v.Demand[m.Name], 0.01)
			score *= 1 + (coldPenalty-1)*float64(cold)/float64(m.Size)
			if score < bestScore {
				best, model, bestScore, bestCold = members, m, score, cold
			}
		}
	}
	if best == nil || !f.mayLoad(v, bestCold) {
		// What is wanted most waits for its turn to load, and nothing that is
		// wanted less takes that turn.
		return nil
	}
	g := &group{model: model, members: best}
	g.name, g.epoch = f.newName(model.Name)
	return g
}

// mayLoad reports whether so many loads may begin now.
func (f *Former) mayLoad(v View, cold int) bool {
	switch {
	case cold == 0 || len(f.loading) == 0 && v.Idle:
		return true
	case len(f.loading)+cold > v.Engine.LoadsAtOnce+loadsAhead:
		return false
	}
	return v.Idle || f.loads.tokens >= float64(cold)
}

// choose returns the instances of one domain that can begin soonest.
func (f *Former) choose(free []provider.Instance, m mapper.Model) []provider.Instance {
	sorted := slices.Clone(free)
	slices.SortStableFunc(sorted, func(a, b provider.Instance) int {
		if d := f.distance(a, m.Name) - f.distance(b, m.Name); d != 0 {
			return d
		}
		return strings.Compare(a.ID, b.ID)
	})
	return sorted[:m.Size]
}

// distance ranks how long an instance takes to hold a model.
func (f *Former) distance(in provider.Instance, model string) int {
	switch {
	case f.lastModel(in) == model:
		return 0
	case slices.Contains(in.Staged, model):
		return 1
	}
	return 2
}

// lastModel returns the model that an instance held last, if that is known.
func (f *Former) lastModel(in provider.Instance) string {
	if in.Membership.Group != "" {
		return surveyor.ModelOf(in.Membership.Group)
	}
	if slices.Contains(in.Loaded, f.last[in.ID]) {
		return f.last[in.ID]
	}
	return ""
}

// holds reports whether an instance can join without a load.
func (f *Former) holds(in provider.Instance, model string) bool { return f.distance(in, model) < 2 }

func (f *Former) coldCount(members []provider.Instance, model string) int {
	cold := 0
	for _, in := range members {
		if !f.holds(in, model) {
			cold++
		}
	}
	return cold
}
