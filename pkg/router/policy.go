// Package router chooses the replica group that a request goes to. Policies
// register themselves by name, each in its own file.
//
// # Usage
//
//	factory, err := router.Policies.Lookup("prefix_affinity")
//	policy := factory()
//	index := policy.Pick(request, candidates, random)
//
// A [LoadTracker] joins the requests that this entry instance has in flight with
// the lagging reports of the engines, and leaves out groups that do worse
// than the others.
package router

import (
	"math/rand/v2"

	"github.com/waxwingmount/waxwingmount/pkg/registrar"
)

// Request is what a policy may know of a request.
type Request struct {
	// Prefixes are hashes of growing prefixes of the prompt, shortest first.
	Prefixes []uint64
}

// Candidate is a group that may be sent the request.
type Candidate struct {
	Group string
	// Load estimates how many requests the group has, from all entries.
	Load float64
}

// Policy picks one of the candidates, of which there is at least one, and
// returns its index. It need not be safe for concurrent use.
type Policy interface {
	Pick(request Request, candidates []Candidate, random *rand.Rand) int
}

// PolicyFunc makes a Policy of a function.
type PolicyFunc func(request Request, candidates []Candidate, random *rand.Rand) int

// Pick implements [Policy].
func (f PolicyFunc) Pick(request Request, candidates []Candidate, random *rand.Rand) int {
	return f(request, candidates, random)
}

// Factory returns a new policy.
type Factory func() Policy

// Policies holds the registered policies by name.
var Policies = registrar.New[Factory]("routing policy")
