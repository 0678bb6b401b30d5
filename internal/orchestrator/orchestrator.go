// Package orchestrator runs the control loop of a hosted system on the one entry
// instance that holds the lease: it lets a [scheduler.Scheduler] decide which
// instances form which groups, and sends its orders. Serving does not need it.
//
// # Usage
//
//	o := orchestrator.New(orchestrator.Dependencies{...})
//	o.Start(ctx)
//
// Every order carries the lease's epoch as its fence, and is sent only while
// enough of the lease's term is left.
package orchestrator

import (
	"context"
	"maps"
	"math"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/uber-go/tally/v4"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/internal/logger"
	"github.com/waxwingmount/waxwingmount/internal/observer"
	"github.com/waxwingmount/waxwingmount/internal/pacer"
	"github.com/waxwingmount/waxwingmount/internal/renewer"
	"github.com/waxwingmount/waxwingmount/pkg/leaser"
	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
	"github.com/waxwingmount/waxwingmount/pkg/scheduler"
	"github.com/waxwingmount/waxwingmount/pkg/tracker"
)

const (
	leaseKey = "control/lease"
	// leaseTerm is how long a renewal counts: two renewals may be lost.
	leaseTerm = 2400 * time.Millisecond
	// renewInterval is the time between two looks at the lease.
	renewInterval = 800 * time.Millisecond
	// noHolderInterval is that time while nobody is known to hold the lease.
	noHolderInterval = 150 * time.Millisecond
	// orderTimeout is the longest time from the check of the lease to the end
	// of an order's delivery.
	orderTimeout = 500 * time.Millisecond
	// clockError covers clocks of different rate over one term.
	clockError = 50 * time.Millisecond
	// reconcileInterval is the time between two passes of the control loop.
	reconcileInterval = 150 * time.Millisecond
	// activeReadInterval is the time between two looks at the list while this
	// instance is in control and orders are under way.
	activeReadInterval = 200 * time.Millisecond
	// idleReadInterval is that time while nothing is under way.
	idleReadInterval = 500 * time.Millisecond
	// activePeriod is how long after an order its effect is looked for closely.
	activePeriod = 2500 * time.Millisecond
	// epochsPerTerm is how many group epochs one term of control may use.
	epochsPerTerm = 1 << 20
	// takeoverDelay is how long after a takeover the list must have been read:
	// the flight of the last holder's orders and the lag of reports.
	takeoverDelay = orderTimeout + 100*time.Millisecond
	// maxListAge is how old the list may be that orders are based on.
	maxListAge = 1500 * time.Millisecond
)

// OrderSender delivers orders to instances.
type OrderSender interface {
	// SendOrder returns what became of the order, and why if it was not accepted.
	SendOrder(ctx context.Context, o scheduler.Order, fence uint64) (scheduler.Outcome, error)
}

// DemandSource tells the part of the work of each model of a service.
type DemandSource interface {
	Demand(service string) map[string]float64
}

// IdleChecker tells whether the system has had no request yet.
type IdleChecker interface {
	Idle() bool
}

// Dependencies are what an Organiser works with.
type Dependencies struct {
	// Holder names this process; a restart has another name.
	Holder      string
	Table       provider.Table
	Observer    *observer.Observer
	OrderSender OrderSender
	Demand      DemandSource
	IdleChecker IdleChecker
	Scope       tally.Scope
	// Eligible reports whether this instance may take control. The others leave
	// the lease alone, which saves the store their reads of it.
	Eligible func() bool
	// HolderEnded reports whether the process of a holder is known to have ended.
	HolderEnded func(holder string) bool
}

// Orchestrator is the control loop of one entry instance.
type Orchestrator struct {
	Dependencies

	mu    sync.Mutex
	lease *renewer.Renewer
	term  uint64
	// standby says that this instance was not in control at the last pass.
	standby bool
	// controlSince is when this term of control began, or went on after a lapse.
	controlSince time.Time
	schedulers   map[string]*scheduler.Scheduler
	// lastOrderAt is when the last order was sent.
	lastOrderAt time.Time
	// epochs holds the last group epoch of each service in this term.
	epochs map[string]uint64
	// loggedStats holds what was last logged of each service.
	loggedStats map[string]map[string]scheduler.ModelStats
}

// New returns an organiser that does not hold the lease.
func New(d Dependencies) *Orchestrator {
	return &Orchestrator{
		Dependencies: d,
		schedulers:   make(map[string]*scheduler.Scheduler),
		epochs:       make(map[string]uint64),
		loggedStats:  make(map[string]map[string]scheduler.ModelStats),
		lease: renewer.New(d.Table, leaser.Settings{
			Key:    leaseKey,
			Holder: d.Holder,
			Term:   leaseTerm,
			Margin: clockError,
		}, clocker.Now),
	}
}

// Start begins the duties; they end with ctx.
func (o *Orchestrator) Start(ctx context.Context) {
	go o.leaseLoop(ctx)
	go o.reconcileLoop(ctx)
}

