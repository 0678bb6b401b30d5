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
	// lossTTL is how long evidence of a loss counts unless the instance is
	// seen again: three heartbeats of the slowest kind and the list's lag.
	lossTTL = 6 * time.Second
	// maxListGap is the age of the last list from which on the next list is
	// not believed about missing entries: entries may have lapsed meanwhile.
	maxListGap = 2500 * time.Millisecond
	// relistTimeout is how long entries that lapsed may take to come back: the
	// platform's two seconds and one look at the list.
	relistTimeout = 2500 * time.Millisecond
)

// ModelOf returns the model that a group's name stands for.
func ModelOf(group string) string {
	model, _, _ := strings.Cut(group, groupNameSeparator)
	return model
}

// groupNameSeparator stands between the model and the rest of a group's name.
const groupNameSeparator = "~"

// GroupName returns the name of a group of a model, told apart by tag.
func GroupName(model, tag string) string { return model + groupNameSeparator + tag }

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
	losses      map[string]loss
	// updatedAt is the time of the last list.
	updatedAt time.Time
	// trustRemovalsAt is when a missing entry counts again as gone.
	trustRemovalsAt time.Time

	// groupSizes holds how many members a group of each model has.
	groupSizes    map[string]int
	groups   map[string]Group
	servers map[string][]provider.Instance
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
		losses:      make(map[string]loss),
	}
}

// UpdatedAt returns the time of the last list.
func (t *Tracker) UpdatedAt() time.Time { return t.updatedAt }

// SetGroupSizes takes in how many members a group of each model has.
func (t *Tracker) SetGroupSizes(sizes map[string]int) {
	t.groupSizes = sizes
	t.rebuild()
}

// Update takes in the platform's list, read by a call begun at that time.
func (t *Tracker) Update(at time.Time, listed []provider.Instance) {
	if !t.updatedAt.IsZero() && at.Sub(t.updatedAt) > maxListGap {
		t.trustRemovalsAt = at.Add(relistTimeout)
	}
	t.updatedAt = at
	next := make(map[string]provider.Instance, len(listed))
	for _, in := range listed {
		next[in.ID] = in
	}
	for id, in := range t.instances {
		if _, there := next[id]; there {
			continue
		}
		if at.Before(t.trustRemovalsAt) {
			next[id] = in
		}
	}
	t.instances = next
	t.pruneLosses(at)
	t.rebuild()
}

// pruneLosses drops evidence that is old or about an earlier incarnation.
func (t *Tracker) pruneLosses(now time.Time) {
	for id, l := range t.losses {
		in, known := t.instances[id]
		if now.Sub(l.at) > lossTTL || known && in.Incarnation != l.incarnation {
			delete(t.losses, id)
		}
	}
}

// MarkLost takes in evidence that an instance is gone. It reports whether that is
// news.
func (t *Tracker) MarkLost(now time.Time, id, incarnation string) bool {
	in, known := t.instances[id]
	if known && in.Incarnation != incarnation {
		return false
	}
	_, old := t.losses[id]
	t.losses[id] = loss{incarnation: incarnation, at: now}
	if !old {
		t.rebuild()
	}
	return !old
}

// ClearLoss takes back the evidence of a loss, since the instance has answered.
func (t *Tracker) ClearLoss(id string) {
	if _, lost := t.losses[id]; lost {
		delete(t.losses, id)
		t.rebuild()
	}
}

// IsLost reports whether there is evidence that an instance is gone.
func (t *Tracker) IsLost(id string) bool {
	_, lost := t.losses[id]
	return lost
}

// LostInstances returns the instances that are listed and held for lost.
func (t *Tracker) LostInstances() []provider.Instance {
	var found []provider.Instance
	for _, id := range slices.Sorted(maps.Keys(t.losses)) {
		if in, known := t.instances[id]; known {
			found = append(found, in)
		}
	}
	return found
}

// Instance returns the instance of that name.
func (t *Tracker) Instance(id string) (provider.Instance, bool) {
	in, found := t.instances[id]
	return in, found
}

// Instances returns all instances in order of their names.
func (t *Tracker) Instances() []provider.Instance {
	all := make([]provider.Instance, 0, len(t.instances))
	for _, id := range slices.Sorted(maps.Keys(t.instances)) {
		all = append(all, t.instances[id])
	}
	return all
}

// Servers returns the instances of a service that take requests by themselves.
func (t *Tracker) Servers(service string) []provider.Instance { return t.servers[service] }

// Groups returns the groups of a service and model that may be sent requests.
func (t *Tracker) Groups(service, model string) []Group {
	var found []Group
	for _, name := range slices.Sorted(maps.Keys(t.groups)) {
		g := t.groups[name]
		if g.Service == service && g.Model == model {
			found = append(found, g)
		}
	}
	return found
}

// GroupAvailable reports whether a group may still be sent requests.
func (t *Tracker) GroupAvailable(g Group) bool {
	current, found := t.groups[g.Name]
	return found && current.Epoch == g.Epoch && slices.EqualFunc(current.Members, g.Members, sameIncarnation)
}

// InstanceAvailable reports whether an instance may still be sent requests by itself.
func (t *Tracker) InstanceAvailable(in provider.Instance) bool {
	current, found := t.instances[in.ID]
	return found && sameIncarnation(current, in) && !current.Leaving && !t.IsLost(in.ID)
}

func sameIncarnation(a, b provider.Instance) bool { return a.ID == b.ID && a.Incarnation == b.Incarnation }

// rebuild works the groups and the plain servers out from the instances.
func (t *Tracker) rebuild() {
	t.groups = make(map[string]Group)
	t.servers = make(map[string][]provider.Instance)
	members := make(map[string][]provider.Instance)
	for _, in := range t.Instances() {
		if t.IsLost(in.ID) {
			continue
		}
		if !in.Leaving {
			t.servers[in.Service] = append(t.servers[in.Service], in)
		}
		if m := in.Membership; m.Group != "" && m.State != provider.Unattached {
			members[m.Group] = append(members[m.Group], in)
		}
	}
	for name, ms := range members {
		if g, whole := buildGroup(name, ms); whole && len(ms) == t.groupSizes[g.Model] {
			t.groups[name] = g
		}
	}
}

// buildGroup joins members to a group if they are all there and the head is open.
func buildGroup(name string, members []provider.Instance) (Group, bool) {
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
