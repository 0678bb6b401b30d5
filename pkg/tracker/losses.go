package tracker

import (
	"maps"
	"slices"
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

// lossTTL is how long evidence of a loss is kept unless the instance responds
// again: three intervals of the slowest heartbeat plus the list's lag.
const lossTTL = 6 * time.Second

// loss is evidence that one incarnation of an instance is lost.
type loss struct {
	incarnation string
	// since is the time of the first evidence, and at that of the last one.
	since, at time.Time
	// here reports whether the instance is only known not to be reachable from here, and
	// contradicted whether a peer reached it then.
	here, contradicted bool
	// shared reports whether it has ever been evidence for all entry instances.
	shared bool
}

// pruneLosses removes evidence that has expired or concerns an earlier
// incarnation.
func (t *Tracker) pruneLosses(now time.Time) {
	for id, l := range t.losses {
		in, known := t.instances[id]
		if now.Sub(l.at) > lossTTL || known && in.Incarnation != l.incarnation {
			delete(t.losses, id)
		}
	}
}

// MarkLost records evidence that an incarnation of an instance is lost for all. It
// reports whether it was not marked so before. Evidence about another incarnation than
// the listed one is ignored.
func (t *Tracker) MarkLost(now time.Time, id, incarnation string) bool {
	return t.mark(id, loss{incarnation: incarnation, since: now, at: now, shared: true})
}

// MarkLostHere is like MarkLost for an instance that has not been reachable from here since
// a time, though others may reach it.
func (t *Tracker) MarkLostHere(now, since time.Time, id, incarnation string) bool {
	return t.mark(id, loss{incarnation: incarnation, since: since, at: now, here: true})
}

func (t *Tracker) mark(id string, l loss) bool {
	in, known := t.instances[id]
	if known && in.Incarnation != l.incarnation {
		return false
	}
	earlier, alreadyLost := t.losses[id]
	if alreadyLost && earlier.incarnation == l.incarnation {
		l.since = earlier.since
		l.here = l.here && earlier.here
		l.shared = l.shared || earlier.shared
		l.contradicted = l.here && earlier.contradicted
	}
	t.losses[id] = l
	changed := !alreadyLost || earlier.here != l.here
	if changed {
		t.rebuild()
	}
	return changed
}

// RenewLossHere records that an instance that was not reachable from here still is not.
func (t *Tracker) RenewLossHere(now time.Time, id string) {
	if l, lost := t.losses[id]; lost && l.here {
		l.at = now
		t.losses[id] = l
	}
}

// LocalizeLoss records that a peer reached an instance that is lost: it is then only not
// reachable from here. It reports whether that is news.
func (t *Tracker) LocalizeLoss(id string) bool {
	l, lost := t.losses[id]
	if !lost || l.here && l.contradicted {
		return false
	}
	l.here, l.contradicted = true, true
	t.losses[id] = l
	t.rebuild()
	return true
}

// LostForAll reports whether there is evidence that an instance is lost for all entry
// instances, and not only not reachable from here.
func (t *Tracker) LostForAll(id string) bool {
	l, lost := t.losses[id]
	return lost && !l.here
}

// LossShared reports whether there is evidence of a loss that has ever been evidence for
// all entry instances.
func (t *Tracker) LossShared(id string) bool { return t.losses[id].shared }

// ClearLoss removes the evidence of a loss because the instance has responded.
func (t *Tracker) ClearLoss(id string) {
	if _, lost := t.losses[id]; lost {
		delete(t.losses, id)
		t.rebuild()
	}
}

// IsLost reports whether there is evidence that an instance is lost.
func (t *Tracker) IsLost(id string) bool {
	_, lost := t.losses[id]
	return lost
}

// IsLostIn reports whether there is evidence that this incarnation of an instance is lost.
func (t *Tracker) IsLostIn(id, incarnation string) bool {
	l, lost := t.losses[id]
	return lost && l.incarnation == incarnation
}

// LostSince returns the time of the first evidence that an instance is lost, or that it
// can't be reached from here, and whether there is any.
func (t *Tracker) LostSince(id string) (time.Time, bool) {
	if l, lost := t.losses[id]; lost {
		return l.since, true
	}
	return t.path.FailedSince(id)
}

// LostInstances returns the known instances that are marked as lost, sorted by
// ID.
func (t *Tracker) LostInstances() []provider.Instance {
	var found []provider.Instance
	for _, id := range slices.Sorted(maps.Keys(t.losses)) {
		if in, known := t.named[id]; known {
			found = append(found, in)
		}
	}
	return found
}
