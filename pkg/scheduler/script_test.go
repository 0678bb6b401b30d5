package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
	"github.com/waxwingmount/waxwingmount/pkg/tracker"
)

// testEngine has a large model of 4 instances and a small one of 2. A load from
// the weight store takes 10 s, from the host 1 s.
var testEngine = &mapper.Engine{
	Models: []mapper.Model{
		{Name: "large", Size: 4, Pace: 1, Load: 10 * time.Second, Warm: time.Second},
		{Name: "small", Size: 2, Pace: 0.6, Load: 10 * time.Second, Warm: time.Second},
	},
	Slots: 17, LoadsPerSecond: 5, LoadsAtOnce: 7,
}

// world is a set of instances that carry orders out and report it at once.
type world struct {
	t         *testing.T
	start     time.Time
	former    *Scheduler
	survey    *tracker.Tracker
	instances map[string]*provider.Instance
	// ready says when an instance that joins holds the weights.
	ready map[string]time.Time
	// late holds orders that are carried out only when told.
	late []Order
	// seen holds the highest epochs that instances know from elsewhere.
	seen map[string]uint64
	// hidden holds instances whose entries have lapsed.
	hidden map[string]bool
	idle   bool
}

func newWorld(t *testing.T) *world {
	w := &world{
		t: t, start: time.Unix(1000, 0), former: New(0), survey: tracker.New(),
		instances: make(map[string]*provider.Instance), ready: make(map[string]time.Time),
		seen: make(map[string]uint64), hidden: make(map[string]bool),
	}
	w.survey.SetGroupSizes(map[string]int{"large": 4, "small": 2})
	return w
}

// carryOut applies an order as an engine does, and returns its outcome.
func (w *world) carryOut(now time.Time, o Order) Outcome {
	in := w.instances[o.Instance.ID]
	if in == nil {
		return Unknown
	}
	m := &in.Membership
	switch o.Kind {
	case Join:
		if o.Epoch < max(m.Epoch, w.seen[in.ID]) {
			return Refused
		}
		took := 10 * time.Second
		if w.idle {
			took = time.Second
		}
		if slices.Contains(in.Loaded, o.Model) || w.former.lastModels[in.ID].model(*in) == o.Model {
			took = 200 * time.Millisecond
		} else if slices.Contains(in.Staged, o.Model) {
			took = time.Second
		}
		*m = provider.Membership{Group: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, in.ID), State: provider.Joining}
		w.ready[in.ID] = now.Add(took)
	case Open:
		if m.Group != o.Group || m.State != provider.MemberReady {
			return Refused
		}
		m.State = provider.Serving
	case Close:
		m.State = provider.Closing
	case Leave:
		if m.Group == o.Group && m.Epoch == o.Epoch {
			*m = provider.Membership{}
			in.Loaded = nil
		}
	}
	return Accepted
}

// list brings the survey up to date.
func (w *world) list(now time.Time) {
	var all []provider.Instance
	for id, in := range w.instances {
		if at, joining := w.ready[id]; joining && in.Membership.State == provider.Joining && !now.Before(at) {
			in.Membership.State = provider.MemberReady
			in.Loaded = []string{tracker.ModelOf(in.Membership.Group)}
			in.Staged = in.Loaded
			delete(w.ready, id)
		}
		if !w.hidden[id] {
			all = append(all, *in)
		}
	}
	w.survey.Update(now, all)
}

func describe(o Order) string {
	text := fmt.Sprintf("%s %s %s", o.Kind, o.Instance.ID, o.Group)
	if o.Kind == Join && len(o.Members) > 1 {
		text += " with " + strings.Join(o.Members, " ")
	}
	return text
}

