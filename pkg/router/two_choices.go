package router

import "math/rand/v2"

func init() {
	Policies.Register("two_choices", func() Policy { return PolicyFunc(pickTwoChoices) })
}

// pickTwoChoices takes the less loaded of two random candidates. Entries that see the
// same old reports do not all run to one group.
func pickTwoChoices(_ Request, candidates []Candidate, random *rand.Rand) int {
	first := random.IntN(len(candidates))
	second := random.IntN(len(candidates))
	if candidates[second].Load < candidates[first].Load {
		return second
	}
	return first
}
