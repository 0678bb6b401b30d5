// Package scheduler decides which instances form which replica groups and what to
// order them. It wants every instance to work: groups are formed inside one
// fabric domain, of the model that lacks capacity most, rather from instances
// that already hold its weights. It keeps no group that misses a member.
//
// # Usage
//
//	f := scheduler.New(epochBase)
//	for _, order := range f.Step(now, view) { send(order) }
//	f.HandleOutcome(now, order, scheduler.Accepted)
//
// The instances' own reports are the only record: a former that takes over
// adopts the groups that it finds whole, and dissolves the others. Orders are
// sent again until the reports show their effect.
package scheduler

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
	"github.com/waxwingmount/waxwingmount/pkg/tracker"
)

const (
	// resendInterval is how long an order may show no effect before it is sent
	// again: the reports' lag and a look at the list, twice.
	resendInterval = 900 * time.Millisecond
	// leaveReportDelay is how long reports may still show a group that was left: the
	// reports' lag and two looks at the list.
	leaveReportDelay = 1200 * time.Millisecond
	// drainTimeout is how long a closing group may take to end its requests;
	// after it the members leave all the same.
	drainTimeout = 6 * time.Second
	// joinTimeoutMargin is added to the time that a join may take.
	joinTimeoutMargin = 8 * time.Second
	// extraLoads is how many loads more than run at full speed may be under
	// way, so that the next begin as soon as the reports show an end.
	extraLoads = 1
)

// View is what a Former looks at.
type View struct {
	Tracker *tracker.Tracker
	Engine  *mapper.Engine
	// Service is the service whose instances are formed to groups.
	Service string
	// Demand is the part of the work of each model, by name; the sum is one.
	Demand map[string]float64
	// Idle says that the system has had no request yet, so that loads are
	// cheap and do not count against the rate.
	Idle bool
}

// group is one replica group as this former wants it.
type group struct {
	name    string
	epoch   uint64
	model   mapper.Model
	members []provider.Instance
	createdAt    time.Time
	opened  bool
	// drainingSince is when the group was told to end its work.
	drainingSince time.Time
	// brokenSince is when a member was first missed.
	brokenSince time.Time
}

// Scheduler is the state of one holder of control. It does no I/O and is not safe
// for concurrent use.
type Scheduler struct {
	epochBase   uint64
	epochsUsed   uint64
	groups map[string]*group
	// departures is the group that an instance has departures, though its reports may lag.
	departures map[string]departure
	// lastSent holds when an order was last lastSent.
	lastSent map[orderKey]time.Time
	// lastModels is the model that an instance held lastModels, as seen by this former.
	lastModels  map[string]lastModel
	loadTokens tokenBucket
	// readyCounts counts the instances with weights that no group was made of.
	readyCounts map[string]int
	// loading holds the instances on their way to weights.
	loading map[string]weightLoad
}

// lastModel is the model of the last group that one run of an instance was in.
type lastModel struct {
	incarnation string
	name        string
}

// model returns the model if the instance still runs.
func (l lastModel) model(in provider.Instance) string {
	if l.incarnation != in.Incarnation {
		return ""
	}
	return l.name
}

type orderKey struct {
	kind     OrderKind
	instance string
	group    string
}

// New returns a former whose epochs are above base.
func New(base uint64) *Scheduler {
	return &Scheduler{
		epochBase:    base,
		groups:  make(map[string]*group),
		departures:    make(map[string]departure),
		lastSent:    make(map[orderKey]time.Time),
		lastModels:    make(map[string]lastModel),
		loading: make(map[string]weightLoad),
	}
}

// Step returns the orders to send now.
func (f *Scheduler) Step(now time.Time, v View) []Order {
	if v.Engine == nil {
		return nil
	}
	f.adoptGroups(now, v)
	var orders []Order
	for _, name := range slices.Sorted(maps.Keys(f.groups)) {
		orders = append(orders, f.stepGroup(now, v, f.groups[name])...)
	}
	orders = append(orders, f.formGroups(now, v)...)
	f.prune(now, v)
	return orders
}

