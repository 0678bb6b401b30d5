// Package forwarder is a reverse proxy that sends requests to replica groups
// and plain servers. It reads only the headers of a request; the body and the
// response pass through unchanged. It connects the state machines of pkg/
// (mapper, tracker, limiter, router, retrier, quarantiner) to HTTP
// connections.
//
// # Usage
//
//	f := forwarder.New(forwarder.Dependencies{...})
//	f.Start(ctx)
//	http.Serve(listener, f.Handler())
//
// A request that has not run is refused with 503 and a Retry-After header. A
// request that may have run and must not run twice ends with 502 or 504. A
// broken stream resumes on another server after its last whole event if the
// route allows it; otherwise the connection is aborted, so that the caller sees
// that the response is incomplete.
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
	"golang.org/x/time/rate"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/internal/observer"
	"github.com/waxwingmount/waxwingmount/internal/partitioner"
	"github.com/waxwingmount/waxwingmount/internal/server"
	"github.com/waxwingmount/waxwingmount/pkg/bounder"
	"github.com/waxwingmount/waxwingmount/pkg/enumerator"
	"github.com/waxwingmount/waxwingmount/pkg/estimator"
	"github.com/waxwingmount/waxwingmount/pkg/limiter"
	"github.com/waxwingmount/waxwingmount/pkg/pathfinder"
	"github.com/waxwingmount/waxwingmount/pkg/permitter"
	"github.com/waxwingmount/waxwingmount/pkg/prefixer"
	"github.com/waxwingmount/waxwingmount/pkg/quarantiner"
	"github.com/waxwingmount/waxwingmount/pkg/responsechecker"
	"github.com/waxwingmount/waxwingmount/pkg/router"
	"github.com/waxwingmount/waxwingmount/pkg/screener"
	"github.com/waxwingmount/waxwingmount/pkg/warmer"
)

// Peers are the other entry instances, as far as request handling needs them.
type Peers interface {
	// Count returns how many entry instances serve requests, this one included.
	Count() int
	// BroadcastStrikes reports requests that crashed backend servers to all
	// peers.
	BroadcastStrikes(ctx context.Context, strikes []quarantiner.Strike)
	// BroadcastClearances reports parts of prompts that do not crash backend servers to
	// all peers.
	BroadcastClearances(ctx context.Context, clearances []quarantiner.Clearance)
	// RequestPermit sends a request for a permit to the server's permit owner.
	RequestPermit(ctx context.Context, request permitter.Request) (permitter.Reply, error)
	// DetourPeers returns the peers to which requests may be handed.
	DetourPeers() []DetourPeer
	// Entries returns the live entry instances, this one included.
	Entries() []enumerator.Entry
}

const (
	// checkInterval is the time between two checks of the requests in progress:
	// a third of the shortest silence that is acted upon.
	checkInterval = 50 * time.Millisecond
	dialTimeout   = 400 * time.Millisecond
	// serverBufferBytes is the size of the operating system's buffers of a connection to a
	// backend server. Without a bound it keeps megabytes of each response whose caller doesn't
	// read, and of each body that its server doesn't.
	serverBufferBytes = 64 << 10
	// userTimeout is how long sent bytes may stay unacknowledged before the
	// kernel closes a connection (TCP_USER_TIMEOUT).
	userTimeout = 3 * time.Second
	// noIdleConns makes a transport close each connection after one response, without asking
	// the server to do so. A server may send a second copy of a response seconds later; on a
	// connection that is in use again, nothing tells it from the response to the next request.
	// The price is a round trip for each request (docs/CAPACITY.md).
	noIdleConns = -1

	// strikeLimit is how many servers a request may crash before it is refused:
	// the users' documentation allows three.
	strikeLimit    = 3
	strikeCapacity = 4096

	// maxResponseHeaderBytes bounds the header of a server's response.
	maxResponseHeaderBytes = 64 << 10

	// queueLength is how many requests may wait for one pool.
	queueLength = 256
)

// StrikeExpiry is how long the crash of a backend server counts against the request that it
// ran.
const StrikeExpiry = 5 * time.Minute

