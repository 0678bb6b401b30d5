package gossiper

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// cluster is a set of in-process members that exchange digests in rounds.
// Paused members neither send nor respond, nor do members reach those on the
// other side of a cut.
type cluster struct {
	now     time.Time
	members []*Gossiper
	paused  map[string]bool
	side    func(id string) bool
}

const (
	testInterval = 200 * time.Millisecond
	testExpiry   = 10 * testInterval
)

func newCluster(n, degree int) *cluster {
	c := &cluster{now: time.Now(), paused: make(map[string]bool), side: func(string) bool { return false }}
	for i := range n {
		self := Member{ID: fmt.Sprintf("entry-%03d", i), Epoch: 1}
		g := New(self, Settings{Expiry: testExpiry, Interval: testInterval, Degree: degree})
		g.AddSeed(Member{ID: fmt.Sprintf("entry-%03d", (i+1)%n)})
		c.members = append(c.members, g)
	}
	return c
}

func (c *cluster) byID(id string) *Gossiper {
	for _, g := range c.members {
		if g.Self().ID == id {
			return g
		}
	}
	return nil
}

// round lets every member that is not paused exchange digests once.
func (c *cluster) round() {
	c.now = c.now.Add(testInterval)
	for _, g := range c.members {
		if c.paused[g.Self().ID] {
			continue
		}
		peers := g.Tick(c.now)
		g.Prune(c.now)
		for _, peer := range peers {
			other := c.byID(peer.ID)
			if c.paused[peer.ID] || c.side(peer.ID) != c.side(g.Self().ID) {
				continue
			}
			reply := other.HandleDigest(c.now, g.Digest(c.now))
			g.Merge(c.now, reply)
			if requested, wanted := g.RequestedRecords(c.now, reply); wanted {
				other.Merge(c.now, requested)
			}
		}
	}
}

// countWithVersion counts the running members whose record of the first member
// has the given configuration version.
func (c *cluster) countWithVersion(version uint64) int {
	count := 0
	for _, g := range c.members {
		if c.paused[g.Self().ID] {
			continue
		}
		if state, known := g.states["entry-000"]; known && state.member.ConfigVersion == version {
			count++
		}
	}
	return count
}

// TestConvergence guards against slow propagation and failure detection: with
// a tenth of the members paused, a change must reach all others within
// maxRounds, and no member may still list a paused one as live 20 rounds later.
func TestConvergence(t *testing.T) {
	const (
		members = 90
		degree  = 4
		// A configuration change must be in force everywhere within 12 s, and
		// members exchange every 500 ms.
		maxRounds = 24
	)
	c := newCluster(members, degree)
	for range 80 {
		c.round()
	}
	for _, g := range c.members {
		assert.Equal(t, len(g.Live(c.now)), members)
	}
	for i := 5; i < members; i += 10 {
		c.paused[fmt.Sprintf("entry-%03d", i)] = true
	}
	c.members[0].Update(func(self *Member) { self.ConfigVersion = 7 })
	rounds := 0
	for c.countWithVersion(7) < members-len(c.paused) {
		c.round()
		rounds++
		assert.Assert(t, rounds <= maxRounds, "%d of %d members have the change after %d rounds", c.countWithVersion(7), members-len(c.paused), rounds)
	}
	for range 20 {
		c.round()
	}
	for _, g := range c.members {
		if !c.paused[g.Self().ID] {
			assert.Equal(t, len(g.Live(c.now)), members-len(c.paused))
		}
	}
}

// TestNeighboursAreSymmetric checks that each edge of the graph is seen from
// both of its vertices, and that no vertex exceeds the requested degree.
func TestNeighboursAreSymmetric(t *testing.T) {
	for _, n := range []int{2, 5, 9, 30, 390} {
		edges := make(map[[2]int]bool)
		for self := range n {
			neighbours := Neighbours(n, self, 4)
			assert.Assert(t, len(neighbours) <= 4 && len(neighbours) >= 1, "vertex %d of %d has neighbours %v", self, n, neighbours)
			for _, other := range neighbours {
				edges[[2]int{self, other}] = true
			}
		}
		for edge := range edges {
			assert.Assert(t, edges[[2]int{edge[1], edge[0]}], "edge %v in a graph of %d vertices is not symmetric", edge, n)
		}
	}
}

// TestOldEpochIsIgnored checks that a late record of an earlier process with
// the same ID does not replace the current one, and that a received record
// never replaces the instance's own.
func TestOldEpochIsIgnored(t *testing.T) {
	now := time.Now()
	g := New(Member{ID: "self", Epoch: 1}, Settings{Expiry: testExpiry, Degree: 4})
	g.Merge(now, Digest{Records: []Member{{ID: "other", Epoch: 2, ConfigVersion: 5}}})
	g.Merge(now, Digest{Records: []Member{{ID: "other", Epoch: 1, Revision: 9, ConfigVersion: 8}}})
	assert.Equal(t, g.states["other"].member.ConfigVersion, uint64(5))
	g.Merge(now, Digest{Records: []Member{{ID: "self", Epoch: 9, Leaving: true}}})
	assert.Equal(t, g.Self().Leaving, false)
}
