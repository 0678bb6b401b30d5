// Package relayer reads the state of the platform for an entry instance at a
// bounded load on the store. A few instances, the readers, read the store; where
// there are many instances, a few relays in each data centre fetch the changes from
// the readers, and the others from the relays. Every reply carries its age, which
// counts from the time of the request, so that clock differences and network
// delay cannot make data look younger than it is. An instance that gets no
// recent reply reads the store itself.
//
// The list of backend servers and the configuration are read beside each other, and a
// source that is slow holds up neither the other sources nor the reader of the state.
// A newer version of the configuration that a peer tells is fetched from that peer.
//
// # Usage
//
//	r := relayer.New(relayer.Dependencies{...})
//	snapshot, err := r.Fetch(ctx, false)
//	reply := r.ChangesSince(arguments)
package relayer

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/internal/messenger"
	"github.com/waxwingmount/waxwingmount/internal/observer"
	"github.com/waxwingmount/waxwingmount/pkg/evacuator"
	"github.com/waxwingmount/waxwingmount/pkg/gossiper"
	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

const (
	// maxAge is the maximum age of a peer's reply; if all replies are older, the store is
	// read. It is above two of a reader's intervals.
	maxAge = 1600 * time.Millisecond
	// relayedMaxAge replaces maxAge where relays stand between the readers and the
	// others.
	relayedMaxAge = 2200 * time.Millisecond
	// fetchMargin is what a fetch may take, together with a source that does not answer,
	// and the sending of a request by its result.
	fetchMargin = 300 * time.Millisecond
	// fetchTimeout is how long a fetch waits for peers once there is a state.
	fetchTimeout = fetchMargin - 50*time.Millisecond
	// peerCallTimeout bounds one call to a peer.
	peerCallTimeout = 300 * time.Millisecond
	// firstCallTimeout replaces it while this instance has no list, since the whole list
	// takes longer than the changes, and its sources may have started at the same moment.
	firstCallTimeout = 2 * time.Second
	// readerDelay is how long after its start a reader leaves the store to its peers: a few
	// rounds of gossip, after which it knows that it is one.
	readerDelay = 600 * time.Millisecond
	// storeFirst is how long a reader waits for the store before it asks the other
	// readers too. The store may hold a call for half a second while nothing changes.
	storeFirst = 700 * time.Millisecond
	// settleTime is how long a reading that has ended waits for the other one.
	settleTime = 20 * time.Millisecond
	// relayInterval is the time between two fetches of a relay, or of an instance whose
	// state is older than the sources' should be, and between the starts of two readings of
	// a reader while changes come.
	relayInterval = 300 * time.Millisecond
)

// Platform is the platform's store.
type Platform interface {
	// ReadInstances reads the list of backend servers. If hold is set, it may wait for a
	// change for up to half a second while nothing changes.
	ReadInstances(ctx context.Context, hold bool) (InstancesReading, error)
	// Era returns the newest era that the table's responses have shown.
	Era() uint64
	// ReadConfig reads the operator's configuration and the evacuations. It may wait like
	// ReadInstances. If the configuration alone is unreadable, the reading that is returned
	// with the error holds the evacuations.
	ReadConfig(ctx context.Context, hold bool) (ConfigReading, error)
}

// InstancesReading is the list of backend servers as it was read.
type InstancesReading struct {
	Instances []provider.Instance
	// Era is the era of the platform's table.
	Era uint64
	// Version is the version of the store up to which the list is current, or zero if the
	// store does not tell.
	Version uint64
	// Followed reports whether the list follows all changes since the reading before, and
	// Removed holds the instances that were removed since. An instance that was added and
	// removed in between is in neither list, but a peer may know it.
	Followed bool
	Removed  []string
	// Unchanged reports whether there has been no change since the reading before, not even
	// of an instance that was added and removed.
	Unchanged bool
	// At is a time at which the list was current.
	At time.Time
}

// ConfigReading is the operator's configuration as it was read.
type ConfigReading struct {
	// At is a time at which the configuration was the newest.
	At time.Time
	// Table is nil if there is no configuration.
	Table *mapper.RouteTable
	// Era is the era of the platform's table.
	Era uint64
	// Rewritten reports whether the configuration is known to have been written in
	// this era, so that it does not come from an older copy.
	Rewritten bool
	// Evacuations holds the data centres that the operator has evacuated, as of the same
	// time, or is nil if they were not read.
	Evacuations *evacuator.Reading
}

