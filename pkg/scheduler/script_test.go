package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/waxwingmount/waxwingmount/pkg/apportioner"
	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
	"github.com/waxwingmount/waxwingmount/pkg/tracker"
)

// testEngine has a large model with 4 instances per group and a small one with 2.
// A load takes 10 s from the weight store and 1 s from the host's memory.
var testEngine = &mapper.Engine{
	Models: []mapper.Model{
		{Name: "large", Size: 4, Pace: 1, Load: 10 * time.Second, Warm: time.Second},
		{Name: "small", Size: 2, Pace: 0.6, Load: 10 * time.Second, Warm: time.Second},
	},
	Slots: 17, LoadsPerSecond: 5, LoadsAtOnce: 7,
}

// simulation holds instances that carry out orders and report the result at once.
type simulation struct {
	t         *testing.T
	start     time.Time
	scheduler *Scheduler
	tracker   *tracker.Tracker
	instances map[string]*provider.Instance
	// ready holds when each joining instance will have loaded the weights.
	ready map[string]time.Time
	// delayed holds orders that are applied only by the "apply_delayed" command.
	delayed []Order
	// orders counts the orders that each instance has carried out since its start.
	orders map[string]uint64
	// entries holds the list entry of each instance.
	entries map[string]provider.Instance
	// violations describes joins that took an instance out of a group that was open.
	violations []string
	// highestEpochs holds the highest epoch that each instance has seen outside
	// this simulation.
	highestEpochs map[string]uint64
	// unlisted holds the instances whose list entries have expired.
	unlisted map[string]bool
	// copies holds the instances whose entries another writer repeats, by the ID of the copy.
	copies map[string]string
	idle   bool
	// anonymous is set if reports do not state the incarnation.
	anonymous bool
}

func newSimulation(t *testing.T) *simulation {
	s := &simulation{
		t: t, start: time.Unix(1000, 0), scheduler: New(0), tracker: tracker.New(),
		instances: make(map[string]*provider.Instance), ready: make(map[string]time.Time),
		highestEpochs: make(map[string]uint64), unlisted: make(map[string]bool),
		orders: make(map[string]uint64), entries: make(map[string]provider.Instance), copies: make(map[string]string),
	}
	s.tracker.SetServices(map[string]map[string]int{"": {"large": 4, "small": 2}})
	return s
}

// apply carries out an order as an engine does and returns its outcome.
func (s *simulation) apply(now time.Time, o Order) Outcome {
	in := s.instances[o.Instance.ID]
	if in == nil {
		return Unknown
	}
	if o.Conditional && o.Orders != s.orders[in.ID] {
		return Conflicting
	}
	m := &in.Membership
	switch o.Kind {
	case Join:
		if m.Group == o.Group && m.Epoch == o.Epoch {
			return Satisfied
		}
		if o.Epoch < max(m.Epoch, s.highestEpochs[in.ID]) {
			return Refused
		}
		loadTime := 10 * time.Second
		if s.idle {
			loadTime = time.Second
		}
		if slices.Contains(in.Loaded, o.Model) || s.scheduler.lastModels[in.ID].model(*in) == o.Model {
			loadTime = 200 * time.Millisecond
		} else if slices.Contains(in.Staged, o.Model) {
			loadTime = time.Second
		}
		s.checkTwoGroups(*in, o)
		*m = provider.Membership{Group: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, in.ID), State: provider.Joining}
		s.ready[in.ID] = now.Add(loadTime)
	case Open:
		if m.Group != o.Group || m.State != provider.MemberReady {
			return Conflicting
		}
		m.State = provider.Serving
	case Close:
		m.State = provider.Closing
	case Leave:
		if m.Group != o.Group || m.Epoch != o.Epoch {
			return Satisfied
		}
		*m = provider.Membership{}
		in.Loaded = nil
	}
	s.orders[in.ID]++
	return Accepted
}

// report returns what an instance says of itself.
func (s *simulation) report(id string) Report {
	in := s.instances[id]
	if in == nil {
		return Report{}
	}
	r := Report{Incarnation: in.Incarnation, Orders: s.orders[id], Membership: in.Membership}
	if s.anonymous {
		r.Incarnation = ""
	}
	return r
}

// prepareWithReport prepares an order as a control loop does, which asks for a report if the
// scheduler needs one. It reports false if the order is withheld.
func prepareWithReport(s *Scheduler, now time.Time, o Order, report func(id string) Report) (Order, bool) {
	o, readiness := s.Prepare(now, o)
	if readiness != Sendable {
		s.HandleReport(now, o.Instance.ID, report(o.Instance.ID))
		o, readiness = s.Prepare(now, o)
	}
	if readiness == NeedsReport {
		s.HandleOutcome(now, o, Withheld)
	}
	return o, readiness != NeedsReport
}

