// Package router selects the replica group for a request. Each routing policy is
// in its own file and registers itself by name.
//
// # Usage
//
//	factory, err := router.Policies.Lookup("prefix_affinity")
//	policy := factory()
//	index := policy.Pick(request, candidates, random)
//
// A [LoadTracker] combines the requests that this entry instance has in flight
// with the delayed load reports of the engines, and ejects groups that fail
// repeatedly.
package router

import (
	"math/rand/v2"

	"github.com/waxwingmount/waxwingmount/pkg/registrar"
)

// Request holds the attributes of a request that policies use.
type Request struct {
	// Prefixes holds hashes of prefixes of the prompt, shortest prefix first.
	Prefixes []uint64
}

// Candidate is a replica group that the request may be sent to.
type Candidate struct {
	Group string
	// Load is the estimated number of requests that the group has in flight,
	// from all entry instances.
	Load float64
}

// Policy selects one of the candidates and returns its index. There is at least
// one candidate. Implementations need not be safe for concurrent use.
type Policy interface {
	Pick(request Request, candidates []Candidate, random *rand.Rand) int
}

// PolicyFunc adapts a function to a [Policy].
type PolicyFunc func(request Request, candidates []Candidate, random *rand.Rand) int

// Pick implements [Policy].
func (f PolicyFunc) Pick(request Request, candidates []Candidate, random *rand.Rand) int {
	return f(request, candidates, random)
}

// Factory returns a new policy.
type Factory func() Policy

// Policies holds the factories of the registered policies, by name.
var Policies = registrar.New[Factory]("routing policy")
