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
	"github.com/waxwingmount/waxwingmount/pkg/configurer"
	"github.com/waxwingmount/waxwingmount/pkg/limiter"
	"github.com/waxwingmount/waxwingmount/pkg/spreader"
	"github.com/waxwingmount/waxwingmount/pkg/watcher"
)

const (
	askInterval = 500 * time.Millisecond
	askTimeout  = 250 * time.Millisecond
	// partTerm is how long a part of a rate lasts.
	partTerm = 2 * time.Second
	// demandDecay is the weight of the old demand against the new.
	demandDecay = 0.5
)

// Configs gives the configuration in force.
type Configs interface{ Config() *configurer.Config }

// Members gives the live entry instances.
type Members interface {
	Self() spreader.Member
	Live() []spreader.Member
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

	mu        sync.Mutex
	demands   map[string]float64
	held      map[string]part
	allotters map[string]*limiter.Allotter
}

// part is what this instance holds of a rate.
type part struct {
	perSecond float64
	until     time.Time
}

// New returns a sharer without parts.
func New(configs Configs, members Members, pool *messenger.Pool, rates Rates) *Distributor {
	return &Distributor{
		configs:   configs,
		members:   members,
		pool:      pool,
		rates:     rates,
		demands:   make(map[string]float64),
		held:      make(map[string]part),
		allotters: make(map[string]*limiter.Allotter),
	}
}

// Start begins the duty; it ends with ctx.
func (s *Distributor) Start(ctx context.Context) { go s.loop(ctx) }

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
	allotter, found := s.allotters[arguments.Organisation]
	if !found {
		allotter = limiter.NewAllotter(now, rate, partTerm)
		s.allotters[arguments.Organisation] = allotter
	}
	allotter.SetRate(rate)
	allotment := allotter.Ask(now, arguments.Demand)
	return messenger.AllotReply{PerSecond: allotment.PerSecond, TTL: allotment.Expiry.Sub(now)}
}

func (s *Distributor) loop(ctx context.Context) { pacer.Repeat(ctx, askInterval, s.askAll) }

func (s *Distributor) askAll(ctx context.Context) {
	config := s.configs.Config()
	if config == nil {
		return
	}
	live := s.members.Live()
	var asking sync.WaitGroup
	for name, o := range config.Organisations {
		asking.Go(func() { s.ask(ctx, live, name, o.RequestsPerSecond) })
	}
	asking.Wait()
}

// ask renews this instance's part of one organisation's rate.
func (s *Distributor) ask(ctx context.Context, live []spreader.Member, organisation string, total float64) {
	arguments := messenger.AllotArguments{
		Organisation: organisation,
		Demand:       limiter.Demand{Entry: s.members.Self().ID, PerSecond: s.demand(organisation)},
	}
	sent := time.Now()
	reply, err := s.askHome(ctx, live, arguments)
	s.mu.Lock()
	if err == nil && reply.PerSecond > 0 {
		s.held[organisation] = part{perSecond: reply.PerSecond, until: sent.Add(reply.TTL)}
	}
	held := s.held[organisation]
	s.mu.Unlock()
	if time.Now().Before(held.until) {
		s.rates.SetRate(organisation, held.perSecond)
		return
	}
	// Without a home's word every instance keeps to an even part.
	s.rates.SetRate(organisation, total/float64(len(live)))
}

func (s *Distributor) askHome(ctx context.Context, live []spreader.Member, arguments messenger.AllotArguments) (messenger.AllotReply, error) {
	home := homeOf(live, arguments.Organisation)
	if home.ID == s.members.Self().ID {
		return s.Allocate(arguments), nil
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var reply messenger.AllotReply
	err := s.pool.Call(ctx, home.Peer, messenger.MethodAllot, &arguments, &reply)
	return reply, err
}

// demand returns the smoothed rate of an organisation's requests here.
func (s *Distributor) demand(organisation string) float64 {
	seen := float64(s.rates.TakeRequestCount(organisation)) / askInterval.Seconds()
	s.mu.Lock()
	defer s.mu.Unlock()
	demand := demandDecay*s.demands[organisation] + (1-demandDecay)*seen
	s.demands[organisation] = demand
	return demand
}

func homeOf(live []spreader.Member, organisation string) spreader.Member {
	ids := make([]string, len(live))
	byID := make(map[string]spreader.Member, len(live))
	for i, m := range live {
		ids[i] = m.ID
		byID[m.ID] = m
	}
	return byID[watcher.Assign("organisation/"+organisation, ids, 1)[0]]
}
