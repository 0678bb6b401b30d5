// Package quotadistributor holds each organisation to its rate in total over all entry
// instances, without a write for each request. The organisation's home, picked
// by rendezvous hashing, splits the rate by demand into short leases.
//
// # Usage
//
//	s := quotadistributor.New(configs, members, pool, rates)
//	s.Start(ctx)
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
	renewInterval = 500 * time.Millisecond
	callTimeout   = 250 * time.Millisecond
	// quotaTTL is how long a part of a rate lasts.
	quotaTTL = 2 * time.Second
	// demandDecay is the weight of the old demand against the new.
	demandDecay = 0.5
)

// Configs gives the configuration in force.
type Configs interface{ Config() *configurer.Config }

// Members gives the live entry instances.
type Members interface {
	Self() gossiper.Member
	Live() []gossiper.Member
}

// Rates bounds organisations at this entry instance.
type Rates interface {
	SetRate(organisation string, perSecond float64)
	TakeRequestCount(organisation string) int
}

// Distributor asks for this instance's parts, and gives parts as a home.
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

// quota is what this instance holds of a rate.
type quota struct {
	perSecond float64
	expiry    time.Time
}

// New returns a sharer without parts.
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

// Start begins the duty; it ends with ctx.
func (s *Distributor) Start(ctx context.Context) { go s.renewLoop(ctx) }

// Allocate answers a peer's demand for an organisation of which this instance is
// the home.
func (s *Distributor) Allocate(arguments messenger.AllotArguments) messenger.AllotReply {
	config := s.configs.Config()
	if config == nil {
		return messenger.AllotReply{}
	}
	now := time.Now()
	rate := config.Organisations[arguments.Organisation].RequestsPerSecond
	s.mu.Lock()
	defer s.mu.Unlock()
	allotter, found := s.allocators[arguments.Organisation]
	if !found {
		allotter = limiter.NewQuotaAllocator(now, rate, quotaTTL)
		s.allocators[arguments.Organisation] = allotter
	}
	allotter.SetRate(rate)
	allotment := allotter.Allocate(now, arguments.Demand)
	return messenger.AllotReply{PerSecond: allotment.PerSecond, TTL: allotment.Expiry.Sub(now)}
}

func (s *Distributor) renewLoop(ctx context.Context) { pacer.Repeat(ctx, renewInterval, s.renewAll) }

func (s *Distributor) renewAll(ctx context.Context) {
	config := s.configs.Config()
	if config == nil {
		return
	}
	live := s.members.Live()
	var asking sync.WaitGroup
	for name, o := range config.Organisations {
		asking.Go(func() { s.renew(ctx, live, name, o.RequestsPerSecond) })
	}
	asking.Wait()
}

// renew renews this instance's part of one organisation's rate.
func (s *Distributor) renew(ctx context.Context, live []gossiper.Member, organisation string, total float64) {
	arguments := messenger.AllotArguments{
		Organisation: organisation,
		Demand:       limiter.Demand{Entry: s.members.Self().ID, PerSecond: s.updateDemand(organisation)},
	}
	sent := time.Now()
	reply, err := s.requestQuota(ctx, live, arguments)
	s.mu.Lock()
	if err == nil && reply.PerSecond > 0 {
		s.quotas[organisation] = quota{perSecond: reply.PerSecond, expiry: sent.Add(reply.TTL)}
	}
	held := s.quotas[organisation]
	s.mu.Unlock()
	if time.Now().Before(held.expiry) {
		s.rates.SetRate(organisation, held.perSecond)
		return
	}
	// Without a home's word every instance keeps to an even part.
	s.rates.SetRate(organisation, total/float64(len(live)))
}

func (s *Distributor) requestQuota(ctx context.Context, live []gossiper.Member, arguments messenger.AllotArguments) (messenger.AllotReply, error) {
	home := ownerOf(live, arguments.Organisation)
	if home.ID == s.members.Self().ID {
		return s.Allocate(arguments), nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply messenger.AllotReply
	err := s.pool.Call(ctx, home.Peer, messenger.MethodAllot, &arguments, &reply)
	return reply, err
}

// updateDemand returns the smoothed rate of an organisation's requests here.
func (s *Distributor) updateDemand(organisation string) float64 {
	seen := float64(s.rates.TakeRequestCount(organisation)) / renewInterval.Seconds()
	s.mu.Lock()
	defer s.mu.Unlock()
	demand := demandDecay*s.demands[organisation] + (1-demandDecay)*seen
	s.demands[organisation] = demand
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
