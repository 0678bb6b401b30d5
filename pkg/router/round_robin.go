package router

import "math/rand/v2"

func init() {
	Policies.Register("round_robin", func() Policy { return &roundRobin{} })
}

// roundRobin selects the candidates in turn.
type roundRobin struct {
	next int
}

// Pick implements [Policy].
func (p *roundRobin) Pick(_ Request, candidates []Candidate, _ *rand.Rand) int {
	p.next++
	return p.next % len(candidates)
}
