// Package starter builds the components of an entry instance and runs them from
// start-up to a graceful shutdown. It holds no decision logic.
//
// # Usage
//
//	node, err := starter.New(settings, process, platform)
//	err = node.Run(ctx)
//
// When ctx ends or an operator drains the node, it publishes that it is shutting
// down, keeps serving while callers may still have its address cached, finishes
// the requests in progress, and returns.
package starter

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprometheus "github.com/uber-go/tally/v4/prometheus"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"

	"github.com/waxwingmount/waxwingmount/internal/archiver"
	"github.com/waxwingmount/waxwingmount/internal/claimcommitter"
	"github.com/waxwingmount/waxwingmount/internal/controller"
	"github.com/waxwingmount/waxwingmount/internal/discoverer"
	"github.com/waxwingmount/waxwingmount/internal/dispatcher"
	"github.com/waxwingmount/waxwingmount/internal/loader"
	"github.com/waxwingmount/waxwingmount/internal/logger"
	"github.com/waxwingmount/waxwingmount/internal/messenger"
	"github.com/waxwingmount/waxwingmount/internal/operator"
	"github.com/waxwingmount/waxwingmount/internal/partitioner"
	"github.com/waxwingmount/waxwingmount/internal/prober"
	"github.com/waxwingmount/waxwingmount/internal/quotadistributor"
	"github.com/waxwingmount/waxwingmount/internal/receiver"
	"github.com/waxwingmount/waxwingmount/internal/server"
	"github.com/waxwingmount/waxwingmount/internal/syncer"
	"github.com/waxwingmount/waxwingmount/internal/tracer"
	"github.com/waxwingmount/waxwingmount/pkg/configurer"
	"github.com/waxwingmount/waxwingmount/pkg/gossiper"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

const (
	metricsInterval = time.Second
	// shutdownCallTimeout bounds each group of calls to the table and to peers
	// during a shutdown.
	shutdownCallTimeout = time.Second
	strikeRetryInterval = 500 * time.Millisecond
	// bodyCopies is how many times the body of a completion is in memory while it is decoded:
	// as it came, its fields, and as it is sent.
	bodyCopies = 4
	// operatorMemory is the memory for operators' requests; it has room for one of the largest.
	operatorMemory = 2 * bodyCopies * operator.MaxBodyBytes
)

// Node is one entry instance.
type Node struct {
	settings         loader.Settings
	process          logger.Process
	tls              tlsConfigs
	parts            partitioner.Parts
	memory           partitioner.Memory
	scope            tally.Scope
	traces           *sdktrace.TracerProvider
	pool             *messenger.Pool
	syncer           *syncer.Syncer
	discoverer       *discoverer.Discoverer
	prober           *prober.Prober
	claimCommitter   *claimcommitter.Committer
	dispatcher       *dispatcher.Dispatcher
	quotaDistributor *quotadistributor.Distributor
	controller       *controller.Controller
	receiver         *receiver.Receiver
	operator         *operator.Operator
	peer             *peerService
	broadcaster      *broadcaster

	shutdownOnce  sync.Once
	shutdownBegun chan struct{}
}

// New builds an entry instance.
func New(s loader.Settings, process logger.Process, platform provider.Platform) (*Node, error) {
	n := &Node{settings: s, process: process, shutdownBegun: make(chan struct{})}
	n.parts = Parts(s.Limits)
	n.memory = n.parts.NewMemory()
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
	}, metricsInterval)
	n.scope = scope
	n.buildState(platform)
	n.buildServing(platform, scope)
	n.operator = operator.New(operator.Dependencies{
		Platform:      platform,
		Syncer:        n.syncer,
		Discoverer:    n.discoverer,
		Prober:        n.prober,
		Controller:    n.controller,
		Pool:          n.pool,
		BeginShutdown: n.BeginShutdown,
		Metrics:       reporter.HTTPHandler(),
		Token:         s.OperatorToken,
	})
	return n, nil
}