// adoptGroups takes over the groups that the instances report and nobody here formed.
// Those that miss members are taken over as broken.
func (f *Scheduler) adoptGroups(now time.Time, v View) {
	found := make(map[string][]provider.Instance)
	for _, in := range v.Tracker.Instances() {
		m := in.Membership
		if in.Service != v.Service || m.Group == "" || m.State == provider.Unattached || f.groups[m.Group] != nil || f.recentlyLeft(now, in.ID, m.Group) || f.loadingOrUnopened(in) {
			continue
		}
		found[m.Group] = append(found[m.Group], in)
	}
	for name, members := range found {
		model, known := v.Engine.Model(tracker.ModelOf(name))
		whole := sortByRank(members) && known && len(members) == model.Size
		g := &group{name: name, epoch: members[0].Membership.Epoch, model: model, members: members, createdAt: now}
		if !whole {
			g.brokenSince = now
		}
		f.groups[name] = g
	}
}

// loadingOrUnopened reports whether an instance is in a group that it only loads weights
// in, or whose head has not opened it.
func (f *Scheduler) loadingOrUnopened(in provider.Instance) bool {
	m := in.Membership
	l, loading := f.loading[in.ID]
	return loading && l.group == m.Group ||
		m.Rank == 0 && (m.State == provider.Joining || m.State == provider.MemberReady)
}

// sortByRank sorts members by rank and reports whether all ranks of one epoch are there.
func sortByRank(members []provider.Instance) bool {
	slices.SortFunc(members, func(a, b provider.Instance) int { return a.Membership.Rank - b.Membership.Rank })
	for rank, in := range members {
		if in.Membership.Rank != rank || in.Membership.Epoch != members[0].Membership.Epoch {
			return false
		}
	}
	return true
}

// stepGroup looks after one group.
func (f *Scheduler) stepGroup(now time.Time, v View, g *group) []Order {
	head, _ := f.currentInstance(v, g.members[0])
	switch {
	case f.isBroken(v, g):
		if g.brokenSince.IsZero() {
			g.brokenSince = now
		}
		return f.dissolve(now, v, g)
	case !g.drainingSince.IsZero() || f.hasLeavingMember(v, g):
		return f.drain(now, v, g, head)
	}
	if head.Membership.State == provider.Serving && f.hasRank(head, g, 0) {
		g.opened = true
		return nil
	}
	ready := true
	var orders []Order
	for rank, member := range g.members {
		in, _ := f.currentInstance(v, member)
		if f.hasRank(in, g, rank) && (in.Membership.State == provider.MemberReady || in.Membership.State == provider.Serving) {
			continue
		}
		ready = false
		if !f.hasRank(in, g, rank) {
			orders = append(orders, f.throttle(now, f.newOrder(Join, in, g))...)
		}
	}
	if ready {
		return f.throttle(now, f.newOrder(Open, head, g))
	}
	if now.Sub(g.createdAt) > g.model.Load*2+joinTimeoutMargin {
		g.brokenSince = now
		return f.dissolve(now, v, g)
	}
	return orders
}

// hasRank hasRank whether an instance says that it has this rank in the group.
func (f *Scheduler) hasRank(in provider.Instance, g *group, rank int) bool {
	return f.inGroup(in, g) && in.Membership.Rank == rank
}

// inGroup reports whether an instance says that it is in the group.
func (f *Scheduler) inGroup(in provider.Instance, g *group) bool {
	m := in.Membership
	return m.Group == g.name && m.Epoch == g.epoch && m.State != provider.Unattached
}

// currentInstance returns an instance as it is listed now, if it is the same run and
// not held for lost.
func (f *Scheduler) currentInstance(v View, member provider.Instance) (provider.Instance, bool) {
	in, listed := v.Tracker.Instance(member.ID)
	if !listed || in.Incarnation != member.Incarnation || v.Tracker.IsLost(member.ID) {
		return member, false
	}
	return in, true
}

// isBroken reports whether a member is missing, or the head has given up.
func (f *Scheduler) isBroken(v View, g *group) bool {
	if !g.brokenSince.IsZero() {
		return true
	}
	for rank, member := range g.members {
		in, there := f.currentInstance(v, member)
		if !there || rank == 0 && f.hasRank(in, g, 0) && in.Membership.State == provider.Broken {
			return true
		}
		if g.opened && !f.hasRank(in, g, rank) {
			return true
		}
	}
	return false
}

