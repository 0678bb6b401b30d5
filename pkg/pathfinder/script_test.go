package pathfinder

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestScripts guards against requests that are kept where no server can be reached, that
// take a hop without need or two hops, and against hops that crowd at one peer or go to one
// that can't send them. Times are in milliseconds.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		start := time.Unix(1000, 0)
		peers := NewPeers(rand.New(rand.NewPCG(1, 2)))
		var members []Peer
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			at, wait, count := 0, 0, 1
			peer, tried, pool := "", "", ""
			d.MaybeScanArgs(t, "pool", &pool)
			d.MaybeScanArgs(t, "at", &at)
			d.MaybeScanArgs(t, "wait", &wait)
			d.MaybeScanArgs(t, "count", &count)
			d.MaybeScanArgs(t, "peer", &peer)
			d.MaybeScanArgs(t, "tried", &tried)
			now := start.Add(time.Duration(at) * time.Millisecond)
			switch d.Cmd {
			case "decide":
				return Decide(Situation{
					Detoured: d.HasArg("detoured"), Here: d.HasArg("here"), Room: d.HasArg("room"), Cut: d.HasArg("cut"), ByPeers: d.HasArg("by_peers"), Askable: !d.HasArg("no_peer_now"),
				}).String() + "\n"
			case "members":
				members = parseMembers(d.Input)
				return ""
			case "choose":
				chosen := make(map[string]int)
				for range count {
					p, found := peers.Choose(now, "near", pool, members, map[string]bool{tried: true})
					if !found {
						return "none\n"
					}
					peers.Begin(p.ID)
					chosen[p.ID]++
				}
				return fmt.Sprintln(chosen)
			case "end":
				for range count {
					peers.End(now, peer, pool, map[string]Outcome{"declined": Declined, "failed": Failed}[outcomeOf(d)], time.Duration(wait)*time.Millisecond)
				}
				return ""
			case "in_progress":
				return fmt.Sprintln(peers.InProgress())
			}
			t.Fatalf("unknown command %q", d.Cmd)
			return ""
		})
	})
}

func outcomeOf(d *datadriven.TestData) string {
	for _, outcome := range []Outcome{Declined, Failed} {
		if d.HasArg(outcome.String()) {
			return outcome.String()
		}
	}
	return ""
}

// parseMembers parses lines of an ID, a data centre and "cut" for a peer that is cut.
func parseMembers(text string) []Peer {
	var members []Peer
	for line := range strings.Lines(text) {
		fields := strings.Fields(line)
		members = append(members, Peer{ID: fields[0], DataCentre: fields[1], Cut: len(fields) > 2})
	}
	return members
}
