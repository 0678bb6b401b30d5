package explainer

import (
	"cmp"
	"slices"
	"time"

	"github.com/waxwingmount/waxwingmount/internal/logger"
)

// reading is what one process's clock showed when another's showed a time.
type reading struct {
	peer process
	// ahead is how far the peer's clock is ahead.
	ahead time.Duration
	// trip bounds the error of that.
	trip time.Duration
}

// align puts lines of several processes on one clock and in its order. The
// processes' steady clocks are joined by the calls between them, the shortest
// first; a process that is joined to no other goes by its time of day.
func align(lines []Line) {
	added := offsets(lines)
	for i, l := range lines {
		lines[i].At = l.Uptime + added[l.process()]
	}
	slices.SortStableFunc(lines, byTime)
	if len(lines) == 0 {
		return
	}
	start := lines[0].At
	for i := range lines {
		lines[i].At -= start
	}
}

func byTime(a, b Line) int { return cmp.Compare(a.At, b.At) }

// offsets returns what to add to each process's uptime.
func offsets(lines []Line) map[process]time.Duration {
	readings := make(map[process][]reading)
	starts := make(map[process]time.Duration)
	var order []process
	for _, l := range lines {
		if _, known := starts[l.process()]; !known {
			order = append(order, l.process())
			// The time of day of the start, for want of better.
			starts[l.process()] = time.Duration(l.Wall.UnixNano()) - l.Uptime
		}
		if l.Message != logger.LineClock {
			continue
		}
		peer := process{l.text(logger.FieldPeer), l.text(logger.FieldPeerRun)}
		ahead := millis(l.number(logger.FieldPeerUptime) - l.number(logger.FieldLocalUptime))
		trip := millis(l.number(logger.FieldRoundTrip))
		readings[l.process()] = append(readings[l.process()], reading{peer, ahead, trip})
		readings[peer] = append(readings[peer], reading{l.process(), -ahead, trip})
	}
	found := make(map[process]time.Duration)
	for _, first := range order {
		if _, known := found[first]; !known {
			found[first] = starts[first]
			spread(found, readings, first)
		}
	}
	return found
}

// spread finds the offsets of all processes that are joined to one whose
// offset is known, by the surest reading that leads further.
func spread(found map[process]time.Duration, readings map[process][]reading, first process) {
	joined := []process{first}
	for {
		var best *reading
		var from process
		for _, p := range joined {
			for _, r := range readings[p] {
				if _, known := found[r.peer]; !known && (best == nil || r.trip < best.trip) {
					best, from = &r, p
				}
			}
		}
		if best == nil {
			return
		}
		found[best.peer] = found[from] - best.ahead
		joined = append(joined, best.peer)
	}
}
