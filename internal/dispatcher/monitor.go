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

// Causes for which the dispatcher itself ends a try.
var (
	errGroupBroken = errors.New("a member of the group is missing")
	errStalled     = errors.New("the group made no progress and its members are in doubt")
)

// attemptMonitor is one try that is under way at a replica group.
type attemptMonitor struct {
	group     grouper.Group
	cancel    context.CancelCauseFunc
	startedAt time.Time
	// progress is the time from began to the last byte.
	progress atomic.Int64
}

func (f *attemptMonitor) recordProgress() { f.progress.Store(int64(time.Since(f.startedAt))) }

func (f *attemptMonitor) idle(now time.Time) time.Duration {
	return now.Sub(f.startedAt) - time.Duration(f.progress.Load())
}

func (d *Dispatcher) addMonitor(f *attemptMonitor) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.monitors[f] = struct{}{}
}

func (d *Dispatcher) removeMonitor(f *attemptMonitor) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.monitors, f)
}

// cancelFailingAttempts ends the tries on groups that are broken, and those that stand still
// on groups whose members are in doubt.
func (d *Dispatcher) cancelFailingAttempts(now time.Time) {
	config := d.configs.Config()
	if config == nil {
		return
	}
	groups := d.configs.Groups().Groups
	d.mu.Lock()
	d.tracker.Keep(func(name string) bool {
		_, known := groups[name]
		return known || strings.Contains(name, serviceSeparator)
	})
	flights := make([]*attemptMonitor, 0, len(d.monitors))
	for f := range d.monitors {
		flights = append(flights, f)
	}
	d.mu.Unlock()
	verdicts := make(map[string]gatekeeper.Verdict)
	for _, f := range flights {
		verdict, known := verdicts[f.group.ID]
		if !known {
			verdict = d.gates.Check(f.group)
			verdicts[f.group.ID] = verdict
		}
		switch {
		case verdict.Broken():
			f.cancel(errGroupBroken)
		case verdict.Doubtful() && f.idle(now) > config.Gate.EvidenceTTL:
			f.cancel(errStalled)
		}
	}
}