// Settings are the configurable values of a Forwarder.
type Settings struct {
	DataCentre string
	// FirstStart says that the whole system starts for the first time.
	FirstStart bool
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
	// RetryRatio and RetrySlack bound the retries of all entry instances together, for each
	// service: in any RetryWindow, the ratio of the requests for it and the slack beside them.
	// RetryWindow can't be changed by Configure.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// WarmUpOverage and WarmUpSlack bound the requests that a cold backend server may get
	// in any one second: its rate times the overage plus the slack.
	WarmUpOverage float64
	WarmUpSlack   float64
	// FewestEntries is the least number of entry instances that there are, whether they are
	// live or not.
	FewestEntries int
	// MemoryBytes is the memory of the process, or zero if it is not known. It can't be
	// changed by Configure.
	MemoryBytes int64
}

// Dependencies are the collaborators of a Forwarder.
type Dependencies struct {
	Settings
	// Entry names this entry instance.
	Entry    string
	Observer *observer.Observer
	Codec    Codec
	Peers    Peers
	// Detours hands requests to peers. It may be nil; then no request goes by a peer.
	Detours Detours
	Tracer  trace.Tracer
	Scope   tally.Scope
	// ResponseMemory is the memory that the responses in progress may take together. If it is
	// nil, they have the part of a process with MemoryBytes to themselves.
	ResponseMemory *bounder.Part
}

// Forwarder sends the requests that reach one entry instance to backend
// servers.
type Forwarder struct {
	Dependencies
	// settings may be replaced while requests are in progress.
	settings  atomic.Pointer[Settings]
	transport *http.Transport
	metrics   *metrics
	permits   *permits
	// bodyRefusalLines bounds the log lines about bodies that are refused.
	bodyRefusalLines *rate.Limiter
	// responses is the memory that the responses in progress may take together.
	responses *bounder.Budget
	// Works holds the work in progress, by the name of the upstream that runs it, and Pools
	// what is known of the requests to each pool.
	Works *Reports[estimator.Work]
	Pools *Reports[estimator.PoolReport]

	mu           sync.Mutex
	random       *rand.Rand
	tracker      *router.LoadTracker
	screener     *screener.Screener
	warmUps      warmUps
	prefixes     *prefixer.Prefixer
	upstreams    map[string]*upstream
	pools        map[poolKey]*pool
	quarantine   *quarantiner.Quarantine
	parts        *quarantiner.PartQuarantine
	retryBudgets retryBudgets
	detourPeers  *pathfinder.Peers
	// recentRefusals holds the time at which a request with the same content
	// was last refused.
	recentRefusals *simplelru.LRU[quarantiner.Fingerprint, time.Time]
	wake           chan struct{}
	// ending is the context of all requests, which endRequests ends.
	ending             context.Context
	endRequests        context.CancelFunc
	lastTicketID       uint64
	activeRequests     int
	keepAlivesDisabled bool
	admittingStopped   bool
	startingStopped    bool
}

// New returns a forwarder that has no requests. Call Start to run it.
func New(d Dependencies) *Forwarder {
	recentRefusals, err := simplelru.NewLRU[quarantiner.Fingerprint, time.Time](recentRefusalsCapacity, nil)
	if err != nil {
		// The only possible error is a capacity that is not positive.
		panic(err)
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	f := &Forwarder{
		Dependencies: d,
		transport: &http.Transport{
			DialContext:         dial,
			MaxIdleConnsPerHost: noIdleConns,
			DisableCompression:  true,

			MaxResponseHeaderBytes: maxResponseHeaderBytes,
		},
		metrics:          newMetrics(d.Scope),
		permits:          newPermits(d.Scope),
		responses:        newResponseBudget(d),
		bodyRefusalLines: rate.NewLimiter(bodyRefusalLinesPerSecond, bodyRefusalLinesPerSecond),
		screener:         screener.New(),
		warmUps:          warmUps{warmer: warmer.New(clocker.Now(), d.Entry)},
		prefixes:         prefixer.New(),
		random:           random,
		detourPeers:      pathfinder.NewPeers(random),
		tracker:          router.NewLoadTracker(),
		upstreams:        make(map[string]*upstream),
		pools:            make(map[poolKey]*pool),
		quarantine:       quarantiner.New(strikeLimit, StrikeExpiry, strikeCapacity),
		parts:            quarantiner.NewPartQuarantine(partLimits),
		recentRefusals:   recentRefusals,
		wake:             make(chan struct{}, 1),
		retryBudgets:     newRetryBudgets(clocker.Now(), d.Entry, d.Settings),
	}
	f.Works = &Reports[estimator.Work]{mu: &f.mu, table: estimator.NewReportTable[estimator.Work](), local: f.localWork}
	f.Pools = &Reports[estimator.PoolReport]{mu: &f.mu, table: estimator.NewReportTable[estimator.PoolReport](), local: f.localPools}
	f.ending, f.endRequests = context.WithCancel(context.Background())
	f.Configure(d.Settings)
	return f
}

// newResponseBudget returns the memory for the responses in progress.
func newResponseBudget(d Dependencies) *bounder.Budget {
	if d.ResponseMemory != nil {
		return bounder.NewBudgetOf(d.ResponseMemory)
	}
	return bounder.NewBudget(partitioner.Divide(partitioner.Resources{MemoryBytes: d.MemoryBytes}).Responses.Limit)
}

// Configure replaces the settings.
func (f *Forwarder) Configure(s Settings) {
	f.settings.Store(&s)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retryBudgets.configure(&s)
}

// Start starts the background loop, which runs until ctx ends.
func (f *Forwarder) Start(ctx context.Context) { go f.loop(ctx) }

// DisableKeepAlives closes each caller's connection after its next response, so
// that callers move to other connections.
func (f *Forwarder) DisableKeepAlives() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.keepAlivesDisabled = true
}

