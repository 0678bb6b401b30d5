package gossiper

import (
	"math/rand/v2"
	"slices"
	"time"
)

// LiveNeighbours returns the live members to which the sparse graph joins this one.
func (s *Gossiper) LiveNeighbours(now time.Time) []Member {
	live := s.Live(now)
	self := slices.IndexFunc(live, func(m Member) bool { return m.ID == s.self.ID })
	var neighbours []Member
	for _, i := range Neighbours(len(live), self, s.settings.Degree) {
		neighbours = append(neighbours, live[i])
	}
	return neighbours
}

// Neighbours returns the neighbours of vertex self in a random regular graph
// of n vertices: the union of degree/2 random cycles, which is an expander
// with high probability. All members that agree on n draw the same graph. Up
// to degree+1 vertices make a full mesh.
func Neighbours(n, self, degree int) []int {
	var neighbours []int
	if n <= degree+1 {
		for i := range n {
			if i != self {
				neighbours = append(neighbours, i)
			}
		}
		return neighbours
	}
	for cycle := range max(1, degree/2) {
		order := rand.New(rand.NewPCG(uint64(n), uint64(cycle))).Perm(n)
		at := slices.Index(order, self)
		neighbours = append(neighbours, order[(at+1)%n], order[(at+n-1)%n])
	}
	slices.Sort(neighbours)
	return slices.Compact(neighbours)
}
