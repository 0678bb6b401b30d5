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

// maxClosedForOne is how many groups across domains may be ended for one group
// within a domain: with the usual factor of 2.5 on their times, two of them do
// less than that one.
const maxClosedForOne = 2

// groupsPerChange is how many open groups of a model there must be for each
// that is being ended to be compacted, so that little is missing at a time.
const groupsPerChange = 8

// compact ends groups across domains where one domain could then hold a group
// of its own. The groups end their requests first, few of a model at a time.
func (f *Scheduler) compact(now time.Time, v View, s stock) {
	for _, m := range v.Engine.Models {
		open, ending := f.changing(m.Name)
		if ending > 0 && ending+maxClosedForOne > (open+ending)/groupsPerChange {
			continue
		}
		spread := f.spread(m)
		for _, domain := range slices.Sorted(maps.Keys(s.held[m.Name])) {
			if chosen := enough(spread, domain, m.Size-inDomain(s.ready[m.Name], domain)); chosen != nil {
				for _, g := range chosen {
					g.closedAt = now
				}
				break
			}
		}
	}
}

// changing counts the open groups of a model and those that are being ended.
func (f *Scheduler) changing(model string) (open, ending int) {
	for _, g := range f.groups {
		switch {
		case g.model.Name != model:
		case !g.closedAt.IsZero() || !g.brokenAt.IsZero():
			ending++
		case g.opened:
			open++
		}
	}
	return open, ending
}

// spread returns the open groups of a model that are not in one domain.
func (f *Scheduler) spread(m mapper.Model) []*group {
	var found []*group
	for _, name := range slices.Sorted(maps.Keys(f.groups)) {
		g := f.groups[name]
		if g.model.Name == m.Name && g.opened && g.closedAt.IsZero() && (tracker.Group{Members: g.members}).Spread() {
			found = append(found, g)
		}
	}
	return found
}

// enough returns the few groups that have so many members in a domain, or nil.
func enough(spread []*group, domain string, missing int) []*group {
	if missing <= 0 {
		return nil
	}
	sorted := slices.Clone(spread)
	slices.SortStableFunc(sorted, func(a, b *group) int {
		if d := inDomain(b.members, domain) - inDomain(a.members, domain); d != 0 {
			return d
		}
		return strings.Compare(a.name, b.name)
	})
	for count := range min(maxClosedForOne, len(sorted)) {
		missing -= inDomain(sorted[count].members, domain)
		if missing <= 0 {
			return sorted[:count+1]
		}
	}
	return nil
}

// inDomain counts the instances of a domain.
func inDomain(all []provider.Instance, domain string) int {
	count := 0
	for _, in := range all {
		if in.FabricDomain == domain {
			count++
		}
	}
	return count
}
