// Package controller runs the control loop of the system on the one entry
// instance that holds the lease: it forms and repairs replica groups through
// the table service and orders engines to follow it. Serving does not need
// it; while the table is down nothing changes and everything goes on.
//
// # Usage
//
//	c := controller.New(controller.Dependencies{...})
//	c.Start(ctx)
package controller

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/uber-go/tally/v4"

	"github.com/waxwingmount/waxwingmount/internal/pacer"
	"github.com/waxwingmount/waxwingmount/internal/prober"
	"github.com/waxwingmount/waxwingmount/internal/renewer"
	"github.com/waxwingmount/waxwingmount/internal/syncer"
	"github.com/waxwingmount/waxwingmount/pkg/leaser"
	"github.com/waxwingmount/waxwingmount/pkg/placer"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

const (
	leaseKey  = "leases/control"
	leaseTerm = 3 * time.Second
	// orderTimeout is the longest time from the check of the lease to the end
	// of an order's delivery.
	orderTimeout = 500 * time.Millisecond
	// clockError covers clocks of different rate over one term.
	clockError = 50 * time.Millisecond
	// renewInterval is the time between two looks at the lease.
	renewInterval = 500 * time.Millisecond
	// reconcileInterval is the time between two passes of the control loop.
	reconcileInterval = 250 * time.Millisecond
	tableTimeout      = 2 * time.Second
	// minRepairDelay is how long an instance is silent before it is replaced.
	minRepairDelay = time.Second
	// minDrainTime lets every entry instance learn of a drain.
	minDrainTime = 3 * time.Second
)

// Dependencies are what a Controller works with.
type Dependencies struct {
	// Holder names this process; a restart has another name.
	Holder   string
	Platform provider.Platform
	Syncer   *syncer.Syncer
	Prober   *prober.Prober
	Scope    tally.Scope
}

// Controller is the control loop of one entry instance.
type Controller struct {
	Dependencies
	sender *sender
	placer *placer.Placer
	lease  *renewer.Renewer

	mu sync.Mutex
	// instances is the newest list of instances.
	instances []provider.Instance
}

// New returns a controller that does not hold the lease.
func New(d Dependencies) *Controller {
	return &Controller{
		Dependencies: d,
		sender:       newSender(),
		placer:       placer.New(),
		lease: renewer.New(d.Platform, leaser.Settings{
			Key:    leaseKey,
			Holder: d.Holder,
			Term:   leaseTerm,
			Margin: clockError + orderTimeout,
		}, time.Now),
	}
}

// Start begins the duties; they end with ctx.
func (c *Controller) Start(ctx context.Context) {
	go c.leaseLoop(ctx)
	go c.listLoop(ctx)
	go c.reconcileLoop(ctx)
}

// Leader returns who held the lease when it was last read.
func (c *Controller) Leader() string { return c.lease.Holder() }

// Instances returns the newest list of instances.
func (c *Controller) Instances() []provider.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.instances
}

// canSendOrders reports whether an order sent now ends within the lease.
func (c *Controller) canSendOrders() bool { return c.lease.Remaining() > orderTimeout }

func (c *Controller) leaseLoop(ctx context.Context) {
	pacer.Repeat(ctx, renewInterval, func(ctx context.Context) {
		c.lease.Drive(ctx, leaser.Event{Kind: leaser.Ticked})
	})
}

// Resign gives the lease up, so that another instance need not wait for its end.
func (c *Controller) Resign(ctx context.Context) { c.lease.Resign(ctx) }

func (c *Controller) listLoop(ctx context.Context) {
	pacer.Repeat(ctx, renewInterval, func(ctx context.Context) {
		instances, err := c.Platform.ListInstances(ctx)
		if err != nil {
			return
		}
		c.mu.Lock()
		c.instances = instances
		c.mu.Unlock()
		c.Prober.SetLeaving(leavingInstances(instances))
	})
}

// leavingInstances returns the instances that are about to stop.
func leavingInstances(instances []provider.Instance) map[string]bool {
	set := make(map[string]bool)
	for _, in := range instances {
		if in.Leaving {
			set[in.ID] = true
		}
	}
	return set
}

func (c *Controller) reconcileLoop(ctx context.Context) {
	pacer.Repeat(ctx, reconcileInterval, func(ctx context.Context) {
		if !c.canSendOrders() {
			c.Prober.SetExtraTargets(nil)
			return
		}
		if err := c.reconcile(ctx); err != nil {
			log.WithError(err).Warn("control pass ended early")
		}
	})
}

// reconcile looks at the groups that are followed, commits what the placer decides,
// and sends orders. A view that is a little old does no harm: guards refuse a
// decision and fences an order that it would make wrong.
func (c *Controller) reconcile(ctx context.Context) error {
	config := c.Syncer.Config()
	if config == nil {
		return nil
	}
	c.probeAllInstances()
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	if config.Capacity.ManageGroups && c.place(ctx, *c.Syncer.Groups()) {
		if err := c.Syncer.Refresh(ctx); err != nil {
			return err
		}
	}
	c.sendOrders(ctx, *c.Syncer.Groups())
	return nil
}
