package estimator

// UnavailableShare is the fraction of the instances that are assumed to be lost, or to load
// weights, at any time.
const UnavailableShare = 0.1

// UsableShare returns the fraction of the instances of a fabric domain that can
// serve in whole replica groups within the domain. Each of the domain's
// instances is unavailable with the given probability, independently of the
// others; those that are left over from the last whole group serve nothing. A
// group that does not fit into a domain spans several, so that only the
// availability of its members counts.
func UsableShare(domainSize, groupSize int, unavailable float64) float64 {
	if groupSize <= 0 || domainSize < groupSize {
		return 1 - unavailable
	}
	// probabilities[n] is the probability that n of the instances are available.
	probabilities := make([]float64, domainSize+1)
	probabilities[0] = 1
	for range domainSize {
		for n := domainSize; n > 0; n-- {
			probabilities[n] = probabilities[n]*unavailable + probabilities[n-1]*(1-unavailable)
		}
		probabilities[0] *= unavailable
	}
	usable := 0.0
	for n, p := range probabilities {
		usable += p * float64(n/groupSize*groupSize)
	}
	return usable / float64(domainSize)
}
