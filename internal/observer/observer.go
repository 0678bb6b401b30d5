// Package observer holds one entry instance's view of the platform: the
// operator's configuration, with the time at which it was last confirmed as the
// newest, and the backend servers, with evidence of lost ones from probes and
// from peers.
//
// # Usage
//
//	o := observer.New(observer.Dependencies{Source: client, Prober: client, Identifier: client, Announcer: peers})
//	o.Start(ctx)
//	groups := o.Groups("service", "model")
//	o.Suspect(ctx, group.Members)
package observer

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/internal/messenger"
	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
	"github.com/waxwingmount/waxwingmount/pkg/tracker"
)

// Snapshot is the state of the platform as read from a [Source].
type Snapshot struct {
	// Instances must not be changed.
	Instances []provider.Instance
	// Content differs between snapshots with different instances. Zero means that it is
	// not known whether they differ.
	Content uint64
	// ListedAt is a time at which the list was current.
	ListedAt time.Time
	// Era is the era of the platform's table in which the list was read.
	Era uint64
	// Config is nil if the operator has not set a configuration yet.
	Config *mapper.RouteTable
	// ConfigSource is the peer that sent the configuration, or empty if it was read from
	// the store.
	ConfigSource string
	// ConfirmedAt is a time at which the configuration was the newest.
	ConfirmedAt time.Time
	// Evacuated holds the evacuated data centres, each with the time at which the source
	// learned of it.
	Evacuated map[string]time.Time
	// EvacuationsAt is a time at which Evacuated was current, or zero if it is not known.
	EvacuationsAt time.Time
}

// Source reads the state of the platform.
type Source interface {
	// Fetch returns the current state. If direct is set, it reads the store
	// instead of asking a peer. After an error the state is what is known: parts of
	// it may be newer than before.
	Fetch(ctx context.Context, direct bool) (Snapshot, error)
	// Interval returns the longest time between two calls of Fetch that the source
	// wants, or zero if it has no wish.
	Interval() time.Duration
}

// Prober probes instances.
type Prober interface {
	// Probe returns an error unless the instance answers within the timeout.
	Probe(ctx context.Context, in provider.Instance, timeout time.Duration) error
}

// Identifier asks instances who they are.
type Identifier interface {
	// Identify returns what the server at an instance's address says in response to a GET
	// request with that path, or an error if it does not say who it is.
	Identify(ctx context.Context, in provider.Instance, path string, timeout time.Duration) (tracker.Identity, error)
}

// Announcer reaches the other entry instances.
type Announcer interface {
	// Announce sends losses and retracted losses to the peers.
	Announce(ctx context.Context, message messenger.LossesMessage)
	// AskWitnesses asks some peers, others in each round, whether they reach an instance. It
	// returns an answer for each peer that was asked, as soon as one of them reaches the
	// instance or all have replied.
	AskWitnesses(ctx context.Context, in provider.Instance, round int) []tracker.Testimony
	// Count returns the number of entry instances.
	Count() int
}

const (
	// PollInterval is the time between two reads of the platform's state. A
	// change reaches this instance after at most two intervals, a reader's and
	// its own, which is below the two seconds within which a configuration must
	// take effect and an instance that shuts down must get no new requests.
	PollInterval = 600 * time.Millisecond
	// minPollPause is the shortest time between the end of a read and the next one.
	minPollPause = 100 * time.Millisecond
	// retryInterval replaces PollInterval while the store does not answer.
	retryInterval = 200 * time.Millisecond
	// probeTimeout bounds one probe: a live instance answers in 3 to 5 ms.
	probeTimeout = 80 * time.Millisecond
	// probeAttempts is the number of consecutive failed probes that mean a loss.
	probeAttempts = 2
	// checkInterval is the minimum time between two checks of one instance.
	checkInterval = 400 * time.Millisecond
	// recheckInterval is the time between two probes of instances marked lost.
	recheckInterval = 500 * time.Millisecond
	// recheckersPerLoss is the average number of entry instances that probe a
	// lost instance in each recheckInterval, besides those that found the loss.
	recheckersPerLoss = 6
	// reviewInterval is the time after which an instance that a peer reached is checked
	// anew, and peers are asked again.
	reviewInterval = time.Second
)

