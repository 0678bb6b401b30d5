// Package tracker tracks the backend server instances, which of them are lost,
// and which replica groups can take requests. Its inputs are the platform's
// instance list, which may be out of date, and evidence of losses, which is not.
//
// # Usage
//
//	t := tracker.New()
//	t.SetServices(map[string]map[string]int{"service": {"model": 4}})
//	t.Update(now, era, instances)
//	t.MarkLost(now, "instance-3", incarnation)
//	for _, group := range t.Groups("service", "model") { ... }
//
// The list may have entries that name no server: those of a service that is not configured
// stay out of everything but [Tracker.Listed] until it is. A group is one of a service, whatever
// the entries of others say. Entries that contradict each other on who is in a group are resolved
// by what the servers say of who they are: [Tracker.Unidentified] returns whom to ask, and
// [Tracker.Identify] takes the answer. An instance whose server is another one names no server.
//
// A group is available when all of its members report that they belong to it in
// the same epoch and its head reports that it is serving. The loss of one member
// makes it unavailable. Requests go to the head alone, so that a group can't be sent any
// from here while its head can't be reached; another member that only this entry instance
// does not reach makes no difference.
package tracker

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

const (
	// maxListGap is the longest time between two lists after which an entry that
	// is missing from the new list counts as removed. After a longer gap, entries
	// may be missing only because they expired in the meantime.
	maxListGap = 2500 * time.Millisecond
	// relistTimeout is how long it may take until expired entries are listed again:
	// two seconds on the platform plus one poll of the list.
	relistTimeout = 2500 * time.Millisecond
	// restoredListTTL is how long after the start of an era of the platform's table
	// entries may still come from an older copy: three heartbeats of a server that
	// has gone, and the list's lag.
	restoredListTTL = 8 * time.Second
	// departureTTL is how long an instance that was removed from the list is
	// remembered. It exceeds the age of an older copy.
	departureTTL = time.Minute
)

// ModelOf returns the model in a group's name.
func ModelOf(group string) string {
	model, _, _ := strings.Cut(group, groupNameSeparator)
	return model
}

// groupNameSeparator separates the model from the tag in a group's name.
const groupNameSeparator = "~"

// GroupName returns the name of the model's group with the given tag.
func GroupName(model, tag string) string { return model + groupNameSeparator + tag }

// Group is a replica group as reported by its members.
type Group struct {
	Name    string
	Epoch   uint64
	Model   string
	Service string
	// Members are sorted by rank; the head is first.
	Members []provider.Instance
}

// Head returns the member that receives the group's requests.
func (g Group) Head() provider.Instance { return g.Members[0] }

// Spread reports whether the members span several fabric domains.
func (g Group) Spread() bool {
	for _, in := range g.Members {
		if in.FabricDomain != g.Members[0].FabricDomain {
			return true
		}
	}
	return false
}

// Tracker holds one process's view of the instances and groups. It does no I/O
// and is not safe for concurrent use.
type Tracker struct {
	// instances holds what is listed, by ID, and named the part of it that names servers.
	// They are the same map if that is all.
	instances, named map[string]provider.Instance
	losses           map[string]loss
	// leaving holds the instances that have said themselves that they leave.
	leaving map[string]statedLeaving
	// updatedAt is the time at which the last list was requested.
	updatedAt time.Time
	// trustRemovalsAt is the time from which a missing entry counts as removed.
	trustRemovalsAt time.Time
	// era is the era of the platform's table, and eraSince when a list of it was
	// first requested.
	era      uint64
	eraSince time.Time
	// restoredUntil is the time until which listed entries may come from an older
	// copy of the table.
	restoredUntil time.Time
	// departures holds the instances that were removed from the list, by ID.
	departures map[string]departure

	// services holds the number of members per group of each configured service, by model. It
	// is nil as long as no configuration is known.
	services map[string]map[string]int
	groups   map[GroupKey]Group
	// rosters holds who the members of each group are, and gaps what the groups lack whose heads
	// serve.
	rosters map[GroupKey]Roster
	gaps    map[GroupKey]Gap
	// identities holds what servers have said of who they are, by ID. contested holds the
	// instances whose entries name servers only if these confirm it, and disputed those that
	// claim the rank of another one.
	identities          map[string]identification
	contested, disputed []provider.Instance
	// groupsByModel holds the groups of each service and model whose head can be reached
	// from here, sorted by name, and remoteGroups those whose head can't.
	groupsByModel, remoteGroups map[serviceModel][]Group
	// individuals holds the instances that are neither lost for all nor leaving, by
	// service, and servers those of them that can be reached from here.
	individuals, servers map[string][]provider.Instance
	path                 *Path
	// evacuated holds the data centres whose servers get no requests. It is not changed.
	evacuated map[string]bool
}

