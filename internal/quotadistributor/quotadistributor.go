// Package quotadistributor enforces each organisation's request rate over all
// entry instances together, without a write for each request. The entry
// instance that owns the organisation, chosen by rendezvous hashing, divides
// the rate into short-lived quotas according to demand.
//
// # Usage
//
//	d := quotadistributor.New(configs, members, pool, rates)
//	d.Start(ctx)
package quotadistributor

import (
	"context"
	"sync"
	"time"

	"github.com/waxwingmount/waxwingmount/internal/messenger"
	"github.com/waxwingmount/waxwingmount/internal/pacer"
	"github.com/waxwingmount/waxwingmount/pkg/assigner"
	"github.com/waxwingmount/waxwingmount/pkg/configurer"
	"github.com/waxwingmount/waxwingmount/pkg/gossiper"
	"github.com/waxwingmount/waxwingmount/pkg/limiter"
)

const (
	// renewInterval is the time between two renewals of each quota.
	renewInterval   = 500 * time.Millisecond
	peerCallTimeout = 250 * time.Millisecond
	// quotaTTL is how long a quota is valid.
	quotaTTL = 2 * time.Second
	// demandDecay is the weight of the previous average in the moving average of
	// the demand.
	demandDecay = 0.5
)

// Configs returns the configuration in force.
type Configs interface{ Config() *configurer.Config }

// Members returns this entry instance and all live ones.
type Members interface {
	Self() gossiper.Member
	Live() []gossiper.Member
}

// Rates limits the request rates of organisations at this entry instance.
type Rates interface {
	// SetRate sets an organisation's limit in requests per second.
	SetRate(organisation string, perSecond float64)
	// TakeRequestCount returns the number of an organisation's requests since
	// the last call.
	TakeRequestCount(organisation string) int
}

// Distributor renews this instance's quotas, and allocates the quotas of the
// organisations that this instance owns. It is safe for concurrent use.
type Distributor struct {
	configs Configs
	members Members
	pool    *messenger.Pool
	rates   Rates

	mu         sync.Mutex
	demands    map[string]float64
	quotas     map[string]quota
	allocators map[string]*limiter.QuotaAllocator
}

// quota is this instance's share of an organisation's rate.
type quota struct {
	perSecond float64
	expiry    time.Time
}

// New returns a Distributor without quotas.
func New(configs Configs, members Members, pool *messenger.Pool, rates Rates) *Distributor {
	return &Distributor{
		configs:    configs,
		members:    members,
		pool:       pool,
		rates:      rates,
		demands:    make(map[string]float64),
		quotas:     make(map[string]quota),
		allocators: make(map[string]*limiter.QuotaAllocator),
	}
}

// Start renews the quotas in the background until ctx ends.
func (d *Distributor) Start(ctx context.Context) { go d.renewLoop(ctx) }

// Allocate returns a quota of an organisation that this instance owns. It
// answers a peer's call.
func (d *Distributor) Allocate(arguments messenger.QuotaArguments) messenger.QuotaReply {
	config := d.configs.Config()
	if config == nil {
		return messenger.QuotaReply{}
	}
	now := time.Now()
	rate := config.Organisations[arguments.Organisation].RequestsPerSecond
	d.mu.Lock()
	defer d.mu.Unlock()
	allocator, found := d.allocators[arguments.Organisation]
	if !found {
		allocator = limiter.NewQuotaAllocator(now, rate, quotaTTL)
		d.allocators[arguments.Organisation] = allocator
	}
	allocator.SetRate(rate)
	lease := allocator.Allocate(now, arguments.Demand)
	return messenger.QuotaReply{PerSecond: lease.PerSecond, TTL: lease.Expiry.Sub(now)}
}

func (d *Distributor) renewLoop(ctx context.Context) { pacer.Repeat(ctx, renewInterval, d.renewAll) }

func (d *Distributor) renewAll(ctx context.Context) {
	config := d.configs.Config()
	if config == nil {
		return
	}
	live := d.members.Live()
	var renewals sync.WaitGroup
	for name, o := range config.Organisations {
		renewals.Go(func() { d.renew(ctx, live, name, o.RequestsPerSecond) })
	}
	renewals.Wait()
}

// renew renews this instance's quota of one organisation.
func (d *Distributor) renew(ctx context.Context, live []gossiper.Member, organisation string, total float64) {
	arguments := messenger.QuotaArguments{
		Organisation: organisation,
		Demand:       limiter.Demand{Entry: d.members.Self().ID, PerSecond: d.updateDemand(organisation)},
	}
	sent := time.Now()
	reply, err := d.requestQuota(ctx, live, arguments)
	d.mu.Lock()
	if err == nil && reply.PerSecond > 0 {
		d.quotas[organisation] = quota{perSecond: reply.PerSecond, expiry: sent.Add(reply.TTL)}
	}
	held := d.quotas[organisation]
	d.mu.Unlock()
	if time.Now().Before(held.expiry) {
		d.rates.SetRate(organisation, held.perSecond)
		return
	}
	// Without a valid quota, every instance limits itself to an equal share.
	d.rates.SetRate(organisation, total/float64(len(live)))
}

func (d *Distributor) requestQuota(ctx context.Context, live []gossiper.Member, arguments messenger.QuotaArguments) (messenger.QuotaReply, error) {
	owner := ownerOf(live, arguments.Organisation)
	if owner.ID == d.members.Self().ID {
		return d.Allocate(arguments), nil
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	var reply messenger.QuotaReply
	err := d.pool.Call(ctx, owner.Peer, messenger.MethodAllot, &arguments, &reply)
	return reply, err
}

// updateDemand updates and returns the moving average of an organisation's
// request rate at this instance, in requests per second.
func (d *Distributor) updateDemand(organisation string) float64 {
	measured := float64(d.rates.TakeRequestCount(organisation)) / renewInterval.Seconds()
	d.mu.Lock()
	defer d.mu.Unlock()
	demand := demandDecay*d.demands[organisation] + (1-demandDecay)*measured
	d.demands[organisation] = demand
	return demand
}

func ownerOf(live []gossiper.Member, organisation string) gossiper.Member {
	ids := make([]string, len(live))
	byID := make(map[string]gossiper.Member, len(live))
	for i, m := range live {
		ids[i] = m.ID
		byID[m.ID] = m
	}
	return byID[assigner.Assign("organisation/"+organisation, ids, 1)[0]]
}
