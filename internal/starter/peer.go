package starter

import (
	"context"
	"sync"
	"time"

	"github.com/waxwingmount/waxwingmount/internal/discoverer"
	"github.com/waxwingmount/waxwingmount/internal/dispatcher"
	"github.com/waxwingmount/waxwingmount/internal/messenger"
	"github.com/waxwingmount/waxwingmount/internal/prober"
	"github.com/waxwingmount/waxwingmount/internal/quotadistributor"
	"github.com/waxwingmount/waxwingmount/internal/syncer"
	"github.com/waxwingmount/waxwingmount/pkg/quarantiner"
)

// Peer is what an entry instance offers to the others over net/rpc.
type Peer struct {
	introducer *discoverer.Discoverer
	follower   *syncer.Syncer
	prober     *prober.Prober
	dispatcher *dispatcher.Dispatcher
	sharer     *quotadistributor.Distributor
	leave      func()
}

// Exchange answers a peer's digest.
func (p *Peer) Exchange(arguments messenger.ExchangeMessage, reply *messenger.ExchangeMessage) error {
	*reply = p.introducer.HandleExchange(arguments)
	return nil
}

// Evidence returns the evidence from this instance's own probes.
func (p *Peer) Evidence(arguments messenger.EvidenceArguments, reply *messenger.EvidenceReply) error {
	*reply = p.prober.OwnEvidence(arguments.Groups)
	return nil
}

// Strike takes in strikes and returns what is known of the same requests.
func (p *Peer) Strike(arguments messenger.StrikeMessage, reply *messenger.StrikeMessage) error {
	reply.Strikes = p.dispatcher.AddStrikes(arguments.Strikes)
	return nil
}

// Strikes returns all that is known of requests that crash back ends.
func (p *Peer) Strikes(_ messenger.Empty, reply *messenger.StrikeMessage) error {
	reply.Strikes = p.dispatcher.Strikes()
	return nil
}

// Config returns the configuration in force.
func (p *Peer) Config(_ messenger.Empty, reply *messenger.ConfigReply) error {
	*reply = p.follower.ConfigReply()
	return nil
}

// Groups returns the newest snapshot of the groups.
func (p *Peer) Groups(_ messenger.Empty, reply *messenger.GroupsReply) error {
	*reply = p.follower.GroupsReply()
	return nil
}

// Allot gives a peer its part of an organisation's rate.
func (p *Peer) Allot(arguments messenger.QuotaArguments, reply *messenger.QuotaReply) error {
	*reply = p.sharer.Allocate(arguments)
	return nil
}

// Leave makes this instance stop gracefully.
func (p *Peer) Leave(_ messenger.Empty, _ *messenger.Empty) error {
	p.leave()
	return nil
}

// broadcaster tells all live peers of strikes.
type broadcaster struct {
	introducer *discoverer.Discoverer
	pool       *messenger.Pool
}

// Broadcast implements [dispatcher.Broadcaster].
func (b *broadcaster) Broadcast(ctx context.Context, strikes []quarantiner.Strike) []quarantiner.Strike {
	var mu sync.Mutex
	var known []quarantiner.Strike
	var calls sync.WaitGroup
	for _, peer := range b.introducer.Peers() {
		calls.Go(func() {
			message := messenger.StrikeMessage{Strikes: strikes}
			var reply messenger.StrikeMessage
			if b.pool.Call(ctx, peer.Peer, messenger.MethodStrike, &message, &reply) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			known = append(known, reply.Strikes...)
		})
	}
	calls.Wait()
	return known
}

const strikesTimeout = time.Second

// learnStrikes takes over what a peer knows of requests that crash back ends.
func (b *broadcaster) learnStrikes(ctx context.Context, d *dispatcher.Dispatcher) bool {
	for _, peer := range b.introducer.Peers() {
		ctx, cancel := context.WithTimeout(ctx, strikesTimeout)
		var reply messenger.StrikeMessage
		err := b.pool.Call(ctx, peer.Peer, messenger.MethodStrikes, &messenger.Empty{}, &reply)
		cancel()
		if err == nil {
			d.AddStrikes(reply.Strikes)
			return true
		}
	}
	return false
}
