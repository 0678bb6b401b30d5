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
