// Package prober gathers the evidence that keeps the gates of replica groups
// open. An entry instance probes the groups that it watches, takes evidence
// for the others from their watchers, and probes for itself what grows old.
//
// # Usage
//
//	p := prober.New(follower, introducer, pool)
//	p.Start(ctx)
//	verdict := p.Check(group)
package prober

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/waxwingmount/waxwingmount/internal/messenger"
	"github.com/waxwingmount/waxwingmount/pkg/configurer"
	"github.com/waxwingmount/waxwingmount/pkg/gatekeeper"
	"github.com/waxwingmount/waxwingmount/pkg/gossiper"
	"github.com/waxwingmount/waxwingmount/pkg/grouper"
	"github.com/waxwingmount/waxwingmount/pkg/reconciler"
)

const (
	// probeWorkers is how many probes run at once.
	probeWorkers = 128
	// queueCapacity bounds the probes that wait for a worker.
	queueCapacity = 4096
	// peerCallTimeout bounds one question to a peer.
	peerCallTimeout = 250 * time.Millisecond
)

// Configs gives the configuration in force and the groups.
type Configs interface {
	Config() *configurer.Config
	Groups() *grouper.Snapshot
}

// Members gives the live entry instances.
type Members interface {
	Self() gossiper.Member
	Live() []gossiper.Member
}

// Prober gathers evidence for one entry instance.
type Prober struct {
	configs Configs
	members Members
	pool    *messenger.Pool
	client  *client
	queue   chan target
	changed chan struct{}

	mu         sync.Mutex
	gatekeeper *gatekeeper.Gatekeeper
	// ownEvidence holds the evidence from this instance's ownEvidence probes.
	ownEvidence map[string]gatekeeper.Evidence
	// probing holds the targets that wait or are being probed.
	probing map[string]bool
	// extraTargets holds instances outside of groups that are to be probed too.
	extraTargets map[string]netip.AddrPort
}

// target is one instance to probe.
type target struct {
	instance string
	address  netip.AddrPort
}

// New returns a prober without evidence.
func New(configs Configs, members Members, pool *messenger.Pool) *Prober {
	return &Prober{
		configs:      configs,
		members:      members,
		pool:         pool,
		client:       newClient(),
		queue:        make(chan target, queueCapacity),
		changed:      make(chan struct{}, 1),
		gatekeeper:   gatekeeper.New(time.Second),
		ownEvidence:  make(map[string]gatekeeper.Evidence),
		probing:      make(map[string]bool),
		extraTargets: make(map[string]netip.AddrPort),
	}
}

// Start begins the duties; they end with ctx.
func (p *Prober) Start(ctx context.Context) {
	go p.scheduleLoop(ctx)
	go p.fetchLoop(ctx)
	for range probeWorkers {
		go p.runWorker(ctx)
	}
}

// Changed tells when evidence has come in.
func (p *Prober) Changed() <-chan struct{} { return p.changed }

// Check says whether the group may be sent a request now.
func (p *Prober) Check(group grouper.Group) gatekeeper.Verdict {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.gatekeeper.Check(time.Now(), group)
}

// Evidence returns the newest evidence for an instance.
func (p *Prober) Evidence(instance string) (gatekeeper.Evidence, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.gatekeeper.Evidence(instance)
}

// Reports returns the fresh reports of instances that are not lost.
func (p *Prober) Reports() map[string]reconciler.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.gatekeeper.Reports(time.Now())
}

// Suspect closes the gates of groups with this instance until a new probe, which
// is begun at once, has shown it.
func (p *Prober) Suspect(instance string, address netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gatekeeper.Suspect(instance, time.Now())
	select {
	case p.queue <- target{instance: instance, address: address}:
	default:
		// The ring is full; the next round probes it.
	}
}

// SetLeaving replaces the instances that are leaving by the platform's list.
func (p *Prober) SetLeaving(leaving map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gatekeeper.SetLeaving(leaving)
}

// ProbeNow probes one instance now.
func (p *Prober) ProbeNow(instance string, address netip.AddrPort) (gatekeeper.Evidence, bool) {
	return p.client.probe(context.Background(), target{instance: instance, address: address})
}

// SetExtraTargets makes the prober probe these instances too, besides its groups.
func (p *Prober) SetExtraTargets(instances map[string]netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.extraTargets = instances
}

// OwnEvidence returns the evidence from this instance's own probes of the members of
// these groups, for a peer.
func (p *Prober) OwnEvidence(groups []string) messenger.EvidenceReply {
	now := time.Now()
	snapshot := p.configs.Groups()
	p.mu.Lock()
	defer p.mu.Unlock()
	var reply messenger.EvidenceReply
	for _, id := range groups {
		for _, m := range snapshot.Groups[id].Members {
			e, probed := p.ownEvidence[m.Instance]
			if !probed {
				continue
			}
			reply.Evidence = append(reply.Evidence, messenger.RelayedEvidence{
				Report: e.Report,
				Age:    now.Sub(e.ObservedAt),
				Lost:   e.Lost,
			})
		}
	}
	return reply
}

// record takes in evidence and wakes who waits for it.
func (p *Prober) record(e gatekeeper.Evidence) {
	p.mu.Lock()
	taken := p.gatekeeper.Record(e)
	p.mu.Unlock()
	if !taken {
		return
	}
	select {
	case p.changed <- struct{}{}:
	default:
	}
}
