package placer

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/waxwingmount/waxwingmount/pkg/grouper"
)

// reconcileModel brings the groups of one model to the wanted number and version.
func (s *step) reconcileModel(model Model) {
	groups := s.groupsOf(model.Name)
	s.finishDrains(groups)
	current := slices.DeleteFunc(slices.Clone(groups), func(g grouper.Group) bool { return g.Draining })
	switch surplus := len(current) - model.Groups; {
	case surplus < 0:
		s.addGroups(model, -surplus)
	case surplus > 0:
		s.shrink(current, surplus)
	case len(current) == len(groups):
		s.roll(model, current)
	}
}

// addGroups forms missing groups. It leaves the spares where it can, but a group
// that is missing now is worth more than an instance for a loss to come.
func (s *step) addGroups(model Model, missing int) {
	for range missing {
		if !s.form(model, s.view.Settings.Spares) && !s.form(model, 0) {
			return
		}
	}
}

func (s *step) groupsOf(model string) []grouper.Group {
	var groups []grouper.Group
	for _, g := range s.view.Groups {
		if g.Model == model && !g.Pinned && !s.decided(g.ID, Disband) {
			groups = append(groups, g)
		}
	}
	return groups
}

// finishDrains disbands the groups that have drained.
func (s *step) finishDrains(groups []grouper.Group) {
	for _, g := range groups {
		if g.Draining && s.drained(g) && !s.decided(g.ID, Replace) {
			s.addDecision(Disband, g, "drained")
		}
	}
}

// form makes one group in the fabric domain that it leaves with the fewest
// free instances, but not with fewer than spares.
func (s *step) form(model Model, spares int) bool {
	best, found := "", false
	for _, domain := range slices.Sorted(maps.Keys(s.free)) {
		left := len(s.free[domain]) - model.InstancesPerGroup
		if left < spares {
			continue
		}
		if !found || left < len(s.free[best])-model.InstancesPerGroup {
			best, found = domain, true
		}
	}
	if !found {
		return false
	}
	g := grouper.Group{
		ID:           s.newID(model.Name),
		Model:        model.Name,
		ModelVersion: model.Version,
		FabricDomain: best,
	}
	for range model.InstancesPerGroup {
		in, _ := s.takeFree(best)
		g.DataCentre = in.DataCentre
		g.Members = append(g.Members, newMember(in))
	}
	s.addDecision(Form, g, "fewer groups than wanted")
	return true
}

// newID returns the lowest unused id of a model's groups.
func (s *step) newID(model string) string {
	used := make(map[string]bool)
	for _, g := range s.view.Groups {
		used[g.ID] = true
	}
	for _, d := range s.decisions {
		used[d.Group.ID] = true
	}
	for n := 1; ; n++ {
		if id := model + "-" + strconv.Itoa(n); !used[id] {
			return id
		}
	}
}

// shrink drains surplus groups, the least healthy first.
func (s *step) shrink(groups []grouper.Group, surplus int) {
	slices.SortStableFunc(groups, func(a, b grouper.Group) int {
		if c := cmp.Compare(s.unhealthyCount(b), s.unhealthyCount(a)); c != 0 {
			return c
		}
		return -strings.Compare(a.ID, b.ID)
	})
	for _, g := range groups[:surplus] {
		s.addDecision(Drain, g, "more groups than wanted")
	}
}

func (s *step) unhealthyCount(g grouper.Group) int {
	h := s.health(g)
	return len(h.lost) + len(h.restarted) + len(h.leaving)
}

// roll drains one group of an old version at a time; it is formed anew with
// the wanted version once it is gone. While a group is being repaired or loads
// its model, none is drained.
func (s *step) roll(model Model, groups []grouper.Group) {
	for _, g := range groups {
		if !s.health(g).intact() || !s.ready(g) {
			return
		}
	}
	for _, g := range groups {
		if g.ModelVersion != model.Version {
			s.addDecision(Drain, g, "model version is old")
			return
		}
	}
}

// ready reports whether every member can run requests.
func (s *step) ready(g grouper.Group) bool {
	return !slices.ContainsFunc(g.Members, func(m grouper.Member) bool {
		return !s.instances[m.Instance].Ready
	})
}

// dropUnknown drains the groups of models that are not wanted any more.
func (s *step) dropUnknown() {
	wanted := make(map[string]bool)
	for _, m := range s.view.Models {
		wanted[m.Name] = true
	}
	for _, g := range s.view.Groups {
		if wanted[g.Model] || g.Pinned || s.decided(g.ID, Disband) {
			continue
		}
		switch {
		case !g.Draining:
			s.addDecision(Drain, g, "model is not in the configuration")
		case s.drained(g):
			s.addDecision(Disband, g, "drained")
		}
	}
}

func (s *step) decided(id string, kind DecisionKind) bool {
	return slices.ContainsFunc(s.decisions, func(d Decision) bool {
		return d.Group.ID == id && d.Kind == kind
	})
}