func (o *Orchestrator) leaseLoop(ctx context.Context) {
	for {
		if holder := o.lease.Holder(); holder != "" && o.HolderEnded(holder) {
			o.lease.MarkHolderEnded(holder)
		}
		if _, held := o.canSendOrders(); held || o.Eligible() {
			o.lease.Drive(ctx, leaser.Event{Kind: leaser.Ticked})
		}
		wait := renewInterval
		if o.lease.Holder() == "" {
			wait = noHolderInterval
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// Resign gives the lease up, so that another instance need not wait for its end.
func (o *Orchestrator) Resign(ctx context.Context) { o.lease.Resign(ctx) }

// canSendOrders reports whether an order that is sent now ends within the lease, and
// under which fence.
func (o *Orchestrator) canSendOrders() (uint64, bool) {
	return o.lease.Epoch(), o.lease.Remaining() > orderTimeout
}

func (o *Orchestrator) reconcileLoop(ctx context.Context) {
	pacer.Repeat(ctx, reconcileInterval, o.reconcile)
}

// reconcile decides once and sends the orders.
func (o *Orchestrator) reconcile(ctx context.Context) {
	term, held := o.canSendOrders()
	config := o.Observer.Config()
	if !held || config == nil {
		o.Observer.SetStoreReadInterval(0)
		o.enterStandby()
		return
	}
	o.beginTerm(term)
	if !o.listIsCurrent() {
		o.Observer.SetStoreReadInterval(activeReadInterval)
		return
	}
	for _, service := range config.Services {
		if service.Engine != nil && len(service.Engine.Models) > 0 {
			o.reconcileService(ctx, term, service)
		}
	}
	o.mu.Lock()
	active := clocker.Since(o.lastOrderAt) < activePeriod
	o.mu.Unlock()
	if active {
		o.Observer.SetStoreReadInterval(activeReadInterval)
	} else {
		o.Observer.SetStoreReadInterval(idleReadInterval)
	}
}

// enterStandby drops what was decided: by the next term of control it may be wrong.
func (o *Orchestrator) enterStandby() {
	o.mu.Lock()
	defer o.mu.Unlock()
	clear(o.schedulers)
	o.standby = true
}

// beginTerm begins a term of control. Epochs go on where the same term, lost for a
// while and regained, has stopped.
func (o *Orchestrator) beginTerm(term uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.term == term && !o.standby {
		return
	}
	log.WithFields(log.Fields{"term": term, "again": o.term == term}).Info(logger.LineControl)
	o.standby = false
	o.controlSince = clocker.Now()
	if o.term != term {
		o.term = term
		clear(o.schedulers)
		clear(o.epochs)
	}
}

// listIsCurrent reports whether the list shows the last holder's orders: it was read
// after the last of them can have been delivered, and not long ago.
func (o *Orchestrator) listIsCurrent() bool {
	var updated time.Time
	o.Observer.WithTracker(func(s *tracker.Tracker) { updated = s.UpdatedAt() })
	o.mu.Lock()
	defer o.mu.Unlock()
	return updated.After(o.controlSince.Add(takeoverDelay)) && clocker.Since(updated) < maxListAge
}

func (o *Orchestrator) reconcileService(ctx context.Context, term uint64, service mapper.Service) {
	demand := o.Demand.Demand(service.Name)
	idle := o.IdleChecker.Idle()
	o.mu.Lock()
	f := o.schedulers[service.Name]
	if f == nil {
		f = scheduler.New(max(term*epochsPerTerm, o.epochs[service.Name]))
		o.schedulers[service.Name] = f
	}
	var orders []scheduler.Order
	o.Observer.WithTracker(func(s *tracker.Tracker) {
		orders = f.Step(clocker.Now(), scheduler.View{Tracker: s, Engine: service.Engine, Service: service.Name, Demand: demand, Idle: idle})
	})
	o.epochs[service.Name] = f.Epoch()
	o.logStats(service.Name, f.Stats(), demand)
	if len(orders) > 0 {
		o.lastOrderAt = clocker.Now()
	}
	o.mu.Unlock()
	for _, order := range orders {
		go o.sendOrder(ctx, f, term, order)
	}
}

// logStats logs how many groups there are of each model, when that changes.
func (o *Orchestrator) logStats(service string, tallies map[string]scheduler.ModelStats, demand map[string]float64) {
	if maps.Equal(tallies, o.loggedStats[service]) {
		return
	}
	o.loggedStats[service] = tallies
	for model, t := range tallies {
		scope := o.Scope.Tagged(map[string]string{"service": service, "model": model})
		scope.Gauge("groups_open").Update(float64(t.Open))
		scope.Gauge("groups_forming").Update(float64(t.Forming))
		log.WithFields(log.Fields{"service": service, "model": model, "open": t.Open, "forming": t.Forming, "ending": t.Ending, "spread": t.Spread, "ready": t.Ready, "loading": t.Loading, "demand": math.Round(demand[model]*100) / 100}).Info(logger.LineGroups)
	}
}

// sendOrder delivers one order, if the lease still allows it.
func (o *Orchestrator) sendOrder(ctx context.Context, f *scheduler.Scheduler, term uint64, order scheduler.Order) {
	if now, held := o.canSendOrders(); !held || now != term {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	outcome, err := o.OrderSender.SendOrder(ctx, order, term)
	entry := log.WithFields(log.Fields{
		"order": order.Kind.String(), "instance": order.Instance.ID, "group": order.Group, "epoch": order.Epoch, "term": term,
		"outcome": outcome.String(), "domain": order.Instance.FabricDomain, "staged": order.Instance.Staged,
	})
	if err != nil {
		entry.WithError(err).Warn(logger.LineNoOrder)
	} else {
		entry.Info(logger.LineOrder)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	f.HandleOutcome(clocker.Now(), order, outcome)
}
