package placer

import (
	"slices"
	"strings"

	"github.com/waxwingmount/waxwingmount/pkg/grouper"
)

// health is how a group's members stand.
type health struct {
	// lost holds the members that need another instance.
	lost []int
	// restarted holds the members that only need their new incarnation noted.
	restarted []int
	// leaving holds the members that are about to stop.
	leaving []int
}

func (h health) intact() bool { return len(h.lost)+len(h.restarted) == 0 }

func (s *step) health(g grouper.Group) health {
	var h health
	for i, m := range g.Members {
		in, listed := s.instances[m.Instance]
		switch {
		case !listed:
			h.lost = append(h.lost, i)
		case in.ConfirmedLost, !in.Alive && s.now.Sub(s.placer.lostSince[in.ID]) >= s.view.Settings.RepairDelay:
			h.lost = append(h.lost, i)
		case in.Alive && in.Incarnation != m.Incarnation:
			h.restarted = append(h.restarted, i)
		case in.Leaving:
			h.leaving = append(h.leaving, i)
		}
	}
	return h
}

// repair replaces members that are lost, reborn or, once their group is idle,
// leaving. Groups that need the fewest instances go first. Groups that a
// domain's spares cannot mend give their members to the others.
func (s *step) repair() {
	type candidate struct {
		group grouper.Group
		replace  []int
		update   []int
	}
	var candidates []candidate
	for _, g := range s.view.Groups {
		h := s.health(g)
		switch {
		case !h.intact():
			candidates = append(candidates, candidate{group: g, replace: append(h.lost, h.leaving...), update: h.restarted})
		case len(h.leaving) > 0 && s.drained(g):
			candidates = append(candidates, candidate{group: g, replace: h.leaving})
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		if len(a.replace) != len(b.replace) {
			return len(a.replace) - len(b.replace)
		}
		return strings.Compare(a.group.ID, b.group.ID)
	})
	for i := 0; i < len(candidates); i++ {
		p := candidates[i]
		if len(p.replace) <= len(s.free[p.group.FabricDomain]) {
			s.replace(p.group, p.replace, p.update)
			continue
		}
		s.disbandUnrepairable(p.group)
	}
}

func (s *step) replace(g grouper.Group, lost, restarted []int) {
	g.Members = slices.Clone(g.Members)
	for _, i := range lost {
		in, _ := s.takeFree(g.FabricDomain)
		g.Members[i] = newMember(in)
	}
	for _, i := range restarted {
		g.Members[i] = newMember(s.instances[g.Members[i].Instance])
	}
	s.addDecision(Replace, g, "members lost, reborn or leaving")
}

// disbandUnrepairable frees the members of a group that its domain cannot
// mend, so that they serve as spares. The freed members count from the next
// step on, when the table shows them free.
func (s *step) disbandUnrepairable(g grouper.Group) {
	if g.Pinned {
		return
	}
	s.addDecision(Disband, g, "too few spares in the fabric domain")
}

// drained reports whether a group has drained for long enough and is idle.
func (s *step) drained(g grouper.Group) bool {
	since, draining := s.placer.drainingSince[g.ID]
	if !draining || s.now.Sub(since) < s.view.Settings.MinDrainTime {
		return false
	}
	head, listed := s.instances[g.Head().Instance]
	return !listed || !head.Alive || head.Idle
}
