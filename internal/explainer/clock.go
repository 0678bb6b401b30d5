package explainer

import (
	"cmp"
	"slices"
	"time"

	"github.com/waxwingmount/waxwingmount/internal/logger"
)

// clockSample is a comparison of a process's uptime clock with that of a peer.
type clockSample struct {
	peer process
	// offset is how far the peer's clock is ahead.
	offset time.Duration
	// roundTrip is the duration of the call, which bounds the error of offset.
	roundTrip time.Duration
}

// alignClocks converts the uptimes of several processes to one common clock and
// sorts the lines by it. Offsets between monotonic clocks come from the calls
// between the processes, preferring the shortest round trip. A process without
// such a call to the others is placed by its time of day.
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

// clockOffsets returns, for each process, the offset that converts its uptime to
// the common clock.
func clockOffsets(lines []Line) map[process]time.Duration {
	samples := make(map[process][]clockSample)
	startTimes := make(map[process]time.Duration)
	var order []process
	for _, l := range lines {
		if _, known := startTimes[l.process()]; !known {
			order = append(order, l.process())
			// Used if no clock sample connects the process with the others.
			startTimes[l.process()] = time.Duration(l.Wall.UnixNano()) - l.Uptime
		}
		if l.Message != logger.LinePeerClock {
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

// propagateOffsets sets the offsets of all processes that clock samples connect
// with root, whose offset is set. Each step takes the sample with the shortest
// round trip that leads to a process without an offset.
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