// checkTwoGroups records a violation if an instance joins a group while it is still in another
// one that is open.
func (s *simulation) checkTwoGroups(in provider.Instance, o Order) {
	for _, head := range s.instances {
		m := head.Membership
		if m.Group != o.Group && m.Group == in.Membership.Group && m.Epoch == in.Membership.Epoch && m.Rank == 0 &&
			(m.State == provider.Serving || m.State == provider.Closing) {
			s.violations = append(s.violations, fmt.Sprintf("two groups: %s joined %s while it was in %s, which was open", in.ID, o.Group, m.Group))
		}
	}
}

// takeViolations returns the violations since the last call, one per line.
func (s *simulation) takeViolations() string {
	text := ""
	for _, v := range s.violations {
		text += v + "\n"
	}
	s.violations = nil
	return text
}

// updateTracker finishes due loads and passes the instance list to the tracker.
func (s *simulation) updateTracker(now time.Time, stale []string) {
	var all []provider.Instance
	for id, in := range s.instances {
		if at, joining := s.ready[id]; joining && in.Membership.State == provider.Joining && !now.Before(at) {
			in.Membership.State = provider.MemberReady
			in.Loaded = []string{tracker.ModelOf(in.Membership.Group)}
			in.Staged = in.Loaded
			delete(s.ready, id)
		}
		if !slices.Contains(stale, id) {
			s.entries[id] = *in
		}
		if !s.unlisted[id] {
			all = append(all, s.entries[id])
		}
	}
	for id, original := range s.copies {
		entry := s.entries[original]
		entry.ID = id
		all = append(all, entry)
	}
	s.tracker.Update(now, 0, all)
}

func describe(o Order) string {
	text := fmt.Sprintf("%s %s %s", o.Kind, o.Instance.ID, o.Group)
	if o.Kind == Join && len(o.Members) > 1 {
		text += " with " + strings.Join(o.Members, " ")
	}
	return text
}

// step runs one scheduling step and applies the orders. Orders to silent
// instances are lost, and those to late instances are delayed. The list shows stale
// instances as it did in the step before.
func (s *simulation) step(d *datadriven.TestData) string {
	var at int
	var silent, late, stale []string
	d.ScanArgs(s.t, "at", &at)
	scanList(s.t, d, "silent", &silent)
	scanList(s.t, d, "late", &late)
	scanList(s.t, d, "stale", &stale)
	now := s.start.Add(time.Duration(at) * time.Millisecond)
	s.idle = d.HasArg("idle")
	s.updateTracker(now, stale)
	demand := map[string]float64{"large": 0.5, "small": 0.5}
	if d.HasArg("small_only") {
		demand = map[string]float64{"large": 0, "small": 1}
	}
	view := View{Tracker: s.tracker, Engine: testEngine, Demand: demand, Idle: s.idle}
	if d.HasArg("wanted") {
		var large, small int
		d.ScanArgs(s.t, "wanted", &large, &small)
		view.Wanted = map[string]int{"large": large, "small": small}
	}
	if d.HasArg("move") {
		move := apportioner.Move{}
		d.ScanArgs(s.t, "move", &move.From, &move.To, &move.Groups)
		view.Moves = []apportioner.Move{move}
	}
	var lines []string
	for _, o := range s.scheduler.Step(now, view) {
		line := describe(o)
		o, sendable := prepareWithReport(s.scheduler, now, o, s.report)
		switch {
		case !sendable:
			line += " (withheld)"
		case slices.Contains(silent, o.Instance.ID):
			s.scheduler.HandleOutcome(now, o, Unknown)
			line += " (no response)"
		case slices.Contains(late, o.Instance.ID):
			s.delayed = append(s.delayed, o)
			s.scheduler.HandleOutcome(now, o, Unknown)
			line += " (late)"
		default:
			outcome := s.apply(now, o)
			s.scheduler.HandleOutcome(now, o, outcome)
			if outcome != Accepted && outcome != Satisfied {
				line += " (" + outcome.String() + ")"
			}
		}
		lines = append(lines, line)
	}
	if len(lines) == 0 {
		return ""
	}
	return strings.Join(lines, "\n") + "\n" + s.takeViolations()
}

