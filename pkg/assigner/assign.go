// Package assigner assigns keys, such as group IDs, to entry instances by
// rendezvous hashing over the live entry instances. All entry instances with
// the same list of live ones compute the same assignment.
//
// The few entry instances that are assigned to a group probe its instances. The
// others use the evidence that these relay, and probe the instances themselves
// once it is too old.
//
// # Usage
//
//	probers := assigner.Assign(group.ID, entryIDs, 3)
//	assigned := assigner.IsAssigned(group.ID, self, entryIDs, 3)
package assigner

import (
	"iter"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Assign returns the count entry instances with the highest weights for the
// key, highest first, or all of them if there are fewer.
func Assign(key string, entries []string, count int) []string {
	ranked := slices.Clone(entries)
	slices.SortFunc(ranked, func(a, b string) int {
		weightA, weightB := weight(key, a), weight(key, b)
		switch {
		case weightA > weightB:
			return -1
		case weightA < weightB:
			return 1
		}
		return 0
	})
	return ranked[:min(count, len(ranked))]
}

// weight returns the rendezvous weight of an entry instance for a key.
func weight(key, entry string) uint64 {
	return xxhash.Sum64String(entry + "\x00" + key)
}

// IsAssigned reports whether the entry instance is among the count that Assign
// returns for the key.
func IsAssigned(key, entry string, entries []string, count int) bool {
	return slices.Contains(Assign(key, entries, count), entry)
}

// RankSpread returns all entry instances in an order for the key in which each place has its
// turn, the first place first: what can't be reached from one place may be from others.
func RankSpread(key string, placeOf map[string]string, first string) []string {
	ranked := Assign(key, slices.Collect(maps.Keys(placeOf)), len(placeOf))
	turns := make(map[string]int)
	order := make(map[string]int, len(ranked))
	for i, entry := range ranked {
		place := placeOf[entry]
		order[entry] = 2*len(ranked)*turns[place] + i
		if place == first {
			order[entry] -= len(ranked)
		}
		turns[place]++
	}
	slices.SortFunc(ranked, func(a, b string) int { return order[a] - order[b] })
	return ranked
}

// Round returns the count entries after those of the earlier rounds, beginning again at the
// end.
func Round(ranked []string, count, round int) []string {
	if len(ranked) <= count {
		return ranked
	}
	first := round * count % len(ranked)
	return slices.Concat(ranked[first:], ranked[:first])[:count]
}

// Rank returns how many of the entry instances have a higher weight for the key than one of
// them: its place in the result of Assign.
func Rank(key, entry string, entries iter.Seq[string]) int {
	own, rank := weight(key, entry), 0
	for other := range entries {
		if weight(key, other) > own {
			rank++
		}
	}
	return rank
}
