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
	// affinityPrefixIndex is the index in Request.Prefixes of the prefix that
	// determines the group.
	affinityPrefixIndex = 3
	// loadSlackRatio and loadSlackRequests bound how far the load of a group
	// may exceed the mean for the group to be selected by prefix: by this share
	// of the mean plus this number of requests.
	loadSlackRatio    = 0.25
	loadSlackRequests = 2
)

// pickPrefixAffinity ranks the candidates by rendezvous hashing of a prompt prefix
// and selects the first whose load is within the bound. All entry instances get
// the same ranking without coordination, so that a prefix is cached by few
// groups. Without prefixes or candidates within the bound, it falls back to two
// random choices.
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

// rendezvousWeight returns the rank of a group for a prefix; the highest wins.
func rendezvousWeight(prefix uint64, group string) uint64 {
	var key [8]byte
	binary.LittleEndian.PutUint64(key[:], prefix)
	digest := xxhash.New()
	digest.Write(key[:])
	digest.WriteString(group)
	return digest.Sum64()
}

// loadBound returns the load above which a group is not selected by prefix.
func loadBound(candidates []Candidate) float64 {
	total := 0.0
	for _, c := range candidates {
		total += c.Load
	}
	mean := total / float64(len(candidates))
	return mean*(1+loadSlackRatio) + loadSlackRequests
}
