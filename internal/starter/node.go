// Package starter joins the parts of an entry instance and runs them from the
// start to a graceful stop. It wires; it decides nothing.
//
// # Usage
//
//	node, err := starter.New(settings, process, platform)
//	err = node.Run(ctx)
//
// When ctx ends, or an operator drains it, the node publishes that it leaves,
// serves on while callers may still hold its address, finishes what runs, and
// returns.
package starter

import (
	"context"
	"crypto/rand"
	"net"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprometheus "github.com/uber-go/tally/v4/prometheus"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"

	"github.com/waxwingmount/waxwingmount/internal/claimcommitter"
	"github.com/waxwingmount/waxwingmount/internal/controller"
	"github.com/waxwingmount/waxwingmount/internal/discoverer"
	"github.com/waxwingmount/waxwingmount/internal/dispatcher"
	"github.com/waxwingmount/waxwingmount/internal/loader"
	"github.com/waxwingmount/waxwingmount/internal/logger"
	"github.com/waxwingmount/waxwingmount/internal/messenger"
	"github.com/waxwingmount/waxwingmount/internal/operator"
	"github.com/waxwingmount/waxwingmount/internal/prober"
	"github.com/waxwingmount/waxwingmount/internal/quotadistributor"
	"github.com/waxwingmount/waxwingmount/internal/receiver"
	"github.com/waxwingmount/waxwingmount/internal/server"
	"github.com/waxwingmount/waxwingmount/internal/syncer"
	"github.com/waxwingmount/waxwingmount/internal/tracer"
	"github.com/waxwingmount/waxwingmount/pkg/configurer"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
	"github.com/waxwingmount/waxwingmount/pkg/spreader"
)

const (
	metricInterval = time.Second
	withdrawTime   = time.Second
	strikesRetry   = 500 * time.Millisecond
)

// Node is one entry instance.
type Node struct {
	settings   loader.Settings
	process    logger.Process
	tls        tlsConfigs
	traces     *sdktrace.TracerProvider
	pool       *messenger.Pool
	follower   *syncer.Syncer
	introducer *discoverer.Discoverer
	prober     *prober.Prober
	claims     *claimcommitter.Committer
	dispatcher *dispatcher.Dispatcher
	sharer     *quotadistributor.Distributor
	controller *controller.Controller
	receiver   *receiver.Receiver
	operator   *operator.Operator
	peer       *Peer
	strikes    *broadcaster

	leaveOnce sync.Once
	leaving   chan struct{}
}

// New joins the parts of an entry instance.
func New(s loader.Settings, process logger.Process, platform provider.Platform) (*Node, error) {
	n := &Node{settings: s, process: process, leaving: make(chan struct{})}
	var err error
	if n.tls, err = loadTLS(s.TLS); err != nil {
		return nil, err
	}
	if n.traces, err = tracer.Open(s.TraceFile, s.ID); err != nil {
		return nil, err
	}
	registry := prometheus.NewRegistry()
	reporter := tallyprometheus.NewReporter(tallyprometheus.Options{Registerer: registry, Gatherer: registry})
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "waxwing",
		Tags:           map[string]string{"entry": s.ID},
		CachedReporter: reporter,
		Separator:      tallyprometheus.DefaultSeparator,
	}, metricInterval)
	n.joinState(platform)
	n.joinServing(platform, scope)
	n.operator = operator.New(operator.Dependencies{
		Platform:   platform,
		Follower:   n.follower,
		Introducer: n.introducer,
		Prober:     n.prober,
		Controller: n.controller,
		Pool:       n.pool,
		Leave:      n.Leave,
		Metrics:    reporter.HTTPHandler(),
		Token:      s.OperatorToken,
	})
	return n, nil
}

// joinState joins the parts that know how things stand.
func (n *Node) joinState(platform provider.Platform) {
	s := n.settings
	n.pool = messenger.NewPool(n.security())
	n.follower = syncer.New(platform, n.pool, n.applied)
	self := spreader.Member{
		ID:         s.ID,
		Epoch:      n.process.Epoch,
		Caller:     s.Caller,
		Peer:       s.Peer,
		DataCentre: s.DataCentre,
	}
	n.introducer = discoverer.New(discoverer.Settings{
		Self:     self,
		Started:  n.process.Started,
		Seeds:    s.Seeds,
		Interval: s.HeartbeatInterval,
		Degree:   s.Degree,
	}, platform, n.pool, n.follower)
	n.prober = prober.New(n.follower, n.introducer, n.pool)
	n.claims = claimcommitter.New(platform, n.introducer)
}

