// Package hostedrunner assembles and runs an entry instance on its users'
// platform (hosted mode). The instance observes the platform, forwards opaque
// requests, tells callers where to connect, and competes for the control
// lease. The package only connects the components; they make all decisions.
//
// # Usage
//
//	node, err := hostedrunner.New(settings, hostedrunner.Platform{...})
//	err = node.Run(ctx)
//
// When ctx ends, the node announces that it is shutting down, keeps serving
// while callers may still have its address cached, completes the requests in
// flight, and returns.
package hostedrunner

import (
	"context"
	"crypto/rand"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprometheus "github.com/uber-go/tally/v4/prometheus"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"

	"github.com/waxwingmount/waxwingmount/internal/archiver"
	"github.com/waxwingmount/waxwingmount/internal/detourer"
	"github.com/waxwingmount/waxwingmount/internal/discoverer"
	"github.com/waxwingmount/waxwingmount/internal/forwarder"
	"github.com/waxwingmount/waxwingmount/internal/logger"
	"github.com/waxwingmount/waxwingmount/internal/messenger"
	"github.com/waxwingmount/waxwingmount/internal/observer"
	"github.com/waxwingmount/waxwingmount/internal/orchestrator"
	"github.com/waxwingmount/waxwingmount/internal/partitioner"
	"github.com/waxwingmount/waxwingmount/internal/relayer"
	"github.com/waxwingmount/waxwingmount/internal/server"
	"github.com/waxwingmount/waxwingmount/internal/tracer"
	"github.com/waxwingmount/waxwingmount/pkg/gossiper"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

// Settings configure one process. [Node.Reload] can change some of them.
type Settings struct {
	// ID names the entry instance.
	ID         string
	DataCentre string
	// FirstStart is true when the whole system starts for the first time.
	FirstStart bool
	// The node listens on these addresses. MetricsAddress is optional.
	CallerAddress    netip.AddrPort
	ReadinessAddress netip.AddrPort
	PeerAddress      netip.AddrPort
	DirectoryAddress netip.AddrPort
	MetricsAddress   netip.AddrPort
	// Seeds are peer addresses for discovery while the table is unavailable.
	Seeds []netip.AddrPort
	// MemoryBytes limits the process's memory, and MaxDescriptors its descriptors; zero means no
	// limit is given.
	MemoryBytes    int64
	MaxDescriptors int
	// KeyTTL is the age of the configuration from which all API keys are
	// rejected.
	KeyTTL time.Duration
	// ConfigTTL is the time within which a confirmed change of the configuration must be
	// in force, or zero if there is none.
	ConfigTTL time.Duration
	// LeavingTTL is the time within which a backend server that leaves must get no more
	// requests, or zero if there is none.
	LeavingTTL time.Duration
	// EvacuationTTL is the time within which an evacuated data centre must get no more
	// requests, or zero if there is none.
	EvacuationTTL time.Duration
	// StopTimeout limits the duration of a graceful shutdown.
	StopTimeout time.Duration
	// RetryRatio and RetrySlack limit the retries of all entry instances together in any
	// RetryWindow.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// Lend says that instances are lent from models with room to models that lack it.
	Lend bool
	// AddressTTL is the longest time that callers cache a response of the
	// directory.
	AddressTTL time.Duration
	// WarmUpOverage and WarmUpSlack bound the requests that a cold backend server may get
	// in any one second: its rate times the overage plus the slack.
	WarmUpOverage float64
	WarmUpSlack   float64
}

// Process identifies the running process and counts its dropped log lines.
type Process struct {
	logger.Process
	// LinesDropped returns the number of log lines dropped so far.
	LinesDropped func() int64
}

// Platform contains the adapters to the users' platform.
type Platform struct {
	Table       provider.Table
	Source      relayer.Platform
	Prober      observer.Prober
	Identifier  observer.Identifier
	OrderSender orchestrator.OrderSender
	Codec       forwarder.Codec
	// LeavingSource may be nil.
	LeavingSource LeavingSource
	// WarmupSource may be nil.
	WarmupSource WarmupSource
	// NewDirectoryHandler and NewReadinessHandler create the handlers of
	// DirectoryAddress and ReadinessAddress.
	NewDirectoryHandler func(Directory) http.Handler
	NewReadinessHandler func(ready func() bool) http.Handler
}

// LeavingSource tells of backend servers that say in their responses to probes and orders
// that they leave.
type LeavingSource interface {
	// OnLeaving sets the function that is told of them.
	OnLeaving(handle func(provider.Instance))
}

// WarmupSource tells of backend servers that say in their responses to probes for how long
// they are still cold.
type WarmupSource interface {
	// OnWarmup sets the function that is told of them, with the time at which the probe was
	// sent.
	OnWarmup(handle func(in provider.Instance, sentAt time.Time, left time.Duration))
}

const (
	// heartbeatInterval is the time between two gossip exchanges with peers.
	heartbeatInterval = 250 * time.Millisecond
	// gossipDegree is the number of gossip neighbours of each entry instance.
	gossipDegree = 4
	// maxAddressTTL is the cache time given to callers unless the settings
	// demand a shorter one.
	maxAddressTTL = 2 * time.Second
	// staleConfigFraction is the fraction of KeyTTL after which an instance
	// that cannot reach the store stops advertising itself.
	staleConfigFraction = 0.5
	// stopMargin is the part of StopTimeout reserved for the end: lastResponses to tell the
	// callers whose requests are still in progress what is known of them, and the rest to
	// write them and to exit.
	stopMargin    = 700 * time.Millisecond
	lastResponses = 400 * time.Millisecond
	// Callers keep the instance's address cached after the shutdown begins. The
	// instance therefore admits requests until admitFraction of StopTimeout has
	// passed, then refuses new ones until listenFraction has passed, and only
	// then closes its listener and refuses those that still wait.
	admitFraction  = 0.35
	listenFraction = 0.6

	// storeDelay is how long after its start an instance that is no seed leaves the
	// store to its peers: several rounds of gossip, and the way of the list through the
	// readers and relays.
	storeDelay = 3 * time.Second

	metricsInterval = time.Second
	// shutdownCallTimeout limits both announcing the shutdown and giving up the
	// control lease.
	shutdownCallTimeout = time.Second
)

// Node is one entry instance.
type Node struct {
	settings     Settings
	process      Process
	platform     Platform
	registry     *prometheus.Registry
	scope        tally.Scope
	parts        partitioner.Parts
	memory       partitioner.Memory
	traces       *sdktrace.TracerProvider
	pool         *messenger.Pool
	discoverer   *discoverer.Discoverer
	relayer      *relayer.Relayer
	observer     *observer.Observer
	forwarder    *forwarder.Forwarder
	orchestrator *orchestrator.Orchestrator
	archiver     *archiver.Archiver
	peers        *peers
	loads        *loads
}

// New assembles an entry instance. It opens no listeners and starts no loops.
func New(s Settings, process Process, p Platform) (*Node, error) {
	n := &Node{settings: s, process: process, platform: p, registry: prometheus.NewRegistry()}
	var err error
	if n.traces, err = tracer.Open("", s.ID); err != nil {
		return nil, err
	}
	reporter := tallyprometheus.NewReporter(tallyprometheus.Options{Registerer: n.registry, Gatherer: n.registry})
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "waxwing",
		Tags:           map[string]string{"entry": s.ID},
		CachedReporter: reporter,
		Separator:      tallyprometheus.DefaultSeparator,
	}, metricsInterval)
	n.scope = scope
	store := &storeMetrics{table: p.Table, source: p.Source, scope: scope}
	epoch := process.Epoch
	n.pool = messenger.NewPool(messenger.Security{}, messenger.WithScope(scope))
	rumors, err := newRumors(holderName(s.ID, epoch))
	if err != nil {
		return nil, err
	}
	n.peers = &peers{node: n, rumors: rumors}
	n.loads = &loads{node: n}
	n.discoverer = discoverer.New(discoverer.Settings{
		Self:     gossiper.Member{ID: s.ID, Epoch: epoch, Caller: s.CallerAddress, Peer: s.PeerAddress, DataCentre: s.DataCentre},
		Started:  process.Started,
		Seeds:    s.Seeds,
		Interval: heartbeatInterval,
		Degree:   gossipDegree,
	}, store, n.pool, n.peers)
	n.relayer = relayer.New(relayer.Dependencies{Platform: store, Members: n.discoverer, Pool: n.pool, Epoch: epoch, FirstStart: s.FirstStart, EraSettled: n.eraSettled, StoreDelay: s.storeDelay(), MaxAge: relayer.StateMaxAge(s.stateTTL())})
	n.observer = observer.New(observer.Dependencies{Source: n.relayer, Prober: p.Prober, Identifier: p.Identifier, Announcer: n.peers, Scope: scope})
	if p.LeavingSource != nil {
		p.LeavingSource.OnLeaving(n.observer.HandleLeaving)
	}
	n.parts = s.Parts()
	n.memory = n.parts.NewMemory()
	n.forwarder = forwarder.New(forwarder.Dependencies{
		Settings: s.forwarderSettings(),
		Entry:    s.ID,
		Observer: n.observer,
		Codec:    p.Codec,
		Peers:    n.peers,
		Detours:  detourer.NewClient(n.pool.DialDetour),
		Tracer:   n.traces.Tracer("waxwingmount"),
		Scope:    scope,

		ResponseMemory: n.memory.Responses,
	})
	if p.WarmupSource != nil {
		p.WarmupSource.OnWarmup(n.forwarder.HandleWarmup)
	}
	n.observer.OnReturn(n.forwarder.HandleReturn)
	n.archiver = archiver.New(archiver.Dependencies{
		Entry: s.ID, Table: store, Evidence: n.forwarder, Expiry: forwarder.StrikeExpiry, CountEntries: n.peers.Count, Era: p.Source.Era,
	})
	n.orchestrator = n.newOrchestrator(store)
	return n, nil
}

