// Package dispatcher admits requests, forwards each to a replica group or a
// plain service, and returns the response. It connects the state machines of
// pkg/ (limiter, router, gatekeeper, retrier, quarantiner) to the network.
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
// Errors are of type [Error], which says what to tell the caller.
package dispatcher

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"go.opentelemetry.io/otel/trace"

	"github.com/waxwingmount/waxwingmount/internal/partitioner"
	"github.com/waxwingmount/waxwingmount/pkg/bounder"
	"github.com/waxwingmount/waxwingmount/pkg/configurer"
	"github.com/waxwingmount/waxwingmount/pkg/gatekeeper"
	"github.com/waxwingmount/waxwingmount/pkg/grouper"
	"github.com/waxwingmount/waxwingmount/pkg/limiter"
	"github.com/waxwingmount/waxwingmount/pkg/quarantiner"
	"github.com/waxwingmount/waxwingmount/pkg/responsechecker"
	"github.com/waxwingmount/waxwingmount/pkg/retrier"
	"github.com/waxwingmount/waxwingmount/pkg/router"
)

// Configs provides the configuration in force and the replica groups.
type Configs interface {
	Config() *configurer.Config
	Groups() *grouper.Snapshot
}

// Gates decides which replica groups may be sent a request.
type Gates interface {
	// Check returns whether the group may be sent a request now.
	Check(group grouper.Group) gatekeeper.Verdict
	// Evidence returns the newest evidence for an instance.
	Evidence(instance string) (gatekeeper.Evidence, bool)
	// Changed receives a value when new evidence has arrived.
	Changed() <-chan struct{}
	// Suspect stops requests to groups with this instance until a new probe of
	// it succeeds.
	Suspect(instance string, address netip.AddrPort)
}

// Broadcaster sends strikes (crashes of a backend server under a request) to
// the other entry instances and returns the strikes that they know of the same
// requests.
type Broadcaster interface {
	Broadcast(ctx context.Context, strikes []quarantiner.Strike) []quarantiner.Strike
}

// StrikeExpiry is how long the crash of a backend server counts against the request that it
// ran.
const StrikeExpiry = time.Hour

const (
	// attemptCheckInterval is the longest time between two checks of the
	// running attempts and the queues.
	attemptCheckInterval = 50 * time.Millisecond
	dialTimeout          = 500 * time.Millisecond
	// noIdleConns makes a transport close each connection after one response. A backend
	// server may send a second copy of a response later; on a connection that is in use again,
	// nothing tells it from the response to the next request.
	noIdleConns = -1

	// A request with strikeLimit strikes is refused until [StrikeExpiry] has
	// passed since the last one. Up to strikeCapacity requests are tracked.
	strikeLimit    = 2
	strikeCapacity = 10_000

	// retryReserve is the number of retries in a window that need no requests.
	retryReserve = 64
)

// Dispatcher forwards the requests of one entry instance. It is safe for
// concurrent use.
type Dispatcher struct {
	configs     Configs
	gates       Gates
	broadcaster Broadcaster
	claims      Claims
	tracer      trace.Tracer
	transport   *responsechecker.Transport

	mu         sync.Mutex
	random     *rand.Rand
	tracker    *router.LoadTracker
	policies   map[string]router.Policy
	queues     map[string]*limiter.Queue
	rates      map[string]*rateLimit
	quarantine *quarantiner.Quarantine
	budget     *retrier.Budget
	// responses is the memory that the responses in progress may take together.
	responses *bounder.Budget
	// monitors holds the running attempts at replica groups.
	monitors map[*attemptMonitor]struct{}
	// waiters holds the queued requests by ticket.
	waiters      map[uint64]chan admissionResult
	lastTicketID uint64
	// activeRequests counts the requests that are queued or running.
	activeRequests int
	// admittingStopped says that no new requests are admitted.
	admittingStopped bool
}

// Dependencies are the collaborators of a Dispatcher.
type Dependencies struct {
	Configs     Configs
	Gates       Gates
	Broadcaster Broadcaster
	Claims      Claims
	Tracer      trace.Tracer
	// Seed seeds the random choices of the routing policies.
	Seed uint64
	// ResponseMemory is the memory that the responses in progress may take together; nil means
	// the default of package partitioner.
	ResponseMemory *bounder.Part
}

// New returns a dispatcher; [Dispatcher.Start] starts its background work.
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
		quarantine:  quarantiner.New(strikeLimit, StrikeExpiry, strikeCapacity),
		budget:      retrier.NewBudget(retrier.Limits{Reserve: retryReserve}, time.Time{}),
		responses:   newResponseBudget(d.ResponseMemory),
		monitors:    make(map[*attemptMonitor]struct{}),
		waiters:     make(map[uint64]chan admissionResult),
	}
}

// newResponseBudget returns the memory for the responses in progress.
func newResponseBudget(part *bounder.Part) *bounder.Budget {
	if part == nil {
		return bounder.NewBudget(partitioner.DefaultResponses)
	}
	return bounder.NewBudgetOf(part)
}

// Start checks running attempts and queues in the background until ctx ends.
func (d *Dispatcher) Start(ctx context.Context) { go d.run(ctx) }

// StopAdmitting makes the dispatcher refuse all new requests from now on.
func (d *Dispatcher) StopAdmitting() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.admittingStopped = true
}

// ActiveRequests returns the number of requests that are queued or running.
func (d *Dispatcher) ActiveRequests() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.activeRequests
}

// AddStrikes records strikes from a peer and returns all known strikes of the
// same requests.
func (d *Dispatcher) AddStrikes(strikes []quarantiner.Strike) []quarantiner.Strike {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	var known []quarantiner.Strike
	for _, s := range strikes {
		d.quarantine.RecordStrike(now, s)
		known = append(known, d.quarantine.Strikes(now, s.Fingerprint)...)
	}
	return known
}

// Strikes returns all known strikes, for a peer that has just started.
func (d *Dispatcher) Strikes() []quarantiner.Strike {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.quarantine.AllStrikes(time.Now())
}

// run checks the running attempts and admits queued requests, at intervals and
// whenever new evidence arrives.
func (d *Dispatcher) run(ctx context.Context) {
	ticker := time.NewTicker(attemptCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-d.gates.Changed():
		}
		d.cancelFailingAttempts(time.Now())
		d.admitAllQueued(time.Now())
	}
}

// maxHeaderBytes bounds the header of a response.
const maxHeaderBytes = 64 << 10

func newTransport() *responsechecker.Transport {
	return responsechecker.Wrap(&http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: noIdleConns,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeaderBytes,
	})
}

// backend is one destination for a request.
type backend struct {
	// name is the ID of the group, or the name and address of the service.
	name string
	// site identifies the backend in strikes; for a group it includes the
	// fence, so that a group with a new fence counts as another site.
	site    string
	address netip.AddrPort
	// group is set for replica groups.
	group *grouper.Group
}
