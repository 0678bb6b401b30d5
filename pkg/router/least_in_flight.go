package router

import "math/rand/v2"

func init() {
	Policies.Register("least_in_flight", func() Policy { return PolicyFunc(pickLeastInFlight) })
}

// pickLeastInFlight selects the candidate with the least load, and a random one
// of several with equal load.
func pickLeastInFlight(_ Request, candidates []Candidate, random *rand.Rand) int {
	best, ties := 0, 1
	for i := 1; i < len(candidates); i++ {
		switch {
		case candidates[i].Load < candidates[best].Load:
			best, ties = i, 1
		case candidates[i].Load == candidates[best].Load:
			ties++
			if random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}
