// Package dispatcher takes requests on and carries each to a replica group or
// a plain service and back. It wires the decision machines of pkg/ (limiter,
// router, gatekeeper, retrier, quarantiner) to connections.
//
// # Usage
//
//	stream, err := d.Open(ctx, request)
//	defer stream.Close()
//	for {
//		event, err := stream.Next()
//		...
//	}
//
// An error is an [Error] that says what the caller is to be told.
package dispatcher

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"go.opentelemetry.io/otel/trace"

	"github.com/waxwingmount/waxwingmount/pkg/configurer"
	"github.com/waxwingmount/waxwingmount/pkg/gatekeeper"
	"github.com/waxwingmount/waxwingmount/pkg/grouper"
	"github.com/waxwingmount/waxwingmount/pkg/limiter"
	"github.com/waxwingmount/waxwingmount/pkg/quarantiner"
	"github.com/waxwingmount/waxwingmount/pkg/retrier"
	"github.com/waxwingmount/waxwingmount/pkg/router"
)

// Configs gives the configuration in force and the groups.
type Configs interface {
	Config() *configurer.Config
	Groups() *grouper.Snapshot
}

// Gates says which groups may be sent a request.
type Gates interface {
	Check(group grouper.Group) gatekeeper.Verdict
	Evidence(instance string) (gatekeeper.Evidence, bool)
	Changed() <-chan struct{}
	// Doubt closes the gates of groups with this instance until it is seen anew.
	Doubt(instance string, address netip.AddrPort)
}

// Broadcaster tells peers of strikes and returns what they know of them.
type Broadcaster interface {
	Broadcast(ctx context.Context, strikes []quarantiner.Strike) []quarantiner.Strike
}

const (
	// sweepInterval is the longest time between two looks at what runs.
	sweepInterval = 50 * time.Millisecond
	dialTimeout   = 500 * time.Millisecond
	idleTimeout   = 30 * time.Second
	// idlePerBackend is how many idle connections to keep to one back end.
	idlePerBackend = 256

	strikeLimit    = 2
	strikeExpiry   = time.Hour
	strikeCapacity = 10_000

	// retryReserve is how many retries may be made at once.
	retryReserve = 64
)

// Dispatcher carries the requests of one entry instance.
type Dispatcher struct {
	configs     Configs
	gates       Gates
	broadcaster Broadcaster
	claims      Claims
	tracer      trace.Tracer
	transport   *http.Transport

	mu         sync.Mutex
	random     *rand.Rand
	tracker    *router.LoadTracker
	policies   map[string]router.Policy
	queues     map[string]*limiter.Queue
	rates      map[string]*rateLimit
	quarantine *quarantiner.Quarantine
	budget     *retrier.Budget
	flights    map[*flight]struct{}
	waiting    map[uint64]chan admission
	nextTicket uint64
	live       int
	leaving    bool
}

// Dependencies are what a Dispatcher works with.
type Dependencies struct {
	Configs     Configs
	Gates       Gates
	Broadcaster Broadcaster
	Claims      Claims
	Tracer      trace.Tracer
	// Seed starts the random numbers.
	Seed uint64
}

// New returns a dispatcher without requests.
func New(d Dependencies) *Dispatcher {
	return &Dispatcher{
		configs:     d.Configs,
		gates:       d.Gates,
		broadcaster: d.Broadcaster,
		claims:      d.Claims,
		tracer:      d.Tracer,
		transport:   newTransport(),
		random:      rand.New(rand.NewPCG(d.Seed, 0)),
		tracker:     router.NewLoadTracker(),
		policies:    make(map[string]router.Policy),
		queues:      make(map[string]*limiter.Queue),
		rates:       make(map[string]*rateLimit),
		quarantine:  quarantiner.New(strikeLimit, strikeExpiry, strikeCapacity),
		budget:      retrier.NewBudget(0, retryReserve),
		flights:     make(map[*flight]struct{}),
		waiting:     make(map[uint64]chan admission),
	}
}

// Start begins the duty; it ends with ctx.
func (d *Dispatcher) Start(ctx context.Context) { go d.loop(ctx) }

// Leave refuses all new requests from now on.
func (d *Dispatcher) Leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaving = true
}

// Live returns how many requests are in progress.
func (d *Dispatcher) Live() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.live
}

// Strike takes in strikes from a peer and returns what is known of the same
// requests.
func (d *Dispatcher) Strike(strikes []quarantiner.Strike) []quarantiner.Strike {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	var known []quarantiner.Strike
	for _, s := range strikes {
		d.quarantine.Strike(now, s)
		known = append(known, d.quarantine.Strikes(now, s.Fingerprint)...)
	}
	return known
}

// Strikes returns all strikes that are known, for a new peer.
func (d *Dispatcher) Strikes() []quarantiner.Strike {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.quarantine.All(time.Now())
}

// loop looks after what runs and what waits.
func (d *Dispatcher) loop(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-d.gates.Changed():
		}
		d.sweep(time.Now())
		d.pumpAll(time.Now())
	}
}

func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: idlePerBackend,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// backend is one place to which a request can be sent.
type backend struct {
	// name is the group or the service's address.
	name    string
	site    string
	address netip.AddrPort
	// group is set for replica groups.
	group *grouper.Group
}
