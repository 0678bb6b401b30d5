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

// maxGroupsPerReplacement is how many groups across domains may be drained for
// one group within a domain. Groups across domains are slower, usually by a
// factor of 2.5, so two of them have less throughput than the group that
// replaces them.
const maxGroupsPerReplacement = 2

// groupsPerCompaction is how many groups of a model there must be for each one
// that is drained for compaction, which limits the capacity that is missing at a time.
const groupsPerCompaction = 8

// compact starts to drain groups across domains whose members allow a group within
// one domain. It drains only a few groups of a model at a time.
func (s *Scheduler) compact(now time.Time, v View, inv inventory) {
	for _, m := range v.Engine.Models {
		open, ending := s.countOpenAndEnding(m.Name)
		if ending > 0 && ending+maxGroupsPerReplacement > (open+ending)/groupsPerCompaction {
			continue
		}
		spread := s.spreadGroups(m)
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

// countOpenAndEnding returns the number of open groups of a model, without those whose
// heads are evacuated, and the number that drain or are broken.
func (s *Scheduler) countOpenAndEnding(model string) (open, ending int) {
	for _, g := range s.groups {
		switch {
		case g.model.Name != model:
		case !g.drainingSince.IsZero() || !g.brokenSince.IsZero():
			ending++
		case g.opened && !g.evacuated:
			open++
		}
	}
	return open, ending
}

// spreadGroups returns the open groups of a model that span several domains and have no
// member in an evacuated data centre.
func (s *Scheduler) spreadGroups(m mapper.Model) []*group {
	var found []*group
	for _, name := range slices.Sorted(maps.Keys(s.groups)) {
		g := s.groups[name]
		if g.model.Name == m.Name && g.opened && g.drainingSince.IsZero() && (tracker.Group{Members: g.members}).Spread() && !g.inEvacuated {
			found = append(found, g)
		}
	}
	return found
}

// selectGroupsToDrain returns at most maxGroupsPerReplacement groups that
// together have the missing number of members in a domain, or nil.
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

// countInDomain returns the number of instances that are in a domain.
func countInDomain(all []provider.Instance, domain string) int {
	count := 0
	for _, in := range all {
		if in.FabricDomain == domain {
			count++
		}
	}
	return count
}
