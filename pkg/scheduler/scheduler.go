// Package scheduler assigns instances to replica groups and issues the orders
// that form and dissolve the groups. It aims to use every instance: it forms
// groups within one fabric domain where it can, for the model with the largest
// capacity deficit, and prefers instances that already hold the model's
// weights. It dissolves every group that has lost a member. On request it ends groups of
// one model and lends their instances to another.
// Instances in evacuated data centres are no capacity: they join no new group and
// load nothing, while open groups there stay open, so that they can serve at once
// when the evacuation ends.
//
// # Usage
//
//	s := scheduler.New(epochBase)
//	for _, order := range s.Step(now, view) {
//		order, readiness := s.Prepare(now, order)
//		if readiness != scheduler.Sendable {
//			s.HandleReport(now, order.Instance.ID, read(order.Instance))
//			order, readiness = s.Prepare(now, order)
//		}
//		outcome := scheduler.Withheld
//		if readiness != scheduler.NeedsReport {
//			outcome = send(order)
//		}
//		s.HandleOutcome(now, order, outcome)
//	}
//
// No state is stored; the instances' own reports are the only record. After a
// failover the new scheduler adopts the complete groups that it finds and
// dissolves the incomplete ones. Orders are resent until the reports show
// their effect.
package scheduler

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/apportioner"
	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
	"github.com/waxwingmount/waxwingmount/pkg/tracker"
)

const (
	// resendInterval is the time after which an order without visible effect is
	// resent: twice the sum of the report lag and one poll of the instance list.
	resendInterval = 900 * time.Millisecond
	// leaveReportDelay is how long reports may still show a group after the
	// instance left it: the report lag plus two polls of the instance list.
	leaveReportDelay = 1200 * time.Millisecond
	// drainTimeout is how long a closing group may take to finish its requests;
	// after that the members leave regardless.
	drainTimeout = 6 * time.Second
	// lendingDrainTimeout replaces it for a group that ends for another model. Nothing forces its
	// members to leave, and their streams would break: the users' streams take up to 8 s, and
	// requests arrive for 2 s after the close, until all entry instances have seen it.
	lendingDrainTimeout = 10 * time.Second
	// joinTimeoutMargin is added to twice the load time to get the join timeout.
	joinTimeoutMargin = 8 * time.Second
	// extraLoads is how many concurrent loads are allowed beyond the number that
	// run at full speed, so that no slot is idle until a report shows that a
	// load has finished.
	extraLoads = 1
)

// View is the input of [Scheduler.Step].
type View struct {
	Tracker *tracker.Tracker
	Engine  *mapper.Engine
	// Service is the service whose instances are scheduled.
	Service string
	// Demand is each model's share of the work, by model name; the shares add up to
	// one.
	Demand map[string]float64
	// Wanted is the number of instances of each model, by model name. If it is nil,
	// Demand divides the instances.
	Wanted map[string]int
	// Moves are the moves of loaded instances between models that pay.
	Moves []apportioner.Move
	// Idle reports whether the system has not received a request yet. Loads are
	// then fast and exempt from the limits on rate and concurrency.
	Idle bool
}

// group is the desired state of one replica group.
type group struct {
	name      string
	epoch     uint64
	model     mapper.Model
	members   []provider.Instance
	createdAt time.Time
	opened    bool
	// drainingSince is when the group began to drain, or zero.
	drainingSince time.Time
	// lentTo is the model that the members load once the group has drained, or "".
	lentTo string
	// loaned says that the members have been marked in Scheduler.lent. That happens once, since
	// some may have loaded the model before the last one has left.
	loaned bool
	// brokenSince is when the group was first found to be broken, or zero.
	brokenSince time.Time
	// evacuated reports whether the head is in an evacuated data centre, so that the group
	// takes no requests; inEvacuated, whether any member is.
	evacuated, inEvacuated bool
}

