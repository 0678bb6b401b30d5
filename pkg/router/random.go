package router

import "math/rand/v2"

func init() {
	Policies.Register("random", func() Policy { return PolicyFunc(pickRandom) })
}

// pickRandom selects a candidate with equal probability.
func pickRandom(_ Request, candidates []Candidate, random *rand.Rand) int {
	return random.IntN(len(candidates))
}