// Parts returns what the parts of a process may take.
func Parts(l loader.Limits) partitioner.Parts {
	return partitioner.Divide(partitioner.Resources{MemoryBytes: int64(l.MemoryMB) << 20, Descriptors: server.MaxDescriptors(l.Descriptors)})
}

// buildState builds the components that track the state of the system.
func (n *Node) buildState(platform provider.Platform) {
	s := n.settings
	n.pool = messenger.NewPool(n.security())
	n.syncer = syncer.New(platform, n.pool, n.publishConfigVersion)
	self := gossiper.Member{
		ID:         s.ID,
		Epoch:      n.process.Epoch,
		Caller:     s.CallerAddress,
		Peer:       s.PeerAddress,
		DataCentre: s.DataCentre,
	}
	n.discoverer = discoverer.New(discoverer.Settings{
		Self:     self,
		Started:  n.process.Started,
		Seeds:    s.Seeds,
		Interval: s.HeartbeatInterval,
		Degree:   s.Degree,
	}, platform, n.pool, n.syncer)
	n.prober = prober.New(n.syncer, n.discoverer, n.pool)
	n.claimCommitter = claimcommitter.New(platform, n.discoverer)
}

// buildServing builds the components that serve callers and control the
// replica groups.
func (n *Node) buildServing(platform provider.Platform, scope tally.Scope) {
	s := n.settings
	tracer := n.traces.Tracer("waxwingmount")
	self := n.discoverer.Self()
	n.broadcaster = &broadcaster{discoverer: n.discoverer, pool: n.pool}
	n.dispatcher = dispatcher.New(dispatcher.Dependencies{
		Configs:     n.syncer,
		Gates:       n.prober,
		Broadcaster: n.broadcaster,
		Claims:      n.claimCommitter,
		Tracer:      tracer,
		Seed:        self.Epoch,

		ResponseMemory: n.memory.Responses,
	})
	n.broadcaster.archiver = archiver.New(archiver.Dependencies{
		Entry: s.ID, Table: platform, Evidence: strikeEvidence{n.dispatcher}, Expiry: dispatcher.StrikeExpiry,
		CountEntries: func() int { return len(n.discoverer.Live()) },
	})
	n.quotaDistributor = quotadistributor.New(n.syncer, n.discoverer, n.pool, n.dispatcher)
	n.controller = controller.New(controller.Dependencies{
		Holder:   s.ID + "/" + time.Unix(0, int64(self.Epoch)).UTC().Format(time.RFC3339Nano),
		Platform: platform,
		Syncer:   n.syncer,
		Prober:   n.prober,
		Scope:    scope,
	})
	n.receiver = receiver.New(receiver.Dependencies{
		Configs:    n.syncer,
		Members:    n.discoverer,
		Dispatcher: n.dispatcher,
		Tracer:     tracer,
		Scope:      scope,
		AddressTTL: s.AddressTTL,
	})
	n.peer = &peerService{
		discoverer:       n.discoverer,
		syncer:           n.syncer,
		prober:           n.prober,
		dispatcher:       n.dispatcher,
		quotaDistributor: n.quotaDistributor,
		beginShutdown:    n.BeginShutdown,
	}
}

// publishConfigVersion publishes the version of the configuration that this
// instance has applied.
func (n *Node) publishConfigVersion(head configurer.Head) {
	n.discoverer.Update(func(m *gossiper.Member) { m.ConfigVersion = head.Version })
}

func (n *Node) security() messenger.Security {
	return messenger.Security{Token: n.settings.PeerToken, Client: n.tls.peerClient, Server: n.tls.peerServer}
}

// BeginShutdown starts a graceful shutdown and returns at once.
func (n *Node) BeginShutdown() { n.shutdownOnce.Do(func() { close(n.shutdownBegun) }) }

