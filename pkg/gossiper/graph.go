package gossiper

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// LiveNeighbours returns the neighbours of this instance in the graph over the
// live members.
func (g *Gossiper) LiveNeighbours(now time.Time) []Member {
	return Neighbours(g.Live(now), g.self.ID, g.settings.Degree)
}

// Neighbours returns the neighbours of a member in a random regular graph: the
// union of degree/2 rings, each in the order of a hash of the member IDs, which is
// an expander with high probability. A member that joins or leaves changes the
// neighbours of at most degree others, so that connections last. With up to
// degree+1 members the graph is a full mesh.
func Neighbours(members []Member, self string, degree int) []Member {
	if len(members) <= degree+1 {
		return slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.ID == self })
	}
	var neighbours []Member
	for ring := range max(1, degree/2) {
		previous, next := ringNeighbours(members, self, ring)
		neighbours = append(neighbours, previous, next)
	}
	slices.SortFunc(neighbours, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return slices.CompactFunc(neighbours, func(a, b Member) bool { return a.ID == b.ID })
}

// ringNeighbours returns the members before and after a member in a ring.
func ringNeighbours(members []Member, self string, ring int) (previous, next Member) {
	own := ringPosition(self, ring)
	var before, after uint64
	for _, m := range members {
		if m.ID == self {
			continue
		}
		// Distances along the ring wrap around.
		position := ringPosition(m.ID, ring)
		if distance := own - position; previous.ID == "" || distance < before {
			previous, before = m, distance
		}
		if distance := position - own; next.ID == "" || distance < after {
			next, after = m, distance
		}
	}
	return previous, next
}

func ringPosition(id string, ring int) uint64 {
	data := make([]byte, 0, len(id)+1)
	return xxhash.Sum64(append(binary.AppendUvarint(data, uint64(ring)), id...))
}
