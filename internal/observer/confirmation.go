package observer

import (
	"context"
	"time"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/internal/messenger"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

const (
	// confirmationTimeout bounds a probe that confirms the silence of an instance. A process
	// that is slow, or a path that loses a packet, delays a response beyond probeTimeout, but
	// seldom beyond this.
	confirmationTimeout = 500 * time.Millisecond
	// confirmationDelay is by how much the end of such a probe may be noticed late. A process
	// that notices it later has no processor time, and its probes say nothing.
	confirmationDelay = 100 * time.Millisecond
	// confirmationTTL is how long the result of such a probe counts.
	confirmationTTL = time.Second
)

// confirmation is a probe that confirms the silence of an incarnation of an instance.
type confirmation struct {
	// endedAt is zero while the probe runs.
	endedAt time.Time
	silent  bool
}

// Silent reports whether an instance has just refused, or not responded to, a probe that
// leaves it time for delays on this side. It starts one unless there is a recent result, so
// that callers ask again.
func (o *Observer) Silent(in provider.Instance) bool {
	now := clocker.Now()
	key := messenger.Loss{Instance: in.ID, Incarnation: in.Incarnation}
	o.mu.Lock()
	defer o.mu.Unlock()
	c, found := o.confirmations[key]
	if found && (c.endedAt.IsZero() || now.Sub(c.endedAt) < confirmationTTL) {
		return c.silent
	}
	for other, c := range o.confirmations {
		if !c.endedAt.IsZero() && now.Sub(c.endedAt) >= confirmationTTL {
			delete(o.confirmations, other)
		}
	}
	o.confirmations[key] = confirmation{}
	go o.runConfirmation(in, key)
	return false
}

// runConfirmation probes an instance and records what that says of it.
func (o *Observer) runConfirmation(in provider.Instance, key messenger.Loss) {
	began := clocker.Now()
	err := o.Prober.Probe(context.Background(), in, confirmationTimeout)
	if err == nil {
		o.handleResponse(in, began)
	}
	now := clocker.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.confirmations[key] = confirmation{endedAt: now, silent: err != nil && now.Sub(began) < confirmationTimeout+confirmationDelay}
}
