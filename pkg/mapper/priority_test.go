package mapper

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestRankClass guards against a less urgent priority in a more urgent class, and against a
// class out of range, where the configuration has more priorities than classes.
func TestRankClass(t *testing.T) {
	few := New(Config{Routes: []Route{{Priority: 0}, {Priority: 2}, {Priority: 7}}})
	for priority, class := range map[int]int{-1: 0, 0: 0, 2: 1, 7: 2, 9: 3} {
		assert.Equal(t, few.RankClass(priority, 4), class, "priority %d", priority)
	}
	many := New(Config{
		Routes:        []Route{{Priority: 0}, {Priority: 1}, {Priority: 2}},
		Organisations: []Organisation{{Priority: 0}, {Priority: 1}},
	})
	last := 0
	for _, priority := range []int{0, 1, 2, 100, 101, 102, 500} {
		class := many.RankClass(priority, 4)
		assert.Assert(t, class >= last && class < 4, "priority %d: %d", priority, class)
		last = class
	}
	assert.Equal(t, last, 3)
}

// The order at the servers must not be stated where all routes of a service have one rank.
func TestRankedServices(t *testing.T) {
	table := New(Config{Routes: []Route{
		{Priority: 1, Targets: []Target{{Service: "same"}, {Service: "mixed"}}},
		{Priority: 1, Targets: []Target{{Service: "same"}}},
		{Priority: 0, Targets: []Target{{Service: "mixed"}}},
	}})
	assert.Assert(t, !table.Ranked("same"))
	assert.Assert(t, table.Ranked("mixed"))
}
