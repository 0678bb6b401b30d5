// Package discoverer keeps the membership of the entry instances. It exchanges
// heartbeats with a few peers by gossip, and finds the first peers in the table
// service or in the settings.
//
// # Usage
//
//	d := discoverer.New(settings, table, pool, versions)
//	d.Start(ctx)
//	members := d.Live()
package discoverer

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/internal/logger"
	"github.com/waxwingmount/waxwingmount/internal/messenger"
	"github.com/waxwingmount/waxwingmount/internal/pacer"
	"github.com/waxwingmount/waxwingmount/pkg/gossiper"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

const (
	// expiryHeartbeats is the number of missed heartbeats after which a member
	// expires, beyond those that may still be on their way.
	expiryHeartbeats = 6
	// tableInterval is the base time between two syncs with the table. It grows
	// with the number of instances.
	tableInterval = 5 * time.Second
	// tableSyncsPerInterval bounds the instances that sync in one
	// tableInterval, so that the load on the table does not grow with their
	// number.
	tableSyncsPerInterval = 10
	// tableRetryInterval is the time before the next sync after a failed one.
	tableRetryInterval = 200 * time.Millisecond
	// seedTime is how long after its start an instance waits for its seeds before it
	// reads the table.
	seedTime = time.Second
	// minKnownPeers is the number of peers from which an instance counts as connected
	// to the others.
	minKnownPeers = 2
	// maxRows is the number of instances that keep a row in the table.
	maxRows         = 32
	peerCallTimeout = 300 * time.Millisecond
	rowPrefix       = "entries/"
)

// StateVersions exchanges the versions of the shared state with peers.
type StateVersions interface {
	// FillVersions sets the versions that this instance has in a message.
	FillVersions(message *messenger.ExchangeMessage)
	// HandleVersions processes the versions that a peer has.
	HandleVersions(peer netip.AddrPort, message messenger.ExchangeMessage)
}

// Discoverer holds one entry instance's view of the membership. It is safe for
// concurrent use.
type Discoverer struct {
	table    provider.Table
	pool     *messenger.Pool
	versions StateVersions
	interval time.Duration
	degree   int
	// hasSeeds reports whether the settings name a peer.
	hasSeeds bool
	// syncedTable reports whether the first sync is over or was put off. It belongs to
	// tableLoop.
	syncedTable bool

	// started is when this process began, on the monotonic clock.
	started time.Time

	mu       sync.Mutex
	gossiper *gossiper.Gossiper
	// live is the last result of gossiper.Live, and liveAt when it was computed. A
	// change of a record clears liveAt.
	live   []gossiper.Member
	liveAt time.Time
	// clockLoggedAt is when each peer's clock was last logged, by peer ID.
	clockLoggedAt map[string]time.Time
	// loggedPeers holds the epochs of the live peers as last logged, by peer ID.
	loggedPeers map[string]uint64
}

// Settings configure a Discoverer.
type Settings struct {
	Self gossiper.Member
	// Started is when this process began, on the monotonic clock.
	Started time.Time
	// Seeds are the addresses of the peers to contact first.
	Seeds []netip.AddrPort
	// Interval is the time between two heartbeats.
	Interval time.Duration
	// Degree is the number of neighbours in the gossip overlay.
	Degree int
}

// New returns a Discoverer for one entry instance.
func New(s Settings, table provider.Table, pool *messenger.Pool, versions StateVersions) *Discoverer {
	d := &Discoverer{
		table:         table,
		pool:          pool,
		versions:      versions,
		interval:      s.Interval,
		degree:        s.Degree,
		started:       s.Started,
		clockLoggedAt: make(map[string]time.Time),
		loggedPeers:   make(map[string]uint64),
		gossiper: gossiper.New(s.Self, gossiper.Settings{
			Expiry: expiryHeartbeats * s.Interval, Interval: s.Interval, Degree: s.Degree,
		}),
	}
	for _, seed := range s.Seeds {
		if seed != s.Self.Peer {
			d.gossiper.AddSeed(gossiper.Member{ID: seed.String(), Peer: seed})
			d.hasSeeds = true
		}
	}
	return d
}

// Start runs the exchange and table loops in the background until ctx ends.
func (d *Discoverer) Start(ctx context.Context) {
	go d.exchangeLoop(ctx)
	go d.tableLoop(ctx)
}

// liveCacheTime is how long the list of live members is reused. It is short against
// the time after which a member expires.
const liveCacheTime = 50 * time.Millisecond

// Live returns the live entry instances, including this one.
func (d *Discoverer) Live() []gossiper.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.cachedLive())
}

