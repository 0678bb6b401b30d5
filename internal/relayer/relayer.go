// Package relayer reads the state of the platform for an entry instance at a
// bounded load on the store. A few instances, the readers, read the store; the
// others fetch the changes from one of them. Every reply carries its age, which
// counts from the time of the request, so that clock differences and network
// delay cannot make data look younger than it is. An instance that gets no
// recent reply reads the store itself.
//
// # Usage
//
//	r := relayer.New(relayer.Dependencies{...})
//	snapshot, err := r.Fetch(ctx, false)
//	reply := r.ChangesSince(arguments)
package relayer

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/internal/messenger"
	"github.com/waxwingmount/waxwingmount/internal/observer"
	"github.com/waxwingmount/waxwingmount/pkg/gossiper"
	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

const (
	// readerCount is the number of entry instances that read the store. Two of
	// them may fail, or be refused by the store, at once.
	readerCount = 3
	// maxAge is the maximum age of a peer's reply; an older one is discarded in
	// favour of a read of the store. It is above two of a reader's intervals.
	maxAge = 1600 * time.Millisecond
	// peerCallTimeout bounds one call to a peer.
	peerCallTimeout = 300 * time.Millisecond
	// configInterval is the minimum time between two reads of the configuration.
	configInterval = 600 * time.Millisecond
)

// Platform is the platform's store.
type Platform interface {
	provider.Lister
	// Era returns the newest era that the table's responses have shown.
	Era() uint64
	// ReadConfig reads the operator's configuration.
	ReadConfig(ctx context.Context) (ConfigReading, error)
}

// ConfigReading is the operator's configuration as it was read.
type ConfigReading struct {
	// Table is nil if there is no configuration.
	Table *mapper.RouteTable
	// Era is the era of the platform's table.
	Era uint64
	// Rewritten reports whether the configuration is known to have been written in
	// this era, so that it does not come from an older copy.
	Rewritten bool
}

// Members returns this entry instance and all live ones.
type Members interface {
	Self() gossiper.Member
	Live() []gossiper.Member
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
}

// Relayer holds one entry instance's copy of the platform's state. It is safe
// for concurrent use.
type Relayer struct {
	Dependencies

	mu    sync.Mutex
	state *versionedState
	// lastPeer is the ID of the peer that sent the last list, lastPeerEpoch and
	// lastPeerRevision are that list's epoch and revision.
	lastPeer         string
	lastPeerEpoch    uint64
	lastPeerRevision uint64
}

// New returns a Relayer with an empty state.
func New(d Dependencies) *Relayer {
	state := newVersionedState(d.Epoch)
	state.firstStart = d.FirstStart
	return &Relayer{Dependencies: d, state: state}
}

// rankedMembers returns the live members by rank; the first readerCount of them
// are the readers. The order by hash spreads the role over the instances.
func (r *Relayer) rankedMembers() []gossiper.Member {
	members := r.Members.Live()
	slices.SortFunc(members, func(a, b gossiper.Member) int {
		x, y := xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)
		switch {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return strings.Compare(a.ID, b.ID)
	})
	return members
}

// IsReader reports whether this instance is one of the readers.
func (r *Relayer) IsReader() bool {
	self := r.Members.Self().ID
	for rank, m := range r.rankedMembers() {
		if rank >= readerCount {
			return false
		}
		if m.ID == self {
			return true
		}
	}
	return true
}

