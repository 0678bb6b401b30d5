package evacuator

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestScripts guards against an evacuation that is forgotten, or that outlives its end: each
// script names its failure. Times are in milliseconds. A reading's data centres are the
// command's input. "tell" merges the report of the instance "from".
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		start := time.Unix(1000, 0)
		all := make(map[string]*Evacuator)
		named := func(name string) *Evacuator {
			if all[name] == nil {
				all[name] = New()
			}
			return all[name]
		}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			ms, r, name, from, takes := 0, Reading{}, "a", "", 0
			d.ScanArgs(t, "at", &ms)
			d.MaybeScanArgs(t, "on", &name)
			d.MaybeScanArgs(t, "from", &from)
			d.MaybeScanArgs(t, "takes", &takes)
			d.MaybeScanArgs(t, "era", &r.Era)
			d.MaybeScanArgs(t, "version", &r.Version)
			r.DataCentres = strings.Fields(d.Input)
			now, e, changed := start.Add(time.Duration(ms)*time.Millisecond), named(name), false
			switch d.Cmd {
			case "observe":
				changed = e.Observe(now, r)
			case "tell":
				// The report was made, and its age counts, some time ago.
				asked := now.Add(-time.Duration(takes) * time.Millisecond)
				report := named(from).Report(asked)
				changed = e.Merge(now, asked.Add(-report.Age), *report)
			case "hear":
				changed = e.Merge(now, time.Time{}, Report{Reading: r})
			case "settle":
				e.Settle(r.Era)
			case "show":
			default:
				t.Fatalf("unknown command %q", d.Cmd)
			}
			text := fmt.Sprintf("changed=%t:", changed)
			inEffect := e.InEffect(now)
			for _, dataCentre := range slices.Sorted(maps.Keys(inEffect)) {
				text += fmt.Sprintf(" %s since %d", dataCentre, inEffect[dataCentre].Sub(start).Milliseconds())
			}
			return text + "\n"
		})
	})
}