// Members returns this entry instance and all live ones.
type Members interface {
	Self() gossiper.Member
	Live() []gossiper.Member
	// Count returns the number of live instances.
	Count() int
}

// Dependencies are the collaborators of a Relayer.
type Dependencies struct {
	Platform Platform
	Members  Members
	Pool     *messenger.Pool
	// Epoch differs between the runs of this process.
	Epoch uint64
	// FirstStart is true when the whole system starts for the first time, so that
	// the first era is no return from an older copy.
	FirstStart bool
	// EraSettled reports whether an era of the platform's table is known to have
	// lasted for so long that nobody has to write anything again. A process that
	// has just started can't tell by itself.
	EraSettled func(ctx context.Context, era uint64) bool
	// MaxAge is the age up to which a peer's reply is taken without asking others, or
	// zero for the default. See [StateMaxAge].
	MaxAge time.Duration
	// StoreDelay is how long after its start an instance without any state leaves the
	// store to its peers. When many instances start at once, a few of them read it.
	StoreDelay time.Duration
}

// Relayer holds one entry instance's copy of the platform's state. It is safe
// for concurrent use.
type Relayer struct {
	Dependencies

	started    time.Time
	readList   flight
	readConfig flight
	// readHeard fetches from the peer that has told of a newer configuration.
	readHeard flight

	mu    sync.Mutex
	state *versionedState
	// returned is the list's time, and returnedVersion the configuration's version, in the
	// last result of Fetch. evacuationsReturned reports whether that had the evacuations.
	returned            time.Time
	returnedVersion     uint64
	evacuationsReturned bool
	// direct reports whether the last call of Fetch was to read the store, and storeAnswered
	// whether the store answered it beside the peers.
	direct        bool
	storeAnswered bool
	// failedAt is when a call to a peer failed, unless a later one succeeded, by ID.
	failedAt map[string]time.Time
	// listFromStore reports whether the last change of the list was read from the store.
	listFromStore bool
	// withoutEvacuations reports whether the store's last reading had none.
	withoutEvacuations bool
	// heardVersion is the newest version of the configuration that a peer has told,
	// and heardFrom the peer's address.
	heardVersion uint64
	heardFrom    netip.AddrPort
}

// New returns a Relayer with an empty state.
func New(d Dependencies) *Relayer {
	state := newVersionedState(d.Epoch)
	state.firstStart = d.FirstStart
	r := &Relayer{Dependencies: d, state: state, started: clocker.Now(), failedAt: make(map[string]time.Time)}
	r.readList.task = r.updateListFromStore
	r.readConfig.task = r.updateConfigFromStore
	r.readHeard.task = r.fetchHeardVersion
	return r
}

// IsReader reports whether this instance is one of the readers.
func (r *Relayer) IsReader() bool {
	own, _ := sources(r.Members.Self(), r.Members.Live())
	return own == roleReader
}

// Interval implements [observer.Source]. An instance whose sources lag behind fetches again
// when its state is so old that it has to read the store.
func (r *Relayer) Interval() time.Duration {
	own, _ := sources(r.Members.Self(), r.Members.Live())
	if own != roleLeaf {
		return relayInterval
	}
	if !r.hasState() {
		return 0
	}
	interval := observer.PollInterval
	if r.isBehind() {
		interval = relayInterval
	}
	if until := r.untilStoreAge(); until > 0 {
		interval = min(interval, until)
	}
	return interval
}

// StateMaxAge returns the MaxAge for a bound within which a change must be in force, or
// zero if there is no bound: what is taken is acted upon until the next fetch, so that its
// age and the time until then must fit into the bound together.
func StateMaxAge(bound time.Duration) time.Duration {
	if bound <= 0 {
		return 0
	}
	return max(observer.PollInterval, bound-observer.PollInterval-fetchMargin)
}

// ConfigVersion returns the version of the known configuration, or zero.
func (r *Relayer) ConfigVersion() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.configVersion()
}

// HearVersion records the version of the configuration that a peer has. It reports
// whether that version is news here, so that it should be fetched.
func (r *Relayer) HearVersion(peer netip.AddrPort, version uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if version <= r.state.configVersion() || version <= r.heardVersion {
		return false
	}
	r.heardVersion, r.heardFrom = version, peer
	return true
}