// newOrchestrator returns the control loop. Where instances may be lent, the load divides them
// among the models.
func (n *Node) newOrchestrator(store provider.Table) *orchestrator.Orchestrator {
	d := orchestrator.Dependencies{
		Holder:      holderName(n.settings.ID, n.process.Epoch),
		FirstStart:  n.settings.FirstStart,
		Table:       store,
		Observer:    n.observer,
		OrderSender: n.platform.OrderSender,
		Demand:      n.forwarder,
		IdleChecker: n.forwarder,
		Scope:       n.scope,
		Eligible:    n.relayer.IsReader,
		HolderEnded: n.holderEnded,
	}
	if n.settings.Lend {
		d.Loads = n.forwarder
	}
	return orchestrator.New(d)
}

// stateTTL returns the shortest time within which a change of the platform's state must be
// in force here, or zero if there is none.
func (s Settings) stateTTL() time.Duration {
	shortest := time.Duration(0)
	for _, ttl := range []time.Duration{s.ConfigTTL, s.LeavingTTL, s.EvacuationTTL} {
		if ttl > 0 && (shortest == 0 || ttl < shortest) {
			shortest = ttl
		}
	}
	return shortest
}

// fewestEntries returns how many entry instances the settings name, this one included.
func (s Settings) fewestEntries() int {
	if slices.Contains(s.Seeds, s.PeerAddress) {
		return len(s.Seeds)
	}
	return len(s.Seeds) + 1
}

