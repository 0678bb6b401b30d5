// Package watcher decides which entry instances probe which instances. A few
// entries, picked by rendezvous hashing over the live ones, watch each group;
// the others take their evidence, and probe by themselves when it grows old.
//
// # Usage
//
//	watchers := watcher.Assign(group.ID, entryIDs, 3)
//	mine := watcher.Watches(group.ID, self, entryIDs, 3)
package assigner

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Assign returns the count entries that watch the subject, first choice first.
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

func weight(key, entry string) uint64 {
	return xxhash.Sum64String(entry + "\x00" + key)
}

// IsAssigned reports whether the entry is among the count that watch the subject.
func IsAssigned(key, entry string, entries []string, count int) bool {
	return slices.Contains(Assign(key, entries, count), entry)
}
