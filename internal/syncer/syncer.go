// Package syncer keeps an entry instance's copy of the accepted configuration
// and of the replica groups. It polls two small rows of the table service and
// also fetches newer state from peers, so that an instance that starts while the
// table service is unavailable still gets the newest state.
//
// # Usage
//
//	s := syncer.New(platform, pool, onApply)
//	s.Start(ctx)
//	config, groups := s.Config(), s.Groups()
//
// The versions of both only increase.
package syncer

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/waxwingmount/waxwingmount/internal/messenger"
	"github.com/waxwingmount/waxwingmount/internal/pacer"
	"github.com/waxwingmount/waxwingmount/pkg/configurer"
	"github.com/waxwingmount/waxwingmount/pkg/faulter"
	"github.com/waxwingmount/waxwingmount/pkg/grouper"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

const (
	pollInterval = 500 * time.Millisecond
	callTimeout  = time.Second
	groupsPrefix = "groups/"
	// hintQueueSize bounds the queued hints from peers.
	hintQueueSize = 64
	// peerSyncDelay is how long a new instance collects versions from its peers
	// before it fetches state from one, while the table does not answer.
	peerSyncDelay = 2 * time.Second
)

// Syncer holds one entry instance's copy of the configuration and the groups.
// It is safe for concurrent use.
type Syncer struct {
	platform provider.Platform
	pool     *messenger.Pool
	hints    chan hint
	config   atomic.Pointer[configurer.Config]
	groups   atomic.Pointer[grouper.Snapshot]
	onApply  func(configurer.Head)
	started  time.Time

	mu       sync.Mutex
	versions configurer.VersionTracker
	// tableRead reports whether the table has answered since the start.
	tableRead bool
	content   configurer.Content
	rows      []provider.Row
}

// hint is a message from a peer that has newer state.
type hint struct {
	peer    netip.AddrPort
	message messenger.ExchangeMessage
}

// New returns a Syncer without a configuration or groups. The function onApply
// is called with each configuration that takes effect.
func New(platform provider.Platform, pool *messenger.Pool, onApply func(configurer.Head)) *Syncer {
	s := &Syncer{
		platform: platform,
		pool:     pool,
		hints:    make(chan hint, hintQueueSize),
		onApply:  onApply,
		started:  time.Now(),
	}
	s.groups.Store(&grouper.Snapshot{})
	return s
}

// Start runs the poll and hint loops in the background until ctx ends.
func (s *Syncer) Start(ctx context.Context) {
	go s.pollLoop(ctx)
	go s.hintLoop(ctx)
}

// Config returns the configuration in force, or nil if there is none yet.
func (s *Syncer) Config() *configurer.Config { return s.config.Load() }

// Groups returns the newest snapshot of the groups.
func (s *Syncer) Groups() *grouper.Snapshot { return s.groups.Load() }

// Head returns the version in force, and whether requests may be served under
// it.
func (s *Syncer) Head() (configurer.Head, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.versions.Applied(), s.versions.Ready()
}

// FillVersions sets the versions that this instance has in a message.
func (s *Syncer) FillVersions(message *messenger.ExchangeMessage) {
	message.Head, _ = s.Head()
	message.Fence = s.Groups().Fence
}

// HandleVersions queues a hint if a peer has newer versions.
func (s *Syncer) HandleVersions(peer netip.AddrPort, message messenger.ExchangeMessage) {
	s.mu.Lock()
	newer := s.versions.Observe(message.Head)
	s.mu.Unlock()
	if !newer && message.Fence <= s.Groups().Fence {
		return
	}
	select {
	case s.hints <- hint{peer: peer, message: message}:
	default:
		// The queue is full; the next exchange repeats the hint.
	}
}

// ConfigReply returns the configuration in force. It answers a peer's call.
func (s *Syncer) ConfigReply() messenger.ConfigReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	return messenger.ConfigReply{Head: s.versions.Applied(), Content: s.content}
}

// GroupsReply returns the rows of the newest snapshot. It answers a peer's call.
func (s *Syncer) GroupsReply() messenger.GroupsReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	return messenger.GroupsReply{Rows: s.rows}
}

