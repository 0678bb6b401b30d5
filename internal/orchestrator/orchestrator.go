// Package orchestrator runs the control loop of a hosted system on the one
// entry instance that holds the control lease. A [scheduler.Scheduler] decides
// which instances form which groups, and this package sends the resulting
// orders. The request path does not depend on it.
//
// # Usage
//
//	o := orchestrator.New(orchestrator.Dependencies{...})
//	o.Start(ctx)
//
// Every order carries the lease's epoch as its fencing token. An order is sent
// only if the remaining lease term is longer than the order timeout. An order that adds a
// member to a group or opens it is conditional on the number of orders that the instance has
// carried out, which its report states.
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
	"github.com/waxwingmount/waxwingmount/pkg/apportioner"
	"github.com/waxwingmount/waxwingmount/pkg/estimator"
	"github.com/waxwingmount/waxwingmount/pkg/leaser"
	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
	"github.com/waxwingmount/waxwingmount/pkg/scheduler"
	"github.com/waxwingmount/waxwingmount/pkg/tracker"
)

const (
	leaseKey = "control/lease"
	// leaseTerm is how long a renewal is valid. Two renewals in a row may fail.
	leaseTerm = 2400 * time.Millisecond
	// renewInterval is the time between two reads or renewals of the lease.
	renewInterval = 800 * time.Millisecond
	// noHolderInterval replaces renewInterval while no holder is known.
	noHolderInterval = 150 * time.Millisecond
	// orderTimeout bounds the time from the lease check to the delivery of an
	// order.
	orderTimeout = 500 * time.Millisecond
	// reportTimeout bounds the read of an instance's report before an order that needs it.
	reportTimeout = 300 * time.Millisecond
	// reportHeadStart replaces it for an order that could be sent without. It is below the
	// lag of reports, which the read is to spare the next order.
	reportHeadStart = 100 * time.Millisecond
	// clockError bounds the drift between two clocks over one lease term.
	clockError = 50 * time.Millisecond
	// reconcileInterval is the time between two iterations of the control loop.
	reconcileInterval = 150 * time.Millisecond
	// activeReadInterval is the time between two reads of the instance list
	// while this instance is in control and orders are in progress.
	activeReadInterval = 200 * time.Millisecond
	// idleReadInterval is the time between two reads while no order is in
	// progress.
	idleReadInterval = 500 * time.Millisecond
	// activePeriod is how long after the last order the list is read at
	// activeReadInterval.
	activePeriod = 2500 * time.Millisecond
	// epochsPerTerm is the number of group epochs reserved for one term of
	// control.
	epochsPerTerm = 1 << 20
	// takeoverDelay is how long after a takeover a list must have been read to
	// show the previous holder's orders: the order timeout plus the lag of
	// reports.
	takeoverDelay = orderTimeout + 100*time.Millisecond
	// maxListAge is the maximum age of a list that orders are based on.
	maxListAge = 1500 * time.Millisecond
)

// OrderSender delivers orders to instances and reads their reports.
type OrderSender interface {
	// ReadReport returns what an instance says of itself.
	ReadReport(ctx context.Context, in provider.Instance) (scheduler.Report, error)
	// SendOrder returns the outcome of the order, and an error if it was not
	// accepted.
	SendOrder(ctx context.Context, o scheduler.Order, fence uint64) (scheduler.Outcome, error)
}

// DemandSource measures how the work of a service divides among its models.
type DemandSource interface {
	// Demand returns the share of each model in the work of a service, by model.
	Demand(service string) map[string]float64
}

// LoadSource measures the load of each model.
type LoadSource interface {
	// Loads returns the load of each model of a service over the whole fleet, by
	// model, or nil if too few entry instances have reported theirs.
	Loads(service string) map[string]estimator.ModelLoad
}

// IdleChecker reports whether the system is still unused.
type IdleChecker interface {
	// Idle reports whether no request has arrived yet.
	Idle() bool
}

