// Package forwarder carries opaque requests to replica groups and plain
// servers and back. It knows of a request only what its headers tell; the body
// and the answer pass unchanged. It wires the decision machines of pkg/
// (mapper, surveyor, limiter, router, retrier, quarantiner) to connections.
//
// # Usage
//
//	f := forwarder.New(forwarder.Dependencies{...})
//	f.Start(ctx)
//	http.Serve(listener, f.Handler())
//
// A request that has not run is refused with 503 and the time to come back. A
// request that may have run and may not run twice ends with 502 or 504. A
// stream that breaks goes on elsewhere after its last whole event, where the
// route allows it, and otherwise ends visibly broken.
package forwarder

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"
	"golang.org/x/sys/unix"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/internal/observer"
	"github.com/waxwingmount/waxwingmount/pkg/estimator"
	"github.com/waxwingmount/waxwingmount/pkg/limiter"
	"github.com/waxwingmount/waxwingmount/pkg/quarantiner"
	"github.com/waxwingmount/waxwingmount/pkg/retrier"
	"github.com/waxwingmount/waxwingmount/pkg/router"
)

// Peers are the other entry instances, as far as requests concern them.
type Peers interface {
	// Count returns how many entry instances share the work, this one included.
	Count() int
	// BroadcastStrikes tells all peers of requests that crash backend servers.
	BroadcastStrikes(ctx context.Context, strikes []quarantiner.Strike)
}

const (
	// checkInterval is the time between two looks at what is under way: a
	// third of the shortest silence that matters.
	checkInterval = 50 * time.Millisecond
	dialTimeout   = 400 * time.Millisecond
	// userTimeout is how long sent bytes may stay unacknowledged before the
	// kernel gives a connection up.
	userTimeout = 3 * time.Second
	// idleTimeout is how long a connection to a backend server is kept idle.
	idleTimeout = 10 * time.Second
	// maxIdlePerServer is how many idle connections to keep to one server.
	maxIdlePerServer = 16

	// strikeLimit is how many servers a request may crash: the users' pages
	// allow three.
	strikeLimit    = 3
	strikeExpiry   = 5 * time.Minute
	strikeCapacity = 4096

	// queueLength is how many requests may wait for one pool.
	queueLength = 256
	// retryBudgetFraction is the part of the shared retry budget that is used, since
	// the number of entry instances that share it is known late.
	retryBudgetFraction = 0.85
)

// Settings are the constants of a Forwarder that come from outside.
type Settings struct {
	DataCentre string
	// FirstStart says that the system has never had a request.
	FirstStart bool
	// KeyTTL is the age of the configuration from which on no key counts.
	KeyTTL time.Duration
	// RetryRatio and RetrySlack bound the retries of all entry instances.
	RetryRatio float64
	RetrySlack float64
}

// Dependencies are what a Forwarder works with.
type Dependencies struct {
	Settings
	Observer *observer.Observer
	Codec    Codec
	Peers    Peers
	Tracer   trace.Tracer
	Scope    tally.Scope
}

// Forwarder carries the requests of one entry instance.
type Forwarder struct {
	Dependencies
	// settings may be replaced while requests run.
	settings  atomic.Pointer[Settings]
	transport *http.Transport
	metrics   *metrics

	mu           sync.Mutex
	random       *rand.Rand
	tracker      *router.Tracker
	upstreams    map[string]*upstream
	peerLoads    *estimator.Book
	pools        map[poolKey]*pool
	demandMeters map[string]*estimator.Meter
	quarantine   *quarantiner.Quarantine
	budget       *retrier.Budget
	// refused says when a request of some content was last refused.
	recentRefusals     *simplelru.LRU[quarantiner.Fingerprint, time.Time]
	wake               chan struct{}
	lastTicketID       uint64
	activeRequests     int
	keepAlivesDisabled bool
	admittingStopped   bool
}

// New returns a forwarder without requests.
func New(d Dependencies) *Forwarder {
	refused, err := simplelru.NewLRU[quarantiner.Fingerprint, time.Time](recentRefusalsCapacity, nil)
	if err != nil {
		// The capacity is a positive constant.
		panic(err)
	}
	f := &Forwarder{
		Dependencies: d,
		transport: &http.Transport{
			DialContext:         dial,
			MaxIdleConnsPerHost: maxIdlePerServer,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
		metrics:        newMetrics(d.Scope),
		random:         rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		tracker:        router.NewTracker(),
		upstreams:      make(map[string]*upstream),
		peerLoads:      estimator.NewBook(),
		pools:          make(map[poolKey]*pool),
		demandMeters:   make(map[string]*estimator.Meter),
		quarantine:     quarantiner.New(strikeLimit, strikeExpiry, strikeCapacity),
		recentRefusals: refused,
		wake:           make(chan struct{}, 1),
		budget:         retrier.NewBudget(d.RetryRatio*retryBudgetFraction, d.RetrySlack*retryBudgetFraction),
	}
	f.Configure(d.Settings)
	return f
}

// Configure replaces the settings.
func (f *Forwarder) Configure(s Settings) {
	f.settings.Store(&s)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.budget.SetRatio(s.RetryRatio * retryBudgetFraction)
}

// Start begins the duty; it ends with ctx.
func (f *Forwarder) Start(ctx context.Context) { go f.loop(ctx) }

// DisableKeepAlives tells callers from now on to use other connections.
func (f *Forwarder) DisableKeepAlives() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.keepAlivesDisabled = true
}

// StopAdmitting refuses all new requests from now on.
func (f *Forwarder) StopAdmitting() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.admittingStopped = true
}

// ActiveRequests returns how many requests are in progress.
func (f *Forwarder) ActiveRequests() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.activeRequests
}

// AddStrikes takes in strikes from a peer.
func (f *Forwarder) AddStrikes(strikes []quarantiner.Strike) {
	now := clocker.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range strikes {
		f.quarantine.Strike(now, s)
	}
}

// loop looks after what runs and what waits.
func (f *Forwarder) loop(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-f.Observer.Changed():
		case <-f.wake:
			f.startQueuedInAllPools()
			continue
		}
		f.checkUpstreams(ctx)
		f.startQueuedInAllPools()
	}
}

func dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: userTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if err := setUserTimeout(conn); err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}

// limitSilence makes the kernel give up a connection whose peer acknowledges
// nothing.
func setUserTimeout(conn net.Conn) error {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return err
	}
	var set error
	err = raw.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return set
}

// poolKey names what one queue stands before.
type poolKey struct {
	service string
	model   string
}

// pool is the queue before the servers of one service and model.
type pool struct {
	queue   *limiter.Queue
	waiting map[uint64]chan *Refusal
}
