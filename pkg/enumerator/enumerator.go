// Package enumerator counts the entry instances among which an allowance of the whole fleet is
// divided. What one of them sees is not the fleet: a peer that falls silent may be cut off and
// go on using its part, and a process that has just started knows nobody. So a silent instance
// counts for some time, and the count is never less than the settings say.
//
// # Usage
//
//	e := enumerator.New(self, enumerator.Settings{Retention: time.Minute})
//	e.Update(now, live, fewest)
//	part := allowance / float64(e.Size())
//
// The package does no I/O; times are passed in.
package enumerator

import (
	"iter"
	"maps"
	"time"
)

// Settings say how long an entry instance that fell silent counts.
type Settings struct {
	// Retention is for one that may be cut off and go on.
	Retention time.Duration
	// LeavingRetention is for one that has said that it shuts down.
	LeavingRetention time.Duration
}

// Entry is a live entry instance.
type Entry struct {
	ID string
	// Leaving means that it shuts down.
	Leaving bool
}

// Enumerator is the set of entry instances that may use parts of an allowance. It is not safe
// for concurrent use.
type Enumerator struct {
	settings Settings
	self     string
	entries  map[string]entry
	// fewest is the least number of entry instances that there are.
	fewest int
}

type entry struct {
	leaving bool
	// silentSince is zero while the entry instance is live.
	silentSince time.Time
}

// New returns an Enumerator that knows only the entry instance self.
func New(self string, s Settings) *Enumerator {
	return &Enumerator{settings: s, self: self, entries: map[string]entry{self: {}}, fewest: 1}
}

// Size returns the number of entry instances among which an allowance is divided.
func (e *Enumerator) Size() int { return max(e.fewest, len(e.entries)) }

// Complete reports whether as many entry instances are known as there are at least. One that
// knows fewer is probably cut off and has restarted.
func (e *Enumerator) Complete() bool { return len(e.entries) >= e.fewest }

// IDs returns the IDs of the known entry instances.
func (e *Enumerator) IDs() iter.Seq[string] { return maps.Keys(e.entries) }

// Update applies the live entry instances, of which there are at least fewest even if fewer
// are known. It reports whether the set has changed.
func (e *Enumerator) Update(now time.Time, live []Entry, fewest int) bool {
	changed := e.fewest != fewest
	e.fewest = fewest
	seen := map[string]bool{e.self: true}
	for _, l := range live {
		seen[l.ID] = true
		if _, known := e.entries[l.ID]; !known {
			changed = true
		}
		e.entries[l.ID] = entry{leaving: l.Leaving}
	}
	for id, known := range e.entries {
		if seen[id] {
			continue
		}
		if known.silentSince.IsZero() {
			known.silentSince = now
			e.entries[id] = known
		}
		if now.Sub(known.silentSince) > e.retention(known) || known.leaving && e.settings.LeavingRetention <= 0 {
			delete(e.entries, id)
			changed = true
		}
	}
	return changed
}

func (e *Enumerator) retention(known entry) time.Duration {
	if known.leaving {
		return e.settings.LeavingRetention
	}
	return e.settings.Retention
}