// GroupKey identifies a group: another service may have one of the same name.
type GroupKey struct{ Service, Name string }

// Key returns the group's key.
func (g Group) Key() GroupKey { return GroupKey{g.Service, g.Name} }

// serviceModel is a service and one of its models.
type serviceModel struct{ service, model string }

// statedLeaving is an instance's own statement that it leaves. It is stronger than any
// list, until the instance runs in another incarnation.
type statedLeaving struct {
	incarnation string
	at          time.Time
}

// departure is an incarnation of an instance that was removed from the list.
type departure struct {
	incarnation string
	at          time.Time
}

// New returns an empty tracker.
func New() *Tracker {
	return &Tracker{
		instances:  make(map[string]provider.Instance),
		losses:     make(map[string]loss),
		leaving:    make(map[string]statedLeaving),
		departures: make(map[string]departure),
		identities: make(map[string]identification),
		path:       NewPath(),
	}
}

// UpdatedAt returns the time at which the last list was requested.
func (t *Tracker) UpdatedAt() time.Time { return t.updatedAt }

// Era returns the era of the platform's table.
func (t *Tracker) Era() uint64 { return t.era }

// Relisted reports whether the list was requested so long after the start of an era
// that instances which live and reach the table have written their entries again.
func (t *Tracker) Relisted() bool { return !t.updatedAt.Before(t.eraSince.Add(relistTimeout)) }

// SetServices sets the configured services, each with the number of members per group, by
// model. Entries of other services name no server. What is listed already counts from then on
// without being listed again. Until the first call all services count, and no model has groups.
func (t *Tracker) SetServices(services map[string]map[string]int) {
	t.services = services
	t.selectNamed()
}

// Update replaces the instances by the platform's list, which was requested at
// the given time in an era of the platform's table. After a gap of more than
// maxListGap, and in a new era, missing instances are kept for relistTimeout. In a
// new era entries may come from an older copy of the table; those of which newer
// ones are known are ignored.
func (t *Tracker) Update(at time.Time, era uint64, list []provider.Instance) {
	if !t.updatedAt.IsZero() && at.Sub(t.updatedAt) > maxListGap {
		t.trustRemovalsAt = at.Add(relistTimeout)
	}
	if t.updatedAt.IsZero() || era > t.era {
		if !t.updatedAt.IsZero() {
			t.trustRemovalsAt = at.Add(relistTimeout)
			t.restoredUntil = at.Add(restoredListTTL)
		}
		t.era, t.eraSince = era, at
	}
	t.updatedAt = at
	next := make(map[string]provider.Instance, len(list))
	for _, in := range list {
		if current, listed := t.newest(at, in); listed {
			next[in.ID] = current
		}
	}
	for id, in := range t.instances {
		if _, listed := next[id]; listed {
			continue
		}
		if at.Before(t.trustRemovalsAt) {
			next[id] = in
		} else {
			t.departures[id] = departure{incarnation: in.Incarnation, at: at}
		}
	}
	t.instances = next
	t.pruneDepartures(at)
	t.pruneLosses(at)
	t.applyLeaving(at)
	t.selectNamed()
}

