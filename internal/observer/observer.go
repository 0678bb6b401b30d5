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
	// ProvedAt is when the configuration was surely the newest.
	ProvedAt time.Time
}

// Source tells how things stand at the platform.
type Source interface {
	// Look returns what is known now; direct asks for a read of the store.
	Look(ctx context.Context, direct bool) (Snapshot, error)
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
	// lookInterval is the time between two looks at the platform. Two of them,
	// a reader's and an asker's, are less than the two seconds within which a
	// configuration must be in force and a leaving instance get nothing new.
	lookInterval = 600 * time.Millisecond
	// retryInterval is that time while the store does not answer.
	retryInterval = 200 * time.Millisecond
	// probeTimeout bounds one probe: a live instance answers in 3 to 5 ms.
	probeTimeout = 80 * time.Millisecond
	// probeTries is how many probes in a row must fail.
	probeTries = 2
	// doubtInterval is the least time between two checks of one instance.
	doubtInterval = 400 * time.Millisecond
	// recheckInterval is the time between two probes of instances held for lost.
	recheckInterval = 500 * time.Millisecond
	// recheckers is how many of the entry instances that were told of a loss
	// probe it in that time, besides those that found it.
	recheckers = 6
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

	mu     sync.Mutex
	survey *tracker.Tracker
	config *mapper.RouteTable
	// proved is when the call began that last showed the configuration.
	proved time.Time
	// doubted is when an instance was last checked.
	doubted map[string]time.Time
	// probed holds the instances that this instance found lost itself.
	probed map[string]bool
	pace   time.Duration
	// direct says that the store is to be read, not a peer asked.
	direct bool
	// reachable says whether the store answered the last call.
	reachable bool
	changed   chan struct{}
}

// New returns an observer that knows of nothing.
func New(d Dependencies) *Observer {
	return &Observer{
		Dependencies: d,
		survey:       tracker.New(),
		doubted:      make(map[string]time.Time),
		probed:       make(map[string]bool),
		pace:         lookInterval,
		changed:      make(chan struct{}, 1),
	}
}

// Start begins the duties; they end with ctx.
func (o *Observer) Start(ctx context.Context) {
	go o.lookLoop(ctx)
	go o.recheckLoop(ctx)
}

// Config returns the configuration in force, or nil before there is one.
func (o *Observer) Config() *mapper.RouteTable {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.config
}

// Proved returns when the configuration was last proved newest.
func (o *Observer) Proved() time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.proved
}

// ConfigAge returns how long ago the configuration was last proved newest.
func (o *Observer) ConfigAge() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return clocker.Since(o.proved)
}

// ListAge returns how old the list of the backend servers is.
func (o *Observer) ListAge() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return clocker.Since(o.survey.UpdatedAt())
}

// Changed gets a value after the view has changed.
func (o *Observer) Changed() <-chan struct{} { return o.changed }

// SetPace sets the time between two reads of the store for an instance in
// control; zero goes back to the usual looks.
func (o *Observer) SetPace(pace time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.direct = pace > 0
	if pace == 0 {
		pace = lookInterval
	}
	o.pace = pace
}

// With calls do with the survey, which must not be kept.
func (o *Observer) With(do func(*tracker.Tracker)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	do(o.survey)
}

// Groups returns the groups of a service and model that may be sent requests.
func (o *Observer) Groups(service, model string) []tracker.Group {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.survey.Groups(service, model)
}

// Servers returns the instances of a plain service that may be sent requests.
func (o *Observer) Servers(service string) []provider.Instance {
	o.mu.Lock()
	defer o.mu.Unlock()
	var found []provider.Instance
	for _, in := range o.survey.Servers(service) {
		if !o.survey.IsLost(in.ID) {
			found = append(found, in)
		}
	}
	return found
}

// Serves reports whether a group may still be sent requests.
func (o *Observer) Serves(g tracker.Group) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.survey.GroupAvailable(g)
}

// ServesAlone reports whether a plain server may still be sent requests.
func (o *Observer) ServesAlone(in provider.Instance) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.survey.InstanceAvailable(in)
}

// Gone reports whether one of these instances is lost or has started anew.
func (o *Observer) Gone(members []provider.Instance) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, in := range members {
		if o.survey.IsLost(in.ID) {
			return true
		}
		if now, listed := o.survey.Instance(in.ID); listed && now.Incarnation != in.Incarnation {
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

func (o *Observer) lookLoop(ctx context.Context) {
	for {
		wait := o.look(ctx)
		if !sleep(ctx, wait) {
			return
		}
	}
}

// look takes in how things stand and returns when to look again.
func (o *Observer) look(ctx context.Context) time.Duration {
	o.mu.Lock()
	direct := o.direct
	o.mu.Unlock()
	snapshot, err := o.Source.Look(ctx, direct)
	if err != nil {
		o.answered(false, err)
		return retryInterval
	}
	o.answered(true, nil)
	o.mu.Lock()
	defer o.mu.Unlock()
	if snapshot.ListedAt.After(o.survey.UpdatedAt()) {
		o.survey.Update(snapshot.ListedAt, snapshot.Instances)
	}
	o.takeConfig(snapshot)
	for id := range o.probed {
		if !o.survey.IsLost(id) {
			delete(o.probed, id)
		}
	}
	now := clocker.Now()
	for id, at := range o.doubted {
		if now.Sub(at) > time.Minute {
			delete(o.doubted, id)
		}
	}
	o.signal()
	if o.config == nil {
		return retryInterval
	}
	return o.pace
}

// takeConfig takes in the configuration. Versions only rise.
func (o *Observer) takeConfig(s Snapshot) {
	switch {
	case s.Config == nil:
		return
	case o.config != nil && s.Config.Version < o.config.Version:
		log.WithFields(log.Fields{"version": s.Config.Version, "in_force": o.config.Version}).Warn("older configuration ignored")
		return
	}
	if s.ProvedAt.After(o.proved) {
		o.proved = s.ProvedAt
	}
	if o.config != nil && o.config.Version == s.Config.Version {
		return
	}
	o.config = s.Config
	o.survey.SetGroupSizes(sizes(s.Config))
	log.WithFields(log.Fields{"version": s.Config.Version, "age": clocker.Since(s.ProvedAt).String()}).Info(logger.LineConfigInForce)
}

// answered notes whether the store answers, and logs each change of that.
func (o *Observer) answered(reachable bool, err error) {
	o.mu.Lock()
	changed := o.reachable != reachable
	o.reachable = reachable
	o.mu.Unlock()
	switch {
	case !changed:
	case reachable:
		log.Info(logger.LineStoreRegained)
	default:
		log.WithError(err).Warn(logger.LineStoreLost)
	}
}

// sizes returns the members of a group of each model.
func sizes(config *mapper.RouteTable) map[string]int {
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
