package dispatcher

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingmount/waxwingmount/pkg/gatekeeper"
	"github.com/waxwingmount/waxwingmount/pkg/grouper"
)

// Causes for which the dispatcher cancels an attempt.
var (
	errGroupBroken = errors.New("group is missing a member")
	errStalled     = errors.New("group made no progress and lacks fresh evidence for a member")
)

// attemptMonitor tracks the progress of a running attempt at a replica group,
// so that the dispatcher can cancel the attempt when the group fails.
type attemptMonitor struct {
	group     grouper.Group
	cancel    context.CancelCauseFunc
	startedAt time.Time
	// progress is the time from startedAt to the last received line, in
	// nanoseconds.
	progress atomic.Int64
}

func (m *attemptMonitor) recordProgress() { m.progress.Store(int64(time.Since(m.startedAt))) }

// idle returns the time since the last progress.
func (m *attemptMonitor) idle(now time.Time) time.Duration {
	return now.Sub(m.startedAt) - time.Duration(m.progress.Load())
}

func (d *Dispatcher) addMonitor(m *attemptMonitor) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.monitors[m] = struct{}{}
}

func (d *Dispatcher) removeMonitor(m *attemptMonitor) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.monitors, m)
}

// cancelFailingAttempts cancels the attempts at groups that are known to miss
// a member, and those that made no progress for longer than the evidence TTL
// at groups without fresh evidence for each member. It also drops the load
// counters of groups that no longer exist.
func (d *Dispatcher) cancelFailingAttempts(now time.Time) {
	config := d.configs.Config()
	if config == nil {
		return
	}
	groups := d.configs.Groups().Groups
	d.mu.Lock()
	d.tracker.Retain(func(name string) bool {
		_, known := groups[name]
		return known || strings.Contains(name, serviceSeparator)
	})
	monitors := make([]*attemptMonitor, 0, len(d.monitors))
	for m := range d.monitors {
		monitors = append(monitors, m)
	}
	d.mu.Unlock()
	verdicts := make(map[string]gatekeeper.Verdict)
	for _, m := range monitors {
		verdict, known := verdicts[m.group.ID]
		if !known {
			verdict = d.gates.Check(m.group)
			verdicts[m.group.ID] = verdict
		}
		switch {
		case verdict.Broken():
			m.cancel(errGroupBroken)
		case verdict.Unverified() && m.idle(now) > config.Gate.EvidenceTTL:
			m.cancel(errStalled)
		}
	}
}
