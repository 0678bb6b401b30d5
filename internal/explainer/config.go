package explainer

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/waxwingmount/waxwingmount/internal/logger"
	"github.com/waxwingmount/waxwingmount/pkg/faulter"
)

// ExplainConfig returns the lines that show when each process had a version of the
// configuration or a later one, and the requests that were sent or refused by an older
// one after the first process had it. An error of KindUnknown means that no line tells
// of the version.
func (t *Timeline) ExplainConfig(version uint64) (Explanation, error) {
	subject := fmt.Sprint("version ", version)
	inForce, order := t.configInForce(version)
	if len(order) == 0 {
		return Explanation{}, faulter.Newf("explain", KindUnknown, "no line tells of version %d of the configuration", version)
	}
	first := t.lines[inForce[order[0]]].At
	var lines []Line
	var byOlder int
	var longest time.Duration
	for i, l := range t.lines {
		at, has := inForce[l.process()]
		switch {
		case has && at == i:
			lines = append(lines, l)
		case l.At < first:
		case isHandledByOlder(l, version):
			lines = append(lines, l)
			byOlder++
			longest = max(longest, l.At-first)
		case isDependency(l) && (!has || i < at):
			lines = append(lines, l)
		}
	}
	last := t.lines[inForce[order[len(order)-1]]]
	var cause strings.Builder
	fmt.Fprintf(&cause, "in force at %d processes, first at %s, last at %s %s later", len(order), t.lines[inForce[order[0]]].Entry, last.Entry, (last.At - first).Round(time.Millisecond))
	if missing := t.processesWithout(inForce, first); len(missing) > 0 {
		fmt.Fprintf(&cause, "; never at %s", strings.Join(missing, ", "))
	}
	if byOlder > 0 {
		fmt.Fprintf(&cause, "; %d requests were sent or refused by an older version, the last %s after the first had it", byOlder, longest.Round(time.Millisecond))
	}
	return Explanation{Subject: subject, Lines: lines, Cause: cause.String()}, nil
}

// configInForce returns the index of the line that shows that a process has the version or
// a later one, by process, and the processes in the order of these lines.
func (t *Timeline) configInForce(version uint64) (map[process]int, []process) {
	lines := make(map[process]int)
	var order []process
	for i, l := range t.lines {
		if _, known := lines[l.process()]; known || l.Message != logger.LineConfigInForce || l.number(logger.FieldVersion) < float64(version) {
			continue
		}
		lines[l.process()] = i
		order = append(order, l.process())
	}
	return lines, order
}

// isHandledByOlder reports whether a request was sent or refused by an older version.
func isHandledByOlder(l Line, version uint64) bool {
	known, given := l.Fields[logger.FieldConfigVersion].(float64)
	return given && known < float64(version) && (l.Message == logger.LineSent || l.Message == logger.LineRefused)
}

// isDependency reports whether a line tells of the store or of a peer.
func isDependency(l Line) bool {
	return slices.Contains([]string{logger.LineStoreLost, logger.LineStoreRegained, logger.LinePeerSilent}, l.Message)
}

// processesWithout returns the entry instances whose processes ran on after a time and
// never had the version, sorted.
func (t *Timeline) processesWithout(inForce map[process]int, after time.Duration) []string {
	var missing []string
	for _, l := range t.lines {
		if _, has := inForce[l.process()]; !has && l.At > after && !slices.Contains(missing, l.Entry) {
			missing = append(missing, l.Entry)
		}
	}
	slices.Sort(missing)
	return missing
}