// Count returns the number of live entry instances, including this one.
func (d *Discoverer) Count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.cachedLive())
}

// cachedLive returns the live members. The caller holds d.mu and does not change
// the result.
func (d *Discoverer) cachedLive() []gossiper.Member {
	if now := clocker.Now(); d.liveAt.IsZero() || now.Sub(d.liveAt) >= liveCacheTime {
		d.live, d.liveAt = d.gossiper.Live(now), now
	}
	return d.live
}

// Peers returns the live entry instances, except this one.
func (d *Discoverer) Peers() []gossiper.Member {
	var peers []gossiper.Member
	self := d.Self().ID
	for _, m := range d.Live() {
		if m.ID != self {
			peers = append(peers, m)
		}
	}
	return peers
}

// Neighbours returns this instance's neighbours in an overlay of the live instances
// with that degree.
func (d *Discoverer) Neighbours(degree int) []gossiper.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	return gossiper.Neighbours(d.cachedLive(), d.gossiper.Self().ID, degree)
}

// Self returns this instance's own record.
func (d *Discoverer) Self() gossiper.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.gossiper.Self()
}

// Update changes this instance's own record.
func (d *Discoverer) Update(change func(*gossiper.Member)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.gossiper.Update(change)
	d.liveAt = time.Time{}
}

// HandleExchange merges a peer's digest and returns this instance's reply.
func (d *Discoverer) HandleExchange(message messenger.ExchangeMessage) messenger.ExchangeMessage {
	d.mu.Lock()
	reply := messenger.ExchangeMessage{Digest: d.gossiper.HandleDigest(clocker.Now(), message.Digest), Uptime: clocker.Since(d.started)}
	if len(message.Digest.Records) > 0 {
		d.liveAt = time.Time{}
	}
	d.mu.Unlock()
	d.versions.FillVersions(&reply)
	return reply
}

// exchangeLoop exchanges digests with the neighbours at every heartbeat.
func (d *Discoverer) exchangeLoop(ctx context.Context) {
	pacer.Repeat(ctx, d.interval, d.exchangeRound)
}

// exchangeRound exchanges digests with the neighbours that are due and drops
// expired members.
func (d *Discoverer) exchangeRound(ctx context.Context) {
	d.mu.Lock()
	neighbours := d.gossiper.Tick(clocker.Now())
	d.gossiper.Prune(clocker.Now())
	d.mu.Unlock()
	d.exchangeWith(ctx, neighbours)
	d.logPeers()
}

// logPeers logs the peers that have become live or expired since the last call.
func (d *Discoverer) logPeers() {
	alive := make(map[string]uint64)
	for _, m := range d.Peers() {
		alive[m.ID] = m.Epoch
	}
	d.mu.Lock()
	previous := d.loggedPeers
	d.loggedPeers = alive
	d.mu.Unlock()
	for id, epoch := range alive {
		if previous[id] != epoch {
			d.peerLog(id, epoch, len(alive)).Info(logger.LinePeerSeen)
		}
	}
	for id, epoch := range previous {
		if _, still := alive[id]; !still {
			d.peerLog(id, epoch, len(alive)).Warn(logger.LinePeerSilent)
		}
	}
}

// peerLog returns the log entry for a change of a peer's liveness.
func (d *Discoverer) peerLog(id string, epoch uint64, peers int) *log.Entry {
	d.mu.Lock()
	age := d.gossiper.HeartbeatAge(clocker.Now(), id)
	d.mu.Unlock()
	return log.WithFields(log.Fields{
		logger.FieldPeer: id, logger.FieldPeerRun: logger.RunID(epoch), "peers": peers, logger.FieldPeerHeartbeatAge: age.String(),
	})
}

func (d *Discoverer) exchangeWith(ctx context.Context, neighbours []gossiper.Member) {
	var calls sync.WaitGroup
	for _, neighbour := range neighbours {
		calls.Go(func() { d.exchange(ctx, neighbour) })
	}
	calls.Wait()
}

func (d *Discoverer) exchange(ctx context.Context, neighbour gossiper.Member) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	d.mu.Lock()
	digest := d.gossiper.Request()
	d.mu.Unlock()
	began := clocker.Now()
	reply, err := d.call(ctx, neighbour, digest)
	if err != nil {
		return
	}
	d.logPeerClock(neighbour, began, reply.Uptime)
	d.versions.HandleVersions(neighbour.Peer, reply)
	next, more := d.handleReply(began, digest, reply)
	if !more {
		return
	}
	began = clocker.Now()
	// After an error the records are requested again at the next exchange.
	if reply, err = d.call(ctx, neighbour, next); err == nil {
		d.handleReply(began, next, reply)
	}
}