// fetchFromPeer fetches the changes from one peer and reports whether they were so
// recent that no other peer needs to be asked. Ages count from the start of the call.
func (r *Relayer) fetchFromPeer(ctx context.Context, peer gossiper.Member) bool {
	r.mu.Lock()
	arguments := r.state.arguments()
	timeout := peerCallTimeout
	if r.state.listedAt.IsZero() {
		timeout = firstCallTimeout
	}
	r.mu.Unlock()
	began := clocker.Now()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var reply messenger.ChangesReply
	err := r.Pool.Call(ctx, peer.Peer, messenger.MethodNews, &arguments, &reply)
	r.noteCall(peer.ID, err)
	if err != nil {
		log.WithField("peer", peer.ID).WithError(err).Debug("fetch of platform state from peer failed")
		return false
	}
	if err := reply.Unpack(); err != nil {
		log.WithField("peer", peer.ID).WithError(err).Warn("list of a peer ignored: it can't be unpacked")
		return false
	}
	hard, soft := r.hardMaxAge(), r.softMaxAge()
	r.mu.Lock()
	defer r.mu.Unlock()
	// Evacuations are ordered by the store's versions, so that they count whatever the age
	// of the rest.
	r.mergeEvacuations(began, reply.Evacuations)
	return r.takeReply(began, peer.ID, reply, hard) && reply.ListAge <= soft && reply.ConfigAge <= soft
}

// takeReply applies what counts of a peer's reply to a call that began at that time. It
// reports whether the reply is younger than the limit and of the known era. The caller
// holds r.mu.
func (r *Relayer) takeReply(began time.Time, peer string, reply messenger.ChangesReply, limit time.Duration) bool {
	if reply.ConfigVersion == 0 || reply.ListAge > limit || reply.ConfigAge > limit || reply.Era < r.state.era {
		// A version of the configuration only rises, so that a newer one counts
		// whatever its age.
		r.applyConfig(began, peer, reply)
		return false
	}
	r.applyReply(began, peer, reply)
	return true
}

// mergeEvacuations applies the evacuations in a peer's reply to a call that began at that
// time; nil if the peer does not know them. The caller holds r.mu.
func (r *Relayer) mergeEvacuations(began time.Time, report *evacuator.Report) {
	if report == nil {
		return
	}
	var at time.Time
	if report.Age < unconfirmed {
		at = began.Add(-report.Age)
	}
	if r.state.evacuations.Merge(clocker.Now(), at, *report) {
		r.evacuationsReturned = false
	}
}

// HearEvacuations applies what a peer has told of the evacuations, which is nil if the peer
// does not know them, so that they are in force even if this instance's own sources lag
// behind. It reports whether that was news. How old it is can't be known, so it does not
// count as confirmation.
func (r *Relayer) HearEvacuations(report *evacuator.Report) bool {
	if report == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	news := r.state.evacuations.Merge(clocker.Now(), time.Time{}, *report)
	if news {
		r.evacuationsReturned = false
	}
	return news
}

// Evacuations returns what peers are told of the evacuations, or nil if nothing is known.
func (r *Relayer) Evacuations() *evacuator.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.evacuations.Report(clocker.Now())
}

// applyReply applies a peer's reply to a call that began at that time.
func (r *Relayer) applyReply(began time.Time, peer string, reply messenger.ChangesReply) {
	content := r.state.content
	r.state.applyReply(began.Add(-reply.ListAge), reply)
	r.listFromStore = r.listFromStore && r.state.content == content
	if reply.EraSettled {
		r.state.settleEra(reply.Era)
	}
	r.applyConfig(began, peer, reply)
}

// applyConfig applies the configuration in a peer's reply to a call that began at
// that time.
func (r *Relayer) applyConfig(began time.Time, peer string, reply messenger.ChangesReply) {
	config := r.state.config
	if reply.Config != nil {
		config = mapper.New(*reply.Config)
	}
	if config == nil || config.Version != reply.ConfigVersion {
		return
	}
	var at time.Time
	if reply.ConfigAge < unconfirmed {
		at = began.Add(-reply.ConfigAge)
	}
	r.state.updateConfig(at, peer, config, reply.ConfigRewritten && reply.Era == r.state.era)
}

// ChangesSince returns the changes since the state that a peer has. It answers
// the peer's call.
func (r *Relayer) ChangesSince(arguments messenger.ChangesArguments) messenger.ChangesReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.changesSince(clocker.Now(), arguments)
}