// Scheduler holds the scheduling state of one holder of the control lease. It
// does no I/O and is not safe for concurrent use.
type Scheduler struct {
	epochBase  uint64
	epochsUsed uint64
	groups     map[string]*group
	// departures holds the group that each instance left last, by instance ID;
	// the instance's reports may still show that group.
	departures map[string]departure
	// lastSent holds when each order was last sent.
	lastSent map[orderKey]time.Time
	// lastModels holds the model of the last group of each instance that this
	// scheduler dissolved, by instance ID.
	lastModels map[string]lastModel
	loadTokens tokenBucket
	// readyCounts counts the instances that hold a model's weights but are in no
	// group, by model.
	readyCounts map[string]int
	// loading holds the weight loads in progress, by instance ID.
	loading map[string]weightLoad
	// loadGroups holds the name of the single-member group of each instance's last
	// load, by instance ID.
	loadGroups map[string]string
	// lent holds the model that each instance is to load in place of its last one,
	// by instance ID.
	lent map[string]loan
	// positions holds the known position of each instance in its sequence of orders, by
	// instance ID.
	positions map[string]*position
}

// lastModel is the model of the last group that one incarnation of an instance
// was in.
type lastModel struct {
	incarnation string
	name        string
}

// model returns the model's name, or "" if the instance has restarted since.
func (l lastModel) model(in provider.Instance) string {
	if l.incarnation != in.Incarnation {
		return ""
	}
	return l.name
}

// orderKey identifies an order, so that repeats can be throttled.
type orderKey struct {
	kind     OrderKind
	instance string
	group    string
}

func (o Order) key() orderKey { return orderKey{o.Kind, o.Instance.ID, o.Group} }

// New returns a scheduler whose epochs are greater than base.
func New(base uint64) *Scheduler {
	return &Scheduler{
		epochBase:  base,
		groups:     make(map[string]*group),
		departures: make(map[string]departure),
		lastSent:   make(map[orderKey]time.Time),
		lastModels: make(map[string]lastModel),
		loading:    make(map[string]weightLoad),
		loadGroups: make(map[string]string),
		lent:       make(map[string]loan),
		positions:  make(map[string]*position),
	}
}

// Step updates the desired groups from the view and returns the orders to send
// now.
func (s *Scheduler) Step(now time.Time, v View) []Order {
	if v.Engine == nil {
		return nil
	}
	s.adoptGroups(now, v)
	var orders []Order
	for _, name := range slices.Sorted(maps.Keys(s.groups)) {
		orders = append(orders, s.stepGroup(now, v, s.groups[name])...)
	}
	orders = append(orders, s.formGroups(now, v)...)
	s.prune(now, v)
	return orders
}

// adoptGroups adds the groups that instances report but that this scheduler did
// not form, such as those of a previous lease holder. Incomplete groups are
// added as broken. A group with a disputed rank waits until it is known who its members are.
func (s *Scheduler) adoptGroups(now time.Time, v View) {
	for _, r := range v.Tracker.Rosters(v.Service) {
		if r.Disputed || s.groups[r.Name] != nil {
			continue
		}
		members := slices.DeleteFunc(slices.Clone(r.Members), func(in provider.Instance) bool {
			return s.recentlyLeft(now, in.ID, r.Name) || s.loadsAlone(in)
		})
		if len(members) == 0 {
			continue
		}
		model, known := v.Engine.Model(tracker.ModelOf(r.Name))
		g := &group{name: r.Name, epoch: r.Epoch, model: model, members: members, createdAt: now}
		if !known || r.Gap != tracker.NoGap || len(members) != model.Size {
			g.brokenSince = now
		}
		s.groups[r.Name] = g
	}
}

// loadsAlone reports whether an instance is in a single-member group that is
// never opened, because it loads weights or has loaded them. A ready head of any
// other group may have received an Open order that takes effect later, so it
// must leave that group before it joins another.
func (s *Scheduler) loadsAlone(in provider.Instance) bool { return s.isAlone(in.ID, in.Membership) }

