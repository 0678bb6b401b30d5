package hostedrunner

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/waxwingmount/waxwingmount/internal/forwarder"
	"github.com/waxwingmount/waxwingmount/internal/messenger"
	"github.com/waxwingmount/waxwingmount/internal/pacer"
	"github.com/waxwingmount/waxwingmount/pkg/assigner"
	"github.com/waxwingmount/waxwingmount/pkg/enumerator"
	"github.com/waxwingmount/waxwingmount/pkg/gossiper"
	"github.com/waxwingmount/waxwingmount/pkg/pathfinder"
	"github.com/waxwingmount/waxwingmount/pkg/permitter"
	"github.com/waxwingmount/waxwingmount/pkg/quarantiner"
)

const (
	// messageTimeout limits sending one message to the peers.
	messageTimeout = 300 * time.Millisecond
	// Strikes are fetched from strikesFetchPeers peers, because one may have started at
	// the same time. Those that don't respond are asked again after
	// strikesFetchInterval, strikesFetchAttempts times at most.
	strikesFetchPeers    = 3
	strikesFetchInterval = 500 * time.Millisecond
	strikesFetchAttempts = 10
	// partsFetchInterval is the time between two fetches of the evidence against parts of
	// prompts from a random peer. Messages do not reach an instance that is paused or cut
	// off from its peers for a while.
	partsFetchInterval = 2 * time.Second
	// permitTimeout limits one request to a permit owner.
	permitTimeout = 100 * time.Millisecond
	// permitOwners is the number of members that may issue the permits of a server:
	// the owner, and the one that stands in for it.
	permitOwners = 2
)

// peers sends messages to the other entry instances.
type peers struct {
	node   *Node
	rumors *rumors
}

// FillVersions implements [discoverer.StateVersions]. The platform stores the state
// that entry instances share; the version of the configuration and the evacuations are told
// so that a peer learns of newer ones however long its own readings take.
func (p *peers) FillVersions(message *messenger.ExchangeMessage) {
	message.Head.Version = p.node.relayer.ConfigVersion()
	message.Evacuations = p.node.relayer.Evacuations()
}

// HandleVersions implements [discoverer.StateVersions].
func (p *peers) HandleVersions(peer netip.AddrPort, message messenger.ExchangeMessage) {
	evacuated := p.node.relayer.HearEvacuations(message.Evacuations)
	if p.node.relayer.HearVersion(peer, message.Head.Version) || evacuated {
		p.node.observer.Refresh()
	}
}

// Count implements [forwarder.Peers].
func (p *peers) Count() int { return p.node.discoverer.Count() }

// Entries implements [forwarder.Peers].
func (p *peers) Entries() []enumerator.Entry {
	var entries []enumerator.Entry
	for _, m := range p.node.discoverer.Live() {
		entries = append(entries, enumerator.Entry{ID: m.ID, Leaving: m.Leaving})
	}
	return entries
}

// DetourPeers implements [forwarder.Peers].
func (p *peers) DetourPeers() []forwarder.DetourPeer {
	var found []forwarder.DetourPeer
	for _, m := range p.node.discoverer.Peers() {
		if !m.Leaving {
			found = append(found, forwarder.DetourPeer{Peer: pathfinder.Peer{ID: m.ID, DataCentre: m.DataCentre, Cut: m.PathCut}, Address: m.Peer})
		}
	}
	return found
}

// BroadcastStrikes implements [forwarder.Peers]. The strikes also outlast all peers.
func (p *peers) BroadcastStrikes(ctx context.Context, strikes []quarantiner.Strike) {
	p.node.archiver.Record(strikes)
	go p.runSpread(ctx, messenger.MethodStrike, &messenger.StrikeMessage{Strikes: strikes, Rumor: p.rumors.begin()})
}

// BroadcastClearances implements [forwarder.Peers].
func (p *peers) BroadcastClearances(ctx context.Context, clearances []quarantiner.Clearance) {
	go p.runSpread(ctx, messenger.MethodStrike, &messenger.StrikeMessage{Clearances: clearances, Rumor: p.rumors.begin()})
}