// Dependencies are the collaborators of an Observer.
type Dependencies struct {
	Source Source
	Prober Prober
	// Identifier is optional. Without it, ranks that several entries claim stay disputed.
	Identifier Identifier
	Announcer  Announcer
	Scope      tally.Scope
}

// Observer holds one entry instance's view of the platform. It is safe for
// concurrent use.
type Observer struct {
	Dependencies

	mu      sync.Mutex
	tracker *tracker.Tracker
	// content identifies the instances of the last snapshot.
	content uint64
	// gaps holds what was last logged of the groups that can't take requests.
	gaps   map[tracker.GroupKey]tracker.Gap
	config *mapper.RouteTable
	// configConfirmedAt is the time at which the configuration was last
	// confirmed as the newest: the start of the read that returned it.
	configConfirmedAt time.Time
	// configChangedAt is when the configuration came into force here.
	configChangedAt time.Time
	// evacuated holds the evacuated data centres, each with the time at which that was
	// learned of, and evacuationsAt is a time at which it was current, or zero.
	evacuated     map[string]time.Time
	evacuationsAt time.Time
	// checkedAt is when each suspected instance was last probed, by ID.
	checkedAt map[string]time.Time
	// path is the last check of the own path, or nil.
	path *pathCheck
	// suspicions holds the instances that respond to no probe while the own path may be
	// the cause, and disturbedAt is when that was last found, or zero.
	suspicions  *tracker.Suspicions
	disturbedAt time.Time
	// ownLosses holds the IDs of the instances whose loss this instance's own
	// probes found.
	ownLosses map[string]bool
	// inquiries holds a value for each inquiry in progress, and testimonies what this
	// instance has found for its peers, by incarnation of the backend server.
	inquiries   chan struct{}
	testimonies map[messenger.Loss]*testimony
	// confirmations holds the probes that confirm the silence of instances.
	confirmations map[messenger.Loss]confirmation
	// pathCut receives a value when the path is found cut.
	pathCut  chan struct{}
	interval time.Duration
	// readStore selects reads of the store instead of requests to a peer.
	readStore bool
	// storeReachable reports whether the last read succeeded.
	storeReachable bool
	// handleReturn is told of each data centre whose evacuation has ended, or nil.
	handleReturn func(dataCentre string)
	// applied is closed when the next read has been applied.
	applied chan struct{}
	// readBeganAt is when the last read that succeeded began.
	readBeganAt time.Time
	pauses      pauseWatch
	// refreshedAfter is the end of the last pause after which a read was asked for.
	refreshedAfter time.Time
	// awaitedInVain reports whether a wait for a fresh view has ended without a read.
	awaitedInVain bool
	// eraChanged reports whether a later era than the first one was read.
	eraChanged bool
	changed    chan struct{}
	// refresh receives a value when the next read should not wait.
	refresh chan struct{}
}

// New returns an Observer with an empty view.
func New(d Dependencies) *Observer {
	return &Observer{
		Dependencies:  d,
		tracker:       tracker.New(),
		suspicions:    tracker.NewSuspicions(),
		checkedAt:     make(map[string]time.Time),
		ownLosses:     make(map[string]bool),
		inquiries:     make(chan struct{}, maxInquiries),
		testimonies:   make(map[messenger.Loss]*testimony),
		confirmations: make(map[messenger.Loss]confirmation),
		pathCut:       make(chan struct{}, 1),
		interval:      PollInterval,
		changed:       make(chan struct{}, 1),
		refresh:       make(chan struct{}, 1),
		applied:       make(chan struct{}),
	}
}

// Start runs the tick, poll, recheck, survey and identify loops in the background until ctx ends.
func (o *Observer) Start(ctx context.Context) {
	go o.pauses.tickLoop(ctx)
	go o.pollLoop(ctx)
	go o.recheckLoop(ctx)
	go o.surveyLoop(ctx)
	if o.Identifier != nil {
		go o.identifyLoop(ctx)
	}
}