// isAlone is loadsAlone for a membership that is known from a report or an answer.
func (s *Scheduler) isAlone(id string, m provider.Membership) bool {
	return s.loadGroups[id] == m.Group || m.Rank == 0 && m.State == provider.Joining
}

// stepGroup advances one group towards its desired state: it dissolves a broken
// group, drains one that is closing, and joins and opens a new one. An evacuation does not
// end an open group. It ends a new one that would wait for a member there to join.
func (s *Scheduler) stepGroup(now time.Time, v View, g *group) []Order {
	head, _ := s.currentInstance(v, g.members[0])
	g.evacuated, g.inEvacuated = v.Tracker.Evacuated(head), slices.ContainsFunc(g.members, v.Tracker.Evacuated)
	switch {
	case s.isBroken(v, g):
		if g.brokenSince.IsZero() {
			g.brokenSince = now
		}
		return s.dissolve(now, v, g)
	case !g.drainingSince.IsZero() || s.hasLeavingMember(v, g):
		return s.drain(now, v, g, head)
	}
	if head.Membership.State == provider.Serving && s.hasRank(head, g, 0) {
		g.opened = true
		return nil
	}
	ready := true
	var orders []Order
	for rank, member := range g.members {
		in, _ := s.currentInstance(v, member)
		if s.hasRank(in, g, rank) && (in.Membership.State == provider.MemberReady || in.Membership.State == provider.Serving) {
			continue
		}
		ready = false
		if !s.hasRank(in, g, rank) && v.Tracker.Evacuated(in) {
			g.brokenSince = now
			return s.dissolve(now, v, g)
		}
		if !s.hasRank(in, g, rank) {
			orders = append(orders, s.throttle(now, s.newOrder(Join, in, g))...)
		}
	}
	if ready {
		return s.throttle(now, s.newOrder(Open, head, g))
	}
	if now.Sub(g.createdAt) > g.model.Load*2+joinTimeoutMargin {
		g.brokenSince = now
		return s.dissolve(now, v, g)
	}
	return orders
}

// hasRank reports whether an instance reports that it has the rank in the group.
func (s *Scheduler) hasRank(in provider.Instance, g *group, rank int) bool {
	return s.inGroup(in, g) && in.Membership.Rank == rank
}

// inGroup reports whether an instance reports that it is in the group.
func (s *Scheduler) inGroup(in provider.Instance, g *group) bool {
	m := in.Membership
	return m.Group == g.name && m.Epoch == g.epoch && m.State != provider.Unattached
}

// currentInstance returns the listed state of a member and true. If the member
// is not listed, has restarted or is considered lost, it returns the state at
// the group's creation and false.
func (s *Scheduler) currentInstance(v View, member provider.Instance) (provider.Instance, bool) {
	in, listed := v.Tracker.Instance(member.ID)
	if !listed || in.Incarnation != member.Incarnation || v.Tracker.LostForAll(member.ID) {
		return member, false
	}
	return in, true
}

// isBroken reports whether a member is missing, the head reports the group as
// broken, or a member of an open group no longer reports its rank.
func (s *Scheduler) isBroken(v View, g *group) bool {
	if !g.brokenSince.IsZero() {
		return true
	}
	for rank, member := range g.members {
		in, present := s.currentInstance(v, member)
		if !present || rank == 0 && s.hasRank(in, g, 0) && in.Membership.State == provider.Broken {
			return true
		}
		if g.opened && !s.hasRank(in, g, rank) {
			return true
		}
	}
	return false
}

// hasLeavingMember reports whether a member of the group is about to stop.
func (s *Scheduler) hasLeavingMember(v View, g *group) bool {
	for _, member := range g.members {
		if in, present := s.currentInstance(v, member); present && in.Leaving {
			return true
		}
	}
	return false
}

