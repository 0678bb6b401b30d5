package scheduler

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
	"github.com/waxwingmount/waxwingmount/pkg/tracker"
)

// maxGroupsPerReplacement is how many groups across domains may be ended for one group
// within a domain: with the usual factor of 2.5 on their times, two of them do
// less than that one.
const maxGroupsPerReplacement = 2

// groupsPerCompaction is how many open groups of a model there must be for each
// that is being ended to be compacted, so that little is missing at a time.
const groupsPerCompaction = 8

// compact ends groups across domains where one domain could then hold a group
// of its own. The groups end their requests first, few of a model at a time.
func (f *Scheduler) compact(now time.Time, v View, inv inventory) {
	for _, m := range v.Engine.Models {
		open, ending := f.countOpenAndEnding(m.Name)
		if ending > 0 && ending+maxGroupsPerReplacement > (open+ending)/groupsPerCompaction {
			continue
		}
		spread := f.spreadGroups(m)
		for _, domain := range slices.Sorted(maps.Keys(inv.holders[m.Name])) {
			if chosen := selectGroupsToDrain(spread, domain, m.Size-countInDomain(inv.ready[m.Name], domain)); chosen != nil {
				for _, g := range chosen {
					g.drainingSince = now
				}
				break
			}
		}
	}
}

// countOpenAndEnding counts the open groups of a model and those that are being ended.
func (f *Scheduler) countOpenAndEnding(model string) (open, ending int) {
	for _, g := range f.groups {
		switch {
		case g.model.Name != model:
		case !g.drainingSince.IsZero() || !g.brokenSince.IsZero():
			ending++
		case g.opened:
			open++
		}
	}
	return open, ending
}

// spreadGroups returns the open groups of a model that are not in one domain.
func (f *Scheduler) spreadGroups(m mapper.Model) []*group {
	var found []*group
	for _, name := range slices.Sorted(maps.Keys(f.groups)) {
		g := f.groups[name]
		if g.model.Name == m.Name && g.opened && g.drainingSince.IsZero() && (tracker.Group{Members: g.members}).Spread() {
			found = append(found, g)
		}
	}
	return found
}

// selectGroupsToDrain returns the few groups that have so many members in a domain, or nil.
func selectGroupsToDrain(spread []*group, domain string, missing int) []*group {
	if missing <= 0 {
		return nil
	}
	sorted := slices.Clone(spread)
	slices.SortStableFunc(sorted, func(a, b *group) int {
		if d := countInDomain(b.members, domain) - countInDomain(a.members, domain); d != 0 {
			return d
		}
		return strings.Compare(a.name, b.name)
	})
	for count := range min(maxGroupsPerReplacement, len(sorted)) {
		missing -= countInDomain(sorted[count].members, domain)
		if missing <= 0 {
			return sorted[:count+1]
		}
	}
	return nil
}

// countInDomain counts the instances of a domain.
func countInDomain(all []provider.Instance, domain string) int {
	count := 0
	for _, in := range all {
		if in.FabricDomain == domain {
			count++
		}
	}
	return count
}
