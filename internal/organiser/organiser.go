// Package organiser runs the control loop of a hosted system on the one entry
// instance that holds the lease: it lets a [scheduler.Scheduler] decide which
// instances form which groups, and sends its orders. Serving does not need it.
//
// # Usage
//
//	o := organiser.New(organiser.Dependencies{...})
//	o.Start(ctx)
//
// Every order carries the lease's epoch as its fence, and is sent only while
// enough of the lease's term is left.
package organiser

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
	// firstInterval is that time while nobody is known to hold the lease.
	firstInterval = 150 * time.Millisecond
	// orderFlight is the longest time from the check of the lease to the end
	// of an order's delivery.
	orderFlight = 500 * time.Millisecond
	// clockError covers clocks of different rate over one term.
	clockError = 50 * time.Millisecond
	// passInterval is the time between two passes of the control loop.
	passInterval = 150 * time.Millisecond
	// activePace is the time between two looks at the list while this
	// instance is in control and orders are under way.
	activePace = 200 * time.Millisecond
	// restPace is that time while nothing is under way.
	restPace = 500 * time.Millisecond
	// activeTime is how long after an order its effect is looked for closely.
	activeTime = 2500 * time.Millisecond
	// epochsPerTerm is how many group epochs one term of control may use.
	epochsPerTerm = 1 << 20
	// takeoverTime is how long after a takeover the list must have been read:
	// the flight of the last holder's orders and the lag of reports.
	takeoverTime = orderFlight + 100*time.Millisecond
	// listAge is how old the list may be that orders are based on.
	listAge = 1500 * time.Millisecond
)

// Orderer delivers orders to instances.
type Orderer interface {
	// Order returns what became of the order, and why if it was not accepted.
	Order(ctx context.Context, o scheduler.Order, fence uint64) (scheduler.Outcome, error)
}

// Demand tells the part of the work of each model of a service.
type Demand interface {
	Demand(service string) map[string]float64
}

// Idler tells whether the system has had no request yet.
type Idler interface {
	Idle() bool
}

// Dependencies are what an Organiser works with.
type Dependencies struct {
	// Holder names this process; a restart has another name.
	Holder   string
	Table    provider.Table
	Observer *observer.Observer
	Orderer  Orderer
	Demand   Demand
	Idler    Idler
	Scope    tally.Scope
	// Stands reports whether this instance may take control. The others leave
	// the lease alone, which saves the store their reads of it.
	Stands func() bool
	// Ended reports whether the process of a holder is known to have ended.
	Ended func(holder string) bool
}

// Organiser is the control loop of one entry instance.
type Organiser struct {
	Dependencies

	mu    sync.Mutex
	lease *renewer.Renewer
	term  uint64
	// resting says that this instance was not in control at the last pass.
	resting bool
	// taken is when this term of control began, or went on after a lapse.
	taken   time.Time
	formers map[string]*scheduler.Scheduler
	// ordered is when the last order was sent.
	ordered time.Time
	// epochs holds the last group epoch of each service in this term.
	epochs map[string]uint64
	// tallies holds what was last logged of each service.
	tallies map[string]map[string]scheduler.ModelStats
}

// New returns an organiser that does not hold the lease.
func New(d Dependencies) *Organiser {
	return &Organiser{
		Dependencies: d,
		formers:      make(map[string]*scheduler.Scheduler),
		epochs:       make(map[string]uint64),
		tallies:      make(map[string]map[string]scheduler.ModelStats),
		lease: renewer.New(d.Table, leaser.Settings{
			Key:    leaseKey,
			Holder: d.Holder,
			Term:   leaseTerm,
			Margin: clockError,
		}, clocker.Now),
	}
}

// Start begins the duties; they end with ctx.
func (o *Organiser) Start(ctx context.Context) {
	go o.leaseLoop(ctx)
	go o.loop(ctx)
}

