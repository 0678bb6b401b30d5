package gatekeeper

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/waxwingmount/waxwingmount/pkg/grouper"
	"github.com/waxwingmount/waxwingmount/pkg/reconciler"
)

// TestScripts runs the scripts in testdata against a Gatekeeper whose evidence
// expires after one second. Times are in milliseconds from the start.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		start := time.Now()
		gates := New(time.Second)
		group := grouper.Group{ID: "g", Fence: 3}
		at := func(d *datadriven.TestData) time.Time {
			ms := 0
			d.ScanArgs(t, "at", &ms)
			return start.Add(time.Duration(ms) * time.Millisecond)
		}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "group":
				group.Draining = d.HasArg("draining")
				group.Members = nil
				for _, arg := range d.CmdArgs {
					if arg.Key != "draining" {
						group.Members = append(group.Members, grouper.Member{Instance: arg.Key, Incarnation: arg.Vals[0]})
					}
				}
			case "probe":
				e := Evidence{ObservedAt: at(d), Report: reconciler.Report{Group: "g", Fence: 3, Phase: reconciler.PhaseReady}}
				d.ScanArgs(t, "instance", &e.Report.Instance)
				d.MaybeScanArgs(t, "incarnation", &e.Report.Incarnation)
				d.MaybeScanArgs(t, "group", &e.Report.Group)
				d.MaybeScanArgs(t, "fence", &e.Report.Fence)
				e.Lost = d.HasArg("lost")
				e.Report.Leaving = d.HasArg("leaving")
				if d.HasArg("loading") {
					e.Report.Phase = reconciler.PhaseLoading
				}
				return fmt.Sprintf("recorded: %t\n", gates.Record(e))
			case "suspect":
				instance := ""
				d.ScanArgs(t, "instance", &instance)
				gates.Suspect(instance, at(d))
			case "list":
				leaving := make(map[string]bool)
				for _, name := range strings.Fields(d.Input) {
					leaving[name] = true
				}
				gates.SetLeaving(leaving)
			case "check":
				v := gates.Check(at(d), group)
				return fmt.Sprintf("%s open=%t broken=%t\n", v, v.Open(), v.Broken())
			}
			return ""
		})
	})
}