// joinServing joins the parts that serve callers and control the groups.
func (n *Node) joinServing(platform provider.Platform, scope tally.Scope) {
	s := n.settings
	tracer := n.traces.Tracer("waxwingmount")
	self := n.introducer.Self()
	n.strikes = &broadcaster{introducer: n.introducer, pool: n.pool}
	n.dispatcher = dispatcher.New(dispatcher.Dependencies{
		Configs:     n.follower,
		Gates:       n.prober,
		Broadcaster: n.strikes,
		Claims:      n.claims,
		Tracer:      tracer,
		Seed:        self.Epoch,
	})
	n.sharer = quotadistributor.New(n.follower, n.introducer, n.pool, n.dispatcher)
	n.controller = controller.New(controller.Dependencies{
		Holder:   s.ID + "/" + time.Unix(0, int64(self.Epoch)).UTC().Format(time.RFC3339Nano),
		Platform: platform,
		Syncer:   n.follower,
		Prober:   n.prober,
		Scope:    scope,
	})
	n.receiver = receiver.New(receiver.Dependencies{
		Configs:    n.follower,
		Members:    n.introducer,
		Dispatcher: n.dispatcher,
		Tracer:     tracer,
		Scope:      scope,
		AddressTTL: s.KeepAnswer,
	})
	n.peer = &Peer{
		introducer: n.introducer,
		follower:   n.follower,
		prober:     n.prober,
		dispatcher: n.dispatcher,
		sharer:     n.sharer,
		leave:      n.Leave,
	}
}

// applied publishes the version of a configuration that came into force.
func (n *Node) applied(head configurer.Head) {
	n.introducer.Update(func(m *spreader.Member) { m.ConfigVersion = head.Version })
}

func (n *Node) security() messenger.Security {
	return messenger.Security{Token: n.settings.PeerToken, Client: n.tls.peerClient, Server: n.tls.peerServer}
}

// Leave begins a graceful stop.
func (n *Node) Leave() { n.leaveOnce.Do(func() { close(n.leaving) }) }

// Run serves until ctx ends or Leave is called, and then stops gracefully.
func (n *Node) Run(ctx context.Context) error {
	duties, stopDuties := context.WithCancel(context.WithoutCancel(ctx))
	defer stopDuties()
	peers, err := net.Listen("tcp", n.settings.Peer.String())
	if err != nil {
		return err
	}
	peerServer, err := messenger.NewServer(n.security(), messenger.PeerService, n.peer, rand.Read)
	if err != nil {
		return err
	}
	go peerServer.Serve(duties, peers)
	callers, err := server.Start(n.settings.Caller, n.receiver.Handler(), server.WithTLS(n.tls.server))
	if err != nil {
		return err
	}
	operators, err := server.Start(n.settings.Operator, n.operator.Handler(), server.WithTLS(n.tls.server))
	if err != nil {
		return err
	}
	n.startDuties(duties)
	log.WithField("entry", n.settings.ID).Info("entry instance serves")
	select {
	case <-ctx.Done():
	case <-n.leaving:
	}
	return n.stop(callers, operators)
}

func (n *Node) startDuties(ctx context.Context) {
	n.follower.Start(ctx)
	n.introducer.Start(ctx)
	n.prober.Start(ctx)
	n.claims.Start(ctx)
	n.dispatcher.Start(ctx)
	n.sharer.Start(ctx)
	n.controller.Start(ctx)
	go n.strikesLoop(ctx)
}

// strikesLoop learns once what the peers know of requests that crash back ends.
func (n *Node) strikesLoop(ctx context.Context) {
	for !n.strikes.learnStrikes(ctx, n.dispatcher) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(strikesRetry):
		}
	}
}

// stop publishes that the node leaves, serves on while callers may hold its
// address, finishes what runs, and closes.
func (n *Node) stop(callers, operators *server.Server) error {
	log.WithField("entry", n.settings.ID).Info("entry instance leaves")
	n.introducer.Update(func(m *spreader.Member) { m.Leaving = true })
	ctx, cancel := context.WithTimeout(context.Background(), withdrawTime)
	defer cancel()
	n.controller.Resign(ctx)
	n.introducer.Publish(ctx)
	time.Sleep(n.settings.KeepAnswer + n.settings.HeartbeatInterval)
	n.dispatcher.StopAdmitting()
	drain, cancelDrain := context.WithTimeout(context.Background(), n.settings.DrainTimeout)
	defer cancelDrain()
	err := callers.Shutdown(drain)
	withdraw, cancelWithdraw := context.WithTimeout(context.Background(), withdrawTime)
	defer cancelWithdraw()
	if withdrawErr := n.introducer.Withdraw(withdraw); withdrawErr != nil {
		log.WithError(withdrawErr).Warn("entry row not withdrawn")
	}
	operators.Close()
	n.pool.Close()
	n.traces.Shutdown(withdraw)
	log.WithField("entry", n.settings.ID).Info("entry instance has left")
	return err
}
