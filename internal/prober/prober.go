// Package prober collects the evidence that keeps the gates of replica groups
// open. An entry instance probes the groups that are assigned to it, fetches
// evidence for the other groups from their assigned peers, and probes an
// instance itself when the evidence for it becomes old.
//
// # Usage
//
//	p := prober.New(syncer, discoverer, pool)
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
	// probeWorkers bounds the concurrent probes.
	probeWorkers = 128
	// queueCapacity bounds the probes that wait for a worker.
	queueCapacity = 4096
	// peerCallTimeout bounds one call to a peer.
	peerCallTimeout = 250 * time.Millisecond
)

// Configs returns the configuration in force and the groups.
type Configs interface {
	Config() *configurer.Config
	Groups() *grouper.Snapshot
}

// Members returns this entry instance and all live ones.
type Members interface {
	Self() gossiper.Member
	Live() []gossiper.Member
}

// Prober collects evidence for one entry instance. It is safe for concurrent
// use.
type Prober struct {
	configs Configs
	members Members
	pool    *messenger.Pool
	client  *client
	queue   chan target
	changed chan struct{}

	mu         sync.Mutex
	gatekeeper *gatekeeper.Gatekeeper
	// ownEvidence holds the evidence from this instance's own probes, by
	// instance.
	ownEvidence map[string]gatekeeper.Evidence
	// probing holds the instances that are queued or being probed.
	probing map[string]bool
	// extraTargets holds the addresses of instances to probe whether or not they
	// are in a group.
	extraTargets map[string]netip.AddrPort
}

// target is one instance to probe.
type target struct {
	instance string
	address  netip.AddrPort
}

// New returns a Prober without evidence.
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

// Start runs the loops and the probe workers in the background until ctx ends.
func (p *Prober) Start(ctx context.Context) {
	go p.scheduleLoop(ctx)
	go p.fetchLoop(ctx)
	for range probeWorkers {
		go p.runWorker(ctx)
	}
}

// Changed returns a channel that receives a value after evidence has been
// recorded.
func (p *Prober) Changed() <-chan struct{} { return p.changed }

// Check returns whether a request may be sent to the group now.
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

// Reports returns the unexpired reports of instances that are not lost, by
// instance.
func (p *Prober) Reports() map[string]reconciler.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.gatekeeper.Reports(time.Now())
}

// Suspect closes the gates of the groups with this instance until a new probe
// confirms it. The probe is queued at once.
func (p *Prober) Suspect(instance string, address netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gatekeeper.Suspect(instance, time.Now())
	select {
	case p.queue <- target{instance: instance, address: address}:
	default:
		// The queue is full; the next round queues the probe.
	}
}

// SetLeaving replaces the set of instances that are shutting down according to
// the platform's list.
func (p *Prober) SetLeaving(leaving map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gatekeeper.SetLeaving(leaving)
}

// ProbeNow probes one instance and returns the evidence, if there is any.
func (p *Prober) ProbeNow(instance string, address netip.AddrPort) (gatekeeper.Evidence, bool) {
	return p.client.probe(context.Background(), target{instance: instance, address: address})
}

// SetExtraTargets replaces the instances that are probed in addition to the
// members of groups.
func (p *Prober) SetExtraTargets(instances map[string]netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.extraTargets = instances
}

// OwnEvidence returns the evidence from this instance's own probes of the
// members of these groups. It answers a peer's call.
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

// record stores evidence and signals the change.
func (p *Prober) record(e gatekeeper.Evidence) {
	p.mu.Lock()
	stored := p.gatekeeper.Record(e)
	p.mu.Unlock()
	if !stored {
		return
	}
	select {
	case p.changed <- struct{}{}:
	default:
	}
}