// storeDelay returns how long this instance leaves the store to its peers after its
// start: the seeds read at once, so that the others can ask them.
func (s Settings) storeDelay() time.Duration {
	if len(s.Seeds) == 0 || slices.Contains(s.Seeds, s.PeerAddress) {
		return 0
	}
	return storeDelay
}

// eraSettled implements the dependency of the relayer.
func (n *Node) eraSettled(ctx context.Context, era uint64) bool {
	return n.orchestrator.EraSettled(ctx, era)
}

// holderName returns the lease holder name of one process of an entry instance.
func holderName(id string, epoch uint64) string { return id + "/" + strconv.FormatUint(epoch, 10) }

// holderEnded reports whether the process named holder has ended, which is known
// when its entry instance runs a later process.
func (n *Node) holderEnded(holder string) bool {
	for _, m := range n.discoverer.Live() {
		if strings.HasPrefix(holder, m.ID+"/") {
			return holder != holderName(m.ID, m.Epoch) && holder < holderName(m.ID, m.Epoch)
		}
	}
	return false
}

// forwarderSettings returns the settings of the forwarder.
func (s Settings) forwarderSettings() forwarder.Settings {
	return forwarder.Settings{
		DataCentre: s.DataCentre, FirstStart: s.FirstStart, KeyTTL: s.KeyTTL, RetryRatio: s.RetryRatio, RetrySlack: s.RetrySlack, RetryWindow: s.RetryWindow,
		MemoryBytes: s.MemoryBytes, ConfigTTL: s.ConfigTTL, LeavingTTL: s.LeavingTTL, WarmUpOverage: s.WarmUpOverage, WarmUpSlack: s.WarmUpSlack,
		FewestEntries: s.fewestEntries(), EvacuationTTL: s.EvacuationTTL,
	}
}

