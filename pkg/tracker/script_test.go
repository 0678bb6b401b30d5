package tracker

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

var states = map[string]provider.MemberState{
	"joining": provider.Joining, "ready": provider.MemberReady, "serving": provider.Serving, "closing": provider.Closing, "broken": provider.Broken,
}

// parse parses a line "id incarnation group epoch rank state [leaving]".
func parse(t *testing.T, line string) provider.Instance {
	t.Helper()
	in := provider.Instance{Service: "s"}
	state := ""
	m := &in.Membership
	if _, err := fmt.Sscan(line, &in.ID, &in.Incarnation, &m.Group, &m.Epoch, &m.Rank, &state); err != nil {
		t.Fatalf("%q: %v", line, err)
	}
	m.State = states[state]
	in.Leaving = strings.HasSuffix(line, "leaving")
	return in
}

// TestScripts runs a tracker with one model "m", whose groups have two members.
// Times are in milliseconds.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := New()
		s.SetGroupSizes(map[string]int{"m": 2})
		start := time.Unix(1000, 0)
		at := func(d *datadriven.TestData) time.Time {
			ms := 0
			d.ScanArgs(t, "at", &ms)
			return start.Add(time.Duration(ms) * time.Millisecond)
		}
		var selected Group
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "list":
				var listed []provider.Instance
				for line := range strings.Lines(d.Input) {
					listed = append(listed, parse(t, strings.TrimSpace(line)))
				}
				s.Update(at(d), listed)
			case "lose":
				id, incarnation := "", ""
				d.ScanArgs(t, "instance", &id)
				d.ScanArgs(t, "incarnation", &incarnation)
				return fmt.Sprintf("news: %t\n", s.MarkLost(at(d), id, incarnation))
			case "find":
				s.ClearLoss(d.CmdArgs[0].Key)
			case "hold":
				selected = s.Groups("s", "m")[0]
			case "serves":
				return fmt.Sprintf("%t\n", s.GroupAvailable(selected))
			case "groups":
				var lines []string
				for _, g := range s.Groups("s", "m") {
					line := fmt.Sprintf("%s %d", g.Name, g.Epoch)
					for _, in := range g.Members {
						line += " " + in.ID
					}
					lines = append(lines, line)
				}
				return strings.Join(lines, "\n") + "\n"
			default:
				t.Fatalf("unknown command %q", d.Cmd)
			}
			return ""
		})
	})
}