// Config returns the configuration in force, or nil if none has been read yet.
func (o *Observer) Config() *mapper.RouteTable {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.config
}

// ConfigConfirmedAt returns the time at which the configuration was last
// confirmed as the newest.
func (o *Observer) ConfigConfirmedAt() time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.configConfirmedAt
}

// ConfigAge returns the time since the configuration was last confirmed as the
// newest.
func (o *Observer) ConfigAge() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return clocker.Since(o.configConfirmedAt)
}

// ListAge returns the age of the list of backend servers.
func (o *Observer) ListAge() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return clocker.Since(o.tracker.UpdatedAt())
}

// EraChanged reports whether the platform's table has come back from an older copy
// since this process started.
func (o *Observer) EraChanged() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.eraChanged
}

// Changed returns a channel that receives a value after the view has changed.
func (o *Observer) Changed() <-chan struct{} { return o.changed }

// SetStoreReadInterval makes the observer read the store itself at this
// interval, which the holder of the control lease needs. Zero restores the
// default polling.
func (o *Observer) SetStoreReadInterval(interval time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.readStore = interval > 0
	if interval == 0 {
		interval = PollInterval
	}
	o.interval = interval
}

// WithTracker calls do with the tracker under the observer's lock. The tracker
// must not be used after do returns.
func (o *Observer) WithTracker(do func(*tracker.Tracker)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	do(o.tracker)
}

// Groups returns the groups of a service and model that can be sent requests from here. The
// caller must not change them.
func (o *Observer) Groups(service, model string) []tracker.Group {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.tracker.Groups(service, model)
}

// Servers returns the instances of a plain service that can be sent requests from here. The
// caller must not change them.
func (o *Observer) Servers(service string) []provider.Instance {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.tracker.Servers(service)
}

// GroupAvailable reports whether a group can still be sent requests from here.
func (o *Observer) GroupAvailable(g tracker.Group) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.tracker.GroupAvailable(g)
}

// InstanceAvailable reports whether an instance of a plain service can still be sent
// requests from here.
func (o *Observer) InstanceAvailable(in provider.Instance) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.tracker.InstanceAvailable(in)
}

// AnyLostOrRestarted reports whether any of these instances is lost for all or has
// restarted, or the first one, which receives the requests, can't be reached from here.
func (o *Observer) AnyLostOrRestarted(members []provider.Instance) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for rank, in := range members {
		if o.tracker.LostForAll(in.ID) || rank == 0 && o.unreachable(in) || o.restarted(in) {
			return true
		}
	}
	return false
}

// FoundLostOrRestarted is like AnyLostOrRestarted, but a loss counts only if probes from
// here have found it, and not only a peer's.
func (o *Observer) FoundLostOrRestarted(members []provider.Instance) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for rank, in := range members {
		lost := o.ownLosses[in.ID] && o.tracker.LostForAll(in.ID)
		if lost || rank == 0 && (o.ownLosses[in.ID] || o.tracker.PathFailed(in.ID)) || o.restarted(in) {
			return true
		}
	}
	return false
}

// LostForAllOrRestarted reports whether an instance is lost for all entry instances or has
// restarted.
func (o *Observer) LostForAllOrRestarted(in provider.Instance) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.tracker.LostForAll(in.ID) || o.restarted(in)
}

// unreachable reports whether an instance has not responded here. The caller holds o.mu.
func (o *Observer) unreachable(in provider.Instance) bool {
	return o.tracker.IsLost(in.ID) || o.tracker.PathFailed(in.ID)
}

// restarted reports whether an instance runs in another incarnation than this one. The
// caller holds o.mu.
func (o *Observer) restarted(in provider.Instance) bool {
	now, listed := o.tracker.Instance(in.ID)
	return listed && now.Incarnation != in.Incarnation
}

// LostBefore is like AnyLostOrRestarted, but a loss counts only if it was found before a
// time.
func (o *Observer) LostBefore(at time.Time, members []provider.Instance) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for rank, in := range members {
		since, lost := o.tracker.LostSince(in.ID)
		if lost && since.Before(at) && (rank == 0 || o.tracker.LostForAll(in.ID)) || o.restarted(in) {
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