// handleReply merges the reply to a digest that was sent at that time, and returns the
// digest to send next, if any.
func (d *Discoverer) handleReply(began time.Time, request gossiper.Digest, reply messenger.ExchangeMessage) (gossiper.Digest, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(reply.Digest.Records) > 0 {
		d.liveAt = time.Time{}
	}
	return d.gossiper.HandleReply(began, request, reply.Digest)
}

// call sends a digest to a peer and returns its reply.
func (d *Discoverer) call(ctx context.Context, peer gossiper.Member, digest gossiper.Digest) (messenger.ExchangeMessage, error) {
	message := messenger.ExchangeMessage{Digest: digest}
	d.versions.FillVersions(&message)
	var reply messenger.ExchangeMessage
	err := d.pool.Call(ctx, peer.Peer, messenger.MethodExchange, &message, &reply)
	return reply, err
}

// tableLoop syncs with the table until ctx ends. An instance that finds peers through
// its seeds has no need of the rows at once.
func (d *Discoverer) tableLoop(ctx context.Context) {
	wait := time.Duration(0)
	if d.hasSeeds {
		wait = seedTime
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		wait = d.tableWait()
		if d.hasSeeds && !d.syncedTable && d.Count() > minKnownPeers {
			// The first sync falls at a random time of the interval, so that instances
			// that start together do not sync together.
			wait = tableInterval + rand.N(wait)
			d.syncedTable = true
			continue
		}
		d.syncedTable = true
		if err := d.syncTable(ctx); err != nil {
			log.WithError(err).Debug("sync of entry rows with the table failed")
			wait = tableRetryInterval
		}
	}
}

// tableWait returns the time between two syncs. It grows with the number of instances,
// which bounds the load on the table.
func (d *Discoverer) tableWait() time.Duration {
	return tableInterval * time.Duration(1+d.Count()/tableSyncsPerInterval)
}

func (d *Discoverer) syncTable(ctx context.Context) error {
	rows, err := d.table.Scan(ctx, rowPrefix)
	if err != nil {
		return err
	}
	self := d.Self()
	written := false
	for _, row := range rows {
		var m gossiper.Member
		if json.Unmarshal(row.Value, &m) != nil {
			continue
		}
		written = written || sameRow(m, self)
		d.mu.Lock()
		d.gossiper.AddSeed(m)
		d.mu.Unlock()
	}
	if written || !d.keepsRow() {
		return nil
	}
	return d.writeRow(ctx, self)
}

// keepsRow reports whether this instance keeps a row in the table: a bounded number of
// instances do, by a hash of their IDs. An instance that knows nobody writes one too,
// through which the others find it.
func (d *Discoverer) keepsRow() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	live := d.cachedLive()
	_, chosen := gossiper.Without(gossiper.Lowest(live, maxRows), d.gossiper.Self().ID)
	return chosen || len(live) == 1
}

// sameRow reports whether a row matches the instance's own record, except for
// the fields that change often and that peers learn from exchanges.
func sameRow(row, self gossiper.Member) bool {
	row.Revision, row.ConfigVersion = self.Revision, self.ConfigVersion
	return row == self
}

func (d *Discoverer) writeRow(ctx context.Context, self gossiper.Member) error {
	value, err := json.Marshal(self)
	if err != nil {
		return err
	}
	_, err = d.table.Commit(ctx, provider.Transaction{
		OperationID: uuid.NewString(),
		Writes:      []provider.Write{{Key: rowPrefix + self.ID, Value: value}},
	})
	return err
}

// Publish sends this instance's record to the neighbours and the table at once.
func (d *Discoverer) Publish(ctx context.Context) {
	d.mu.Lock()
	announcement := d.gossiper.Announcement()
	d.mu.Unlock()
	var calls sync.WaitGroup
	for _, neighbour := range d.Neighbours(d.degree) {
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
			defer cancel()
			// A neighbour that misses the announcement asks for the record itself.
			_, _ = d.call(ctx, neighbour, announcement)
		})
	}
	calls.Wait()
	if err := d.writeRow(ctx, d.Self()); err != nil {
		log.WithError(err).Warn("write of this instance's entry row failed")
	}
}

// Withdraw deletes this instance's row when the process ends.
func (d *Discoverer) Withdraw(ctx context.Context) error {
	_, err := d.table.Commit(ctx, provider.Transaction{
		OperationID: uuid.NewString(),
		Writes:      []provider.Write{{Key: rowPrefix + d.Self().ID, Delete: true}},
	})
	return err
}
