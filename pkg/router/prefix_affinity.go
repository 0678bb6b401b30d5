package router

import (
	"encoding/binary"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

func init() {
	Policies.Register("prefix_affinity", func() Policy { return PolicyFunc(pickPrefixAffinity) })
	Policies.SetFallback("prefix_affinity")
}

const (
	// affinityPrefixIndex is which prefix of a prompt decides on its group.
	affinityPrefixIndex = 3
	// loadSlackRatio and loadSlackRequests are how much load above the mean a
	// group may have and still be chosen for its cache.
	loadSlackRatio    = 0.25
	loadSlackRequests = 2
)

// pickPrefixAffinity ranks the candidates by a hash of the beginning of the prompt
// and takes the first that has not too much load. All entries rank alike
// without a word, so that a prompt's beginning is cached in few places.
func pickPrefixAffinity(request Request, candidates []Candidate, random *rand.Rand) int {
	if len(request.Prefixes) == 0 {
		return pickTwoChoices(request, candidates, random)
	}
	prefix := request.Prefixes[min(affinityPrefixIndex, len(request.Prefixes)-1)]
	bound := loadBound(candidates)
	best, bestWeight, found := 0, uint64(0), false
	for i, c := range candidates {
		if c.Load > bound {
			continue
		}
		if weight := rendezvousWeight(prefix, c.Group); !found || weight > bestWeight {
			best, bestWeight, found = i, weight, true
		}
	}
	if !found {
		return pickTwoChoices(request, candidates, random)
	}
	return best
}

func rendezvousWeight(prefix uint64, group string) uint64 {
	var key [8]byte
	binary.LittleEndian.PutUint64(key[:], prefix)
	digest := xxhash.New()
	digest.Write(key[:])
	digest.WriteString(group)
	return digest.Sum64()
}

// loadBound returns the load above which a group is not chosen for its cache.
func loadBound(candidates []Candidate) float64 {
	total := 0.0
	for _, c := range candidates {
		total += c.Load
	}
	mean := total / float64(len(candidates))
	return mean*(1+loadSlackRatio) + loadSlackRequests
}