// Dependencies are the collaborators of an Orchestrator.
type Dependencies struct {
	// Holder identifies this process as a lease holder and changes on restart.
	Holder string
	// FirstStart is true when the whole system starts for the first time.
	FirstStart  bool
	Table       provider.Table
	Observer    *observer.Observer
	OrderSender OrderSender
	Demand      DemandSource
	// Loads is optional. With it, instances are divided by the load of each model,
	// and loaded instances change their model; without it by Demand alone.
	Loads       LoadSource
	IdleChecker IdleChecker
	Scope       tally.Scope
	// Eligible reports whether this instance may take control. Other instances
	// do not read the lease, which reduces the load on the store.
	Eligible func() bool
	// HolderEnded reports whether the process of a holder is known to have
	// ended.
	HolderEnded func(holder string) bool
}

// Orchestrator is the control loop of one entry instance.
type Orchestrator struct {
	Dependencies

	mu    sync.Mutex
	lease *renewer.Renewer
	term  uint64
	// standby is set while this instance is not in control, as of the last
	// iteration.
	standby bool
	// controlSince is when this term of control began or resumed after a lapse.
	controlSince time.Time
	schedulers   map[string]*scheduler.Scheduler
	// apportioners holds the averages of each service's load in this term.
	apportioners map[string]*apportioner.Apportioner
	// lastOrderAt is when the last order was sent.
	lastOrderAt time.Time
	// epochs holds the last group epoch used in this term, by service.
	epochs map[string]uint64
	// loggedStats holds the statistics that were last logged, by service and
	// model.
	loggedStats map[string]map[string]scheduler.ModelStats
}

// New returns an Orchestrator that does not hold the lease.
func New(d Dependencies) *Orchestrator {
	return &Orchestrator{
		Dependencies: d,
		schedulers:   make(map[string]*scheduler.Scheduler),
		apportioners: make(map[string]*apportioner.Apportioner),
		epochs:       make(map[string]uint64),
		loggedStats:  make(map[string]map[string]scheduler.ModelStats),
		lease: renewer.New(d.Table, leaser.Settings{
			Key:        leaseKey,
			Holder:     d.Holder,
			Term:       leaseTerm,
			Margin:     clockError,
			FirstStart: d.FirstStart,
		}, clocker.Now),
	}
}

// Start runs the lease loop and the control loop in the background until ctx
// ends.
func (o *Orchestrator) Start(ctx context.Context) {
	go o.leaseLoop(ctx)
	go o.reconcileLoop(ctx)
}

