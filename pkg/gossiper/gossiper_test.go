package gossiper

import (
	"fmt"
	"math/rand/v2"
	"slices"
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
	// releaseBefore holds the members that exchange whole digests.
	releaseBefore map[string]bool
}

const (
	testInterval = 200 * time.Millisecond
	testExpiry   = 10 * testInterval
)

func newCluster(n, degree int) *cluster {
	c := &cluster{now: time.Now(), paused: make(map[string]bool), releaseBefore: make(map[string]bool), side: func(string) bool { return false }}
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
			c.exchange(g, other)
		}
	}
}

// exchange lets g ask other for what it knows.
func (c *cluster) exchange(g, other *Gossiper) {
	if c.releaseBefore[g.Self().ID] {
		reply := other.HandleDigest(c.now, g.Digest(c.now))
		g.Merge(c.now, reply)
		if len(reply.Wanted) > 0 {
			other.Merge(c.now, g.HandleDigest(c.now, Digest{Partial: true, Wanted: reply.Wanted}))
		}
		return
	}
	request := g.Request()
	reply := c.answer(other, request)
	if next, more := g.HandleReply(c.now, request, reply); more {
		g.HandleReply(c.now, next, c.answer(other, next))
	}
}

// answer returns a member's reply. Members of the release before know neither
// summaries nor partial digests.
func (c *cluster) answer(g *Gossiper, request Digest) Digest {
	if c.releaseBefore[g.Self().ID] {
		request = Digest{Versions: request.Versions, Records: request.Records}
	}
	return g.HandleDigest(c.now, request)
}

// countWithVersion counts the running members whose record of the first member
// has the given configuration version.
func (c *cluster) countWithVersion(version uint64) int {
	count := 0
	for _, g := range c.members {
		if c.paused[g.Self().ID] {
			continue
		}
		if state, known := g.records.states["entry-000"]; known && state.member.ConfigVersion == version {
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
		edges := graphEdges(testMembers(n))
		degrees := make(map[string]int)
		for edge := range edges {
			degrees[edge[0]]++
			assert.Assert(t, edges[[2]string{edge[1], edge[0]}], "edge %v in a graph of %d members is not symmetric", edge, n)
		}
		for _, m := range testMembers(n) {
			assert.Assert(t, degrees[m.ID] <= 4 && degrees[m.ID] >= 1, "member %s of %d has %d neighbours", m.ID, n, degrees[m.ID])
		}
	}
}

// TestNeighboursLast guards against new connections between all members whenever one
// of them joins or leaves.
func TestNeighboursLast(t *testing.T) {
	before, after := graphEdges(testMembers(295)), graphEdges(testMembers(296))
	added := 0
	for edge := range after {
		if !before[edge] {
			added++
		}
	}
	// Each edge is counted from both members. The two rings may share edges.
	assert.Assert(t, added <= 2*4, "%d of %d edges are new", added, len(after))
}

func testMembers(n int) []Member {
	var members []Member
	for i := range n {
		members = append(members, Member{ID: fmt.Sprintf("entry-%03d", i)})
	}
	return members
}

func graphEdges(members []Member) map[[2]string]bool {
	edges := make(map[[2]string]bool)
	for _, m := range members {
		for _, other := range Neighbours(members, m.ID, 4) {
			edges[[2]string{m.ID, other.ID}] = true
		}
	}
	return edges
}

// TestOldEpochIsIgnored checks that a late record of an earlier process with
// the same ID does not replace the current one, and that a received record
// never replaces the instance's own.
func TestOldEpochIsIgnored(t *testing.T) {
	now := time.Now()
	g := New(Member{ID: "self", Epoch: 1}, Settings{Expiry: testExpiry, Degree: 4})
	g.Merge(now, Digest{Records: []Member{{ID: "other", Epoch: 2, ConfigVersion: 5}}})
	g.Merge(now, Digest{Records: []Member{{ID: "other", Epoch: 1, Revision: 9, ConfigVersion: 8}}})
	assert.Equal(t, g.records.states["other"].member.ConfigVersion, uint64(5))
	g.Merge(now, Digest{Records: []Member{{ID: "self", Epoch: 9, Leaving: true}}})
	assert.Equal(t, g.Self().Leaving, false)
}

// TestReleasesMix guards against a rolling replacement that divides the membership:
// members that exchange whole digests and members that send summaries must know each
// other, learn of changes and notice members that stop.
func TestReleasesMix(t *testing.T) {
	const members = 30
	c := newCluster(members, 4)
	for i := 0; i < members; i += 2 {
		c.releaseBefore[fmt.Sprintf("entry-%03d", i)] = true
	}
	for range 80 {
		c.round()
	}
	c.members[0].Update(func(self *Member) { self.ConfigVersion = 3 })
	c.paused["entry-004"], c.paused["entry-005"] = true, true
	for range 24 {
		c.round()
	}
	assert.Equal(t, c.countWithVersion(3), members-2)
	for _, g := range c.members {
		if !c.paused[g.Self().ID] {
			assert.Equal(t, len(g.Live(c.now)), members-2)
		}
	}
}

// TestHeartbeatsOfStoppedMemberExpire guards against members that keep a stopped one
// alive by telling each other of its last heartbeat: over a slow network each message
// takes half a round, and the stopped member must still expire in time.
func TestHeartbeatsOfStoppedMemberExpire(t *testing.T) {
	const members = 12
	c := newCluster(members, 4)
	for range 40 {
		c.round()
	}
	c.paused["entry-003"] = true
	stoppedAt := c.now
	for round := 0; c.now.Sub(stoppedAt) < c.members[0].expiry(); round++ {
		sentAt := c.now
		c.now = c.now.Add(testInterval)
		for _, g := range c.members {
			for _, peer := range g.Tick(c.now) {
				if c.paused[g.Self().ID] || c.paused[peer.ID] {
					continue
				}
				request := g.Request()
				reply := c.byID(peer.ID).HandleDigest(c.now.Add(testInterval/2), request)
				g.HandleReply(sentAt, request, reply)
			}
		}
	}
	assert.Equal(t, len(c.listers("entry-003")), 0)
}

// TestRumorReachesAll guards against a loss that some members never hear of: a message
// that each member passes on once, to its neighbours and one random member, must reach
// all running members while a tenth of them is paused, with few messages a member.
func TestRumorReachesAll(t *testing.T) {
	const degree, seeds = 6, 40
	for _, n := range []int{30, 100, 295, 390} {
		members := testMembers(n)
		for seed := range uint64(seeds) {
			random := rand.New(rand.NewPCG(seed, uint64(n)))
			paused := make(map[string]bool)
			for _, i := range random.Perm(n)[:n/10] {
				paused[members[i].ID] = true
			}
			first := slices.IndexFunc(members, func(m Member) bool { return !paused[m.ID] })
			heard, next := map[string]bool{members[first].ID: true}, []string{members[first].ID}
			for len(next) > 0 {
				id := next[0]
				next = next[1:]
				for _, m := range append(Neighbours(members, id, degree), members[random.IntN(n)]) {
					if !paused[m.ID] && !heard[m.ID] {
						heard[m.ID] = true
						next = append(next, m.ID)
					}
				}
			}
			assert.Equal(t, len(heard), n-len(paused), "%d members, seed %d", n, seed)
		}
	}
}
