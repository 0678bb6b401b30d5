package router

import "math/rand/v2"

func init() {
	Policies.Register("two_choices", func() Policy { return PolicyFunc(pickTwoChoices) })
}

// pickTwoChoices selects the less loaded of two random candidates. The random
// choice keeps entry instances with the same stale load reports from all sending
// to one group.
func pickTwoChoices(_ Request, candidates []Candidate, random *rand.Rand) int {
	first := random.IntN(len(candidates))
	second := random.IntN(len(candidates))
	if candidates[second].Load < candidates[first].Load {
		return second
	}
	return first
}
