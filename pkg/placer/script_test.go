package placer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/waxwingmount/waxwingmount/pkg/grouper"
)

// bench holds the world of one script.
type bench struct {
	placer *Placer
	view   View
}

// TestScripts drives a placer. Instances are written NAME:DOMAIN with flags;
// decisions are carried out after they are shown. Times are in seconds.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		start := time.Now()
		b := &bench{placer: New(), view: View{Settings: Settings{RepairDelay: time.Second, MinDrainTime: 3 * time.Second}}}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "settings":
				d.ScanArgs(t, "spares", &b.view.Settings.Spares)
			case "model":
				m := Model{Version: "1"}
				d.ScanArgs(t, "name", &m.Name)
				d.ScanArgs(t, "size", &m.InstancesPerGroup)
				d.ScanArgs(t, "groups", &m.Groups)
				d.MaybeScanArgs(t, "version", &m.Version)
				b.view.Models = []Model{m}
			case "instances":
				b.instances(d.Input)
			case "step":
				seconds := 0
				d.ScanArgs(t, "at", &seconds)
				return b.step(start.Add(time.Duration(seconds) * time.Second))
			}
			return ""
		})
	})
}

// instances sets instances, one a line: "a1 fabric-a [lost|gone|leaving|busy|loading|incarnation=N]".
func (b *bench) instances(input string) {
	for _, line := range strings.Split(strings.TrimSpace(input), "\n") {
		fields := strings.Fields(line)
		in := Instance{ID: fields[0], FabricDomain: fields[1], Incarnation: "1", Alive: true, Ready: true, Idle: true}
		for _, flag := range fields[2:] {
			switch {
			case flag == "lost":
				in.Alive = false
			case flag == "gone":
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
		b.put(in)
	}
}

func (b *bench) put(in Instance) {
	for i := range b.view.Instances {
		if b.view.Instances[i].ID == in.ID {
			b.view.Instances[i] = in
			return
		}
	}
	b.view.Instances = append(b.view.Instances, in)
}

// step shows the decisions and carries them out.
func (b *bench) step(now time.Time) string {
	var out strings.Builder
	for _, d := range b.placer.Step(now, b.view) {
		var members []string
		if d.Kind == Form || d.Kind == Replace {
			for _, m := range d.Group.Members {
				members = append(members, m.Instance+"/"+m.Incarnation)
			}
		}
		fmt.Fprintf(&out, "%s %s %s(%s)\n", d.Kind, d.Group.ID, strings.Join(members, ","), d.Reason)
		b.apply(d)
	}
	if out.Len() == 0 {
		return "nothing\n"
	}
	return out.String()
}

func (b *bench) apply(d Decision) {
	var groups []grouper.Group
	for _, g := range b.view.Groups {
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
	b.view.Groups = groups
}
