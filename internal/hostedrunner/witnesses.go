package hostedrunner

import (
	"context"
	"net/netip"

	"github.com/apex/log"

	"github.com/waxwingmount/waxwingmount/internal/messenger"
	"github.com/waxwingmount/waxwingmount/pkg/assigner"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
	"github.com/waxwingmount/waxwingmount/pkg/tracker"
)

// witnessesPerInstance is the number of peers that are asked whether they reach a backend
// server. All ask the same ones of a server, so that these share their probes.
const witnessesPerInstance = 3

// AskWitnesses implements [observer.Announcer].
func (p *peers) AskWitnesses(ctx context.Context, in provider.Instance, round int) []tracker.Testimony {
	addresses := make(map[string]netip.AddrPort)
	dataCentres := make(map[string]string)
	for _, m := range p.node.discoverer.Peers() {
		if !m.Leaving {
			addresses[m.ID], dataCentres[m.ID] = m.Peer, m.DataCentre
		}
	}
	witnesses := assigner.Round(assigner.RankSpread(in.ID, dataCentres, in.DataCentre), witnessesPerInstance, round)
	replies := make(chan tracker.Testimony, len(witnesses))
	for _, id := range witnesses {
		go p.runInquiry(context.WithoutCancel(ctx), id, addresses[id], in, replies)
	}
	testimonies := make([]tracker.Testimony, len(witnesses))
	for i := range testimonies {
		select {
		case testimonies[i] = <-replies:
		case <-ctx.Done():
			return testimonies
		}
		if testimonies[i] == tracker.Reached {
			return testimonies
		}
	}
	return testimonies
}

// runInquiry asks one peer whether it reaches an instance. It outlasts the wait for the reply,
// since a call that is canceled closes the connection, which others use.
func (p *peers) runInquiry(ctx context.Context, id string, address netip.AddrPort, in provider.Instance, replies chan<- tracker.Testimony) {
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	var reply messenger.ProbeReply
	request := messenger.Loss{Instance: in.ID, Incarnation: in.Incarnation}
	if err := p.node.pool.Call(ctx, address, messenger.MethodProbe, &request, &reply); err != nil {
		log.WithField("peer", id).WithError(err).Debug("peer does not say whether it reaches an instance")
	}
	replies <- reply.Testimony
}

// Probe says whether an instance that does not respond to a peer responds here.
func (s *peerService) Probe(arguments messenger.Loss, reply *messenger.ProbeReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), messageTimeout)
	defer cancel()
	reply.Testimony = s.node.observer.Testify(ctx, arguments)
	return nil
}
