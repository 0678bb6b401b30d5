package commander

import (
	"fmt"
	"strconv"

	"github.com/integrii/flaggy"

	"github.com/waxwingmount/waxwingmount/internal/simulator"
)

func init() {
	register(command{name: "overload", help: "Compare goodput under overload with and without the limits, simulated in virtual time.", setup: overload})
}

// loadFactors holds the offered loads to measure, as multiples of the capacity.
var loadFactors = []float64{0.8, 1, 1.2, 1.5, 2, 3}

func overload(sub *flaggy.Subcommand) func(*session) error {
	seed := 1
	sub.Int(&seed, "", "seed", "The seed of the random numbers.")
	return func(s *session) error {
		var results []simulator.OverloadResult
		for _, limited := range []bool{false, true} {
			for _, load := range loadFactors {
				results = append(results, simulator.SimulateOverload(load, limited, uint64(seed)))
			}
		}
		return s.print(results, func() [][]string { return overloadRows(results) })
	}
}

func overloadRows(results []simulator.OverloadResult) [][]string {
	rows := [][]string{{"LOAD", "LIMITS", "GOODPUT", "SMALL SERVED", "LARGE SERVED", "REFUSED", "LONGEST REFUSAL"}}
	for _, r := range results {
		rows = append(rows, []string{
			fmt.Sprintf("%.1f", r.Load), strconv.FormatBool(r.Limited), fmt.Sprintf("%.3f", r.Goodput),
			fmt.Sprintf("%.3f", r.SmallServed), fmt.Sprintf("%.3f", r.LargeServed), fmt.Sprintf("%.3f", r.Refused), r.MaxRefusalLatency.String(),
		})
	}
	return rows
}
