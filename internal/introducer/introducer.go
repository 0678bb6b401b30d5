// Package introducer knows which entry instances there are. It exchanges
// heartbeats with a few peers, and finds the first of them in the table
// service or in the settings.
//
// # Usage
//
//	in := introducer.New(settings, table, pool)
//	in.Start(ctx)
//	members := in.Live()
package introducer

import (
	"context"
	"encoding/json"
	"net/netip"
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
	// expiryBeats is how many heartbeats a live member may miss.
	expiryBeats = 10
	// rowInterval is the time between two visits to the table.
	rowInterval = 5 * time.Second
	// rowSharers is how many instances visit the table in one rowInterval.
	rowSharers = 10
	// firstRowInterval is that time until the first visit succeeds.
	firstRowInterval = 200 * time.Millisecond
	callTimeout      = 300 * time.Millisecond
	rowPrefix        = "entries/"
)

// Newest tells and learns which versions of the shared state there are.
type Newest interface {
	// Newest fills in the versions that this instance has.
	Newest(message *messenger.ExchangeMessage)
	// Learn takes in the versions that a peer has.
	Learn(peer netip.AddrPort, message messenger.ExchangeMessage)
}

// Introducer holds the membership of one entry instance.
type Introducer struct {
	table    provider.Table
	pool     *messenger.Pool
	newest   Newest
	interval time.Duration

	// started is when this process began, on the steady clock.
	started time.Time

	mu       sync.Mutex
	spreader *gossiper.Gossiper
	// compared is when a peer's clock was last logged.
	compared map[string]time.Time
	// alive are the runs of the peers that were last logged.
	alive map[string]uint64
}

// Settings are what an Introducer needs to know.
type Settings struct {
	Self gossiper.Member
	// Started is when this process began, on the steady clock.
	Started  time.Time
	Seeds    []netip.AddrPort
	Interval time.Duration
	Degree   int
}

// New returns an introducer for one instance.
func New(s Settings, table provider.Table, pool *messenger.Pool, newest Newest) *Introducer {
	in := &Introducer{
		table:    table,
		pool:     pool,
		newest:   newest,
		interval: s.Interval,
		started:  s.Started,
		compared: make(map[string]time.Time),
		alive:    make(map[string]uint64),
		spreader: gossiper.New(s.Self, gossiper.Settings{Expiry: expiryBeats * s.Interval, Degree: s.Degree}),
	}
	for _, seed := range s.Seeds {
		if seed != s.Self.Peer {
			in.spreader.AddSeed(gossiper.Member{ID: seed.String(), Peer: seed})
		}
	}
	return in
}

// Start begins the duties; they end with ctx.
func (in *Introducer) Start(ctx context.Context) {
	go in.loop(ctx)
	go in.rowLoop(ctx)
}

// Live returns the entry instances that are alive, this one among them.
func (in *Introducer) Live() []gossiper.Member {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.spreader.Live(time.Now())
}

// Peers returns the other entry instances that are alive.
func (in *Introducer) Peers() []gossiper.Member {
	var peers []gossiper.Member
	self := in.Self().ID
	for _, m := range in.Live() {
		if m.ID != self {
			peers = append(peers, m)
		}
	}
	return peers
}

// Self returns this instance's own record.
func (in *Introducer) Self() gossiper.Member {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.spreader.Self()
}

// Update changes this instance's own record.
func (in *Introducer) Update(change func(*gossiper.Member)) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.spreader.Update(change)
}

// Answer answers a peer's exchange.
func (in *Introducer) Answer(message messenger.ExchangeMessage) messenger.ExchangeMessage {
	in.mu.Lock()
	reply := messenger.ExchangeMessage{Digest: in.spreader.HandleDigest(time.Now(), message.Digest), Uptime: clocker.Since(in.started)}
	in.mu.Unlock()
	in.newest.Newest(&reply)
	return reply
}

// loop exchanges digests with the neighbours.
func (in *Introducer) loop(ctx context.Context) {
	pacer.Repeat(ctx, in.interval, in.exchangeNext)
}

// exchangeNext exchanges with the neighbour whose turn it is.
func (in *Introducer) exchangeNext(ctx context.Context) {
	in.mu.Lock()
	contacts := in.spreader.Tick(time.Now())
	in.spreader.Prune(time.Now())
	in.mu.Unlock()
	in.exchangeWith(ctx, contacts)
	in.logPeers()
}