// drain closes a group so that its head finishes the running requests, and
// dissolves it when the head has finished or the timeout has passed.
func (s *Scheduler) drain(now time.Time, v View, g *group, head provider.Instance) []Order {
	if g.drainingSince.IsZero() {
		g.drainingSince = now
	}
	timeout := drainTimeout
	if g.lentTo != "" && !s.hasLeavingMember(v, g) {
		timeout = lendingDrainTimeout
	}
	state := head.Membership.State
	if now.Sub(g.drainingSince) > timeout || state != provider.Serving && state != provider.Closing {
		g.brokenSince = now
		return s.dissolve(now, v, g)
	}
	if state == provider.Serving {
		return s.throttle(now, s.newOrder(Close, head, g))
	}
	return nil
}

// dissolve orders every reachable member to leave the group. A member can
// join another group once it has left, even if the head is unreachable: a head
// without that member makes no progress until its engine gives up the group.
func (s *Scheduler) dissolve(now time.Time, v View, g *group) []Order {
	var orders []Order
	waiting := false
	for _, member := range g.members {
		in, present := s.currentInstance(v, member)
		s.lastModels[member.ID] = lastModel{member.Incarnation, g.model.Name}
		if g.lentTo != "" && !g.loaned {
			s.lent[member.ID] = loan{lastModel{member.Incarnation, g.lentTo}, member.FabricDomain}
		}
		if !present || s.recentlyLeft(now, member.ID, g.name) || !s.inGroup(in, g) {
			continue
		}
		// One that can't be reached from here may be ordered in vain for long. The others
		// don't wait for it.
		waiting = waiting || !v.Tracker.IsLost(in.ID)
		orders = append(orders, s.throttle(now, s.newOrder(Leave, in, g))...)
	}
	g.loaned = true
	if !waiting {
		delete(s.groups, g.name)
	}
	return orders
}

// Epoch returns the last epoch used, or the base if none was.
func (s *Scheduler) Epoch() uint64 { return s.epochBase + s.epochsUsed }

// newOrder returns an order for one member of a group.
func (s *Scheduler) newOrder(kind OrderKind, in provider.Instance, g *group) Order {
	o := Order{Kind: kind, Instance: in, Group: g.name, Epoch: g.epoch}
	if kind == Join {
		o.Model = g.model.Name
		for _, member := range g.members {
			o.Members = append(o.Members, member.ID)
		}
	}
	return o
}

// throttle returns the order, or nothing if it was sent less than
// resendInterval ago.
func (s *Scheduler) throttle(now time.Time, o Order) []Order {
	key := o.key()
	if at, found := s.lastSent[key]; found && now.Sub(at) < resendInterval {
		return nil
	}
	s.lastSent[key] = now
	return []Order{o}
}

// prune removes the state of unlisted instances and of old orders.
func (s *Scheduler) prune(now time.Time, v View) {
	for key, at := range s.lastSent {
		if now.Sub(at) > drainTimeout {
			delete(s.lastSent, key)
		}
	}
	for id := range s.lastModels {
		if _, listed := v.Tracker.Instance(id); !listed {
			delete(s.lastModels, id)
			delete(s.departures, id)
		}
	}
	for id := range s.lent {
		if _, listed := v.Tracker.Instance(id); !listed {
			delete(s.lent, id)
		}
	}
	for id := range s.loadGroups {
		if _, listed := v.Tracker.Instance(id); !listed {
			delete(s.loadGroups, id)
		}
	}
	for id := range s.positions {
		if _, listed := v.Tracker.Instance(id); !listed {
			delete(s.positions, id)
		}
	}
}

// nextGroupName returns the name and epoch of the next group of a model.
func (s *Scheduler) nextGroupName(model string) (string, uint64) {
	s.epochsUsed++
	epoch := s.epochBase + s.epochsUsed
	return tracker.GroupName(model, strconv.FormatUint(epoch, 10)), epoch
}