// step decides once and delivers the orders, but for those of some instances.
func (w *world) step(d *datadriven.TestData) string {
	var at int
	var silent, late []string
	d.ScanArgs(w.t, "at", &at)
	scanList(w.t, d, "silent", &silent)
	scanList(w.t, d, "late", &late)
	now := w.start.Add(time.Duration(at) * time.Millisecond)
	w.idle = d.HasArg("idle")
	w.list(now)
	demand := map[string]float64{"large": 0.5, "small": 0.5}
	if d.HasArg("small_only") {
		demand = map[string]float64{"large": 0, "small": 1}
	}
	view := View{Tracker: w.survey, Engine: testEngine, Demand: demand, Idle: w.idle}
	var lines []string
	for _, o := range w.former.Step(now, view) {
		line := describe(o)
		switch {
		case slices.Contains(silent, o.Instance.ID):
			w.former.HandleOutcome(now, o, Unknown)
			line += " (no answer)"
		case slices.Contains(late, o.Instance.ID):
			w.late = append(w.late, o)
			w.former.HandleOutcome(now, o, Unknown)
			line += " (late)"
		default:
			outcome := w.carryOut(now, o)
			w.former.HandleOutcome(now, o, outcome)
			if outcome != Accepted {
				line += " (" + outcome.String() + ")"
			}
		}
		lines = append(lines, line)
	}
	if len(lines) == 0 {
		return ""
	}
	return strings.Join(lines, "\n") + "\n"
}

// scanList reads the values of an argument that may be missing.
func scanList(t *testing.T, d *datadriven.TestData, name string, into *[]string) {
	t.Helper()
	for _, arg := range d.CmdArgs {
		if arg.Key == name {
			*into = arg.Vals
		}
	}
}

// groups prints the groups that may be sent requests.
func (w *world) groups() string {
	var lines []string
	for _, model := range []string{"large", "small"} {
		for _, g := range w.survey.Groups("", model) {
			var names []string
			for _, in := range g.Members {
				names = append(names, in.ID)
			}
			lines = append(lines, fmt.Sprintf("%s spread=%t %s", g.Name, g.Spread(), strings.Join(names, " ")))
		}
	}
	return strings.Join(lines, "\n") + "\n"
}

// TestScripts drives a former against instances that carry orders out. Times
// are in milliseconds.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		w := newWorld(t)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "instances":
				w.add(d)
			case "lost":
				var at int
				d.ScanArgs(t, "at", &at)
				for _, id := range strings.Fields(d.Input) {
					w.survey.MarkLost(w.start.Add(time.Duration(at)*time.Millisecond), id, "1")
				}
			case "seen":
				var epoch int
				d.ScanArgs(t, "epoch", &epoch)
				for _, id := range strings.Fields(d.Input) {
					w.seen[id] = uint64(epoch)
				}
			case "carry":
				for _, o := range w.late {
					w.carryOut(w.start, o)
				}
				w.late = nil
			case "takeover":
				w.former = New(w.former.Epoch() + 100)
			case "step":
				return w.step(d)
			case "groups":
				return w.groups()
			default:
				for _, id := range strings.Fields(d.Input) {
					w.happen(d.Cmd, id)
				}
			}
			return ""
		})
	})
}

// add makes instances of one domain.
func (w *world) add(d *datadriven.TestData) {
	var domain, holds, staged string
	d.ScanArgs(w.t, "domain", &domain)
	d.MaybeScanArgs(w.t, "holds", &holds)
	d.MaybeScanArgs(w.t, "staged", &staged)
	for _, id := range strings.Fields(d.Input) {
		in := &provider.Instance{ID: id, Incarnation: "1", FabricDomain: domain}
		if holds != "" {
			in.Loaded, in.Staged = []string{holds}, []string{holds}
		}
		if staged != "" {
			in.Staged = []string{staged}
		}
		w.instances[id] = in
	}
}

// happen does something to one instance.
func (w *world) happen(what, id string) {
	in := w.instances[id]
	switch what {
	case "gone":
		delete(w.instances, id)
	case "found":
		w.survey.ClearLoss(id)
	case "lapsed", "listed":
		w.hidden[id] = what == "lapsed"
	case "reborn":
		in.Incarnation, in.Loaded, in.Membership = "2", nil, provider.Membership{}
	case "closed":
		in.Membership.State = provider.MemberReady
	case "leaving":
		in.Leaving = true
	default:
		w.t.Fatalf("unknown command %q", what)
	}
}