// Run serves until ctx ends or BeginShutdown is called, and then shuts down
// gracefully. The error is that of starting a server, or of requests that were
// still in progress after the drain timeout.
func (n *Node) Run(ctx context.Context) error {
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	peerListener, err := server.Listen(n.settings.PeerAddress, messenger.BufferBytes)
	if err != nil {
		return err
	}
	peers := server.LimiterSettings{Name: "peers", Connections: n.parts.PeerConnections, SharedMemory: n.memory.Hops, Scope: n.scope}
	peerServer, err := messenger.NewServer(n.security(), messenger.PeerService, n.peer, rand.Read, messenger.WithLimiter(server.NewLimiter(peers)))
	if err != nil {
		return err
	}
	go peerServer.Serve(background, peerListener)
	callers := server.LimiterSettings{Name: "callers", Connections: n.parts.CallerConnections, SharedMemory: n.memory.Requests, BodyCopies: bodyCopies, Scope: n.scope}
	callerServer, err := server.Start(n.settings.CallerAddress, n.receiver.Handler(), server.WithTLS(n.tls.server), server.WithLimiter(server.NewLimiter(callers)))
	if err != nil {
		return err
	}
	operators := server.LimiterSettings{Name: "operators", Connections: n.parts.ControlConnections, Memory: operatorMemory, BodyCopies: bodyCopies, Scope: n.scope}
	operatorServer, err := server.Start(n.settings.OperatorAddress, n.operator.Handler(), server.WithTLS(n.tls.server), server.WithLimiter(server.NewLimiter(operators)))
	if err != nil {
		return err
	}
	n.startBackground(background)
	log.WithField("entry", n.settings.ID).Info("entry instance serves")
	select {
	case <-ctx.Done():
	case <-n.shutdownBegun:
	}
	return n.stop(callerServer, operatorServer)
}

func (n *Node) startBackground(ctx context.Context) {
	n.syncer.Start(ctx)
	n.discoverer.Start(ctx)
	n.prober.Start(ctx)
	n.claimCommitter.Start(ctx)
	n.dispatcher.Start(ctx)
	n.quotaDistributor.Start(ctx)
	n.controller.Start(ctx)
	n.broadcaster.archiver.Start(ctx)
	go n.runStrikesFetch(ctx)
}

// runStrikesFetch fetches the known strikes (requests that crashed backend
// servers) from one peer, and retries until a peer responds.
func (n *Node) runStrikesFetch(ctx context.Context) {
	for !n.broadcaster.fetchStrikes(ctx, n.dispatcher) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(strikeRetryInterval):
		}
	}
}

// stop publishes that the node is shutting down, keeps serving while callers may
// have its address cached, finishes the requests in progress, and closes the
// operators' server and the connections to peers.
func (n *Node) stop(callerServer, operatorServer *server.Server) error {
	log.WithField("entry", n.settings.ID).Info("entry instance leaves")
	n.discoverer.Update(func(m *gossiper.Member) { m.Leaving = true })
	publishCtx, cancelPublish := context.WithTimeout(context.Background(), shutdownCallTimeout)
	defer cancelPublish()
	n.controller.Resign(publishCtx)
	n.discoverer.Publish(publishCtx)
	time.Sleep(n.settings.AddressTTL + n.settings.HeartbeatInterval)
	n.dispatcher.StopAdmitting()
	drainCtx, cancelDrain := context.WithTimeout(context.Background(), n.settings.DrainTimeout)
	defer cancelDrain()
	err := callerServer.Stop(drainCtx, shutdownCallTimeout)
	withdrawCtx, cancelWithdraw := context.WithTimeout(context.Background(), shutdownCallTimeout)
	defer cancelWithdraw()
	if withdrawErr := n.discoverer.Withdraw(withdrawCtx); withdrawErr != nil {
		log.WithError(withdrawErr).Warn("cannot remove the row of the entry instance")
	}
	operatorServer.Close()
	n.pool.Close()
	n.traces.Shutdown(withdrawCtx)
	log.WithField("entry", n.settings.ID).Info("entry instance has left")
	return err
}
