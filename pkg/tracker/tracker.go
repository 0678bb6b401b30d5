// Package tracker knows which backend server instances there are, which of
// them are lost, and which replica groups may be sent requests. It learns from
// the platform's list, which lags, and from evidence of losses, which does not.
//
// # Usage
//
//	survey := tracker.New()
//	survey.Update(now, instances)
//	survey.Lose(now, "instance-3", incarnation)
//	for _, group := range survey.Groups("service", "model") { ... }
//
// A group serves when all of its members say that they belong to it, in the
// same epoch, and its head says that it is open. One lost member closes it.
package tracker

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

const (
	// lossTime is how long evidence of a loss counts unless the instance is
	// seen again: three heartbeats of the slowest kind and the list's lag.
	lossTime = 6 * time.Second
	// blindTime is the age of the last list from which on the next list is
	// not believed about missing entries: entries may have lapsed meanwhile.
	blindTime = 2500 * time.Millisecond
	// returnTime is how long entries that lapsed may take to come back: the
	// platform's two seconds and one look at the list.
	returnTime = 2500 * time.Millisecond
)

// ModelOf returns the model that a group's name stands for.
func ModelOf(group string) string {
	model, _, _ := strings.Cut(group, nameMark)
	return model
}

// nameMark stands between the model and the rest of a group's name.
const nameMark = "~"

// GroupName returns the name of a group of a model, told apart by tag.
func GroupName(model, tag string) string { return model + nameMark + tag }

// Group is a replica group as its members report it.
type Group struct {
	Name    string
	Epoch   uint64
	Model   string
	Service string
	// Members are in the order of their ranks; the head is first.
	Members []provider.Instance
}

// Head returns the member that takes the group's requests.
func (g Group) Head() provider.Instance { return g.Members[0] }

// Spread reports whether the members are not all in one fabric domain.
func (g Group) Spread() bool {
	for _, in := range g.Members {
		if in.FabricDomain != g.Members[0].FabricDomain {
			return true
		}
	}
	return false
}

// Tracker is what one process knows. It does no I/O and is not safe for
// concurrent use.
type Tracker struct {
	instances map[string]provider.Instance
	lost      map[string]loss
	// updated is the time of the last list.
	updated time.Time
	// trustAt is when a missing entry counts again as gone.
	trustAt time.Time

	// sizes holds how many members a group of each model has.
	sizes    map[string]int
	groups   map[string]Group
	services map[string][]provider.Instance
}

// loss is evidence that one incarnation of an instance is gone.
type loss struct {
	incarnation string
	at          time.Time
}

// New returns a survey that knows of nothing.
func New() *Tracker {
	return &Tracker{
		instances: make(map[string]provider.Instance),
		lost:      make(map[string]loss),
	}
}

// UpdatedAt returns the time of the last list.
func (s *Tracker) UpdatedAt() time.Time { return s.updated }

// SetGroupSizes takes in how many members a group of each model has.
func (s *Tracker) SetGroupSizes(sizes map[string]int) {
	s.sizes = sizes
	s.derive()
}

// Update takes in the platform's list, read by a call begun at that time.
func (s *Tracker) Update(at time.Time, listed []provider.Instance) {
	if !s.updated.IsZero() && at.Sub(s.updated) > blindTime {
		s.trustAt = at.Add(returnTime)
	}
	s.updated = at
	next := make(map[string]provider.Instance, len(listed))
	for _, in := range listed {
		next[in.ID] = in
	}
	for id, in := range s.instances {
		if _, there := next[id]; there {
			continue
		}
		if at.Before(s.trustAt) {
			next[id] = in
		}
	}
	s.instances = next
	s.forget(at)
	s.derive()
}

// forget drops evidence that is old or about an earlier incarnation.
func (s *Tracker) forget(now time.Time) {
	for id, l := range s.lost {
		in, known := s.instances[id]
		if now.Sub(l.at) > lossTime || known && in.Incarnation != l.incarnation {
			delete(s.lost, id)
		}
	}
}

