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

// flight is one try that is under way at a replica group.
type flight struct {
	group  grouper.Group
	cancel context.CancelCauseFunc
	began  time.Time
	// progress is the time from began to the last byte.
	progress atomic.Int64
}

func (f *flight) touch() { f.progress.Store(int64(time.Since(f.began))) }

func (f *flight) idle(now time.Time) time.Duration {
	return now.Sub(f.began) - time.Duration(f.progress.Load())
}

func (d *Dispatcher) takeOff(f *flight) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.flights[f] = struct{}{}
}

func (d *Dispatcher) land(f *flight) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.flights, f)
}

// sweep ends the tries on groups that are broken, and those that stand still
// on groups whose members are in doubt.
func (d *Dispatcher) sweep(now time.Time) {
	config := d.configs.Config()
	if config == nil {
		return
	}
	groups := d.configs.Groups().Groups
	d.mu.Lock()
	d.tracker.Prune(func(name string) bool {
		_, known := groups[name]
		return known || strings.Contains(name, serviceMark)
	})
	flights := make([]*flight, 0, len(d.flights))
	for f := range d.flights {
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
