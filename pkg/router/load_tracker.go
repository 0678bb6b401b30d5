package router

import (
	"time"
)

// LoadTracker tracks the load of each group as seen from one entry instance. It
// does no I/O and is not safe for concurrent use.
type LoadTracker struct {
	groups map[string]*groupLoad
}

// groupLoad is the state of one group.
type groupLoad struct {
	// own is the number of requests that this entry instance has in flight.
	own int
	// others is the estimated number of requests that other entry instances
	// have in flight, from the last report.
	others float64
	// reportedAt is the time of the last report.
	reportedAt time.Time
	outlier    outlierState
}

// NewLoadTracker returns a tracker without groups.
func NewLoadTracker() *LoadTracker {
	return &LoadTracker{groups: make(map[string]*groupLoad)}
}

// ensure returns the state of the group and creates it if needed.
func (t *LoadTracker) ensure(group string) *groupLoad {
	g, found := t.groups[group]
	if !found {
		g = &groupLoad{}
		t.groups[group] = g
	}
	return g
}

// Begin records that a request is sent to the group.
func (t *LoadTracker) Begin(group string) { t.ensure(group).own++ }

// End records that a request to the group has ended, and whether the group failed
// to serve it.
func (t *LoadTracker) End(now time.Time, group string, failed bool) {
	g := t.ensure(group)
	g.own = max(0, g.own-1)
	g.outlier.record(now, failed)
}

// Report records the number of requests in flight that the group's engine reports.
// Those that this entry instance did not send count as sent by others. A report
// older than the last is ignored.
func (t *LoadTracker) Report(now time.Time, group string, inFlight int) {
	g := t.ensure(group)
	if now.Before(g.reportedAt) {
		return
	}
	g.others = max(0, float64(inFlight-g.own))
	g.reportedAt = now
}

// InFlight returns the number of requests that this entry instance has in flight
// at the group.
func (t *LoadTracker) InFlight(group string) int {
	if g, found := t.groups[group]; found {
		return g.own
	}
	return 0
}

// Load returns the estimated number of requests that the group has in flight from
// all entry instances.
func (t *LoadTracker) Load(group string) float64 {
	g, found := t.groups[group]
	if !found {
		return 0
	}
	return float64(g.own) + g.others
}

// Retain removes the groups for which keep returns false, except those with
// requests of this entry instance in flight.
func (t *LoadTracker) Retain(keep func(group string) bool) {
	for name, g := range t.groups {
		if g.own == 0 && !keep(name) {
			delete(t.groups, name)
		}
	}
}