// StopAdmitting makes the forwarder refuse all new requests.
func (f *Forwarder) StopAdmitting() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.admittingStopped = true
}

// StopStarting refuses the requests that wait to be sent. Those that are sent now may not end
// before the process does, while another entry instance can serve them.
func (f *Forwarder) StopStarting() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.admittingStopped, f.startingStopped = true, true
	for _, p := range f.pools {
		for ticket := range p.waiting {
			p.queue.Cancel(ticket)
			p.notify(ticket, shuttingDown("admit"))
		}
	}
}

// EndRequests ends all requests, so that their callers and the peers that handed them over are
// told what is known of them before the process ends.
func (f *Forwarder) EndRequests() {
	f.StopAdmitting()
	f.endRequests()
}

// ActiveRequests returns how many requests are in progress.
func (f *Forwarder) ActiveRequests() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.activeRequests
}

// countActive adds to the number of requests in progress.
func (f *Forwarder) countActive(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.activeRequests += n
}

// AwaitIdle waits until no request is in progress, or ctx ends.
func (f *Forwarder) AwaitIdle(ctx context.Context) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for f.ActiveRequests() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// wakeQueues makes loop start queued requests and send requests for permits.
func (f *Forwarder) wakeQueues() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// loop checks the upstreams of the requests in progress and starts queued
// requests.
func (f *Forwarder) loop(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-f.Observer.Changed():
			f.updateWarmUps()
		case <-f.wake:
			f.requestPermits(ctx)
			f.startQueuedInAllPools()
			continue
		}
		f.requestPermits(ctx)
		f.judgeParts(ctx)
		f.updateWarmUpEntries()
		f.updateRetryBudgets()
		f.checkUpstreams(ctx)
		f.startQueuedInAllPools()
	}
}

func dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: userTimeout, Control: server.BoundBuffers(serverBufferBytes)}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if err := setUserTimeout(conn); err != nil {
		conn.Close()
		return nil, err
	}
	return &checkedConn{Conn: responsechecker.NewConn(conn)}, nil
}

// setUserTimeout makes the kernel close a connection whose peer acknowledges
// nothing for userTimeout.
func setUserTimeout(conn net.Conn) error {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return err
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}

// poolKey identifies a pool: the servers of one service and model.
type poolKey struct {
	service string
	model   string
}

// String returns the name of the pool.
func (k poolKey) String() string { return k.service + "/" + k.model }

// pool is the queue for the servers of one service and model.
type pool struct {
	queue    *limiter.Queue
	waiting  map[uint64]waiter
	workload estimator.Workload
	// meter counts the requests that arrived here.
	meter *estimator.PoolMeter
	// usedAt is when the pool was last looked up.
	usedAt time.Time
}

// waiter is a queued request.
type waiter struct {
	// result receives nil when the request is admitted.
	result chan *Refusal
	parts  []quarantiner.Part
}
