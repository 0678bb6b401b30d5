// Package observer keeps what one entry instance knows of the platform: the
// operator's configuration, with the age of its last proof, and the backend
// servers, with evidence of losses from probes and from peers.
//
// # Usage
//
//	o := observer.New(observer.Dependencies{Source: client, Prober: client, Announcer: peers})
//	o.Start(ctx)
//	groups := o.Groups("service", "model")
//	o.Doubt(ctx, group.Members)
package observer

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/uber-go/tally/v4"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/internal/logger"
	"github.com/waxwingmount/waxwingmount/internal/messenger"
	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
	"github.com/waxwingmount/waxwingmount/pkg/tracker"
)

// Snapshot is how things stand at the platform.
type Snapshot struct {
	Instances []provider.Instance
	// ListedAt is when the list was surely current.
	ListedAt time.Time
	// Config is nil before there is one.
	Config *mapper.RouteTable
	// ConfirmedAt is when the configuration was surely the newest.
	ConfirmedAt time.Time
}

// Source tells how things stand at the platform.
type Source interface {
	// Fetch returns what is known now; direct asks for a read of the store.
	Fetch(ctx context.Context, direct bool) (Snapshot, error)
}

// Prober asks one instance for a sign of life.
type Prober interface {
	Probe(ctx context.Context, in provider.Instance, timeout time.Duration) error
}

// Announcer tells the peers of losses, and of those that were none.
type Announcer interface {
	Announce(ctx context.Context, message messenger.LossesMessage)
	// Count returns how many entry instances there are.
	Count() int
}

const (
	// pollInterval is the time between two looks at the platform. Two of them,
	// a reader's and an asker's, are less than the two seconds within which a
	// configuration must be in force and a leaving instance get nothing new.
	pollInterval = 600 * time.Millisecond
	// retryInterval is that time while the store does not answer.
	retryInterval = 200 * time.Millisecond
	// probeTimeout bounds one probe: a live instance answers in 3 to 5 ms.
	probeTimeout = 80 * time.Millisecond
	// probeAttempts is how many probes in a row must fail.
	probeAttempts = 2
	// checkInterval is the least time between two checks of one instance.
	checkInterval = 400 * time.Millisecond
	// recheckInterval is the time between two probes of instances held for lost.
	recheckInterval = 500 * time.Millisecond
	// recheckersPerLoss is how many of the entry instances that were told of a loss
	// probe it in that time, besides those that found it.
	recheckersPerLoss = 6
)

// Dependencies are what an Observer works with.
type Dependencies struct {
	Source    Source
	Prober    Prober
	Announcer Announcer
	Scope     tally.Scope
}

// Observer holds one entry instance's view. It is safe for concurrent use.
type Observer struct {
	Dependencies

	mu      sync.Mutex
	tracker *tracker.Tracker
	config  *mapper.RouteTable
	// configConfirmedAt is when the call began that last showed the configuration.
	configConfirmedAt time.Time
	// checkedAt is when an instance was last checked.
	checkedAt map[string]time.Time
	// ownLosses holds the instances that this instance found lost itself.
	ownLosses map[string]bool
	interval  time.Duration
	// readStore says that the store is to be read, not a peer asked.
	readStore bool
	// storeReachable says whether the store answered the last call.
	storeReachable bool
	changed        chan struct{}
}

// New returns an observer that knows of nothing.
func New(d Dependencies) *Observer {
	return &Observer{
		Dependencies: d,
		tracker:      tracker.New(),
		checkedAt:    make(map[string]time.Time),
		ownLosses:    make(map[string]bool),
		interval:     pollInterval,
		changed:      make(chan struct{}, 1),
	}
}

// Start begins the duties; they end with ctx.
func (o *Observer) Start(ctx context.Context) {
	go o.pollLoop(ctx)
	go o.recheckLoop(ctx)
}

// Config returns the configuration in force, or nil before there is one.
func (o *Observer) Config() *mapper.RouteTable {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.config
}

// ConfigConfirmedAt returns when the configuration was last proved newest.
func (o *Observer) ConfigConfirmedAt() time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.configConfirmedAt
}

// ConfigAge returns how long ago the configuration was last proved newest.
func (o *Observer) ConfigAge() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return clocker.Since(o.configConfirmedAt)
}

// ListAge returns how old the list of the backend servers is.
func (o *Observer) ListAge() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return clocker.Since(o.tracker.UpdatedAt())
}

// Changed gets a value after the view has changed.
func (o *Observer) Changed() <-chan struct{} { return o.changed }

