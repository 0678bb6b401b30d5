package router

import (
	"math/rand/v2"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

func init() {
	Policies.Register("prefix_affinity", func() Policy { return newPrefixAffinity() })
	Policies.SetFallback("prefix_affinity")
}

const (
	// prefixCapacity is how many prefixes a policy remembers.
	prefixCapacity = 16_384
	// holdersPerPrefix is how many groups are remembered for a prefix.
	holdersPerPrefix = 4
	// loadSlack is how much load above the mean a group may have and still be
	// chosen for its cache, as a share of the mean and in requests.
	loadSlackRatio    = 0.25
	loadSlackRequests = 2
)

// prefixAffinity sends a request to a group that has lately been sent the
// longest prefix of its prompt, unless that group has too much load; then, or
// where no group is known, it takes the least loaded.
type prefixAffinity struct {
	holders *simplelru.LRU[uint64, []string]
}

func newPrefixAffinity() *prefixAffinity {
	holders, err := simplelru.NewLRU[uint64, []string](prefixCapacity, nil)
	if err != nil {
		// The capacity is a positive constant.
		panic(err)
	}
	return &prefixAffinity{holders: holders}
}

// Pick implements [Policy].
func (p *prefixAffinity) Pick(request Request, candidates []Candidate, random *rand.Rand) int {
	picked, found := p.pickHolder(request, candidates)
	if !found {
		picked = pickLeast(request, candidates, random)
	}
	p.remember(request, candidates[picked].Group)
	return picked
}

// pickHolder returns the least loaded holder of the longest known prefix that
// is not above the load bound.
func (p *prefixAffinity) pickHolder(request Request, candidates []Candidate) (int, bool) {
	bound := loadBound(candidates)
	for i := len(request.Prefixes) - 1; i >= 0; i-- {
		holders, known := p.holders.Get(request.Prefixes[i])
		if !known {
			continue
		}
		if picked, found := leastHolder(holders, candidates, bound); found {
			return picked, true
		}
	}
	return 0, false
}

func leastHolder(holders []string, candidates []Candidate, bound float64) (int, bool) {
	picked, found := 0, false
	for i, c := range candidates {
		if c.Load > bound || !contains(holders, c.Group) {
			continue
		}
		if !found || c.Load < candidates[picked].Load {
			picked, found = i, true
		}
	}
	return picked, found
}

func loadBound(candidates []Candidate) float64 {
	total := 0.0
	for _, c := range candidates {
		total += c.Load
	}
	mean := total / float64(len(candidates))
	return mean*(1+loadSlackRatio) + loadSlackRequests
}

// remember notes that the group now holds every prefix of the request.
func (p *prefixAffinity) remember(request Request, group string) {
	for _, prefix := range request.Prefixes {
		holders, _ := p.holders.Get(prefix)
		if contains(holders, group) {
			continue
		}
		if len(holders) >= holdersPerPrefix {
			holders = holders[1:]
		}
		p.holders.Add(prefix, append(holders[:len(holders):len(holders)], group))
	}
}

func contains(holders []string, group string) bool {
	for _, h := range holders {
		if h == group {
			return true
		}
	}
	return false
}