func (o *Orchestrator) leaseLoop(ctx context.Context) {
	for {
		if holder := o.lease.Holder(); holder != "" && o.HolderEnded(holder) {
			o.lease.MarkHolderEnded(holder)
		}
		if _, held := o.leaseStatus(); held || o.Eligible() {
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

// EraSettled reports whether an era of the table is known to have lasted for so long
// that nobody has to write anything again. It reads the lease's row, in which a
// holder says so.
func (o *Orchestrator) EraSettled(ctx context.Context, era uint64) bool {
	row, err := o.Table.Read(ctx, leaseKey)
	if err != nil {
		log.WithError(err).Debug("read of the lease's row failed")
		return false
	}
	return leaser.RowSettled(row, era)
}

// Resign releases the lease, so that another instance can take it before it
// expires.
func (o *Orchestrator) Resign(ctx context.Context) { o.lease.Resign(ctx) }

// leaseStatus returns the lease's epoch, which is the fencing token of orders,
// and whether the lease outlasts an order sent now.
func (o *Orchestrator) leaseStatus() (uint64, bool) {
	return o.lease.Epoch(), o.lease.Remaining() > orderTimeout
}

func (o *Orchestrator) reconcileLoop(ctx context.Context) {
	pacer.Repeat(ctx, reconcileInterval, o.reconcile)
}

// reconcile runs one iteration of the control loop.
func (o *Orchestrator) reconcile(ctx context.Context) {
	term, held := o.leaseStatus()
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

// enterStandby discards the schedulers, since their decisions may be outdated by
// the next term of control.
func (o *Orchestrator) enterStandby() {
	o.mu.Lock()
	defer o.mu.Unlock()
	clear(o.schedulers)
	clear(o.apportioners)
	o.standby = true
}

// beginTerm starts a term of control. If the same term was lost and regained,
// its group epochs continue from the last one used.
func (o *Orchestrator) beginTerm(term uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.term == term && !o.standby {
		return
	}
	log.WithFields(log.Fields{"term": term, "again": o.term == term}).Info(logger.LineControlAcquired)
	o.standby = false
	o.controlSince = clocker.Now()
	if o.term != term {
		o.term = term
		clear(o.schedulers)
		clear(o.apportioners)
		clear(o.epochs)
	}
}

// listIsCurrent reports whether the instance list is younger than maxListAge, was
// read after the previous holder's last order can have been delivered, and does not
// come from an older copy of the table.
func (o *Orchestrator) listIsCurrent() bool {
	if !o.settleEra() {
		return false
	}
	var updated time.Time
	o.Observer.WithTracker(func(t *tracker.Tracker) { updated = t.UpdatedAt() })
	o.mu.Lock()
	defer o.mu.Unlock()
	return updated.After(o.controlSince.Add(takeoverDelay)) && clocker.Since(updated) < maxListAge
}

// settleEra reports whether the instances have had the time to write their entries
// again since the table came back from an older copy, and records it in the lease
// for later holders.
func (o *Orchestrator) settleEra() bool {
	var era uint64
	relisted := false
	o.Observer.WithTracker(func(t *tracker.Tracker) { era, relisted = t.Era(), t.Relisted() })
	if relisted || o.FirstStart && !o.Observer.EraChanged() {
		o.lease.MarkSettled(era)
		return true
	}
	return o.lease.Settled(era)
}

// reconcileService runs the scheduler of one service and sends its orders.
func (o *Orchestrator) reconcileService(ctx context.Context, term uint64, service mapper.Service) {
	demand := o.Demand.Demand(service.Name)
	idle := o.IdleChecker.Idle()
	var loads map[string]estimator.ModelLoad
	if o.Loads != nil {
		loads = o.Loads.Loads(service.Name)
	}
	o.mu.Lock()
	s := o.schedulers[service.Name]
	if s == nil {
		s = scheduler.New(max(term*epochsPerTerm, o.epochs[service.Name]))
		o.schedulers[service.Name] = s
	}
	var orders []scheduler.Order
	view := scheduler.View{Engine: service.Engine, Service: service.Name, Demand: demand, Idle: idle}
	o.Observer.WithTracker(func(t *tracker.Tracker) {
		view.Tracker = t
		o.divide(s, &view, loads)
		orders = s.Step(clocker.Now(), view)
	})
	o.epochs[service.Name] = s.Epoch()
	o.logStats(service.Name, s.Stats(), view)
	if len(orders) > 0 {
		o.lastOrderAt = clocker.Now()
	}
	o.mu.Unlock()
	for _, order := range orders {
		go o.runOrder(ctx, s, term, order)
	}
}

// logStats logs the number of groups of each model when it changes.
func (o *Orchestrator) logStats(service string, stats map[string]scheduler.ModelStats, view scheduler.View) {
	if maps.Equal(stats, o.loggedStats[service]) {
		return
	}
	o.loggedStats[service] = stats
	for model, s := range stats {
		scope := o.Scope.Tagged(map[string]string{"service": service, "model": model})
		scope.Gauge("groups_open").Update(float64(s.Open))
		scope.Gauge("groups_forming").Update(float64(s.Forming))
		fields := log.Fields{"service": service, "model": model, "open": s.Open, "forming": s.Forming, "ending": s.Ending, "spread": s.Spread, "evacuated": s.Evacuated, "ready": s.Ready, "loading": s.Loading, "demand": math.Round(view.Demand[model]*100) / 100}
		if view.Wanted != nil {
			scope.Gauge("instances_wanted").Update(float64(view.Wanted[model]))
			fields["wanted"], fields["lent"] = view.Wanted[model], s.Lent
		}
		log.WithFields(fields).Info(logger.LineGroups)
	}
}

// runOrder prepares one order and delivers it if this instance still holds the lease in the
// same term.
func (o *Orchestrator) runOrder(ctx context.Context, s *scheduler.Scheduler, term uint64, order scheduler.Order) {
	order, sendable := o.prepareOrder(ctx, s, order)
	if !sendable {
		return
	}
	// The time counts from before the check, which the process may be stopped after.
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if current, held := o.leaseStatus(); !held || current != term {
		return
	}
	outcome, err := o.OrderSender.SendOrder(ctx, order, term)
	entry := log.WithFields(log.Fields{
		"order": order.Kind.String(), "instance": order.Instance.ID, "group": order.Group, "epoch": order.Epoch, "term": term,
		"outcome": outcome.String(), "domain": order.Instance.FabricDomain, "staged": order.Instance.Staged,
		"orders": order.Orders, "conditional": order.Conditional,
	})
	if err != nil {
		entry.WithError(err).Warn(logger.LineOrderFailed)
	} else {
		entry.Info(logger.LineOrderSent)
	}
	o.countOrder(order, outcome)
	if outcome == scheduler.Misdirected {
		o.Observer.HandleDenial(order.Instance)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	s.HandleOutcome(clocker.Now(), order, outcome)
}

// prepareOrder prepares an order, and reads the instance's report first if that is needed. It
// reports false if the order can't be sent now.
func (o *Orchestrator) prepareOrder(ctx context.Context, s *scheduler.Scheduler, order scheduler.Order) (scheduler.Order, bool) {
	o.mu.Lock()
	order, readiness := s.Prepare(clocker.Now(), order)
	o.mu.Unlock()
	if readiness == scheduler.Sendable {
		return order, true
	}
	entry := log.WithFields(log.Fields{
		"order": order.Kind.String(), "instance": order.Instance.ID, "group": order.Group, "epoch": order.Epoch,
	})
	o.Scope.Counter("order_reports").Inc(1)
	timeout := reportTimeout
	if readiness == scheduler.BetterAfterReport {
		timeout = reportHeadStart
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	report, err := o.OrderSender.ReadReport(ctx, order.Instance)
	if err != nil {
		// An order that needs the report counts as one without a response: it is prepared
		// again when it would be resent.
		entry.WithError(err).Warn(logger.LineReportNotRead)
		return order, readiness == scheduler.BetterAfterReport
	}
	o.mu.Lock()
	conflict := s.HandleReport(clocker.Now(), order.Instance.ID, report)
	order, readiness = s.Prepare(clocker.Now(), order)
	if readiness == scheduler.NeedsReport {
		s.HandleOutcome(clocker.Now(), order, scheduler.Withheld)
	}
	o.mu.Unlock()
	entry = entry.WithFields(log.Fields{
		"in_group": report.Membership.Group, "state": report.Membership.State.String(), "orders": report.Orders,
	})
	if conflict != scheduler.NoConflict {
		o.Scope.Tagged(map[string]string{"cause": conflict.String()}).Counter("order_conflicts").Inc(1)
		entry.WithField("cause", conflict.String()).Info(logger.LineOrderConflict)
	}
	if readiness == scheduler.NeedsReport {
		o.countOrder(order, scheduler.Withheld)
		entry.Info(logger.LineOrderWithheld)
		return order, false
	}
	return order, true
}

// countOrder counts an order by kind and outcome.
func (o *Orchestrator) countOrder(order scheduler.Order, outcome scheduler.Outcome) {
	o.Scope.Tagged(map[string]string{"order": order.Kind.String(), "outcome": outcome.String()}).Counter("order_outcomes").Inc(1)
}
