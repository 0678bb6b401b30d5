package apportioner

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"
)

// fleet simulates the groups of two models, "large" with 8 instances and "small" with
// 2, which follow the moves at once but for the time to load.
type fleet struct {
	apportioner *Apportioner
	now         time.Time
	instances   int
	models      []Model
	// swing is the amplitude of the models' load around their means, in opposite
	// directions, with swingPeriod.
	swing float64
	// phase is the start of the swing in periods.
	phase  float64
	moved  map[string]int
	result Result
}

const (
	fleetStep   = 500 * time.Millisecond
	swingPeriod = 13 * time.Second
)

func newFleet() *fleet {
	return &fleet{
		apportioner: New(), now: time.Unix(1000, 0), instances: 162, moved: make(map[string]int),
		models: []Model{
			{Name: "large", Size: 8, UsableShare: 1, Load: 16 * time.Second, Warm: 1600 * time.Millisecond},
			{Name: "small", Size: 2, UsableShare: 1, Load: 12 * time.Second, Warm: 1100 * time.Millisecond},
		},
	}
}

// run divides for a time and carries out the first move of each division.
func (f *fleet) run(seconds int, reported bool) {
	for range seconds * int(time.Second/fleetStep) {
		f.now = f.now.Add(fleetStep)
		in := Input{Instances: f.instances, Reported: reported}
		phase := f.swing * math.Sin(2*math.Pi*(float64(f.now.UnixMilli())/float64(swingPeriod.Milliseconds())+f.phase))
		for i, m := range f.models {
			factor := 1 + phase*float64(1-2*i)
			m.Offered *= factor
			m.Arrived *= factor
			in.Models = append(in.Models, m)
		}
		f.result = f.apportioner.Divide(f.now, in)
		if len(f.result.Moves) > 0 {
			f.carryOut(f.result.Moves[0])
		}
	}
}

func (f *fleet) carryOut(move Move) {
	freed := 0
	for i := range f.models {
		if m := &f.models[i]; m.Name == move.From {
			m.Open -= move.Groups
			freed = move.Groups * m.Size
		}
	}
	for i := range f.models {
		if m := &f.models[i]; m.Name == move.To {
			m.Open += freed / m.Size
		}
	}
	f.moved[move.From]++
}

// check compares the last result with bounds and returns what exceeds them.
func (f *fleet) check(t *testing.T, d *datadriven.TestData) string {
	text := ""
	total := 0
	for _, n := range f.result.Wanted {
		total += n
	}
	values := map[string]int{"total": total, "known": len(f.result.Wanted)}
	for _, m := range f.models {
		values["wanted_"+m.Name] = f.result.Wanted[m.Name]
		values["groups_"+m.Name] = m.groups()
		values["moves_from_"+m.Name] = f.moved[m.Name]
	}
	for _, arg := range d.CmdArgs {
		var low, high int
		d.ScanArgs(t, arg.Key, &low, &high)
		value, found := values[arg.Key]
		assert.Assert(t, found, "unknown value %s", arg.Key)
		if value < low || value > high {
			text += fmt.Sprintf("%s is %d, not within %d to %d\n", arg.Key, value, low, high)
		}
	}
	if text == "" {
		return "within bounds\n"
	}
	return text
}

// TestScripts runs loads against an Apportioner. The bounds of each check follow from
// the load and the requirement that the script states.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		f := newFleet()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "model":
				for i := range f.models {
					if m := &f.models[i]; d.HasArg(m.Name) {
						var offered, arrived, missed int
						d.ScanArgs(t, "offered", &offered)
						d.ScanArgs(t, "arrived", &arrived)
						d.MaybeScanArgs(t, "missed_percent", &missed)
						d.MaybeScanArgs(t, "groups", &m.Open)
						m.Offered, m.Arrived, m.Missed = float64(offered), float64(arrived), float64(missed)/100
					}
				}
			case "instances":
				d.ScanArgs(t, "count", &f.instances)
			case "swing":
				var percent int
				d.ScanArgs(t, "percent", &percent)
				f.swing = float64(percent) / 100
			case "takeover":
				f.apportioner = New()
			case "takeovers":
				// One at each of 26 phases of the swing.
				for range 26 {
					f.phase += 1.0 / 26
					f.apportioner = New()
					f.run(20, true)
				}
			case "run":
				var seconds int
				d.ScanArgs(t, "seconds", &seconds)
				f.run(seconds, !d.HasArg("unreported"))
			case "check":
				return f.check(t, d)
			default:
				t.Fatalf("unknown command %q", d.Cmd)
			}
			return ""
		})
	})
}

// TestExpectedShortfall guards the closed form against a numerical integral.
func TestExpectedShortfall(t *testing.T) {
	const step = 0.001
	for _, c := range []float64{0, 20, 30, 35, 50} {
		mean, deviation, sum := 30.0, math.Sqrt(30), 0.0
		for x := c; x < mean+10*deviation; x += step {
			z := (x - mean) / deviation
			sum += (x - c) * math.Exp(-z*z/2) / (deviation * math.Sqrt(2*math.Pi)) * step
		}
		assert.Assert(t, math.Abs(expectedShortfall(mean, deviation, c)-sum) < 0.001, "c = %v", c)
	}
}

// TestDivisionIsOptimal guards against a division that loses more requests than the
// best of all. Greedy choices are optimal but for the rest of fewer than 8 instances,
// which saves at most the next saving for each of them.
func TestDivisionIsOptimal(t *testing.T) {
	for _, offered := range [][2]float64{{40, 60}, {80, 70}, {110, 40}, {30, 120}} {
		loads := []load{
			newLoad(Model{Size: 8, UsableShare: 1}, average{offered: offered[0], arrived: 43, correction: 1}),
			newLoad(Model{Size: 2, UsableShare: 1}, average{offered: offered[1], arrived: 444, correction: 1}),
		}
		counts := divide(162, loads)
		least := minimum(162, loads)
		best := math.Inf(1)
		for large := least[0]; large <= 20; large++ {
			small := (162 - 8*large) / 2
			best = min(best, loads[0].lost(float64(large))+loads[1].lost(float64(small)))
		}
		lost := loads[0].lost(float64(counts[0])) + loads[1].lost(float64(counts[1]))
		rest := 162 - 8*counts[0] - 2*counts[1]
		next := max(loads[0].saving(counts[0]), loads[1].saving(counts[1]))
		assert.Assert(t, rest < 8 && lost <= best+8*next, "offered %v: lost %v, best %v", offered, lost, best)
	}
}

// TestSmallDeployment guards against a model with arrivals that gets no group because the
// instances that are usually out of service count as needed for its only one.
func TestSmallDeployment(t *testing.T) {
	for _, sizes := range [][2]int{{8, 2}, {2, 8}} {
		loads := make([]load, 0, len(sizes))
		for _, size := range sizes {
			loads = append(loads, newLoad(Model{Size: size, UsableShare: 0.75}, average{offered: 5, arrived: 5, correction: 1}))
		}
		counts := divide(10, loads)
		assert.Assert(t, counts[0] >= 1 && counts[1] >= 1, "sizes %v: groups %v", sizes, counts)
	}
}
