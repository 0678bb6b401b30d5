package warmer

import (
	"math"
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/assigner"
)

const (
	// entryRetention is how long an entry instance that fell silent counts. It may be cut
	// off and go on sending, and the remaining instances must not take over its part of
	// the rate meanwhile. 60 s is longer than a usual warm-up.
	entryRetention = time.Minute
)

// Entry is a live entry instance.
type Entry struct {
	ID string
	// Leaving means that it shuts down; once it is silent, it does not count.
	Leaving bool
}

// fleet is the set of entry instances that may send requests.
type fleet struct {
	self    string
	entries map[string]*entry
	// fewest is the least number of entry instances that there are.
	fewest int
}

type entry struct {
	leaving bool
	// silentSince is zero while the entry instance is live.
	silentSince time.Time
}

func newFleet(self string) fleet {
	return fleet{self: self, entries: map[string]*entry{self: {}}, fewest: 1}
}

// size returns the number of entry instances among which a rate is divided.
func (f *fleet) size() int { return max(f.fewest, len(f.entries)) }

// update applies the live entry instances. It reports whether the set has changed.
func (f *fleet) update(now time.Time, live []Entry, fewest int) bool {
	changed := f.fewest != fewest
	f.fewest = fewest
	seen := map[string]bool{f.self: true}
	for _, l := range live {
		seen[l.ID] = true
		if _, known := f.entries[l.ID]; !known {
			changed = true
		}
		f.entries[l.ID] = &entry{leaving: l.Leaving}
	}
	for id, e := range f.entries {
		if seen[id] {
			continue
		}
		if e.silentSince.IsZero() {
			e.silentSince = now
		}
		if e.leaving || now.Sub(e.silentSince) > entryRetention {
			delete(f.entries, id)
			changed = true
		}
	}
	return changed
}

// rank returns how many entry instances have a higher weight for a server than this one.
func (f *fleet) rank(server string) int {
	return assigner.Rank(server, f.self, func(yield func(string) bool) {
		for id := range f.entries {
			if !yield(id) {
				return
			}
		}
	})
}

// part returns how many requests a second this entry instance may send to a server whose
// rank is known. One that knows fewer entry instances than there are is probably cut off and
// has restarted, so that its part is as small as possible.
func (w *Warmer) part(now time.Time, s *server) int {
	part := divide(s.rate(now), w.fleet.size(), s.rank)
	if len(w.fleet.entries) < w.fleet.fewest {
		return min(part, 1)
	}
	return part
}

// SetEntries applies the live entry instances, of which there are at least fewest even if
// fewer are known. One that takes over a part of a cold server's rate waits until the
// allowances of the one before it have run out.
func (w *Warmer) SetEntries(now time.Time, live []Entry, fewest int) {
	outside := make(map[*server]bool)
	for name, s := range w.servers {
		if s.isLimited(now) {
			w.ensureRank(name, s)
			outside[s] = w.part(now, s) == 0
		}
	}
	if !w.fleet.update(now, live, fewest) {
		return
	}
	for name, s := range w.servers {
		s.ranked = false
		if !outside[s] {
			continue
		}
		w.ensureRank(name, s)
		if w.part(now, s) > 0 {
			s.notBefore = now.Add(window)
		}
	}
}

// divide returns how many requests a second the entry instance with that rank may send to a
// server so that all together keep to the rate. Every one gets a part if there are enough,
// so that the part that is lost or counted twice while views of the fleet differ is small.
func divide(rate float64, entries, rank int) int {
	total := max(1, int(math.Floor(rate)))
	senders := min(entries, total)
	switch {
	case rank >= senders:
		return 0
	case rank < total%senders:
		return total/senders + 1
	}
	return total / senders
}
