package explainer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/waxwingmount/waxwingmount/internal/logger"
	"github.com/waxwingmount/waxwingmount/pkg/faulter"
)

// Tally counts requests by the reason for which they were not answered within
// their objectives.
type Tally struct {
	Requests int           `json:"requests"`
	Causes   map[Cause]int `json:"causes"`
}

func (t *Tally) add(c Cause) {
	if t.Causes == nil {
		t.Causes = make(map[Cause]int)
	}
	t.Requests++
	t.Causes[c]++
}

// Missed returns the number of requests that were not answered within their
// objectives. Those whose caller left are not counted.
func (t Tally) Missed() int { return t.Requests - t.Causes[OnTime] - t.Causes[CallerLeft] }

// RouteTally is the tally of the requests of one route.
type RouteTally struct {
	Route string `json:"route"`
	Tally
}

// WindowTally is the tally of the requests that arrived within one window.
type WindowTally struct {
	From time.Duration `json:"from"`
	Tally
}

// Summary says which requests in the logs missed their objectives, when, and why.
type Summary struct {
	Total  Tally        `json:"total"`
	Routes []RouteTally `json:"routes"`
	// Windows are in order of time.
	Windows []WindowTally `json:"windows"`
}

// unknownRoute stands for the requests that were refused before their route was
// known.
const unknownRoute = "(none)"

// Summarize counts all requests whose end is in the logs, by route and by
// windows of the given length. An error of KindUnknown means that there are none.
func (t *Timeline) Summarize(window time.Duration) (Summary, error) {
	failed := make(map[string]bool)
	routes := make(map[string]*RouteTally)
	windows := make(map[time.Duration]*WindowTally)
	var total Tally
	for _, l := range t.lines {
		switch l.Message {
		case logger.LineAttemptFailed:
			failed[l.text(logger.FieldRequest)] = true
		case logger.LineEnded, logger.LineRefused:
			cause := causeOf(l, failed[l.text(logger.FieldRequest)])
			from := (l.At - milliseconds(l.number("took_ms"))).Truncate(window)
			total.add(cause)
			ensure(routes, cmp.Or(l.text("route"), unknownRoute), func(name string) *RouteTally { return &RouteTally{Route: name} }).add(cause)
			ensure(windows, from, func(at time.Duration) *WindowTally { return &WindowTally{From: at} }).add(cause)
		}
	}
	if total.Requests == 0 {
		return Summary{}, faulter.Newf("summarize", KindUnknown, "no line tells of the end of a request")
	}
	return Summary{Total: total, Routes: sortedValues(routes), Windows: sortedValues(windows)}, nil
}

// ensure returns the value of a key, which it creates if there is none.
func ensure[K comparable, V any](values map[K]*V, key K, create func(K) *V) *V {
	if values[key] == nil {
		values[key] = create(key)
	}
	return values[key]
}

// sortedValues returns the values of a map in the order of their keys.
func sortedValues[K cmp.Ordered, V any](values map[K]*V) []V {
	sorted := make([]V, 0, len(values))
	for _, key := range slices.Sorted(maps.Keys(values)) {
		sorted = append(sorted, *values[key])
	}
	return sorted
}

// CausesByCount returns the causes other than OnTime that occurred, the most
// frequent first.
func (t Tally) CausesByCount() []Cause {
	var causes []Cause
	for c := OnTime + 1; int(c) < causeCount; c++ {
		if t.Causes[c] > 0 {
			causes = append(causes, c)
		}
	}
	slices.SortStableFunc(causes, func(a, b Cause) int { return t.Causes[b] - t.Causes[a] })
	return causes
}
