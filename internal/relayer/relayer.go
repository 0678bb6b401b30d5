// Package relayer tells an entry instance how things stand at the platform at a
// bounded cost to the store. A few instances read the store; the others ask one
// of them for what has changed. Every answer carries its age, and counts from
// the moment at which it was asked for, so that freshness holds along the way
// whatever clocks and networks do. Who gets no young answer reads the store.
//
// # Usage
//
//	r := relayer.New(relayer.Dependencies{...})
//	snapshot, err := r.Look(ctx)
//	reply := r.News(arguments)
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
	// readerCount is how many entry instances read the store: two may be lost, or
	// turned away, at once.
	readerCount = 3
	// maxAge is the age from which on a peer's answer is worth less than a
	// read of the store: two of a reader's intervals.
	maxAge = 1600 * time.Millisecond
	// peerCallTimeout bounds one question to a peer.
	peerCallTimeout = 300 * time.Millisecond
	// configInterval is the least time between two reads of the configuration.
	configInterval = 600 * time.Millisecond
)

// Platform is the platform's store.
type Platform interface {
	provider.Lister
	// ReadConfig returns the operator's newest configuration, or nil.
	ReadConfig(ctx context.Context) (*mapper.RouteTable, error)
}

// Members gives the entry instances.
type Members interface {
	Self() gossiper.Member
	Live() []gossiper.Member
}

// Dependencies are what a Relayer works with.
type Dependencies struct {
	Platform Platform
	Members  Members
	Pool     *messenger.Pool
	// Epoch tells the runs of this process apart.
	Epoch uint64
}

// Relayer knows how things stand at the platform. It is safe for concurrent use.
type Relayer struct {
	Dependencies

	mu    sync.Mutex
	state *versionedState
	// lastPeer is the peer whose epoch and revision are known.
	lastPeer         string
	lastPeerEpoch    uint64
	lastPeerRevision uint64
}

// New returns a relayer that knows of nothing.
func New(d Dependencies) *Relayer {
	return &Relayer{Dependencies: d, state: newVersionedState(d.Epoch)}
}

// rankedMembers returns the live members in the order in which they read the store.
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

// IsReader reports whether this instance is one of those that read the store.
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
			// A peer that the store does not turn away may know more.
			if !r.fetchFromReaders(ctx) {
				return observer.Snapshot{}, err
			}
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.snapshot(), nil
}

// readStore reads the store.
func (r *Relayer) readStore(ctx context.Context) error {
	began := clocker.Now()
	instances, err := r.Platform.ListInstances(ctx)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.state.updateList(began, instances)
	fresh := began.Sub(r.state.configConfirmedAt) < configInterval
	r.mu.Unlock()
	if fresh {
		return nil
	}
	began = clocker.Now()
	config, err := r.Platform.ReadConfig(ctx)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.updateConfig(began, config)
	return nil
}

// fetchFromReaders asks the readers in turn, and reports whether one had a young answer.
// Each instance begins with a reader of its own, so that they share the askers.
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

// fetchFromPeer asks one peer. What it says counts from the start of the question.
func (r *Relayer) fetchFromPeer(ctx context.Context, peer gossiper.Member) bool {
	r.mu.Lock()
	arguments := messenger.NewsArguments{}
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
	var reply messenger.NewsReply
	if err := r.Pool.Call(ctx, peer.Peer, messenger.MethodNews, &arguments, &reply); err != nil {
		log.WithField("peer", peer.ID).WithError(err).Debug("peer has no news")
		return false
	}
	if reply.ConfigVersion == 0 || reply.ListAge > maxAge || reply.ConfigAge > maxAge {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applyReply(began, peer.ID, reply)
	return true
}

// applyReply takes in a peer's answer to a question that was begun at that time.
func (r *Relayer) applyReply(began time.Time, peer string, reply messenger.NewsReply) {
	at := began.Add(-reply.ListAge)
	if !reply.Whole && at.Before(r.state.listedAt) {
		// The same reader's next changes, though its answer took long.
		at = r.state.listedAt
	}
	if r.state.updateList(at, r.mergeInstances(reply)) {
		r.lastPeer, r.lastPeerEpoch, r.lastPeerRevision = peer, reply.Epoch, reply.Revision
	}
	config := r.state.config
	if reply.Config != nil {
		config = mapper.New(*reply.Config)
	}
	if config != nil && config.Version == reply.ConfigVersion {
		r.state.updateConfig(began.Add(-reply.ConfigAge), config)
	}
}

// mergeInstances applies an answer to the instances that are known.
func (r *Relayer) mergeInstances(reply messenger.NewsReply) []provider.Instance {
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

// ChangesSince answers a peer's question.
func (r *Relayer) ChangesSince(arguments messenger.NewsArguments) messenger.NewsReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.changesSince(clocker.Now(), arguments)
}
