package warmer

import (
	"math"
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/assigner"
	"github.com/waxwingmount/waxwingmount/pkg/enumerator"
)

const (
	// entryRetention is how long an entry instance that fell silent counts. It may be cut
	// off and go on sending, and the remaining instances must not take over its part of
	// the rate meanwhile. 60 s is longer than a usual warm-up.
	entryRetention = time.Minute
)

// Entry is a live entry instance.
type Entry = enumerator.Entry

// newFleet returns the entry instances that may send requests. One that says that it shuts
// down does not count once it is silent.
func newFleet(self string) *enumerator.Enumerator {
	return enumerator.New(self, enumerator.Settings{Retention: entryRetention})
}

// rank returns how many entry instances have a higher weight for a server than this one.
func (w *Warmer) rank(server string) int { return assigner.Rank(server, w.self, w.fleet.IDs()) }

// part returns how many requests a second this entry instance may send to a server whose
// rank is known. One that knows fewer entry instances than there are is probably cut off and
// has restarted, so that its part is as small as possible.
func (w *Warmer) part(now time.Time, s *server) int {
	part := divide(s.rate(now), w.fleet.Size(), s.rank)
	if !w.fleet.Complete() {
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
	if !w.fleet.Update(now, live, fewest) {
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
