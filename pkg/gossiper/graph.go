package gossiper

import (
	"math/rand/v2"
	"slices"
	"time"
)

// LiveNeighbours returns the neighbours of this instance in the graph over the
// live members.
func (g *Gossiper) LiveNeighbours(now time.Time) []Member {
	live := g.Live(now)
	self := slices.IndexFunc(live, func(m Member) bool { return m.ID == g.self.ID })
	var neighbours []Member
	for _, i := range Neighbours(len(live), self, g.settings.Degree) {
		neighbours = append(neighbours, live[i])
	}
	return neighbours
}

// Neighbours returns the neighbours of vertex self in a random regular graph
// of n vertices: the union of degree/2 random cycles, which is an expander
// with high probability. The graph depends on n and degree only, so that all
// members with the same n compute the same graph. With up to degree+1 vertices
// it is a full mesh.
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
