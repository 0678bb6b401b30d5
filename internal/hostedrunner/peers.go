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

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/internal/messenger"
	"github.com/waxwingmount/waxwingmount/internal/pacer"
	"github.com/waxwingmount/waxwingmount/pkg/estimator"
	"github.com/waxwingmount/waxwingmount/pkg/gossiper"
	"github.com/waxwingmount/waxwingmount/pkg/quarantiner"
)

const (
	// loadMessages bounds the messages a second with this instance's load, to
	// all peers together; the shortest interval is minLoadInterval.
	loadMessages    = 160
	minLoadInterval = 40 * time.Millisecond
	// loadFanout is how many peers at most are all told of the load.
	loadFanout = 12
	// farInterval is the time between two messages with the sum of this data
	// centre, one to each of the others: all members tell it, so that each of
	// the others hears of it about as often.
	farInterval = 400 * time.Millisecond
	// sameInterval is the time between two messages while nothing changes: a
	// third of the time for which a message counts.
	sameInterval = 300 * time.Millisecond
	// tellTimeout bounds one message to one peer.
	tellTimeout = 300 * time.Millisecond
)

// peers are the other entry instances as the parts of a node see them.
type peers struct {
	node *Node
}

// FillVersions implements [discoverer.StateVersions]; what is shared lives with the platform.
func (p *peers) FillVersions(*messenger.ExchangeMessage) {}

// HandleVersions implements [discoverer.StateVersions].
func (p *peers) HandleVersions(netip.AddrPort, messenger.ExchangeMessage) {}

// Count implements [forwarder.Peers].
func (p *peers) Count() int { return len(p.node.introducer.Live()) }

// BroadcastStrikes implements [forwarder.Peers].
func (p *peers) BroadcastStrikes(ctx context.Context, strikes []quarantiner.Strike) {
	go p.runTell(ctx, messenger.MethodStrike, &messenger.StrikeMessage{Strikes: strikes})
}

// Announce implements [observer.Announcer].
func (p *peers) Announce(ctx context.Context, message messenger.LossesMessage) {
	p.runTell(ctx, messenger.MethodLosses, &message)
}

// loop tells the peers what this instance has under way.
func (p *peers) loop(ctx context.Context) {
	var last map[string]estimator.Work
	var told time.Time
	for {
		interval := max(minLoadInterval, time.Duration(len(p.loadPeers()))*time.Second/loadMessages)
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
		works := p.node.forwarder.LocalLoad()
		if maps.Equal(works, last) && clocker.Since(told) < sameInterval {
			continue
		}
		last, told = works, clocker.Now()
		p.tell(ctx, p.loadPeers(), messenger.MethodLoad, &messenger.LoadMessage{From: p.node.settings.ID, Works: works})
	}
}

// loadPeers returns the peers that are told of this instance's load: all of
// them if they are few, else those in the same data centre, which mostly choose
// the same heads.
func (p *peers) loadPeers() []gossiper.Member {
	all := p.node.introducer.Peers()
	if len(all) <= loadFanout {
		return all
	}
	return slices.DeleteFunc(all, func(m gossiper.Member) bool { return m.DataCentre != p.node.settings.DataCentre })
}

// farLoop tells the other data centres, where not all are told of all, what
// this one has under way.
func (p *peers) farLoop(ctx context.Context) {
	pacer.Repeat(ctx, farInterval, func(ctx context.Context) {
		all := p.node.introducer.Peers()
		if len(all) <= loadFanout {
			return
		}
		rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		told := map[string]bool{p.node.settings.DataCentre: true}
		var to []gossiper.Member
		for _, m := range all {
			if !told[m.DataCentre] {
				told[m.DataCentre] = true
				to = append(to, m)
			}
		}
		p.tell(ctx, to, messenger.MethodLoad, &messenger.LoadMessage{
			From: p.node.settings.ID, DataCentre: p.node.settings.DataCentre, Works: p.node.forwarder.DataCentreLoad(),
		})
	})
}

// runTell sends a message to all peers.
func (p *peers) runTell(ctx context.Context, method string, message any) {
	p.tell(ctx, p.node.introducer.Peers(), method, message)
}

// tell sends a message to some peers. One that does not answer in time goes
// without it.
func (p *peers) tell(ctx context.Context, to []gossiper.Member, method string, message any) {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, peer := range to {
		calls.Go(func() {
			if err := p.node.pool.Call(ctx, peer.Peer, method, message, &messenger.Empty{}); err != nil {
				log.WithFields(log.Fields{"peer": peer.ID, "method": method}).WithError(err).Debug("peer not told")
			}
		})
	}
	calls.Wait()
}

// peerService is what an entry instance offers to the others over net/rpc.
type peerService struct {
	node *Node
}

// Exchange answers a peer's digest.
func (s *peerService) Exchange(arguments messenger.ExchangeMessage, reply *messenger.ExchangeMessage) error {
	*reply = s.node.introducer.HandleExchange(arguments)
	return nil
}

// Load takes in what a peer has under way.
func (s *peerService) Load(arguments messenger.LoadMessage, _ *messenger.Empty) error {
	if arguments.DataCentre != "" {
		s.node.forwarder.UpdateRemoteLoad(arguments.DataCentre, arguments.Works)
		return nil
	}
	s.node.forwarder.UpdatePeerLoad(arguments.From, arguments.Works)
	return nil
}

// Losses takes in instances that a peer found gone.
func (s *peerService) Losses(arguments messenger.LossesMessage, _ *messenger.Empty) error {
	s.node.observer.HandleLosses(arguments)
	return nil
}

// Strike takes in requests that crash backend servers.
func (s *peerService) Strike(arguments messenger.StrikeMessage, _ *messenger.Empty) error {
	s.node.forwarder.AddStrikes(arguments.Strikes)
	return nil
}

// News answers what has changed at the platform.
func (s *peerService) News(arguments messenger.ChangesArguments, reply *messenger.ChangesReply) error {
	*reply = s.node.relayer.ChangesSince(arguments)
	return nil
}
