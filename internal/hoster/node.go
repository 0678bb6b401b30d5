// Package hoster joins the parts of an entry instance that runs on a platform
// of its users: it observes the platform, forwards opaque requests, tells
// callers where to connect, and takes its turn in control. It wires; it
// decides nothing.
//
// # Usage
//
//	node, err := hoster.New(settings, hoster.Platform{...})
//	err = node.Run(ctx)
//
// When ctx ends the node tells everyone that it leaves, serves on while callers
// may still hold its address, finishes what runs, and returns.
package hoster

import (
	"context"
	"crypto/rand"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprometheus "github.com/uber-go/tally/v4/prometheus"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"

	"github.com/waxwingmount/waxwingmount/internal/forwarder"
	"github.com/waxwingmount/waxwingmount/internal/introducer"
	"github.com/waxwingmount/waxwingmount/internal/logger"
	"github.com/waxwingmount/waxwingmount/internal/messenger"
	"github.com/waxwingmount/waxwingmount/internal/observer"
	"github.com/waxwingmount/waxwingmount/internal/organiser"
	"github.com/waxwingmount/waxwingmount/internal/relayer"
	"github.com/waxwingmount/waxwingmount/internal/server"
	"github.com/waxwingmount/waxwingmount/internal/tracer"
	"github.com/waxwingmount/waxwingmount/pkg/gossiper"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

// Settings are what one process is told at its start.
type Settings struct {
	// ID names the entry instance.
	ID         string
	DataCentre string
	// FirstStart says that the whole system starts for the first time.
	FirstStart bool
	// Caller, Ready, Peer, Directory and Metrics are the addresses to listen
	// on; Metrics may be left out.
	Caller    netip.AddrPort
	Ready     netip.AddrPort
	Peer      netip.AddrPort
	Directory netip.AddrPort
	Metrics   netip.AddrPort
	// Seeds are peer addresses to ask while the table does not answer.
	Seeds []netip.AddrPort
	// MemoryBytes bounds the process's memory; zero says nothing.
	MemoryBytes int64
	// KeyTTL is the age of the configuration from which on no key counts.
	KeyTTL time.Duration
	// StopTimeout is how long a stop may take.
	StopTimeout time.Duration
	// RetryRatio and RetrySlack bound the retries of all entry instances.
	RetryRatio float64
	RetrySlack float64
	// KeepAnswer is the longest time that callers keep an answer of the
	// directory.
	KeepAnswer time.Duration
}

// Process is what the running process knows of itself.
type Process struct {
	logger.Process
	// LinesDropped counts the log lines that were dropped.
	LinesDropped func() int64
}

// Platform is what the users' platform offers, in this project's terms.
type Platform struct {
	Table   provider.Table
	Source  relayer.Platform
	Prober  observer.Prober
	Orderer organiser.Orderer
	Codec   forwarder.Codec
	// Directory and Readiness make the handlers for two of the addresses.
	Directory func(Directory) http.Handler
	Readiness func(ready func() bool) http.Handler
}

const (
	// heartbeatInterval is the time between two exchanges with the peers.
	heartbeatInterval = 250 * time.Millisecond
	// peerDegree is how many neighbours each entry instance has.
	peerDegree = 4
	// keepAnswer is how long callers are told to keep an answer.
	keepAnswer = 2 * time.Second
	// staleShare is the part of the keys' life after which an instance without
	// the store no longer offers itself.
	staleShare = 0.5
	// stopMargin is left of the stop's time for the last answers.
	stopMargin = 700 * time.Millisecond
	// takeShare is the part of the stop's time in which the instance still
	// takes requests, and listenShare that in which it still refuses them
	// itself: callers keep its address for a while.
	takeShare   = 0.35
	listenShare = 0.6

	metricInterval = time.Second
	withdrawTime   = time.Second
)

// Node is one entry instance.
type Node struct {
	settings   Settings
	process    Process
	platform   Platform
	registry   *prometheus.Registry
	scope      tally.Scope
	traces     *sdktrace.TracerProvider
	pool       *messenger.Pool
	introducer *introducer.Introducer
	relayer    *relayer.Relayer
	observer   *observer.Observer
	forwarder  *forwarder.Forwarder
	organiser  *organiser.Organiser
	peers      *peers
}

// New joins the parts of an entry instance.
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
	}, metricInterval)
	n.scope = scope
	store := &storeMeter{table: p.Table, source: p.Source, scope: scope}
	epoch := process.Epoch
	n.pool = messenger.NewPool(messenger.Security{})
	n.peers = &peers{node: n}
	n.introducer = introducer.New(introducer.Settings{
		Self:     gossiper.Member{ID: s.ID, Epoch: epoch, Caller: s.Caller, Peer: s.Peer, DataCentre: s.DataCentre},
		Started:  process.Started,
		Seeds:    s.Seeds,
		Interval: heartbeatInterval,
		Degree:   peerDegree,
	}, store, n.pool, n.peers)
	n.relayer = relayer.New(relayer.Dependencies{Platform: store, Members: n.introducer, Pool: n.pool, Epoch: epoch})
	n.observer = observer.New(observer.Dependencies{Source: n.relayer, Prober: p.Prober, Announcer: n.peers, Scope: scope})
	n.forwarder = forwarder.New(forwarder.Dependencies{
		Settings: s.forwarding(),
		Observer: n.observer,
		Codec:    p.Codec,
		Peers:    n.peers,
		Tracer:   n.traces.Tracer("waxwingmount"),
		Scope:    scope,
	})
	n.organiser = organiser.New(organiser.Dependencies{
		Holder:   holderName(s.ID, epoch),
		Table:    store,
		Observer: n.observer,
		Orderer:  p.Orderer,
		Demand:   n.forwarder,
		Idler:    n.forwarder,
		Scope:    scope,
		Stands:   n.relayer.Reads,
		Ended:    n.ended,
	})
	return n, nil
}