// SetStoreReadInterval sets the time between two reads of the store for an instance in
// control; zero goes back to the usual looks.
func (o *Observer) SetStoreReadInterval(pace time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.readStore = pace > 0
	if pace == 0 {
		pace = pollInterval
	}
	o.interval = pace
}

// WithTracker calls do with the survey, which must not be kept.
func (o *Observer) WithTracker(do func(*tracker.Tracker)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	do(o.tracker)
}

// Groups returns the groups of a service and model that may be sent requests.
func (o *Observer) Groups(service, model string) []tracker.Group {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.tracker.Groups(service, model)
}

// Servers returns the instances of a plain service that may be sent requests.
func (o *Observer) Servers(service string) []provider.Instance {
	o.mu.Lock()
	defer o.mu.Unlock()
	var found []provider.Instance
	for _, in := range o.tracker.Servers(service) {
		if !o.tracker.IsLost(in.ID) {
			found = append(found, in)
		}
	}
	return found
}

// GroupAvailable reports whether a group may still be sent requests.
func (o *Observer) GroupAvailable(g tracker.Group) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.tracker.GroupAvailable(g)
}

// InstanceAvailable reports whether a plain server may still be sent requests.
func (o *Observer) InstanceAvailable(in provider.Instance) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.tracker.InstanceAvailable(in)
}

// AnyLostOrRestarted reports whether one of these instances is lost or has started anew.
func (o *Observer) AnyLostOrRestarted(members []provider.Instance) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, in := range members {
		if o.tracker.IsLost(in.ID) {
			return true
		}
		if now, listed := o.tracker.Instance(in.ID); listed && now.Incarnation != in.Incarnation {
			return true
		}
	}
	return false
}

func (o *Observer) signal() {
	select {
	case o.changed <- struct{}{}:
	default:
	}
}

func (o *Observer) pollLoop(ctx context.Context) {
	for {
		wait := o.poll(ctx)
		if !sleep(ctx, wait) {
			return
		}
	}
}

// poll takes in how things stand and returns when to poll again.
func (o *Observer) poll(ctx context.Context) time.Duration {
	o.mu.Lock()
	direct := o.readStore
	o.mu.Unlock()
	snapshot, err := o.Source.Fetch(ctx, direct)
	if err != nil {
		o.setStoreReachable(false, err)
		return retryInterval
	}
	o.setStoreReachable(true, nil)
	o.mu.Lock()
	defer o.mu.Unlock()
	if snapshot.ListedAt.After(o.tracker.UpdatedAt()) {
		o.tracker.Update(snapshot.ListedAt, snapshot.Instances)
	}
	o.updateConfig(snapshot)
	for id := range o.ownLosses {
		if !o.tracker.IsLost(id) {
			delete(o.ownLosses, id)
		}
	}
	now := clocker.Now()
	for id, at := range o.checkedAt {
		if now.Sub(at) > time.Minute {
			delete(o.checkedAt, id)
		}
	}
	o.signal()
	if o.config == nil {
		return retryInterval
	}
	return o.interval
}

// updateConfig takes in the configuration. Versions only rise.
func (o *Observer) updateConfig(s Snapshot) {
	switch {
	case s.Config == nil:
		return
	case o.config != nil && s.Config.Version < o.config.Version:
		log.WithFields(log.Fields{"version": s.Config.Version, "in_force": o.config.Version}).Warn("older configuration ignored")
		return
	}
	if s.ConfirmedAt.After(o.configConfirmedAt) {
		o.configConfirmedAt = s.ConfirmedAt
	}
	if o.config != nil && o.config.Version == s.Config.Version {
		return
	}
	o.config = s.Config
	o.tracker.SetGroupSizes(groupSizes(s.Config))
	log.WithFields(log.Fields{"version": s.Config.Version, "age": clocker.Since(s.ConfirmedAt).String()}).Info(logger.LineConfig)
}

// setStoreReachable notes whether the store answers, and logs each change of that.
func (o *Observer) setStoreReachable(reachable bool, err error) {
	o.mu.Lock()
	changed := o.storeReachable != reachable
	o.storeReachable = reachable
	o.mu.Unlock()
	switch {
	case !changed:
	case reachable:
		log.Info(logger.LineStore)
	default:
		log.WithError(err).Warn(logger.LineNoStore)
	}
}

// groupSizes returns the members of a group of each model.
func groupSizes(config *mapper.RouteTable) map[string]int {
	found := make(map[string]int)
	for _, s := range config.Services {
		if s.Engine == nil {
			continue
		}
		for _, m := range s.Engine.Models {
			found[m.Name] = m.Size
		}
	}
	return found
}

// sleep waits, or reports false when ctx ends.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