func (o *Organiser) leaseLoop(ctx context.Context) {
	for {
		if holder := o.lease.Holder(); holder != "" && o.Ended(holder) {
			o.lease.End(holder)
		}
		if _, held := o.held(); held || o.Stands() {
			o.lease.Drive(ctx, leaser.Event{Kind: leaser.Ticked})
		}
		wait := renewInterval
		if o.lease.Holder() == "" {
			wait = firstInterval
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// Resign gives the lease up, so that another instance need not wait for its end.
func (o *Organiser) Resign(ctx context.Context) { o.lease.Resign(ctx) }

// held reports whether an order that is sent now ends within the lease, and
// under which fence.
func (o *Organiser) held() (uint64, bool) {
	return o.lease.Epoch(), o.lease.Remaining() > orderFlight
}

func (o *Organiser) loop(ctx context.Context) {
	pacer.Repeat(ctx, passInterval, o.pass)
}

// pass decides once and sends the orders.
func (o *Organiser) pass(ctx context.Context) {
	term, held := o.held()
	config := o.Observer.Config()
	if !held || config == nil {
		o.Observer.SetPace(0)
		o.rest()
		return
	}
	o.take(term)
	if !o.current() {
		o.Observer.SetPace(activePace)
		return
	}
	for _, service := range config.Services {
		if service.Engine != nil && len(service.Engine.Models) > 0 {
			o.passService(ctx, term, service)
		}
	}
	o.mu.Lock()
	active := clocker.Since(o.ordered) < activeTime
	o.mu.Unlock()
	if active {
		o.Observer.SetPace(activePace)
	} else {
		o.Observer.SetPace(restPace)
	}
}

// rest drops what was decided: by the next term of control it may be wrong.
func (o *Organiser) rest() {
	o.mu.Lock()
	defer o.mu.Unlock()
	clear(o.formers)
	o.resting = true
}

// take begins a term of control. Epochs go on where the same term, lost for a
// while and regained, has stopped.
func (o *Organiser) take(term uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.term == term && !o.resting {
		return
	}
	log.WithFields(log.Fields{"term": term, "again": o.term == term}).Info(logger.LineControlAcquired)
	o.resting = false
	o.taken = clocker.Now()
	if o.term != term {
		o.term = term
		clear(o.formers)
		clear(o.epochs)
	}
}

// current reports whether the list shows the last holder's orders: it was read
// after the last of them can have been delivered, and not long ago.
func (o *Organiser) current() bool {
	var updated time.Time
	o.Observer.With(func(s *tracker.Tracker) { updated = s.UpdatedAt() })
	o.mu.Lock()
	defer o.mu.Unlock()
	return updated.After(o.taken.Add(takeoverTime)) && clocker.Since(updated) < listAge
}

func (o *Organiser) passService(ctx context.Context, term uint64, service mapper.Service) {
	demand := o.Demand.Demand(service.Name)
	idle := o.Idler.Idle()
	o.mu.Lock()
	f := o.formers[service.Name]
	if f == nil {
		f = scheduler.New(max(term*epochsPerTerm, o.epochs[service.Name]))
		o.formers[service.Name] = f
	}
	var orders []scheduler.Order
	o.Observer.With(func(s *tracker.Tracker) {
		orders = f.Step(clocker.Now(), scheduler.View{Tracker: s, Engine: service.Engine, Service: service.Name, Demand: demand, Idle: idle})
	})
	o.epochs[service.Name] = f.Epoch()
	o.logTallies(service.Name, f.Stats(), demand)
	if len(orders) > 0 {
		o.ordered = clocker.Now()
	}
	o.mu.Unlock()
	for _, order := range orders {
		go o.runOrder(ctx, f, term, order)
	}
}

// logTallies logs how many groups there are of each model, when that changes.
func (o *Organiser) logTallies(service string, tallies map[string]scheduler.ModelStats, demand map[string]float64) {
	if maps.Equal(tallies, o.tallies[service]) {
		return
	}
	o.tallies[service] = tallies
	for model, t := range tallies {
		scope := o.Scope.Tagged(map[string]string{"service": service, "model": model})
		scope.Gauge("groups_open").Update(float64(t.Open))
		scope.Gauge("groups_forming").Update(float64(t.Forming))
		log.WithFields(log.Fields{"service": service, "model": model, "open": t.Open, "forming": t.Forming, "ending": t.Ending, "spread": t.Spread, "ready": t.Ready, "loading": t.Loading, "demand": math.Round(demand[model]*100) / 100}).Info(logger.LineGroups)
	}
}

// runOrder delivers one order, if the lease still allows it.
func (o *Organiser) runOrder(ctx context.Context, f *scheduler.Scheduler, term uint64, order scheduler.Order) {
	if now, held := o.held(); !held || now != term {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderFlight)
	defer cancel()
	outcome, err := o.Orderer.Order(ctx, order, term)
	entry := log.WithFields(log.Fields{
		"order": order.Kind.String(), "instance": order.Instance.ID, "group": order.Group, "epoch": order.Epoch, "term": term,
		"outcome": outcome.String(), "domain": order.Instance.FabricDomain, "staged": order.Instance.Staged,
	})
	if err != nil {
		entry.WithError(err).Warn(logger.LineOrderFailed)
	} else {
		entry.Info(logger.LineOrderSent)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	f.HandleOutcome(clocker.Now(), order, outcome)
}