// Refresh updates the copy from the table.
func (s *Syncer) Refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := s.pollConfig(ctx); err != nil {
		return err
	}
	return s.pollGroups(ctx)
}

func (s *Syncer) pollLoop(ctx context.Context) {
	pacer.Repeat(ctx, pollInterval, func(ctx context.Context) {
		if err := s.Refresh(ctx); err != nil {
			log.WithError(err).Debug("read of the table failed")
		}
	})
}

// hintLoop processes the peers' hints. It is separate from pollLoop, so that it
// does not wait for the table.
func (s *Syncer) hintLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case h := <-s.hints:
			s.syncFromPeer(ctx, h)
		}
	}
}

// canSyncFromPeers reports whether this instance may fetch state from a peer.
// After a start it first collects the peers' versions for peerSyncDelay, unless
// the table answers, so that it does not start on an old version of a lagging
// peer.
func (s *Syncer) canSyncFromPeers() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tableRead || time.Since(s.started) >= peerSyncDelay
}

// syncFromPeer fetches the configuration and the groups from a peer where the
// peer's are newer.
func (s *Syncer) syncFromPeer(ctx context.Context, h hint) {
	if !s.canSyncFromPeers() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if head, _ := s.Head(); h.message.Head.Version > head.Version {
		var reply messenger.ConfigReply
		if err := s.pool.Call(ctx, h.peer, messenger.MethodConfig, &messenger.Empty{}, &reply); err == nil {
			s.applyConfig(reply.Head, reply.Content)
		}
	}
	if h.message.Fence > s.Groups().Fence {
		var reply messenger.GroupsReply
		if err := s.pool.Call(ctx, h.peer, messenger.MethodGroups, &messenger.Empty{}, &reply); err == nil {
			s.applyGroups(reply.Rows)
		}
	}
}

func (s *Syncer) pollConfig(ctx context.Context) error {
	row, err := s.platform.Read(ctx, configurer.HeadKey)
	if err != nil {
		return err
	}
	head, err := configurer.DecodeHead(row)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.tableRead = true
	newer := s.versions.Observe(head)
	s.mu.Unlock()
	if !newer {
		return nil
	}
	content, err := FetchContent(ctx, s.platform, head)
	if err != nil {
		return err
	}
	s.applyConfig(head, content)
	return nil
}

// FetchContent returns the content of a version from the object store. The error
// has the kind [configurer.KindCorrupt] if the content cannot be decoded.
func FetchContent(ctx context.Context, objects provider.ObjectStore, head configurer.Head) (configurer.Content, error) {
	var content configurer.Content
	data, err := objects.GetObject(ctx, head.Object)
	if err != nil {
		return content, err
	}
	if err := json.Unmarshal(data, &content); err != nil {
		return content, faulter.New("decode content", configurer.KindCorrupt, err)
	}
	return content, nil
}

// applyConfig puts a configuration into force unless a newer one already is.
func (s *Syncer) applyConfig(head configurer.Head, content configurer.Content) {
	config, err := configurer.Parse(content.Sources...)
	if err != nil {
		log.WithError(err).WithField("version", head.Version).Error("accepted configuration is invalid")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.versions.Apply(head) {
		return
	}
	s.content = content
	s.config.Store(config)
	log.WithField("version", head.Version).Info("configuration in force")
	s.onApply(head)
}

func (s *Syncer) pollGroups(ctx context.Context) error {
	fence, err := grouper.LoadFence(ctx, s.platform)
	if err != nil || fence <= s.Groups().Fence {
		return err
	}
	rows, err := s.platform.Scan(ctx, groupsPrefix)
	if err != nil {
		return err
	}
	s.applyGroups(rows)
	return nil
}

// applyGroups replaces the snapshot of the groups unless a newer one is known.
func (s *Syncer) applyGroups(rows []provider.Row) {
	snapshot, err := grouper.Decode(rows)
	if err != nil {
		log.WithError(err).Error("groups cannot be decoded")
		return
	}
	for _, invalid := range snapshot.Invalid {
		log.WithError(invalid).Warn("ignoring invalid row of the groups")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if snapshot.Fence <= s.Groups().Fence {
		return
	}
	s.rows = rows
	s.groups.Store(&snapshot)
}
