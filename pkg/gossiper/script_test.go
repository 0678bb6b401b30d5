package gossiper

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestMembershipScripts guards against members that are listed as live after they
// have ended. It runs the scripts in testdata against a cluster that exchanges
// digests in rounds of 200 ms and has an expiry of 10 rounds. Commands name
// members by their number:
//
//	members n=N            creates the cluster and runs it until all know all
//	rounds n=N [watch=M]   runs N rounds; with watch, prints the rounds in which
//	                       another running member lists M as live
//	stop member=M          ends the member's process for good
//	pause / resume         freezes the member, or lets it go on as it was
//	start member=M         starts a new process of the member, which knows no peer
//	                       but the first running one
//	cut / join             divides the cluster into members below M and the others
func TestMembershipScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var c *cluster
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var n, member int
			for _, argument := range d.CmdArgs {
				switch argument.Key {
				case "n":
					d.ScanArgs(t, "n", &n)
				case "member":
					d.ScanArgs(t, "member", &member)
				}
			}
			id := fmt.Sprintf("entry-%03d", member)
			switch d.Cmd {
			case "members":
				c = newCluster(n, 4)
				for range 80 {
					c.round()
				}
			case "rounds":
				return c.runRounds(t, d, n)
			case "stop", "pause":
				c.paused[id] = true
			case "resume":
				delete(c.paused, id)
			case "start":
				c.start(id)
			case "cut":
				c.side = func(other string) bool { return other < id }
			case "join":
				c.side = func(string) bool { return false }
			default:
				t.Fatalf("unknown command %s", d.Cmd)
			}
			return ""
		})
	})
}

// runRounds runs n rounds and describes in which of them a running member listed
// the watched one as live.
func (c *cluster) runRounds(t *testing.T, d *datadriven.TestData, n int) string {
	watched := -1
	if d.HasArg("watch") {
		d.ScanArgs(t, "watch", &watched)
	}
	first, last, by := -1, -1, make(map[string]bool)
	for round := range n {
		c.round()
		for _, lister := range c.listers(fmt.Sprintf("entry-%03d", watched)) {
			by[lister] = true
			last = round
			if first < 0 {
				first = round
			}
		}
	}
	if watched < 0 {
		return ""
	}
	if first < 0 {
		return "never live\n"
	}
	return fmt.Sprintf("live from round %d to %d at %d members\n", first, last, len(by))
}

// listers returns the running members, other than the watched one, that list it as
// live.
func (c *cluster) listers(watched string) []string {
	var ids []string
	for _, g := range c.members {
		self := g.Self().ID
		if self == watched || c.paused[self] {
			continue
		}
		if slices.ContainsFunc(g.Live(c.now), func(m Member) bool { return m.ID == watched }) {
			ids = append(ids, self)
		}
	}
	return ids
}

// start replaces a member by a new process that knows only the first running one.
func (c *cluster) start(id string) {
	delete(c.paused, id)
	for i, g := range c.members {
		if g.Self().ID != id {
			continue
		}
		c.members[i] = New(Member{ID: id, Epoch: g.Self().Epoch + 1}, g.settings)
		for _, other := range c.members {
			if peer := other.Self().ID; strings.Compare(peer, id) != 0 && !c.paused[peer] {
				c.members[i].AddSeed(Member{ID: peer})
				return
			}
		}
	}
}
