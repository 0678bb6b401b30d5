package router

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestScripts runs the scripts in testdata against a tracker and the routing
// policies. Times are in milliseconds.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		start := time.Now()
		tracker := NewLoadTracker()
		random := rand.New(rand.NewPCG(1, 1))
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			ms, group := 0, ""
			d.MaybeScanArgs(t, "at", &ms)
			d.MaybeScanArgs(t, "group", &group)
			now := start.Add(time.Duration(ms) * time.Millisecond)
			switch d.Cmd {
			case "begin":
				tracker.Begin(group)
			case "end":
				tracker.End(now, group, d.HasArg("failed"))
			case "report":
				inFlight := 0
				d.ScanArgs(t, "in_flight", &inFlight)
				tracker.Report(now, group, inFlight)
			case "filter_ejected":
				return show(tracker.FilterEjected(now, candidates(tracker, d.Input)))
			case "pick":
				return pick(t, d, tracker, random)
			}
			return ""
		})
	})
}

func candidates(tracker *LoadTracker, names string) []Candidate {
	var found []Candidate
	for _, name := range strings.Fields(names) {
		found = append(found, Candidate{Group: name, Load: tracker.Load(name)})
	}
	return found
}

func show(found []Candidate) string {
	var out strings.Builder
	for _, c := range found {
		fmt.Fprintf(&out, "%s load %.0f\n", c.Group, c.Load)
	}
	return out.String()
}

// pick returns how often each group is selected for a number of requests with the
// same prompt prefix.
func pick(t *testing.T, d *datadriven.TestData, tracker *LoadTracker, random *rand.Rand) string {
	name, times, prefix := "", 1, uint64(0)
	d.ScanArgs(t, "policy", &name)
	d.MaybeScanArgs(t, "times", &times)
	d.MaybeScanArgs(t, "prefix", &prefix)
	factory, err := Policies.Lookup(name)
	if err != nil {
		return err.Error() + "\n"
	}
	policy := factory()
	found := candidates(tracker, d.Input)
	counts := make([]int, len(found))
	for range times {
		counts[policy.Pick(Request{Prefixes: []uint64{prefix}}, found, random)]++
	}
	var out strings.Builder
	for i, c := range found {
		fmt.Fprintf(&out, "%s %d\n", c.Group, counts[i])
	}
	return out.String()
}
