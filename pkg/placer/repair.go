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
	// reborn holds the members that only need their new incarnation noted.
	reborn []int
	// leaving holds the members that are about to stop.
	leaving []int
}

func (h health) whole() bool { return len(h.lost)+len(h.reborn) == 0 }

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
			h.reborn = append(h.reborn, i)
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
	type patient struct {
		group grouper.Group
		need  []int
		fix   []int
	}
	var patients []patient
	for _, g := range s.view.Groups {
		h := s.health(g)
		switch {
		case !h.whole():
			patients = append(patients, patient{group: g, need: append(h.lost, h.leaving...), fix: h.reborn})
		case len(h.leaving) > 0 && s.drained(g):
			patients = append(patients, patient{group: g, need: h.leaving})
		}
	}
	slices.SortStableFunc(patients, func(a, b patient) int {
		if len(a.need) != len(b.need) {
			return len(a.need) - len(b.need)
		}
		return strings.Compare(a.group.ID, b.group.ID)
	})
	for i := 0; i < len(patients); i++ {
		p := patients[i]
		if len(p.need) <= len(s.free[p.group.FabricDomain]) {
			s.replace(p.group, p.need, p.fix)
			continue
		}
		s.disbandBeyondRepair(p.group)
	}
}

func (s *step) replace(g grouper.Group, need, fix []int) {
	g.Members = slices.Clone(g.Members)
	for _, i := range need {
		in, _ := s.take(g.FabricDomain)
		g.Members[i] = member(in)
	}
	for _, i := range fix {
		g.Members[i] = member(s.instances[g.Members[i].Instance])
	}
	s.decide(Replace, g, "members lost, reborn or leaving")
}

// disbandBeyondRepair frees the members of a group that its domain cannot
// mend, so that they serve as spares. The freed members count from the next
// step on, when the table shows them free.
func (s *step) disbandBeyondRepair(g grouper.Group) {
	if g.Pinned {
		return
	}
	s.decide(Disband, g, "too few spares in the fabric domain")
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
