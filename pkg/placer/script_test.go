package placer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/waxwingmount/waxwingmount/pkg/grouper"
)

// fixture holds the placer and the simulated state of one script.
type fixture struct {
	placer *Placer
	view   View
}

// TestScripts runs a placer on scripted instances. A step prints the decisions and
// then applies them. Times are in seconds.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		start := time.Now()
		f := &fixture{placer: New(), view: View{Settings: Settings{RepairDelay: time.Second, MinDrainTime: 3 * time.Second}}}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "settings":
				d.ScanArgs(t, "spares", &f.view.Settings.Spares)
			case "model":
				m := Model{Version: "1"}
				d.ScanArgs(t, "name", &m.Name)
				d.ScanArgs(t, "size", &m.InstancesPerGroup)
				d.ScanArgs(t, "groups", &m.Groups)
				d.MaybeScanArgs(t, "version", &m.Version)
				f.view.Models = []Model{m}
			case "instances":
				f.setInstances(d.Input)
			case "step":
				seconds := 0
				d.ScanArgs(t, "at", &seconds)
				return f.step(start.Add(time.Duration(seconds) * time.Second))
			}
			return ""
		})
	})
}

// setInstances parses and sets instances, one per line: "a1 fabric-a [lost|confirmed_lost|leaving|busy|loading|incarnation=N]".
func (f *fixture) setInstances(input string) {
	for _, line := range strings.Split(strings.TrimSpace(input), "\n") {
		fields := strings.Fields(line)
		in := Instance{ID: fields[0], FabricDomain: fields[1], Incarnation: "1", Alive: true, Ready: true, Idle: true}
		for _, flag := range fields[2:] {
			switch {
			case flag == "lost":
				in.Alive = false
			case flag == "confirmed_lost":
				in.Alive, in.ConfirmedLost = false, true
			case flag == "leaving":
				in.Leaving = true
			case flag == "busy":
				in.Idle = false
			case flag == "loading":
				in.Ready = false
			case strings.HasPrefix(flag, "incarnation="):
				in.Incarnation = strings.TrimPrefix(flag, "incarnation=")
			}
		}
		f.setInstance(in)
	}
}

func (f *fixture) setInstance(in Instance) {
	for i := range f.view.Instances {
		if f.view.Instances[i].ID == in.ID {
			f.view.Instances[i] = in
			return
		}
	}
	f.view.Instances = append(f.view.Instances, in)
}

// step runs the placer, applies its decisions and returns them as text.
func (f *fixture) step(now time.Time) string {
	var out strings.Builder
	for _, d := range f.placer.Step(now, f.view) {
		var members []string
		if d.Kind == Form || d.Kind == Replace {
			for _, m := range d.Group.Members {
				members = append(members, m.Instance+"/"+m.Incarnation)
			}
		}
		fmt.Fprintf(&out, "%s %s %s(%s)\n", d.Kind, d.Group.ID, strings.Join(members, ","), d.Reason)
		f.apply(d)
	}
	if out.Len() == 0 {
		return "nothing\n"
	}
	return out.String()
}

func (f *fixture) apply(d Decision) {
	var groups []grouper.Group
	for _, g := range f.view.Groups {
		switch {
		case g.ID != d.Group.ID:
			groups = append(groups, g)
		case d.Kind == Replace:
			groups = append(groups, d.Group)
		case d.Kind == Drain:
			g.Draining = true
			groups = append(groups, g)
		}
	}
	if d.Kind == Form {
		groups = append(groups, d.Group)
	}
	f.view.Groups = groups
}
