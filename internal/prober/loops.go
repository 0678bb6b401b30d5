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

// defaultInterval is used before there is a configuration.
const defaultInterval = 250 * time.Millisecond

func (p *Prober) interval() time.Duration {
	if config := p.configs.Config(); config != nil {
		return config.Gate.ProbeInterval
	}
	return defaultInterval
}

// scheduleLoop fills the ring with the probes that are due.
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

// runWorker probes what the ring holds.
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

// schedule puts the due probes into the ring, and drops old evidence.
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
			// The ring is full; the probe stays due.
		}
	}
}

// pruneLocked drops the evidence for instances that nothing asks for any more.
func (p *Prober) pruneLocked() {
	groups := p.configs.Groups()
	p.gatekeeper.Retain(func(instance string) bool {
		_, extra := p.extraTargets[instance]
		return extra || groups.GroupOf(instance) != ""
	})
}

// dueProbes returns the instances to probe now.
func (p *Prober) dueProbes(watchers int, ttl time.Duration) map[string]netip.AddrPort {
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
		mine := assigner.IsAssigned(group.ID, self, live, watchers)
		for _, m := range group.Members {
			if mine || !p.gatekeeper.HasFreshEvidence(now, m.Instance, ttl/2) {
				due[m.Instance] = m.Address
			}
		}
	}
	return due
}

// fetchLoop asks watchers for the evidence that this instance lacks.
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

// groupsByPeer returns, by peer, the groups that it watches and this one does not.
func (p *Prober) groupsByPeer(members []gossiper.Member, watchers int) map[string][]string {
	live := entryIDs(members)
	self := p.members.Self().ID
	sources := make(map[string][]string)
	for id := range p.configs.Groups().Groups {
		if !assigner.IsAssigned(id, self, live, watchers) {
			first := assigner.Assign(id, live, 1)[0]
			sources[first] = append(sources[first], id)
		}
	}
	return sources
}

// fetchFromPeer asks one peer. Its evidence is dated from the sending of the
// question, so that no delay can make it look younger than it is.
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