// MarkLost takes in evidence that an instance is gone. It reports whether that is
// news.
func (s *Tracker) MarkLost(now time.Time, id, incarnation string) bool {
	in, known := s.instances[id]
	if known && in.Incarnation != incarnation {
		return false
	}
	_, old := s.lost[id]
	s.lost[id] = loss{incarnation: incarnation, at: now}
	if !old {
		s.derive()
	}
	return !old
}

// ClearLoss takes back the evidence of a loss, since the instance has answered.
func (s *Tracker) ClearLoss(id string) {
	if _, lost := s.lost[id]; lost {
		delete(s.lost, id)
		s.derive()
	}
}

// IsLost reports whether there is evidence that an instance is gone.
func (s *Tracker) IsLost(id string) bool {
	_, lost := s.lost[id]
	return lost
}

// LostInstances returns the instances that are listed and held for lost.
func (s *Tracker) LostInstances() []provider.Instance {
	var found []provider.Instance
	for _, id := range slices.Sorted(maps.Keys(s.lost)) {
		if in, known := s.instances[id]; known {
			found = append(found, in)
		}
	}
	return found
}

// Instance returns the instance of that name.
func (s *Tracker) Instance(id string) (provider.Instance, bool) {
	in, found := s.instances[id]
	return in, found
}

// Instances returns all instances in order of their names.
func (s *Tracker) Instances() []provider.Instance {
	all := make([]provider.Instance, 0, len(s.instances))
	for _, id := range slices.Sorted(maps.Keys(s.instances)) {
		all = append(all, s.instances[id])
	}
	return all
}

// Servers returns the instances of a service that take requests by themselves.
func (s *Tracker) Servers(service string) []provider.Instance { return s.services[service] }

// Groups returns the groups of a service and model that may be sent requests.
func (s *Tracker) Groups(service, model string) []Group {
	var found []Group
	for _, name := range slices.Sorted(maps.Keys(s.groups)) {
		g := s.groups[name]
		if g.Service == service && g.Model == model {
			found = append(found, g)
		}
	}
	return found
}

// GroupAvailable reports whether a group may still be sent requests.
func (s *Tracker) GroupAvailable(g Group) bool {
	now, found := s.groups[g.Name]
	return found && now.Epoch == g.Epoch && slices.EqualFunc(now.Members, g.Members, sameRun)
}

// InstanceAvailable reports whether an instance may still be sent requests by itself.
func (s *Tracker) InstanceAvailable(in provider.Instance) bool {
	now, found := s.instances[in.ID]
	return found && sameRun(now, in) && !now.Leaving && !s.IsLost(in.ID)
}

func sameRun(a, b provider.Instance) bool { return a.ID == b.ID && a.Incarnation == b.Incarnation }

// derive works the groups and the plain servers out from the instances.
func (s *Tracker) derive() {
	s.groups = make(map[string]Group)
	s.services = make(map[string][]provider.Instance)
	members := make(map[string][]provider.Instance)
	for _, in := range s.Instances() {
		if s.IsLost(in.ID) {
			continue
		}
		if !in.Leaving {
			s.services[in.Service] = append(s.services[in.Service], in)
		}
		if m := in.Membership; m.Group != "" && m.State != provider.Unattached {
			members[m.Group] = append(members[m.Group], in)
		}
	}
	for name, ms := range members {
		if g, whole := assemble(name, ms); whole && len(ms) == s.sizes[g.Model] {
			s.groups[name] = g
		}
	}
}

// assemble joins members to a group if they are all there and the head is open.
func assemble(name string, members []provider.Instance) (Group, bool) {
	slices.SortFunc(members, func(a, b provider.Instance) int { return a.Membership.Rank - b.Membership.Rank })
	head := members[0]
	if head.Membership.State != provider.Serving || head.Leaving {
		return Group{}, false
	}
	for rank, in := range members {
		m := in.Membership
		if m.Rank != rank || m.Epoch != head.Membership.Epoch || rank > 0 && m.State != provider.MemberReady {
			return Group{}, false
		}
	}
	return Group{
		Name:    name,
		Epoch:   head.Membership.Epoch,
		Model:   ModelOf(name),
		Service: head.Service,
		Members: members,
	}, true
}
