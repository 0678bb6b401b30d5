// Package syncer keeps an entry instance's copy of what was accepted: the
// configuration and the replica groups. It polls two small rows of the table
// service, and takes what is newer from peers, so that an instance that
// starts while the table is down still gets the newest.
//
// # Usage
//
//	f := syncer.New(platform, pool)
//	f.Start(ctx)
//	config, groups := f.Config(), f.Groups()
//
// Both only ever go forward.
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
	// hintQueueSize bounds the peers' hints that wait to be followed.
	hintQueueSize = 64
	// peerSyncDelay is how long a new instance listens to its peers before it
	// takes over from one of them, while the table does not answer.
	peerSyncDelay = 2 * time.Second
)

// Syncer holds what one entry instance follows.
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
	// tableRead says that the table has answered since the start.
	tableRead bool
	content   configurer.Content
	rows      []provider.Row
}

// hint says that a peer has something newer.
type hint struct {
	peer    netip.AddrPort
	message messenger.ExchangeMessage
}

// New returns a follower that has nothing yet. The function onApply is called
// with each configuration that comes into force.
func New(platform provider.Platform, pool *messenger.Pool, onApply func(configurer.Head)) *Syncer {
	f := &Syncer{
		platform: platform,
		pool:     pool,
		hints:    make(chan hint, hintQueueSize),
		onApply:  onApply,
		started:  time.Now(),
	}
	f.groups.Store(&grouper.Snapshot{})
	return f
}

// Start begins the duties; they end with ctx.
func (f *Syncer) Start(ctx context.Context) {
	go f.pollLoop(ctx)
	go f.hintLoop(ctx)
}

// Config returns the configuration in force, or nil before the first.
func (f *Syncer) Config() *configurer.Config { return f.config.Load() }

// Groups returns the newest snapshot of the groups.
func (f *Syncer) Groups() *grouper.Snapshot { return f.groups.Load() }

// Head returns the version in force, and whether it may be served.
func (f *Syncer) Head() (configurer.Head, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.versions.Applied(), f.versions.Ready()
}

// FillVersions fills in the versions that this instance has.
func (f *Syncer) FillVersions(message *messenger.ExchangeMessage) {
	message.Head, _ = f.Head()
	message.Fence = f.Groups().Fence
}

// HandleVersions takes in the versions that a peer has.
func (f *Syncer) HandleVersions(peer netip.AddrPort, message messenger.ExchangeMessage) {
	f.mu.Lock()
	newer := f.versions.Observe(message.Head)
	f.mu.Unlock()
	if !newer && message.Fence <= f.Groups().Fence {
		return
	}
	select {
	case f.hints <- hint{peer: peer, message: message}:
	default:
		// The next exchange brings the hint again.
	}
}

// ConfigReply returns the configuration in force, for a peer.
func (f *Syncer) ConfigReply() messenger.ConfigReply {
	f.mu.Lock()
	defer f.mu.Unlock()
	return messenger.ConfigReply{Head: f.versions.Applied(), Content: f.content}
}

// GroupsReply returns the rows of the newest snapshot, for a peer.
func (f *Syncer) GroupsReply() messenger.GroupsReply {
	f.mu.Lock()
	defer f.mu.Unlock()
	return messenger.GroupsReply{Rows: f.rows}
}

// Refresh reads the table now.
func (f *Syncer) Refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := f.pollConfig(ctx); err != nil {
		return err
	}
	return f.pollGroups(ctx)
}

func (f *Syncer) pollLoop(ctx context.Context) {
	pacer.Repeat(ctx, pollInterval, func(ctx context.Context) {
		if err := f.Refresh(ctx); err != nil {
			log.WithError(err).Debug("table not read")
		}
	})
}

// hintLoop follows the peers' hints. It does not wait for the table.
func (f *Syncer) hintLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case h := <-f.hints:
			f.syncFromPeer(ctx, h)
		}
	}
}

// canSyncFromPeers reports whether this instance has heard enough after its start to
// take over from a peer: until then it only learns which versions there are,
// so that it does not begin on an old one of a peer that is behind.
func (f *Syncer) canSyncFromPeers() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tableRead || time.Since(f.started) >= peerSyncDelay
}

// syncFromPeer takes from a peer what is newer there.
func (f *Syncer) syncFromPeer(ctx context.Context, h hint) {
	if !f.canSyncFromPeers() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if head, _ := f.Head(); h.message.Head.Version > head.Version {
		var reply messenger.ConfigReply
		if err := f.pool.Call(ctx, h.peer, messenger.MethodConfig, &messenger.Empty{}, &reply); err == nil {
			f.applyConfig(reply.Head, reply.Content)
		}
	}
	if h.message.Fence > f.Groups().Fence {
		var reply messenger.GroupsReply
		if err := f.pool.Call(ctx, h.peer, messenger.MethodGroups, &messenger.Empty{}, &reply); err == nil {
			f.applyGroups(reply.Rows)
		}
	}
}

func (f *Syncer) pollConfig(ctx context.Context) error {
	row, err := f.platform.Read(ctx, configurer.HeadKey)
	if err != nil {
		return err
	}
	head, err := configurer.DecodeHead(row)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.tableRead = true
	newer := f.versions.Observe(head)
	f.mu.Unlock()
	if !newer {
		return nil
	}
	content, err := FetchContent(ctx, f.platform, head)
	if err != nil {
		return err
	}
	f.applyConfig(head, content)
	return nil
}

// FetchContent gets the content of a version from the object store.
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

// applyConfig brings a configuration into force unless a newer one is.
func (f *Syncer) applyConfig(head configurer.Head, content configurer.Content) {
	config, err := configurer.Parse(content.Sources...)
	if err != nil {
		log.WithError(err).WithField("version", head.Version).Error("accepted configuration does not check")
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.versions.Apply(head) {
		return
	}
	f.content = content
	f.config.Store(config)
	log.WithField("version", head.Version).Info("configuration in force")
	f.onApply(head)
}

func (f *Syncer) pollGroups(ctx context.Context) error {
	fence, err := grouper.LoadFence(ctx, f.platform)
	if err != nil || fence <= f.Groups().Fence {
		return err
	}
	rows, err := f.platform.Scan(ctx, groupsPrefix)
	if err != nil {
		return err
	}
	f.applyGroups(rows)
	return nil
}

// applyGroups makes rows the newest snapshot unless a newer one is there.
func (f *Syncer) applyGroups(rows []provider.Row) {
	snapshot, err := grouper.Decode(rows)
	if err != nil {
		log.WithError(err).Error("groups not decoded")
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if snapshot.Fence <= f.Groups().Fence {
		return
	}
	f.rows = rows
	f.groups.Store(&snapshot)
}
