package commander

import (
	"fmt"
	"strconv"

	"github.com/integrii/flaggy"

	"github.com/waxwingmount/waxwingmount/internal/simulator"
	"github.com/waxwingmount/waxwingmount/pkg/faulter"
	"github.com/waxwingmount/waxwingmount/pkg/router"
)

func init() {
	register(command{name: "experiment", help: "Compare the routing policies on simulated engines in virtual time.", setup: experiment})
}

func experiment(sub *flaggy.Subcommand) func(*session) error {
	seeds := 3
	sub.Int(&seeds, "", "seeds", "The number of seeds to run, starting with seed 1.")
	return func(s *session) error {
		var results []simulator.RoutingResult
		for _, scenario := range simulator.Scenarios {
			for _, policy := range router.Policies.Names() {
				for seed := range seeds {
					result, err := simulator.SimulateRouting(scenario, policy, uint64(seed+1))
					if err != nil {
						return faulter.New("experiment", KindFailed, err)
					}
					results = append(results, result)
				}
			}
		}
		return s.print(results, func() [][]string { return experimentRows(results) })
	}
}

func experimentRows(results []simulator.RoutingResult) [][]string {
	rows := [][]string{{"SCENARIO", "POLICY", "SEED", "REQUESTS", "CACHE HITS", "URGENT P50", "URGENT P95", "OTHER P95", "GAP P95"}}
	for _, r := range results {
		rows = append(rows, []string{
			r.Scenario, r.Policy, strconv.FormatUint(r.Seed, 10), strconv.Itoa(r.Requests), fmt.Sprintf("%.3f", r.CacheHitRatio),
			milliseconds(r.UrgentFirstTokenP50), milliseconds(r.UrgentFirstTokenP95), milliseconds(r.OtherFirstTokenP95), milliseconds(r.TokenGapP95),
		})
	}
	return rows
}

func milliseconds(ms int64) string { return strconv.FormatInt(ms, 10) + " ms" }
