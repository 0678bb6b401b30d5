// Package controller runs the control loop of the system on the one entry
// instance that holds the lease. It forms and repairs replica groups in the
// table service and sends engines the orders that bring them to that state.
// The request path does not depend on it: while the table service is
// unavailable, the groups stay unchanged and requests are still served.
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
	"github.com/waxwingmount/waxwingmount/pkg/faulter"
	"github.com/waxwingmount/waxwingmount/pkg/leaser"
	"github.com/waxwingmount/waxwingmount/pkg/placer"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

const (
	leaseKey  = "leases/control"
	leaseTerm = 3 * time.Second
	// orderTimeout bounds the time from the lease check to the delivery of an
	// order.
	orderTimeout = 500 * time.Millisecond
	// clockError bounds the drift between two clocks over one lease term.
	clockError = 50 * time.Millisecond
	// renewInterval is the time between two renewals of the lease, and between
	// two reads of the instance list.
	renewInterval = 500 * time.Millisecond
	// reconcileInterval is the time between two iterations of the control loop.
	reconcileInterval = 250 * time.Millisecond
	tableTimeout      = 2 * time.Second
	// minRepairDelay is the least time that an instance must be unreachable
	// before it is replaced.
	minRepairDelay = time.Second
	// minDrainTime is long enough for every entry instance to learn of a drain.
	minDrainTime = 3 * time.Second
)

// Dependencies are the collaborators of a Controller.
type Dependencies struct {
	// Holder identifies this process as a lease holder and changes on restart.
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
	// listError is why the last list, or an entry of it, could not be used, or "".
	listError string
}

// New returns a Controller that does not hold the lease.
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

// Start runs the lease, list and control loops in the background until ctx ends.
func (c *Controller) Start(ctx context.Context) {
	go c.leaseLoop(ctx)
	go c.listLoop(ctx)
	go c.reconcileLoop(ctx)
}

// Leader returns the holder of the lease as of the last read, or "" if there is
// none.
func (c *Controller) Leader() string { return c.lease.Holder() }

// Instances returns the newest list of instances.
func (c *Controller) Instances() []provider.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.instances
}

// canSendOrders reports whether the lease outlasts an order sent now.
func (c *Controller) canSendOrders() bool { return c.lease.Remaining() > orderTimeout }

func (c *Controller) leaseLoop(ctx context.Context) {
	pacer.Repeat(ctx, renewInterval, func(ctx context.Context) {
		c.lease.Drive(ctx, leaser.Event{Kind: leaser.Ticked})
	})
}

// Resign releases the lease, so that another instance can take it before it
// expires.
func (c *Controller) Resign(ctx context.Context) { c.lease.Resign(ctx) }

func (c *Controller) listLoop(ctx context.Context) {
	pacer.Repeat(ctx, renewInterval, c.refreshList)
}

// refreshList reads the list of instances. Entries that name none do not cost the others.
func (c *Controller) refreshList(ctx context.Context) {
	instances, err := c.Platform.ListInstances(ctx)
	c.logListError(err)
	if kind, _ := faulter.KindOf[provider.Kind](err); err != nil && kind != provider.KindInvalidEntry {
		return
	}
	c.mu.Lock()
	c.instances = instances
	c.mu.Unlock()
	c.Prober.SetLeaving(leavingInstances(instances))
}

// logListError logs why the list of instances, or an entry of it, can't be used, when that
// changes.
func (c *Controller) logListError(err error) {
	text := ""
	if err != nil {
		text = err.Error()
	}
	c.mu.Lock()
	changed := text != c.listError
	c.listError = text
	c.mu.Unlock()
	if changed && err != nil {
		log.WithError(err).Warn("list of instances")
	}
}

// leavingInstances returns the IDs of the instances that are shutting down.
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
			log.WithError(err).Warn("control loop iteration failed")
		}
	})
}

// reconcile runs one iteration of the control loop: it commits the placer's
// decisions and sends orders. A slightly stale view is safe, since transaction
// guards reject an outdated decision and fencing tokens an outdated order.
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
