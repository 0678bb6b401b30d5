// Package organiser runs the control loop of a hosted system on the one entry
// instance that holds the lease: it lets a [former.Former] decide which
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
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/internal/observer"
	"github.com/waxwingmount/waxwingmount/internal/pacer"
	"github.com/waxwingmount/waxwingmount/pkg/former"
	"github.com/waxwingmount/waxwingmount/pkg/leaser"
	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
	"github.com/waxwingmount/waxwingmount/pkg/surveyor"
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
	// tableTimeout bounds one call to the table service.
	tableTimeout = 1500 * time.Millisecond
)

// Orderer delivers orders to instances.
type Orderer interface {
	// Order reports whether the order was carried out or begun.
	Order(ctx context.Context, o former.Order, fence uint64) (bool, error)
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
}

// Organiser is the control loop of one entry instance.
type Organiser struct {
	Dependencies

	mu      sync.Mutex
	lease   *leaser.Lease
	term    uint64
	formers map[string]*former.Former
	// ordered is when the last order was sent.
	ordered time.Time
	// tallies holds what was last logged of each service.
	tallies map[string]map[string]former.Tally
}

// New returns an organiser that does not hold the lease.
func New(d Dependencies) *Organiser {
	return &Organiser{
		Dependencies: d,
		tallies:      make(map[string]map[string]former.Tally),
		lease: leaser.New(leaser.Settings{
			Key:    leaseKey,
			Holder: d.Holder,
			Term:   leaseTerm,
			Margin: clockError,
		}),
	}
}

// Start begins the duties; they end with ctx.
func (o *Organiser) Start(ctx context.Context) {
	go o.leaseLoop(ctx)
	go o.loop(ctx)
}

func (o *Organiser) leaseLoop(ctx context.Context) {
	for {
		o.driveLease(ctx, leaser.Event{Kind: leaser.Ticked})
		wait := renewInterval
		if o.holder() == "" {
			wait = firstInterval
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// holder returns who held the lease when it was last read.
func (o *Organiser) holder() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lease.Holder()
}

// driveLease steps the lease's machine until it rests.
func (o *Organiser) driveLease(ctx context.Context, event leaser.Event) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	for {
		o.mu.Lock()
		action := o.lease.Step(clocker.Now(), event)
		o.mu.Unlock()
		sentAt := clocker.Now()
		var err error
		switch action.Kind {
		case leaser.Rest:
			return
		case leaser.Read:
			event = leaser.Event{Kind: leaser.RowRead, SentAt: sentAt}
			event.Row, err = o.Table.Read(ctx, action.Key)
		case leaser.Commit:
			action.Transaction.OperationID = uuid.NewString()
			event = leaser.Event{Kind: leaser.Settled, SentAt: sentAt}
			event.Outcome, err = o.Table.Commit(ctx, action.Transaction)
		}
		if err != nil {
			event = leaser.Event{Kind: leaser.Failed, SentAt: sentAt}
		}
	}
}

// Resign gives the lease up, so that another instance need not wait for its end.
func (o *Organiser) Resign(ctx context.Context) {
	o.driveLease(ctx, leaser.Event{Kind: leaser.Resigned})
}

// held reports whether an order that is sent now ends within the lease, and
// under which fence.
func (o *Organiser) held() (uint64, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lease.Epoch(), o.lease.Remaining(clocker.Now()) > orderFlight
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
		o.formers = nil
		return
	}
	if o.formers == nil || o.term != term {
		log.WithField("term", term).Info("control taken")
		o.term = term
		o.formers = make(map[string]*former.Former)
	}
	for _, service := range config.Services {
		if service.Engine != nil && len(service.Engine.Models) > 0 {
			o.passService(ctx, term, service)
		}
	}
	if clocker.Since(o.ordered) < activeTime {
		o.Observer.SetPace(activePace)
	} else {
		o.Observer.SetPace(restPace)
	}
}

func (o *Organiser) passService(ctx context.Context, term uint64, service mapper.Service) {
	f := o.formers[service.Name]
	if f == nil {
		f = former.New(term * epochsPerTerm)
		o.formers[service.Name] = f
	}
	demand := o.Demand.Demand(service.Name)
	idle := o.Idler.Idle()
	var orders []former.Order
	o.Observer.With(func(s *surveyor.Survey) {
		orders = f.Step(clocker.Now(), former.View{Survey: s, Engine: service.Engine, Service: service.Name, Demand: demand, Idle: idle})
	})
	o.logTallies(service.Name, f.Tallies())
	if len(orders) > 0 {
		o.send(ctx, f, term, orders)
	}
}

// logTallies logs how many groups there are of each model, when that changes.
func (o *Organiser) logTallies(service string, tallies map[string]former.Tally) {
	if maps.Equal(tallies, o.tallies[service]) {
		return
	}
	o.tallies[service] = tallies
	for model, t := range tallies {
		log.WithFields(log.Fields{"service": service, "model": model, "open": t.Open, "forming": t.Forming, "ending": t.Ending}).Info("groups")
	}
}

// send delivers orders side by side.
func (o *Organiser) send(ctx context.Context, f *former.Former, term uint64, orders []former.Order) {
	ctx, cancel := context.WithTimeout(ctx, orderFlight)
	defer cancel()
	accepted := make([]bool, len(orders))
	var calls sync.WaitGroup
	for i, order := range orders {
		calls.Go(func() {
			var err error
			accepted[i], err = o.Orderer.Order(ctx, order, term)
			entry := log.WithFields(log.Fields{
				"order": order.Kind.String(), "instance": order.Instance.ID, "group": order.Group, "epoch": order.Epoch, "term": term, "accepted": accepted[i],
				"domain": order.Instance.FabricDomain, "staged": order.Instance.Staged, "loaded": order.Instance.Loaded,
			})
			if err != nil {
				entry.WithError(err).Warn("order not carried out")
				return
			}
			entry.Info("order sent")
		})
	}
	calls.Wait()
	now := clocker.Now()
	o.ordered = now
	for i, order := range orders {
		f.Settled(now, order, accepted[i])
	}
}
