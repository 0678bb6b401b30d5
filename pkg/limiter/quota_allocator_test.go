package limiter

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/waxwingmount/waxwingmount/internal/seeder"
)

const (
	testRate      = 100.0
	testLeaseTerm = 2 * time.Second
	// roundingError is the tolerance for the sum of floating-point rates.
	roundingError = 1e-6
)

// TestLeasesNeverExceedRate guards against granting more than the rate: with
// entry instances and demands that change and quota owners that are replaced, the
// unexpired leases of the current and the previous owner stay within the rate.
func TestLeasesNeverExceedRate(t *testing.T) {
	seeder.Check(t, checkLeaseSum)
}

// checkLeaseSum fails if the unexpired leases ever exceed the rate.
func checkLeaseSum(t *rapid.T) {
	now := time.Now()
	allocator := NewQuotaAllocator(now, testRate, testLeaseTerm)
	held := make(map[string]QuotaLease)
	for range rapid.IntRange(1, 100).Draw(t, "steps") {
		now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "pause_ms")) * time.Millisecond)
		if rapid.IntRange(0, 19).Draw(t, "new_owner") == 0 {
			allocator = NewQuotaAllocator(now, testRate, testLeaseTerm)
		}
		entry := fmt.Sprintf("entry-%d", rapid.IntRange(0, 8).Draw(t, "entry"))
		lease := allocator.Allocate(now, Demand{Entry: entry, PerSecond: rapid.Float64Range(0, 300).Draw(t, "demand")})
		if lease.PerSecond > 0 {
			held[entry] = lease
		}
		sum := 0.0
		for _, l := range held {
			if now.Before(l.Expiry) {
				sum += l.PerSecond
			}
		}
		if sum > testRate+roundingError {
			t.Fatalf("unexpired leases of %.3f requests per second exceed the rate of %.0f", sum, testRate)
		}
	}
}

// TestLeasesReachRate checks that steady demands are granted the whole rate in
// total, in proportion to the demands.
func TestLeasesReachRate(t *testing.T) {
	now := time.Now()
	allocator := NewQuotaAllocator(now, testRate, testLeaseTerm)
	now = now.Add(testLeaseTerm)
	demands := map[string]float64{"a": 300, "b": 100, "c": 0}
	var leased map[string]float64
	for range 20 {
		leased = make(map[string]float64)
		now = now.Add(testLeaseTerm / 4)
		for entry, demand := range demands {
			leased[entry] = allocator.Allocate(now, Demand{Entry: entry, PerSecond: demand}).PerSecond
		}
	}
	total := leased["a"] + leased["b"] + leased["c"]
	assert.Assert(t, total > 0.95*testRate && total <= testRate+roundingError, "total %.2f", total)
	assert.Assert(t, leased["a"] > 2*leased["b"], "leases %v", leased)
}
