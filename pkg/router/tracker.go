package router

import (
	"time"
)

// LoadTracker knows the load of each group as seen from one entry instance. It
// does no I/O and is not safe for concurrent use.
type LoadTracker struct {
	groups map[string]*groupLoad
}

// groupLoad is what is known of one group.
type groupLoad struct {
	// own counts the requests that this entry has in flight.
	own int
	// others estimates the requests of other entries, from the last report.
	others float64
	// reportedAt is the time of that report.
	reportedAt time.Time
	outlier    outlierState
}

// NewLoadTracker returns a tracker that knows no group.
func NewLoadTracker() *LoadTracker {
	return &LoadTracker{groups: make(map[string]*groupLoad)}
}

func (t *LoadTracker) ensure(group string) *groupLoad {
	l, found := t.groups[group]
	if !found {
		l = &groupLoad{}
		t.groups[group] = l
	}
	return l
}

// Begin counts a request that is sent to the group.
func (t *LoadTracker) Begin(group string) { t.ensure(group).own++ }

// End counts a request that is over, and whether the group failed it.
func (t *LoadTracker) End(now time.Time, group string, failed bool) {
	l := t.ensure(group)
	l.own = max(0, l.own-1)
	l.outlier.record(now, failed)
}

// Report takes in how many requests the group's engine said it has. What is
// not this entry's own belongs to the others.
func (t *LoadTracker) Report(now time.Time, group string, inFlight int) {
	l := t.ensure(group)
	if now.Before(l.reportedAt) {
		return
	}
	l.others = max(0, float64(inFlight-l.own))
	l.reportedAt = now
}

// InFlight returns how many requests this entry has at the group.
func (t *LoadTracker) InFlight(group string) int {
	if l, found := t.groups[group]; found {
		return l.own
	}
	return 0
}

// Load estimates all requests that the group has.
func (t *LoadTracker) Load(group string) float64 {
	l, found := t.groups[group]
	if !found {
		return 0
	}
	return float64(l.own) + l.others
}

// Prune drops the groups for which keep says no and that have nothing in flight.
func (t *LoadTracker) Prune(keep func(group string) bool) {
	for group, l := range t.groups {
		if l.own == 0 && !keep(group) {
			delete(t.groups, group)
		}
	}
}
