package starter

import (
	"context"
	"sync"
	"time"

	"github.com/waxwingmount/waxwingmount/internal/archiver"
	"github.com/waxwingmount/waxwingmount/internal/discoverer"
	"github.com/waxwingmount/waxwingmount/internal/dispatcher"
	"github.com/waxwingmount/waxwingmount/internal/messenger"
	"github.com/waxwingmount/waxwingmount/internal/prober"
	"github.com/waxwingmount/waxwingmount/internal/quotadistributor"
	"github.com/waxwingmount/waxwingmount/internal/syncer"
	"github.com/waxwingmount/waxwingmount/pkg/quarantiner"
)

// peerService is the net/rpc service that an entry instance offers to its peers.
type peerService struct {
	discoverer       *discoverer.Discoverer
	syncer           *syncer.Syncer
	prober           *prober.Prober
	dispatcher       *dispatcher.Dispatcher
	quotaDistributor *quotadistributor.Distributor
	beginShutdown    func()
}

// Exchange handles a peer's gossip digest.
func (p *peerService) Exchange(arguments messenger.ExchangeMessage, reply *messenger.ExchangeMessage) error {
	*reply = p.discoverer.HandleExchange(arguments)
	return nil
}

// Evidence returns the evidence from this instance's own probes.
func (p *peerService) Evidence(arguments messenger.EvidenceArguments, reply *messenger.EvidenceReply) error {
	*reply = p.prober.OwnEvidence(arguments.Groups)
	return nil
}

// Strike records strikes, and returns all known strikes against the same
// requests.
func (p *peerService) Strike(arguments messenger.StrikeMessage, reply *messenger.StrikeMessage) error {
	reply.Strikes = p.dispatcher.AddStrikes(arguments.Strikes)
	return nil
}

// Strikes returns all known strikes.
func (p *peerService) Strikes(_ messenger.Empty, reply *messenger.StrikeMessage) error {
	reply.Strikes = p.dispatcher.Strikes()
	return nil
}

// Config returns the configuration in force.
func (p *peerService) Config(_ messenger.Empty, reply *messenger.ConfigReply) error {
	*reply = p.syncer.ConfigReply()
	return nil
}

// Groups returns the newest snapshot of the groups.
func (p *peerService) Groups(_ messenger.Empty, reply *messenger.GroupsReply) error {
	*reply = p.syncer.GroupsReply()
	return nil
}

// Allot returns a peer's quota of an organisation's request rate.
func (p *peerService) Allot(arguments messenger.QuotaArguments, reply *messenger.QuotaReply) error {
	*reply = p.quotaDistributor.Allocate(arguments)
	return nil
}

// Leave starts the graceful shutdown of this instance.
func (p *peerService) Leave(_ messenger.Empty, _ *messenger.Empty) error {
	p.beginShutdown()
	return nil
}

// broadcaster sends strikes to all live peers, and stores them.
type broadcaster struct {
	discoverer *discoverer.Discoverer
	pool       *messenger.Pool
	archiver   *archiver.Archiver
}

// strikeEvidence implements [archiver.Evidence].
type strikeEvidence struct{ dispatcher *dispatcher.Dispatcher }

// AddStrikes records strikes that were read from the table.
func (e strikeEvidence) AddStrikes(strikes []quarantiner.Strike) { e.dispatcher.AddStrikes(strikes) }

// BlockedParts returns none: only whole requests are blocked here.
func (strikeEvidence) BlockedParts([]quarantiner.Part) []quarantiner.Part { return nil }

// Broadcast implements [dispatcher.Broadcaster].
func (b *broadcaster) Broadcast(ctx context.Context, strikes []quarantiner.Strike) []quarantiner.Strike {
	b.archiver.Record(strikes)
	var mu sync.Mutex
	var known []quarantiner.Strike
	var wg sync.WaitGroup
	for _, peer := range b.discoverer.Peers() {
		wg.Go(func() {
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
	wg.Wait()
	return known
}

const strikeTimeout = time.Second

// fetchStrikes adds the strikes that the first responding peer knows to a
// dispatcher, and reports whether any peer responded.
func (b *broadcaster) fetchStrikes(ctx context.Context, d *dispatcher.Dispatcher) bool {
	for _, peer := range b.discoverer.Peers() {
		ctx, cancel := context.WithTimeout(ctx, strikeTimeout)
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