// runStrikesFetch fetches the strikes that some peers know, since those that were
// reported before this process started did not reach it.
func (p *peers) runStrikesFetch(ctx context.Context) {
	responded := make(map[string]bool)
	for range strikesFetchAttempts {
		recipients := p.node.discoverer.Peers()
		rand.Shuffle(len(recipients), func(i, j int) { recipients[i], recipients[j] = recipients[j], recipients[i] })
		for _, peer := range recipients {
			if !responded[peer.ID] && p.fetchStrikes(ctx, peer, p.node.forwarder.AddEvidence) {
				responded[peer.ID] = true
			}
			if len(responded) >= strikesFetchPeers {
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(strikesFetchInterval):
		}
	}
	log.WithField("peers", len(responded)).Info("strikes fetched from few peers")
}

// partsLoop fetches the evidence against parts of prompts from a random peer now and then.
func (p *peers) partsLoop(ctx context.Context) {
	pacer.Repeat(ctx, partsFetchInterval, func(ctx context.Context) {
		if all := p.node.discoverer.Peers(); len(all) > 0 {
			p.fetchStrikes(ctx, all[rand.IntN(len(all))], p.node.forwarder.AddPartEvidence)
		}
	})
}

// fetchStrikes passes the strikes and clearances that a peer knows on, and reports whether
// it responded.
func (p *peers) fetchStrikes(ctx context.Context, peer gossiper.Member, add func([]quarantiner.Strike, []quarantiner.Clearance)) bool {
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	var reply messenger.StrikeMessage
	if err := p.node.pool.Call(ctx, peer.Peer, messenger.MethodStrikes, &messenger.Empty{}, &reply); err != nil {
		log.WithField("peer", peer.ID).WithError(err).Debug("strikes not fetched")
		return false
	}
	add(reply.Strikes, reply.Clearances)
	return true
}

// RequestPermit implements [forwarder.Peers]. The permit owner of a server follows
// from the live members; the next one stands in for an owner that does not reply.
func (p *peers) RequestPermit(ctx context.Context, request permitter.Request) (permitter.Reply, error) {
	self := p.node.settings.ID
	addresses := make(map[string]netip.AddrPort)
	for _, m := range p.node.discoverer.Live() {
		if !m.Leaving {
			addresses[m.ID] = m.Peer
		}
	}
	var err error
	for _, owner := range assigner.Assign(request.Server, slices.Collect(maps.Keys(addresses)), permitOwners) {
		if owner == self {
			return p.node.forwarder.IssuePermit(request), nil
		}
		var reply permitter.Reply
		if err = p.callPermitOwner(ctx, addresses[owner], request, &reply); err == nil {
			return reply, nil
		}
	}
	return permitter.Reply{}, err
}

func (p *peers) callPermitOwner(ctx context.Context, address netip.AddrPort, request permitter.Request, reply *permitter.Reply) error {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	return p.node.pool.Call(ctx, address, messenger.MethodPermit, &request, reply)
}

// Announce implements [observer.Announcer].
func (p *peers) Announce(ctx context.Context, message messenger.LossesMessage) {
	message.Rumor = p.rumors.begin()
	p.runSpread(ctx, messenger.MethodLosses, &message)
}

// send sends a message to the recipients in parallel. It does not retry: a peer
// that does not respond within messageTimeout misses the message.
func (p *peers) send(ctx context.Context, recipients []gossiper.Member, method string, message any) {
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, peer := range recipients {
		calls.Go(func() {
			if err := p.node.pool.Call(ctx, peer.Peer, method, message, &messenger.Empty{}); err != nil {
				log.WithFields(log.Fields{"peer": peer.ID, "method": method}).WithError(err).Debug("message to peer failed")
			}
		})
	}
	calls.Wait()
}

// peerService is the net/rpc service for the other entry instances.
type peerService struct {
	node *Node
}

// Exchange handles a peer's gossip digest.
func (s *peerService) Exchange(arguments messenger.ExchangeMessage, reply *messenger.ExchangeMessage) error {
	*reply = s.node.discoverer.HandleExchange(arguments)
	return nil
}

// Load stores the load of a peer, or of its data centre if the message names one,
// and the limits of backend servers that the peer knows.
func (s *peerService) Load(arguments messenger.LoadMessage, _ *messenger.Empty) error {
	s.node.forwarder.MergeServerLimits(arguments.Limits)
	switch {
	case s.node.loads.collected():
		// The collector's replies contain the message.
	case arguments.DataCentre != "":
		s.node.forwarder.Works.SetDataCentre(arguments.DataCentre, arguments.Works)
		s.node.forwarder.Pools.SetDataCentre(arguments.DataCentre, arguments.Pools)
	default:
		s.node.forwarder.Works.SetPeer(arguments.From, arguments.Works)
		s.node.forwarder.Pools.SetPeer(arguments.From, arguments.Pools)
	}
	return nil
}

// Collect stores the load of a peer of this data centre and returns that of the others.
func (s *peerService) Collect(arguments messenger.LoadMessage, reply *messenger.CollectReply) error {
	s.node.forwarder.MergeServerLimits(arguments.Limits)
	works, pools := s.node.forwarder.Works, s.node.forwarder.Pools
	works.SetPeer(arguments.From, arguments.Works)
	pools.SetPeer(arguments.From, arguments.Pools)
	*reply = messenger.CollectReply{
		Works: works.DataCentreExcept(arguments.From), Pools: pools.DataCentreExcept(arguments.From), Limits: s.node.forwarder.ServerLimits(),
	}
	if arguments.WantRemote {
		reply.Remote, reply.RemotePools = works.DataCentres(), pools.DataCentres()
	}
	return nil
}

// Losses handles a peer's report of lost instances, or of instances found again.
func (s *peerService) Losses(arguments messenger.LossesMessage, _ *messenger.Empty) error {
	if !s.node.peers.rumors.note(arguments.Rumor) {
		return nil
	}
	if s.node.observer.HandleLosses(arguments) {
		s.node.peers.passOn(arguments.Rumor, messenger.MethodLosses, &arguments)
	}
	return nil
}

// Strikes returns all known strikes and clearances.
func (s *peerService) Strikes(_ messenger.Empty, reply *messenger.StrikeMessage) error {
	reply.Strikes, reply.Clearances = s.node.forwarder.Strikes()
	return nil
}

// Strike records requests that crashed backend servers, and parts of prompts that do not.
func (s *peerService) Strike(arguments messenger.StrikeMessage, _ *messenger.Empty) error {
	if !s.node.peers.rumors.note(arguments.Rumor) {
		return nil
	}
	s.node.forwarder.AddStrikes(arguments.Strikes)
	s.node.forwarder.AddClearances(arguments.Clearances)
	s.node.peers.passOn(arguments.Rumor, messenger.MethodStrike, &arguments)
	return nil
}

// Permit decides on a request for a permit to send a request to a server.
func (s *peerService) Permit(request permitter.Request, reply *permitter.Reply) error {
	*reply = s.node.forwarder.IssuePermit(request)
	return nil
}

// News returns the changes of the platform's state since the caller's revision.
func (s *peerService) News(arguments messenger.ChangesArguments, reply *messenger.ChangesReply) error {
	*reply = s.node.relayer.ChangesSince(arguments)
	return nil
}