func (f *Scheduler) hasLeavingMember(v View, g *group) bool {
	for _, member := range g.members {
		if in, there := f.currentInstance(v, member); there && in.Leaving {
			return true
		}
	}
	return false
}

// drain ends a group whose member is about to go: first its work, then itself.
func (f *Scheduler) drain(now time.Time, v View, g *group, head provider.Instance) []Order {
	if g.drainingSince.IsZero() {
		g.drainingSince = now
	}
	state := head.Membership.State
	if now.Sub(g.drainingSince) > drainTimeout || state != provider.Serving && state != provider.Closing {
		g.brokenSince = now
		return f.dissolve(now, v, g)
	}
	if state == provider.Serving {
		return f.throttle(now, f.newOrder(Close, head, g))
	}
	return nil
}

// dissolve tells every member that can be reached to leave the group. A member
// is free once it has left: a head that lacks it stands still until its engine
// gives the group up, and needs not be reached for that.
func (f *Scheduler) dissolve(now time.Time, v View, g *group) []Order {
	var orders []Order
	waiting := false
	for _, member := range g.members {
		in, there := f.currentInstance(v, member)
		f.lastModels[member.ID] = lastModel{member.Incarnation, g.model.Name}
		if !there || f.recentlyLeft(now, member.ID, g.name) || !f.inGroup(in, g) {
			continue
		}
		waiting = true
		orders = append(orders, f.throttle(now, f.newOrder(Leave, in, g))...)
	}
	if !waiting {
		delete(f.groups, g.name)
	}
	return orders
}

// HandleOutcome takes in what became of an order. A group that an instance refuses
// to join is given up; the next has a higher epoch.
func (f *Scheduler) HandleOutcome(now time.Time, o Order, outcome Outcome) {
	switch {
	case o.Kind == Leave && outcome == Accepted:
		f.departures[o.Instance.ID] = departure{group: o.Group, at: now}
	case o.Kind == Join && outcome == Refused:
		if g := f.groups[o.Group]; g != nil && g.brokenSince.IsZero() {
			g.brokenSince = now
		}
		if l := f.loading[o.Instance.ID]; l.group == o.Group {
			delete(f.loading, o.Instance.ID)
		}
	}
}

// Epoch returns the last epoch that was used.
func (f *Scheduler) Epoch() uint64 { return f.epochBase + f.epochsUsed }

// departure is an accepted order to leave a group.
type departure struct {
	group string
	at    time.Time
}

// recentlyLeft reports whether an instance has just left a group. One that reports
// the group for longer is in it again, by an order that was carried out late.
func (f *Scheduler) recentlyLeft(now time.Time, id, group string) bool {
	d := f.departures[id]
	return d.group == group && now.Sub(d.at) < leaveReportDelay
}

// newOrder builds an newOrder for one member of a group.
func (f *Scheduler) newOrder(kind OrderKind, in provider.Instance, g *group) Order {
	o := Order{Kind: kind, Instance: in, Group: g.name, Epoch: g.epoch}
	if kind == Join {
		o.Model = g.model.Name
		for _, member := range g.members {
			o.Members = append(o.Members, member.ID)
		}
	}
	return o
}

// throttle returns the order unless it was sent a short while ago.
func (f *Scheduler) throttle(now time.Time, o Order) []Order {
	key := orderKey{o.Kind, o.Instance.ID, o.Group}
	if at, found := f.lastSent[key]; found && now.Sub(at) < resendInterval {
		return nil
	}
	f.lastSent[key] = now
	return []Order{o}
}

// prune drops what is known of instances that are gone and of old orders.
func (f *Scheduler) prune(now time.Time, v View) {
	for key, at := range f.lastSent {
		if now.Sub(at) > drainTimeout {
			delete(f.lastSent, key)
		}
	}
	for id := range f.lastModels {
		if _, listed := v.Tracker.Instance(id); !listed {
			delete(f.lastModels, id)
			delete(f.departures, id)
		}
	}
}

func (f *Scheduler) nextGroupName(model string) (string, uint64) {
	f.epochsUsed++
	epoch := f.epochBase + f.epochsUsed
	return tracker.GroupName(model, strconv.FormatUint(epoch, 10)), epoch
}
