package placer

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/waxwingmount/waxwingmount/pkg/grouper"
)

// reconcileModel brings the groups of one model to the desired number and
// version.
func (s *step) reconcileModel(model Model) {
	groups := s.groupsOf(model.Name)
	s.finishDrains(groups)
	current := slices.DeleteFunc(slices.Clone(groups), func(g grouper.Group) bool { return g.Draining })
	switch surplus := len(current) - model.Groups; {
	case surplus < 0:
		s.addGroups(model, -surplus)
	case surplus > 0:
		s.drainSurplus(current, surplus)
	case len(current) == len(groups):
		s.rollVersion(model, current)
	}
}

// addGroups forms missing groups. It uses spares only if no domain has enough
// other instances: capacity now has priority over spares for a later loss.
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
		if g.Model == model && !g.Pinned && !s.hasDecision(g.ID, Disband) {
			groups = append(groups, g)
		}
	}
	return groups
}

// finishDrains disbands the groups that have finished draining.
func (s *step) finishDrains(groups []grouper.Group) {
	for _, g := range groups {
		if g.Draining && s.drained(g) && !s.hasDecision(g.ID, Replace) {
			s.addDecision(Disband, g, "drained")
		}
	}
}

// form forms one group in the fabric domain where the fewest unassigned
// instances remain afterwards, but at least spares. It reports whether there was
// such a domain.
func (s *step) form(model Model, spares int) bool {
	best, found := "", false
	for _, domain := range slices.Sorted(maps.Keys(s.unassigned)) {
		remaining := len(s.unassigned[domain]) - model.InstancesPerGroup
		if remaining < spares {
			continue
		}
		if !found || remaining < len(s.unassigned[best])-model.InstancesPerGroup {
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
		in, _ := s.takeUnassigned(best)
		g.DataCentre = in.DataCentre
		g.Members = append(g.Members, newMember(in))
	}
	s.addDecision(Form, g, "fewer groups than configured")
	return true
}

// newID returns the unused group ID of a model with the lowest number.
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

// drainSurplus drains the given number of groups, the least healthy first.
func (s *step) drainSurplus(groups []grouper.Group, surplus int) {
	slices.SortStableFunc(groups, func(a, b grouper.Group) int {
		if c := cmp.Compare(s.unhealthyCount(b), s.unhealthyCount(a)); c != 0 {
			return c
		}
		return -strings.Compare(a.ID, b.ID)
	})
	for _, g := range groups[:surplus] {
		s.addDecision(Drain, g, "more groups than configured")
	}
}

// unhealthyCount returns the number of members that are lost, restarted or
// leaving.
func (s *step) unhealthyCount(g grouper.Group) int {
	h := s.health(g)
	return len(h.lost) + len(h.restarted) + len(h.leaving)
}

// rollVersion drains one group with an outdated model version at a time; once it
// is disbanded, a group with the desired version takes its place. No group is
// drained while another is being repaired or loads its model.
func (s *step) rollVersion(model Model, groups []grouper.Group) {
	for _, g := range groups {
		if !s.health(g).intact() || !s.ready(g) {
			return
		}
	}
	for _, g := range groups {
		if g.ModelVersion != model.Version {
			s.addDecision(Drain, g, "model version is outdated")
			return
		}
	}
}

// ready reports whether every member can process requests.
func (s *step) ready(g grouper.Group) bool {
	return !slices.ContainsFunc(g.Members, func(m grouper.Member) bool {
		return !s.instances[m.Instance].Ready
	})
}

// removeUnconfigured drains the groups of models that are no longer configured,
// and disbands those that have finished draining.
func (s *step) removeUnconfigured() {
	configured := make(map[string]bool)
	for _, m := range s.view.Models {
		configured[m.Name] = true
	}
	for _, g := range s.view.Groups {
		if configured[g.Model] || g.Pinned || s.hasDecision(g.ID, Disband) {
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

func (s *step) hasDecision(id string, kind DecisionKind) bool {
	return slices.ContainsFunc(s.decisions, func(d Decision) bool {
		return d.Group.ID == id && d.Kind == kind
	})
}
