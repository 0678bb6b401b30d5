package commander

import (
	"fmt"
	"strconv"

	"github.com/integrii/flaggy"

	"github.com/waxwingmount/waxwingmount/internal/simulator"
)

func init() {
	register(command{name: "spread", help: "Measure the cost of the gossip protocol with many members in one process.", setup: spread})
}

// memberCounts holds the numbers of members to measure.
var memberCounts = []int{3, 9, 30, 90, 390}

func spread(sub *flaggy.Subcommand) func(*session) error {
	degree, meshUpTo := 4, 30
	sub.Int(&degree, "", "degree", "The number of neighbours of each member in the sparse graph.")
	sub.Int(&meshUpTo, "", "mesh-up-to", "The largest number of members for which a full mesh is measured too.")
	return func(s *session) error {
		var results []simulator.GossipCost
		for _, members := range memberCounts {
			results = append(results, simulator.MeasureGossipCost(members, degree))
			if members <= meshUpTo {
				results = append(results, simulator.MeasureGossipCost(members, members-1))
			}
		}
		return s.print(results, func() [][]string { return spreadRows(results) })
	}
}

func spreadRows(results []simulator.GossipCost) [][]string {
	rows := [][]string{{"MEMBERS", "DEGREE", "BYTES/ROUND", "MESSAGES/ROUND", "CPU/ROUND", "MEMORY", "ROUNDS TO ALL"}}
	for _, r := range results {
		rows = append(rows, []string{
			strconv.Itoa(r.Members), strconv.Itoa(r.Degree), fmt.Sprintf("%.0f", r.BytesPerRound),
			fmt.Sprintf("%.1f", r.MessagesPerRound), r.CPUPerRound.String(), fmt.Sprintf("%.0f B", r.HeapBytes), strconv.Itoa(r.RoundsToConverge),
		})
	}
	return rows
}