// Confirm records that the last list was still current at a later time in an era of the
// platform's table, which costs less than to apply it again. It reports false, and does
// nothing, while what an unchanged list means depends on the time; the list must then be
// applied.
func (t *Tracker) Confirm(at time.Time, era uint64) bool {
	if t.updatedAt.IsZero() || era != t.era || at.Sub(t.updatedAt) > maxListGap || t.updatedAt.Before(t.trustRemovalsAt) || !t.updatedAt.After(t.restoredUntil) {
		return false
	}
	t.updatedAt = at
	losses := len(t.losses)
	t.pruneDepartures(at)
	t.pruneLosses(at)
	t.applyLeaving(at)
	if len(t.losses) != losses {
		t.rebuild()
	}
	return true
}

// applyLeaving marks the instances that have said that they leave, and forgets the
// statements of instances that have been gone for long or run in a new incarnation.
func (t *Tracker) applyLeaving(now time.Time) {
	for id, stated := range t.leaving {
		in, known := t.instances[id]
		switch {
		case known && in.Incarnation == stated.incarnation:
			in.Leaving = true
			t.instances[id] = in
		case known || now.Sub(stated.at) > departureTTL:
			delete(t.leaving, id)
		}
	}
}

// MarkLeaving records that an incarnation of an instance has said that it leaves. It
// reports whether that is news. A statement of another incarnation than the listed one
// is ignored if that one started later.
func (t *Tracker) MarkLeaving(now time.Time, id, incarnation string) bool {
	in, known := t.instances[id]
	if known && in.Incarnation != incarnation && !startedLater(incarnation, in.Incarnation) {
		return false
	}
	if stated, found := t.leaving[id]; found && stated.incarnation == incarnation {
		return false
	}
	t.leaving[id] = statedLeaving{incarnation: incarnation, at: now}
	if known && in.Incarnation == incarnation {
		in.Leaving = true
		t.instances[id] = in
		t.selectNamed()
	}
	return true
}

// newest returns the listed instance, or the known one if the listed entry may come
// from an older copy of the table. It reports false for an instance that has been
// removed from the list since that copy was made.
func (t *Tracker) newest(at time.Time, listed provider.Instance) (provider.Instance, bool) {
	if at.After(t.restoredUntil) {
		return listed, true
	}
	if gone, found := t.departures[listed.ID]; found && !startedLater(listed.Incarnation, gone.incarnation) {
		return provider.Instance{}, false
	}
	known, found := t.instances[listed.ID]
	switch {
	case !found:
		return listed, true
	case known.Incarnation == listed.Incarnation:
		uncounted := known.Sequence == 0 && listed.Sequence == 0
		if listed.Sequence > known.Sequence || uncounted && !known.Leaving {
			return listed, true
		}
		return known, true
	case startedLater(listed.Incarnation, known.Incarnation):
		return listed, true
	}
	return known, true
}

// KnownLater reports whether an incarnation of an instance is known to be later than another
// one: both are numbers.
func KnownLater(incarnation, other string) bool {
	a, errA := strconv.ParseInt(incarnation, 10, 64)
	b, errB := strconv.ParseInt(other, 10, 64)
	return errA == nil && errB == nil && a > b
}

// startedLater reports whether an incarnation of an instance is later than another
// one. Incarnations are compared as numbers; those that are none have no order and
// count as later if they differ.
func startedLater(incarnation, other string) bool {
	a, errA := strconv.ParseInt(incarnation, 10, 64)
	b, errB := strconv.ParseInt(other, 10, 64)
	if errA != nil || errB != nil {
		return incarnation != other
	}
	return a > b
}

// pruneDepartures forgets instances that departed long ago or are listed again.
func (t *Tracker) pruneDepartures(now time.Time) {
	for id, gone := range t.departures {
		if _, listed := t.instances[id]; listed || now.Sub(gone.at) > departureTTL {
			delete(t.departures, id)
		}
	}
}

// Instance returns the known instance with the ID.
func (t *Tracker) Instance(id string) (provider.Instance, bool) {
	in, found := t.named[id]
	return in, found
}

// Instances returns all known instances, sorted by ID.
func (t *Tracker) Instances() []provider.Instance { return sortByID(t.named) }

// Listed returns all entries, sorted by ID, also those that name no server as long as their
// service is not configured.
func (t *Tracker) Listed() []provider.Instance { return sortByID(t.instances) }