// Reload applies the settings that may change while the process runs: KeyTTL
// and the retry budget. The others take effect at the next start.
func (n *Node) Reload(s Settings) {
	s.ID, s.DataCentre, s.FirstStart, s.MemoryBytes = n.settings.ID, n.settings.DataCentre, n.settings.FirstStart, n.settings.MemoryBytes
	n.forwarder.Configure(s.forwarderSettings())
	log.WithFields(log.Fields{"key_ttl": s.KeyTTL.String(), "retry_ratio": s.RetryRatio, "retry_slack": s.RetrySlack}).Info(logger.LineReloaded)
}

// Run serves until ctx ends, and then shuts down gracefully. It returns an error
// if an address is unavailable or requests were still running at the timeout.
func (n *Node) Run(ctx context.Context) error {
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	listener, err := server.Listen(n.settings.PeerAddress, messenger.BufferBytes)
	if err != nil {
		return err
	}
	peerServer, err := messenger.NewServer(messenger.Security{}, messenger.PeerService, &peerService{node: n}, rand.Read,
		messenger.WithLimiter(server.NewLimiter(server.LimiterSettings{Name: "peers", Connections: n.parts.PeerConnections, SharedMemory: n.memory.Hops, Scope: n.scope})),
		messenger.WithDetourHandler(detourer.NewHandler(n.forwarder.ServeDetour)), messenger.WithMaxDetours(n.parts.HopConnections))
	if err != nil {
		return err
	}
	go peerServer.Serve(background, listener)
	callerServer, err := server.Start(n.settings.CallerAddress, n.forwarder.Handler(),
		server.WithLimiter(n.limiter(server.LimiterSettings{Name: "callers", Connections: n.parts.CallerConnections, SharedMemory: n.memory.Requests})))
	if err != nil {
		return err
	}
	if err := n.startOtherServers(); err != nil {
		return err
	}
	n.observer.Start(background)
	n.discoverer.Start(background)
	n.forwarder.Start(background)
	n.orchestrator.Start(background)
	n.archiver.Start(background)
	go n.peers.runStrikesFetch(background)
	go n.peers.partsLoop(background)
	go n.loads.loop(background)
	go n.loads.remoteLoop(background)
	go n.publishFreshnessLoop(background)
	go n.gaugeLoop(background)
	log.WithFields(log.Fields{logger.FieldEntry: n.settings.ID, "data_centre": n.settings.DataCentre}).Info(logger.LineEntryReady)
	<-ctx.Done()
	return n.stop(callerServer)
}

// stop announces the shutdown, keeps serving while callers may have the address
// cached, completes the requests in flight, and closes the connections.
func (n *Node) stop(callerServer *server.Server) error {
	started := time.Now()
	log.WithField(logger.FieldEntry, n.settings.ID).Info(logger.LineEntryStopping)
	n.discoverer.Update(func(m *gossiper.Member) { m.Leaving = true })
	n.forwarder.DisableKeepAlives()
	ctx, cancel := context.WithTimeout(context.Background(), shutdownCallTimeout)
	defer cancel()
	go n.runResignation(ctx)
	n.discoverer.Publish(ctx)
	time.Sleep(time.Duration(admitFraction*float64(n.settings.StopTimeout)) - time.Since(started))
	n.forwarder.StopAdmitting()
	time.Sleep(time.Duration(listenFraction*float64(n.settings.StopTimeout)) - time.Since(started))
	n.forwarder.StopStarting()
	drain, cancelDrain := context.WithTimeout(context.Background(), n.settings.StopTimeout-stopMargin-time.Since(started))
	defer cancelDrain()
	stop := context.AfterFunc(drain, n.forwarder.EndRequests)
	err := callerServer.Stop(drain, lastResponses)
	if idleErr := n.forwarder.AwaitIdle(drain); err == nil {
		err = idleErr
	}
	if !stop() {
		n.awaitEndOfHops()
	}
	n.pool.Close()
	log.WithFields(log.Fields{logger.FieldEntry: n.settings.ID, "live": n.forwarder.ActiveRequests()}).Info(logger.LineEntryStopped)
	return err
}

// awaitEndOfHops waits until the peers whose requests were ended have been told.
func (n *Node) awaitEndOfHops() {
	ctx, cancel := context.WithTimeout(context.Background(), lastResponses/2)
	defer cancel()
	if err := n.forwarder.AwaitIdle(ctx); err != nil {
		log.WithError(err).Warn("some requests could not be ended")
	}
}

func (n *Node) runResignation(ctx context.Context) { n.orchestrator.Resign(ctx) }
