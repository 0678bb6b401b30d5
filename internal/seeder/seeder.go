// Package seeder runs property tests with a fixed list of seeds, so that every
// run gives the same result.
//
// # Usage
//
//	func TestProperty(t *testing.T) { seeder.Check(t, checkProperty) }
//
// A failure prints the seed and the shortest failing case.
package seeder

import (
	"flag"
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

// seeds are the random seeds; each runs as a subtest of its own.
var seeds = []uint64{1, 77, 20261203}

// Check checks a property with each seed.
func Check(t *testing.T, property func(*rapid.T)) {
	t.Helper()
	for _, seed := range seeds {
		text := strconv.FormatUint(seed, 10)
		t.Run("seed_"+text, func(t *testing.T) {
			if err := flag.Set("rapid.seed", text); err != nil {
				t.Fatal(err)
			}
			rapid.Check(t, property)
		})
	}
}