// holderName names one process of an entry instance.
func holderName(id string, epoch uint64) string { return id + "/" + strconv.FormatUint(epoch, 10) }

// ended reports whether a process has ended, since the same instance is known
// to run another by now.
func (n *Node) ended(holder string) bool {
	for _, m := range n.introducer.Live() {
		if strings.HasPrefix(holder, m.ID+"/") {
			return holder != holderName(m.ID, m.Epoch) && holder < holderName(m.ID, m.Epoch)
		}
	}
	return false
}

// forwarding returns what the forwarder needs to know.
func (s Settings) forwarding() forwarder.Settings {
	return forwarder.Settings{
		DataCentre: s.DataCentre, FirstStart: s.FirstStart, KeyTTL: s.KeyTTL, RetryRatio: s.RetryRatio, RetrySlack: s.RetrySlack,
	}
}

// Reload takes over the settings that may change while the process runs: the
// life of keys and the retry budget. The others hold until the next start.
func (n *Node) Reload(s Settings) {
	s.ID, s.DataCentre, s.FirstStart = n.settings.ID, n.settings.DataCentre, n.settings.FirstStart
	n.forwarder.Configure(s.forwarding())
	log.WithFields(log.Fields{"key_ttl": s.KeyTTL.String(), "retry_ratio": s.RetryRatio, "retry_slack": s.RetrySlack}).Info(logger.LineReloaded)
}

// Run serves until ctx ends, and then stops gracefully.
func (n *Node) Run(ctx context.Context) error {
	duties, stopDuties := context.WithCancel(context.WithoutCancel(ctx))
	defer stopDuties()
	listener, err := net.Listen("tcp", n.settings.Peer.String())
	if err != nil {
		return err
	}
	peers, err := messenger.NewServer(messenger.Security{}, messenger.PeerService, &peerService{node: n}, rand.Read)
	if err != nil {
		return err
	}
	go peers.Serve(duties, listener)
	callers, err := server.Start(n.settings.Caller, n.forwarder.Handler())
	if err != nil {
		return err
	}
	for address, handler := range map[netip.AddrPort]http.Handler{
		n.settings.Ready:     n.platform.Readiness(n.ready),
		n.settings.Directory: n.platform.Directory(n),
		n.settings.Metrics:   n.metrics(),
	} {
		if !address.IsValid() {
			continue
		}
		if _, err := server.Start(address, handler); err != nil {
			return err
		}
	}
	n.observer.Start(duties)
	n.introducer.Start(duties)
	n.forwarder.Start(duties)
	n.organiser.Start(duties)
	go n.peers.loop(duties)
	go n.peers.farLoop(duties)
	go n.memberLoop(duties)
	go n.gaugeLoop(duties)
	log.WithFields(log.Fields{logger.FieldEntry: n.settings.ID, "data_centre": n.settings.DataCentre}).Info(logger.LineEntryReady)
	<-ctx.Done()
	return n.stop(callers)
}

// stop tells everyone that the node leaves, serves on while callers may hold
// its address, finishes what runs, and closes.
func (n *Node) stop(callers *server.Server) error {
	began := time.Now()
	log.WithField(logger.FieldEntry, n.settings.ID).Info(logger.LineEntryStopping)
	n.introducer.Update(func(m *gossiper.Member) { m.Leaving = true })
	n.forwarder.Leave()
	ctx, cancel := context.WithTimeout(context.Background(), withdrawTime)
	defer cancel()
	go n.runResign(ctx)
	n.introducer.Publish(ctx)
	time.Sleep(time.Duration(takeShare*float64(n.settings.StopTimeout)) - time.Since(began))
	n.forwarder.Close()
	time.Sleep(time.Duration(listenShare*float64(n.settings.StopTimeout)) - time.Since(began))
	drain, cancelDrain := context.WithTimeout(context.Background(), n.settings.StopTimeout-stopMargin-time.Since(began))
	defer cancelDrain()
	err := callers.Shutdown(drain)
	n.pool.Close()
	log.WithFields(log.Fields{logger.FieldEntry: n.settings.ID, "live": n.forwarder.Live()}).Info(logger.LineEntryStopped)
	return err
}

func (n *Node) runResign(ctx context.Context) { n.organiser.Resign(ctx) }
