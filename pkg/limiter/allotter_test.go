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
	testRate = 100.0
	testTerm = 2 * time.Second
	// rounding covers the sum of floating point parts.
	rounding = 1e-6
)

// TestPartsNeverExceedTheRate lets entries come, go and change their demand,
// and homes change hands, and demands that the live parts of one home and of
// the one before it never exceed the rate.
func TestPartsNeverExceedTheRate(t *testing.T) {
	seeder.Check(t, checkParts)
}

func checkParts(t *rapid.T) {
	now := time.Now()
	home := NewQuotaAllocator(now, testRate, testTerm)
	held := make(map[string]QuotaLease)
	for range rapid.IntRange(1, 100).Draw(t, "steps") {
		now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "pause_ms")) * time.Millisecond)
		if rapid.IntRange(0, 19).Draw(t, "home") == 0 {
			home = NewQuotaAllocator(now, testRate, testTerm)
		}
		entry := fmt.Sprintf("entry-%d", rapid.IntRange(0, 8).Draw(t, "entry"))
		allotment := home.Allocate(now, Demand{Entry: entry, PerSecond: rapid.Float64Range(0, 300).Draw(t, "demand")})
		if allotment.PerSecond > 0 {
			held[entry] = allotment
		}
		sum := 0.0
		for _, a := range held {
			if now.Before(a.Expiry) {
				sum += a.PerSecond
			}
		}
		if sum > testRate+rounding {
			t.Fatalf("parts of %.3f a second are out, of a rate of %.0f", sum, testRate)
		}
	}
}

// TestPartsReachTheRate demands that steady entries get the whole rate in
// total, by demand.
func TestPartsReachTheRate(t *testing.T) {
	now := time.Now()
	home := NewQuotaAllocator(now, testRate, testTerm)
	now = now.Add(testTerm)
	demands := map[string]float64{"a": 300, "b": 100, "c": 0}
	var parts map[string]float64
	for range 20 {
		parts = make(map[string]float64)
		now = now.Add(testTerm / 4)
		for entry, demand := range demands {
			parts[entry] = home.Allocate(now, Demand{Entry: entry, PerSecond: demand}).PerSecond
		}
	}
	total := parts["a"] + parts["b"] + parts["c"]
	assert.Assert(t, total > 0.95*testRate && total <= testRate+rounding, "total %.2f", total)
	assert.Assert(t, parts["a"] > 2*parts["b"], "parts %v", parts)
}
