package estimator

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/waxwingmount/waxwingmount/pkg/mapper"
)

// testEngine has the engine parameters from the users' data sheets.
var testEngine = &mapper.Engine{
	Slots: 17, Step: 7800 * time.Microsecond, StepPerRequest: 95 * time.Microsecond, Stride: 5,
	ReadPerSecond: 45_900, Chunk: 2048, PerMillionPairs: 433 * time.Microsecond, SpreadFactor: 2.5, UsualAnswer: 154,
}

// TestScripts runs the scripts in testdata. Times are in milliseconds.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		meters := map[string]*PoolMeter{"a": NewPoolMeter(10 * time.Second), "b": NewPoolMeter(10 * time.Second)}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			g := Group{Engine: testEngine, Pace: 1, Spread: d.HasArg("spread")}
			var w Work
			prompt, at, cost := 0, 0, 0
			d.MaybeScanArgs(t, "running", &w.Running)
			d.MaybeScanArgs(t, "unread", &w.UnreadTokens)
			d.MaybeScanArgs(t, "prompt", &prompt)
			d.MaybeScanArgs(t, "at", &at)
			now := time.Unix(1000, 0).Add(time.Duration(at) * time.Millisecond)
			switch d.Cmd {
			case "time_to_first_token":
				return fmt.Sprintf("%d\n", g.TimeToFirstToken(w, prompt).Milliseconds())
			case "max_event_gap":
				return fmt.Sprintf("%d\n", g.MaxEventGap().Milliseconds())
			case "observe":
				var model string
				d.ScanArgs(t, "model", &model)
				d.ScanArgs(t, "cost", &cost)
				meters[model].Observe(now, 2, time.Duration(cost)*time.Millisecond)
				if d.HasArg("missed") {
					meters[model].Miss(now)
				}
				return ""
			case "shares":
				reports := make(map[string]PoolReport)
				for model, meter := range meters {
					reports[model] = meter.Report(now)
				}
				shares := DemandShares(reports, time.Second)
				return fmt.Sprintf("a %.2f b %.2f\n", shares["a"], shares["b"])
			}
			t.Fatalf("unknown command %q", d.Cmd)
			return ""
		})
	})
}
