package prober

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/waxwingmount/waxwingmount/internal/messenger"
	"github.com/waxwingmount/waxwingmount/pkg/assigner"
	"github.com/waxwingmount/waxwingmount/pkg/gatekeeper"
	"github.com/waxwingmount/waxwingmount/pkg/gossiper"
)

// defaultInterval is the probe interval until there is a configuration.
const defaultInterval = 250 * time.Millisecond

func (p *Prober) interval() time.Duration {
	if config := p.configs.Config(); config != nil {
		return config.Gate.ProbeInterval
	}
	return defaultInterval
}

// scheduleLoop queues the due probes at every probe interval.
func (p *Prober) scheduleLoop(ctx context.Context) {
	for {
		p.schedule()
		select {
		case <-ctx.Done():
			return
		case <-time.After(p.interval()):
		}
	}
}

// runWorker runs queued probes until ctx ends.
func (p *Prober) runWorker(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case t := <-p.queue:
			p.probe(ctx, t)
		}
	}
}

func (p *Prober) probe(ctx context.Context, t target) {
	evidence, found := p.client.probe(ctx, t)
	p.mu.Lock()
	delete(p.probing, t.instance)
	if found {
		p.ownEvidence[t.instance] = evidence
	}
	p.mu.Unlock()
	if found {
		p.record(evidence)
	}
}

// schedule queues the due probes and drops expired evidence.
func (p *Prober) schedule() {
	config := p.configs.Config()
	if config == nil {
		return
	}
	due := p.dueProbes(config.Gate.ProbersPerGroup, config.Gate.EvidenceTTL)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gatekeeper.SetTTL(config.Gate.EvidenceTTL)
	for instance, e := range p.ownEvidence {
		if time.Since(e.ObservedAt) > config.Gate.EvidenceTTL {
			delete(p.ownEvidence, instance)
		}
	}
	p.pruneLocked()
	for instance, address := range due {
		if p.probing[instance] {
			continue
		}
		select {
		case p.queue <- target{instance: instance, address: address}:
			p.probing[instance] = true
		default:
			// The queue is full; the probe stays due.
		}
	}
}

// pruneLocked drops the evidence for instances that are neither in a group nor
// an extra target. The caller holds p.mu.
func (p *Prober) pruneLocked() {
	groups := p.configs.Groups()
	p.gatekeeper.Retain(func(instance string) bool {
		_, extra := p.extraTargets[instance]
		return extra || groups.GroupOf(instance) != ""
	})
}

// dueProbes returns the instances to probe now: the extra targets, the members
// of assigned groups, and members for which the evidence is older than ttl/2.
func (p *Prober) dueProbes(probersPerGroup int, ttl time.Duration) map[string]netip.AddrPort {
	live := entryIDs(p.members.Live())
	self := p.members.Self().ID
	now := time.Now()
	due := make(map[string]netip.AddrPort)
	p.mu.Lock()
	defer p.mu.Unlock()
	for instance, address := range p.extraTargets {
		due[instance] = address
	}
	for _, group := range p.configs.Groups().SortedGroups() {
		assigned := assigner.IsAssigned(group.ID, self, live, probersPerGroup)
		for _, m := range group.Members {
			if assigned || !p.gatekeeper.HasFreshEvidence(now, m.Instance, ttl/2) {
				due[m.Instance] = m.Address
			}
		}
	}
	return due
}

// fetchLoop fetches evidence for the groups that are assigned to peers.
func (p *Prober) fetchLoop(ctx context.Context) {
	for {
		p.fetchFromPeers(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(p.interval()):
		}
	}
}

func (p *Prober) fetchFromPeers(ctx context.Context) {
	config := p.configs.Config()
	if config == nil {
		return
	}
	members := p.members.Live()
	sources := p.groupsByPeer(members, config.Gate.ProbersPerGroup)
	var calls sync.WaitGroup
	for _, m := range members {
		if groups := sources[m.ID]; len(groups) > 0 {
			calls.Go(func() { p.fetchFromPeer(ctx, m.Peer, groups) })
		}
	}
	calls.Wait()
}

// groupsByPeer returns the groups that are not assigned to this instance, by the
// first of the peers that they are assigned to.
func (p *Prober) groupsByPeer(members []gossiper.Member, probersPerGroup int) map[string][]string {
	live := entryIDs(members)
	self := p.members.Self().ID
	sources := make(map[string][]string)
	for id := range p.configs.Groups().Groups {
		if !assigner.IsAssigned(id, self, live, probersPerGroup) {
			first := assigner.Assign(id, live, 1)[0]
			sources[first] = append(sources[first], id)
		}
	}
	return sources
}

// fetchFromPeer fetches evidence from one peer. The evidence's age counts from
// the time at which the call was sent, so that network delay cannot make it
// look younger than it is.
func (p *Prober) fetchFromPeer(ctx context.Context, peer netip.AddrPort, groups []string) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	sent := time.Now()
	arguments := messenger.EvidenceArguments{Groups: groups}
	var reply messenger.EvidenceReply
	if err := p.pool.Call(ctx, peer, messenger.MethodEvidence, &arguments, &reply); err != nil {
		return
	}
	for _, r := range reply.Evidence {
		p.record(gatekeeper.Evidence{Report: r.Report, ObservedAt: sent.Add(-r.Age), Lost: r.Lost})
	}
}

func entryIDs(members []gossiper.Member) []string {
	ids := make([]string, len(members))
	for i, m := range members {
		ids[i] = m.ID
	}
	return ids
}
