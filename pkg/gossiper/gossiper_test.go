package gossiper

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// cluster is a set of in-process members that exchange digests in rounds.
// Paused members neither send nor respond.
type cluster struct {
	now     time.Time
	members []*Gossiper
	paused  map[string]bool
}

const (
	testInterval = 200 * time.Millisecond
	testExpiry   = 10 * testInterval
)

func newCluster(n, degree int) *cluster {
	m := &cluster{now: time.Now(), paused: make(map[string]bool)}
	for i := range n {
		self := Member{ID: fmt.Sprintf("entry-%03d", i), Epoch: 1}
		s := New(self, Settings{Expiry: testExpiry, Degree: degree})
		s.AddSeed(Member{ID: fmt.Sprintf("entry-%03d", (i+1)%n)})
		m.members = append(m.members, s)
	}
	return m
}

func (m *cluster) byID(id string) *Gossiper {
	for _, s := range m.members {
		if s.Self().ID == id {
			return s
		}
	}
	return nil
}

// round lets every member that is not paused exchange digests once.
func (m *cluster) round() {
	m.now = m.now.Add(testInterval)
	for _, s := range m.members {
		if m.paused[s.Self().ID] {
			continue
		}
		for _, peer := range s.Tick(m.now) {
			other := m.byID(peer.ID)
			if m.paused[peer.ID] {
				continue
			}
			reply := other.HandleDigest(m.now, s.Digest())
			s.Merge(m.now, reply)
			if requested, wanted := s.RequestedRecords(reply); wanted {
				other.Merge(m.now, requested)
			}
		}
	}
}

// countWithVersion counts the running members whose record of the first member
// has the given configuration version.
func (m *cluster) countWithVersion(version uint64) int {
	count := 0
	for _, s := range m.members {
		if m.paused[s.Self().ID] {
			continue
		}
		if k, known := s.states["entry-000"]; known && k.member.ConfigVersion == version {
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
	m := newCluster(members, degree)
	for range 80 {
		m.round()
	}
	for _, s := range m.members {
		assert.Equal(t, len(s.Live(m.now)), members)
	}
	for i := 5; i < members; i += 10 {
		m.paused[fmt.Sprintf("entry-%03d", i)] = true
	}
	m.members[0].Update(func(self *Member) { self.ConfigVersion = 7 })
	rounds := 0
	for m.countWithVersion(7) < members-len(m.paused) {
		m.round()
		rounds++
		assert.Assert(t, rounds <= maxRounds, "%d of %d members have the change after %d rounds", m.countWithVersion(7), members-len(m.paused), rounds)
	}
	for range 20 {
		m.round()
	}
	for _, s := range m.members {
		if !m.paused[s.Self().ID] {
			assert.Equal(t, len(s.Live(m.now)), members-len(m.paused))
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
	s := New(Member{ID: "self", Epoch: 1}, Settings{Expiry: testExpiry, Degree: 4})
	s.Merge(now, Digest{Records: []Member{{ID: "other", Epoch: 2, ConfigVersion: 5}}})
	s.Merge(now, Digest{Records: []Member{{ID: "other", Epoch: 1, Revision: 9, ConfigVersion: 8}}})
	assert.Equal(t, s.states["other"].member.ConfigVersion, uint64(5))
	s.Merge(now, Digest{Records: []Member{{ID: "self", Epoch: 9, Leaving: true}}})
	assert.Equal(t, s.Self().Leaving, false)
}