func sortByID(byID map[string]provider.Instance) []provider.Instance {
	all := make([]provider.Instance, 0, len(byID))
	for _, id := range slices.Sorted(maps.Keys(byID)) {
		all = append(all, byID[id])
	}
	return all
}

// Servers returns the instances of a service that can take requests individually rather
// than as a group, can be reached from here and are in no evacuated data centre. The caller must not change them.
func (t *Tracker) Servers(service string) []provider.Instance { return t.servers[service] }

// Groups returns the available groups of a service and model that can be reached from here
// and whose heads are in no evacuated data centre, sorted by name. The caller must not change them.
func (t *Tracker) Groups(service, model string) []Group {
	return t.groupsByModel[serviceModel{service, model}]
}

// Heads returns the heads of all groups that are available, whether or not they can be
// reached from here or are in an evacuated data centre.
func (t *Tracker) Heads() []provider.Instance {
	var heads []provider.Instance
	for _, key := range sortKeys(t.groups) {
		heads = append(heads, t.groups[key].Head())
	}
	return heads
}

// Individuals returns the instances of a service that can take requests individually,
// whether or not they can be reached from here or are in an evacuated data centre. The caller must not change them.
func (t *Tracker) Individuals(service string) []provider.Instance { return t.individuals[service] }

// GroupAvailable reports whether a group can still take requests from here, in the same
// epoch and with the same member incarnations.
func (t *Tracker) GroupAvailable(g Group) bool {
	current, found := t.groups[g.Key()]
	return found && current.Epoch == g.Epoch && slices.EqualFunc(current.Members, g.Members, sameIncarnation) && t.usable(current.Head())
}

// InstanceAvailable reports whether an individual instance can still take
// requests from here, in the same incarnation.
func (t *Tracker) InstanceAvailable(in provider.Instance) bool {
	current, found := t.named[in.ID]
	return found && sameIncarnation(current, in) && !current.Leaving && t.usable(current)
}

// sameIncarnation reports whether a and b are the same run of one instance.
func sameIncarnation(a, b provider.Instance) bool {
	return a.ID == b.ID && a.Incarnation == b.Incarnation
}

// rebuild recomputes the available groups and servers from the instances.
func (t *Tracker) rebuild() {
	previous := t.rosters
	t.groups = make(map[GroupKey]Group)
	t.gaps = make(map[GroupKey]Gap)
	t.rosters = make(map[GroupKey]Roster)
	t.individuals = make(map[string][]provider.Instance)
	t.disputed = nil
	members := make(map[GroupKey][]provider.Instance)
	for _, in := range t.Instances() {
		if !in.Leaving && !t.LostForAll(in.ID) {
			t.individuals[in.Service] = append(t.individuals[in.Service], in)
		}
		if m := in.Membership; m.Group != "" && m.State != provider.Unattached {
			key := GroupKey{in.Service, m.Group}
			members[key] = append(members[key], in)
		}
	}
	for key, claims := range members {
		r := t.newRoster(key, claims, previous[key])
		t.rosters[key] = r
		head := r.Members[0]
		if head.Membership.State != provider.Serving || head.Leaving || t.LostForAll(head.ID) {
			continue
		}
		if gap := t.findGap(r); gap != NoGap {
			t.gaps[key] = gap
			continue
		}
		t.groups[key] = Group{Name: key.Name, Epoch: r.Epoch, Model: ModelOf(key.Name), Service: key.Service, Members: r.Members}
	}
	t.selectReachable()
}

// sortKeys returns the keys sorted by the names of the groups.
func sortKeys[V any](groups map[GroupKey]V) []GroupKey {
	return slices.SortedFunc(maps.Keys(groups), func(a, b GroupKey) int {
		return cmp.Or(strings.Compare(a.Name, b.Name), strings.Compare(a.Service, b.Service))
	})
}

// findGap returns what a group lacks so that it can take requests.
func (t *Tracker) findGap(r Roster) Gap {
	if r.Gap != NoGap {
		return r.Gap
	}
	for rank, in := range r.Members {
		switch {
		case t.LostForAll(in.ID):
			return MemberMissing
		case rank > 0 && in.Membership.State != provider.MemberReady:
			return MemberNotReady
		}
	}
	return NoGap
}