// Fetch implements [observer.Source].
func (r *Relayer) Fetch(ctx context.Context, direct bool) (observer.Snapshot, error) {
	if direct || r.IsReader() || !r.fetchFromReaders(ctx) {
		if err := r.readStore(ctx); err != nil {
			// A reader that the store does not refuse may have newer state.
			if !r.fetchFromReaders(ctx) {
				return observer.Snapshot{}, err
			}
		}
	}
	r.fetchNewerConfig(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.snapshot(), nil
}

// fetchNewerConfig fetches the configuration, in a new era of the platform's table,
// from a peer that runs a newer version than the known one. A process that has just
// started has no other way to learn of it while the store shows an older copy.
func (r *Relayer) fetchNewerConfig(ctx context.Context) {
	var version uint64
	r.mu.Lock()
	if r.state.config != nil {
		version = r.state.config.Version
	}
	eraIsNew := r.state.eraIsNew(clocker.Now())
	r.mu.Unlock()
	if !eraIsNew {
		return
	}
	self := r.Members.Self().ID
	for _, m := range r.Members.Live() {
		if m.ID != self && m.ConfigVersion > version {
			r.fetchFromPeer(ctx, m)
			return
		}
	}
}

// readStore updates the state from the store.
func (r *Relayer) readStore(ctx context.Context) error {
	began := clocker.Now()
	instances, err := r.Platform.ListInstances(ctx)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.state.updateList(began, r.Platform.Era(), instances)
	fresh := began.Sub(r.state.configConfirmedAt) < configInterval
	r.mu.Unlock()
	if fresh {
		return nil
	}
	began = clocker.Now()
	reading, err := r.Platform.ReadConfig(ctx)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.state.observeEra(began, reading.Era)
	undecided := r.state.eraIsNew(began) && !reading.Rewritten
	r.mu.Unlock()
	settled := undecided && r.EraSettled(ctx, reading.Era)
	r.mu.Lock()
	defer r.mu.Unlock()
	if settled {
		r.state.settleEra(reading.Era)
	}
	r.state.updateConfig(began, reading.Table, reading.Rewritten)
	return nil
}

// fetchFromReaders tries the readers in turn and reports whether one sent a
// recent reply. The first reader to try depends on a hash of this instance's
// ID, which spreads the load over the readers.
func (r *Relayer) fetchFromReaders(ctx context.Context) bool {
	self := r.Members.Self().ID
	ranked := slices.DeleteFunc(r.rankedMembers(), func(m gossiper.Member) bool { return m.ID == self })
	ranked = ranked[:min(readerCount, len(ranked))]
	for i := range ranked {
		if r.fetchFromPeer(ctx, ranked[(xxhash.Sum64String(self)+uint64(i))%uint64(len(ranked))]) {
			return true
		}
	}
	return false
}

// fetchFromPeer fetches the changes from one peer and reports whether they were
// recent. Ages count from the start of the call.
func (r *Relayer) fetchFromPeer(ctx context.Context, peer gossiper.Member) bool {
	r.mu.Lock()
	arguments := messenger.ChangesArguments{}
	if r.lastPeer == peer.ID {
		arguments.Epoch, arguments.Revision = r.lastPeerEpoch, r.lastPeerRevision
	}
	if r.state.config != nil {
		arguments.ConfigVersion = r.state.config.Version
	}
	r.mu.Unlock()
	began := clocker.Now()
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	var reply messenger.ChangesReply
	if err := r.Pool.Call(ctx, peer.Peer, messenger.MethodNews, &arguments, &reply); err != nil {
		log.WithField("peer", peer.ID).WithError(err).Debug("fetch of platform state from peer failed")
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if reply.ConfigVersion == 0 || reply.ListAge > maxAge || reply.ConfigAge > maxAge || reply.Era < r.state.era {
		// A version of the configuration only rises, so that a newer one counts
		// whatever its age.
		r.applyConfig(began, reply)
		return false
	}
	r.applyReply(began, peer.ID, reply)
	return true
}

// applyReply applies a peer's reply to a call that began at that time.
func (r *Relayer) applyReply(began time.Time, peer string, reply messenger.ChangesReply) {
	at := began.Add(-reply.ListAge)
	if !reply.Whole && at.Before(r.state.listedAt) {
		// The reply was slow, but it continues the changes of the same reader,
		// so that the list must not be dropped as older than the known one.
		at = r.state.listedAt
	}
	if r.state.updateList(at, reply.Era, r.mergeInstances(reply)) {
		r.lastPeer, r.lastPeerEpoch, r.lastPeerRevision = peer, reply.Epoch, reply.Revision
	}
	if reply.EraSettled {
		r.state.settleEra(reply.Era)
	}
	r.applyConfig(began, reply)
}

// applyConfig applies the configuration in a peer's reply to a call that began at
// that time.
func (r *Relayer) applyConfig(began time.Time, reply messenger.ChangesReply) {
	config := r.state.config
	if reply.Config != nil {
		config = mapper.New(*reply.Config)
	}
	if config != nil && config.Version == reply.ConfigVersion {
		r.state.updateConfig(began.Add(-reply.ConfigAge), config, reply.ConfigRewritten && reply.Era == r.state.era)
	}
}

// mergeInstances returns the known instances with a reply's changes applied.
func (r *Relayer) mergeInstances(reply messenger.ChangesReply) []provider.Instance {
	next := make(map[string]provider.Instance)
	if !reply.Whole {
		for id, e := range r.state.instances {
			next[id] = e.instance
		}
	}
	for _, in := range reply.Changed {
		next[in.ID] = in
	}
	for _, id := range reply.Removed {
		delete(next, id)
	}
	all := make([]provider.Instance, 0, len(next))
	for _, in := range next {
		all = append(all, in)
	}
	return all
}

// ChangesSince returns the changes since the state that a peer has. It answers
// the peer's call.
func (r *Relayer) ChangesSince(arguments messenger.ChangesArguments) messenger.ChangesReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.changesSince(clocker.Now(), arguments)
}
