package explainer

import (
	"cmp"
	"slices"
	"time"

	"github.com/waxwingmount/waxwingmount/internal/logger"
)

// clockSample is what one process's clock showed when another's showed a time.
type clockSample struct {
	peer process
	// offset is how far the peer's clock is offset.
	offset time.Duration
	// roundTrip bounds the error of that.
	roundTrip time.Duration
}

// alignClocks puts lines of several processes on one clock and in its order. The
// processes' steady clocks are joined by the calls between them, the shortest
// first; a process that is joined to no other goes by its time of day.
func alignClocks(lines []Line) {
	toCommon := clockOffsets(lines)
	for i, l := range lines {
		lines[i].At = l.Uptime + toCommon[l.process()]
	}
	slices.SortStableFunc(lines, compareTime)
	if len(lines) == 0 {
		return
	}
	start := lines[0].At
	for i := range lines {
		lines[i].At -= start
	}
}

func compareTime(a, b Line) int { return cmp.Compare(a.At, b.At) }

// clockOffsets returns what to add to each process's uptime.
func clockOffsets(lines []Line) map[process]time.Duration {
	samples := make(map[process][]clockSample)
	startTimes := make(map[process]time.Duration)
	var order []process
	for _, l := range lines {
		if _, known := startTimes[l.process()]; !known {
			order = append(order, l.process())
			// The time of day of the start, for want of better.
			startTimes[l.process()] = time.Duration(l.Wall.UnixNano()) - l.Uptime
		}
		if l.Message != logger.LineClock {
			continue
		}
		peer := process{l.text(logger.FieldPeer), l.text(logger.FieldPeerRun)}
		offset := milliseconds(l.number(logger.FieldPeerUptime) - l.number(logger.FieldLocalUptime))
		roundTrip := milliseconds(l.number(logger.FieldRoundTrip))
		samples[l.process()] = append(samples[l.process()], clockSample{peer, offset, roundTrip})
		samples[peer] = append(samples[peer], clockSample{l.process(), -offset, roundTrip})
	}
	offsets := make(map[process]time.Duration)
	for _, root := range order {
		if _, known := offsets[root]; !known {
			offsets[root] = startTimes[root]
			propagateOffsets(offsets, samples, root)
		}
	}
	return offsets
}

// propagateOffsets finds the offsets of all processes that are joined to one whose
// offset is known, by the surest reading that leads further.
func propagateOffsets(offsets map[process]time.Duration, samples map[process][]clockSample, root process) {
	reached := []process{root}
	for {
		var best *clockSample
		var from process
		for _, p := range reached {
			for _, r := range samples[p] {
				if _, known := offsets[r.peer]; !known && (best == nil || r.roundTrip < best.roundTrip) {
					best, from = &r, p
				}
			}
		}
		if best == nil {
			return
		}
		offsets[best.peer] = offsets[from] - best.offset
		reached = append(reached, best.peer)
	}
}