// scanList reads the values of an optional argument.
func scanList(t *testing.T, d *datadriven.TestData, name string, into *[]string) {
	t.Helper()
	for _, arg := range d.CmdArgs {
		if arg.Key == name {
			*into = arg.Vals
		}
	}
}

// groups returns the groups that can take requests, one per line.
func (s *simulation) groups() string {
	var lines []string
	for _, model := range []string{"large", "small"} {
		for _, g := range s.tracker.Groups("", model) {
			var names []string
			for _, in := range g.Members {
				names = append(names, in.ID)
			}
			lines = append(lines, fmt.Sprintf("%s spread=%t %s", g.Name, g.Spread(), strings.Join(names, " ")))
		}
	}
	return strings.Join(lines, "\n") + "\n"
}

// TestScripts runs a scheduler against simulated instances that carry out its
// orders. Times are in milliseconds. The scripts late_rejoin, late_rejoin_of_head,
// late_rejoin_takeover and late_join_restarted guard against an instance that is ordered
// into a group while it is in another one that is open.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := newSimulation(t)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "instances":
				s.addInstances(d)
			case "mark_lost", "mark_lost_here":
				var ms int
				d.ScanArgs(t, "at", &ms)
				at := s.start.Add(time.Duration(ms) * time.Millisecond)
				for _, id := range strings.Fields(d.Input) {
					if d.Cmd == "mark_lost_here" {
						s.tracker.MarkLostHere(at, at, id, "1")
					} else {
						s.tracker.MarkLost(at, id, "1")
					}
				}
			case "highest_epoch":
				var epoch int
				d.ScanArgs(t, "epoch", &epoch)
				for _, id := range strings.Fields(d.Input) {
					s.highestEpochs[id] = uint64(epoch)
				}
			case "apply_delayed":
				s.delayed = slices.DeleteFunc(s.delayed, func(o Order) bool {
					due := len(d.CmdArgs) == 0 || d.HasArg(o.Kind.String())
					if due {
						s.apply(s.start, o)
					}
					return due
				})
				return s.takeViolations()
			case "anonymous_reports":
				s.anonymous = true
			case "restart_of_all":
				s.tracker = tracker.New()
				s.tracker.SetServices(map[string]map[string]int{"": {"large": 4, "small": 2}})
				s.scheduler = New(s.scheduler.Epoch() + 100)
			case "takeover":
				s.scheduler = New(s.scheduler.Epoch() + 100)
			case "step":
				return s.step(d)
			case "groups":
				return s.groups()
			case "evacuate":
				dataCentres := make(map[string]bool)
				for _, dataCentre := range strings.Fields(d.Input) {
					dataCentres[dataCentre] = true
				}
				s.tracker.SetEvacuated(dataCentres)
			default:
				for _, id := range strings.Fields(d.Input) {
					s.applyEvent(d.Cmd, id)
				}
			}
			return ""
		})
	})
}

// addInstances adds instances in one domain.
func (s *simulation) addInstances(d *datadriven.TestData) {
	var domain, loaded, staged, dataCentre string
	d.ScanArgs(s.t, "domain", &domain)
	d.MaybeScanArgs(s.t, "loaded", &loaded)
	d.MaybeScanArgs(s.t, "staged", &staged)
	d.MaybeScanArgs(s.t, "in", &dataCentre)
	for _, id := range strings.Fields(d.Input) {
		in := &provider.Instance{ID: id, Incarnation: "1", FabricDomain: domain, DataCentre: dataCentre}
		if loaded != "" {
			in.Loaded, in.Staged = []string{loaded}, []string{loaded}
		}
		if staged != "" {
			in.Staged = []string{staged}
		}
		s.instances[id] = in
	}
}

// applyEvent applies an event to one instance.
func (s *simulation) applyEvent(event, id string) {
	in := s.instances[id]
	switch event {
	case "removed":
		delete(s.instances, id)
	case "clear_loss":
		s.tracker.ClearLoss(id)
	case "unlisted", "listed":
		s.unlisted[id] = event == "unlisted"
	case "restarted":
		in.Incarnation, in.Loaded, in.Membership = "2", nil, provider.Membership{}
		delete(s.orders, id)
	case "copy":
		s.copies["copy-of-"+id] = id
	case "confirm":
		named, _ := s.tracker.Instance(id)
		s.tracker.Identify(s.start, named, tracker.Confirmed)
	case "closed":
		in.Membership.State = provider.MemberReady
	case "leaving":
		in.Leaving = true
	default:
		s.t.Fatalf("unknown command %q", event)
	}
}