// logPeers logs which peers have come and gone.
func (in *Introducer) logPeers() {
	alive := make(map[string]uint64)
	for _, m := range in.Peers() {
		alive[m.ID] = m.Epoch
	}
	in.mu.Lock()
	before := in.alive
	in.alive = alive
	in.mu.Unlock()
	for id, epoch := range alive {
		if before[id] != epoch {
			log.WithFields(log.Fields{logger.FieldPeer: id, logger.FieldPeerRun: logger.RunID(epoch), "peers": len(alive)}).Info(logger.LinePeerSeen)
		}
	}
	for id, epoch := range before {
		if _, still := alive[id]; !still {
			log.WithFields(log.Fields{logger.FieldPeer: id, logger.FieldPeerRun: logger.RunID(epoch), "peers": len(alive)}).Warn(logger.LinePeerSilent)
		}
	}
}

func (in *Introducer) exchangeWith(ctx context.Context, contacts []gossiper.Member) {
	var calls sync.WaitGroup
	for _, contact := range contacts {
		calls.Go(func() { in.exchange(ctx, contact) })
	}
	calls.Wait()
}

func (in *Introducer) exchange(ctx context.Context, contact gossiper.Member) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	in.mu.Lock()
	message := messenger.ExchangeMessage{Digest: in.spreader.Digest()}
	in.mu.Unlock()
	in.newest.Newest(&message)
	var reply messenger.ExchangeMessage
	began := clocker.Now()
	if err := in.pool.Call(ctx, contact.Peer, messenger.MethodExchange, &message, &reply); err != nil {
		return
	}
	in.compareClocks(contact, began, reply.Uptime)
	in.mu.Lock()
	in.spreader.Merge(time.Now(), reply.Digest)
	supply, wanted := in.spreader.RequestedRecords(reply.Digest)
	in.mu.Unlock()
	in.newest.Learn(contact.Peer, reply)
	if wanted {
		message.Digest = supply
		// What is lost here is wanted again at the next exchange.
		_ = in.pool.Call(ctx, contact.Peer, messenger.MethodExchange, &message, &messenger.ExchangeMessage{})
	}
}

// rowLoop writes this instance's row now and then, and reads those of others.
func (in *Introducer) rowLoop(ctx context.Context) {
	for {
		// All instances together visit the table as often as a few do.
		wait := rowInterval * time.Duration(1+len(in.Live())/rowSharers)
		if err := in.visitTable(ctx); err != nil {
			log.WithError(err).Debug("entry rows not exchanged")
			wait = firstRowInterval
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

func (in *Introducer) visitTable(ctx context.Context) error {
	rows, err := in.table.Scan(ctx, rowPrefix)
	if err != nil {
		return err
	}
	self := in.Self()
	written := false
	for _, row := range rows {
		var m gossiper.Member
		if json.Unmarshal(row.Value, &m) != nil {
			continue
		}
		written = written || sameRow(m, self)
		in.mu.Lock()
		in.spreader.AddSeed(m)
		in.mu.Unlock()
	}
	if written {
		return nil
	}
	return in.writeRow(ctx, self)
}

// sameRow reports whether a row still tells what others need of it to find the
// instance. What changes often they learn from exchanges.
func sameRow(row, self gossiper.Member) bool {
	row.Revision, row.ConfigVersion = self.Revision, self.ConfigVersion
	return row == self
}

func (in *Introducer) writeRow(ctx context.Context, self gossiper.Member) error {
	value, err := json.Marshal(self)
	if err != nil {
		return err
	}
	_, err = in.table.Commit(ctx, provider.Transaction{
		OperationID: uuid.NewString(),
		Writes:      []provider.Write{{Key: rowPrefix + self.ID, Value: value}},
	})
	return err
}

// Publish tells the neighbours and the table of a change at once.
func (in *Introducer) Publish(ctx context.Context) {
	in.mu.Lock()
	contacts := in.spreader.LiveNeighbours(time.Now())
	in.mu.Unlock()
	in.exchangeWith(ctx, contacts)
	if err := in.writeRow(ctx, in.Self()); err != nil {
		log.WithError(err).Warn("entry row not written")
	}
}

// Withdraw deletes this instance's row, at the end of its life.
func (in *Introducer) Withdraw(ctx context.Context) error {
	_, err := in.table.Commit(ctx, provider.Transaction{
		OperationID: uuid.NewString(),
		Writes:      []provider.Write{{Key: rowPrefix + in.Self().ID, Delete: true}},
	})
	return err
}
