package placer

import (
	"slices"
	"strings"

	"github.com/waxwingmount/waxwingmount/pkg/grouper"
)

// health holds the indexes of a group's members that need attention.
type health struct {
	// lost holds the members that must be replaced by another instance.
	lost []int
	// restarted holds the members whose incarnation must be updated.
	restarted []int
	// leaving holds the members that are about to stop.
	leaving []int
}

// intact reports whether no member is lost or restarted.
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

// repair replaces members that are lost or, once their group is idle, leaving,
// and updates members that have restarted. Groups that need the fewest instances
// are repaired first. Groups for which the domain has too few spares are
// disbanded, so that their members become spares.
func (s *step) repair() {
	type candidate struct {
		group   grouper.Group
		replace []int
		update  []int
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
		c := candidates[i]
		if len(c.replace) <= len(s.unassigned[c.group.FabricDomain]) {
			s.replace(c.group, c.replace, c.update)
			continue
		}
		s.disbandUnrepairable(c.group)
	}
}

// replace decides to substitute unassigned instances for the replaced members,
// given by index, and to record the current incarnations of the updated ones.
func (s *step) replace(g grouper.Group, replaced, updated []int) {
	g.Members = slices.Clone(g.Members)
	for _, i := range replaced {
		in, _ := s.takeUnassigned(g.FabricDomain)
		g.Members[i] = newMember(in)
	}
	for _, i := range updated {
		g.Members[i] = newMember(s.instances[g.Members[i].Instance])
	}
	s.addDecision(Replace, g, "members lost, restarted or leaving")
}

// disbandUnrepairable disbands a group for which its domain has too few spares,
// so that its members become spares. They are available from the next step on,
// when the table shows them as unassigned.
func (s *step) disbandUnrepairable(g grouper.Group) {
	if g.Pinned {
		return
	}
	s.addDecision(Disband, g, "too few spares in the fabric domain")
}

// drained reports whether a group has drained for MinDrainTime and its head is
// idle, not alive or not listed.
func (s *step) drained(g grouper.Group) bool {
	since, draining := s.placer.drainingSince[g.ID]
	if !draining || s.now.Sub(since) < s.view.Settings.MinDrainTime {
		return false
	}
	head, listed := s.instances[g.Head().Instance]
	return !listed || !head.Alive || head.Idle
}
