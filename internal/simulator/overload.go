package simulator

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/limiter"
)

// Parameters of the overload simulation.
const (
	overloadEntryCount = 9
	// slotsPerEntry is the number of requests that an entry instance runs
	// concurrently.
	slotsPerEntry = 12
	// Range of the service time of a request.
	minServiceTime = 500 * time.Millisecond
	maxServiceTime = 1500 * time.Millisecond
	// overloadCapacity is the capacity of all entry instances in requests per
	// second, as the mean service time is one second.
	overloadCapacity      = overloadEntryCount * slotsPerEntry
	overloadDeadline      = 4 * time.Second
	overloadDuration      = 2 * time.Minute
	overloadQueueCapacity = 64
	// The small organisations together send the fraction
	// smallOrganisationsShare of the capacity; one large organisation sends the
	// rest of the load.
	smallOrganisations      = 9
	smallOrganisationsShare = 0.3
	// maxRetries is the number of times that a refused request is sent again.
	maxRetries = 1
)

// OverloadResult holds the measurements at one offered load.
type OverloadResult struct {
	// Load is the offered load as a multiple of the capacity.
	Load float64 `json:"load"`
	// Limited reports whether the limits of package limiter were applied.
	Limited bool `json:"limited"`
	// Goodput is the rate of requests completed within their deadline, as a
	// fraction of the capacity.
	Goodput float64 `json:"goodput"`
	// SmallServed and LargeServed are the fractions of the requests of the small
	// organisations and of the large one that completed within their deadline.
	SmallServed float64 `json:"small_served"`
	LargeServed float64 `json:"large_served"`
	// Refused is the fraction of the requests whose final outcome was a refusal.
	Refused float64 `json:"refused"`
	// MaxRefusalLatency is the longest time from sending a request to its
	// refusal.
	MaxRefusalLatency time.Duration `json:"longest_refusal_ns"`
}

// overloadSimulation is the state of a running simulation.
type overloadSimulation struct {
	eventLoop
	limited   bool
	load      float64
	random    *rand.Rand
	startTime time.Time
	entries   []*overloadEntry
	result    OverloadResult
	// sent and served count requests by sizeClass.
	sent    [2]int
	served  [2]int
	refused int
}

// overloadEntry is an entry instance with its queue: queue and queued with the
// limits, fifo without.
type overloadEntry struct {
	queue   *limiter.Queue
	fifo    []*overloadRequest
	running int
	queued  map[uint64]*overloadRequest
}

// overloadRequest is a simulated request.
type overloadRequest struct {
	id           uint64
	organisation int
	firstSentAt  time.Duration
	// lastSentAt is the time of the latest attempt.
	lastSentAt time.Duration
	retries    int
}

// sizeClass returns 1 for a request of a small organisation and 0 for one of the
// large organisation.
func (q *overloadRequest) sizeClass() int {
	if q.organisation > 0 {
		return 1
	}
	return 0
}

// SimulateOverload offers load times the capacity, with the limits of package
// limiter or with an unbounded FIFO queue.
func SimulateOverload(load float64, limited bool, seed uint64) OverloadResult {
	o := &overloadSimulation{limited: limited, load: load, random: rand.New(rand.NewPCG(seed, 3)), startTime: time.Unix(0, 0)}
	for range overloadEntryCount {
		o.entries = append(o.entries, &overloadEntry{queue: limiter.NewQueue(overloadQueueCapacity), queued: make(map[uint64]*overloadRequest)})
	}
	o.schedule(0, o.handleArrival)
	o.runAll()
	total := float64(o.sent[0] + o.sent[1])
	o.result.Load, o.result.Limited = load, limited
	o.result.Goodput = float64(o.served[0]+o.served[1]) / overloadDuration.Seconds() / overloadCapacity
	o.result.LargeServed = float64(o.served[0]) / float64(max(1, o.sent[0]))
	o.result.SmallServed = float64(o.served[1]) / float64(max(1, o.sent[1]))
	o.result.Refused = float64(o.refused) / total
	return o.result
}

func (o *overloadSimulation) handleArrival(now time.Duration) {
	if now >= overloadDuration {
		return
	}
	q := &overloadRequest{id: uint64(o.lastSequence), firstSentAt: now}
	if o.random.Float64() < smallOrganisationsShare/o.load {
		q.organisation = 1 + o.random.IntN(smallOrganisations)
	}
	o.sent[q.sizeClass()]++
	o.submit(now, q)
	rate := o.load * overloadCapacity
	o.schedule(now+time.Duration(o.random.ExpFloat64()/rate*float64(time.Second)), o.handleArrival)
}

// submit sends a request to a random entry instance.
func (o *overloadSimulation) submit(now time.Duration, q *overloadRequest) {
	q.lastSentAt = now
	e := o.entries[o.random.IntN(len(o.entries))]
	freeSlots := slotsPerEntry - e.running
	if !o.limited {
		e.fifo = append(e.fifo, q)
		o.startQueued(now, e)
		return
	}
	d := e.queue.Offer(o.startTime.Add(now), limiter.Ticket{
		ID:           q.id,
		Organisation: strconv.Itoa(q.organisation),
		Deadline:     o.startTime.Add(q.firstSentAt + overloadDeadline),
	}, freeSlots)
	if d.Evicted != nil {
		o.handleRefusal(now, e.queued[d.Evicted.ID], d.RetryAfter)
		delete(e.queued, d.Evicted.ID)
	}
	switch d.Verdict {
	case limiter.Admitted:
		o.startRequest(now, e, q)
	case limiter.Queued:
		e.queued[q.id] = q
	default:
		o.handleRefusal(now, q, d.RetryAfter)
	}
}

// handleRefusal retries the request after retryAfter, or gives it up if it has no
// retries left or its deadline would pass before the retry.
func (o *overloadSimulation) handleRefusal(now time.Duration, q *overloadRequest, retryAfter time.Duration) {
	o.result.MaxRefusalLatency = max(o.result.MaxRefusalLatency, now-q.lastSentAt)
	if q.retries >= maxRetries || now+retryAfter >= q.firstSentAt+overloadDeadline {
		o.refused++
		return
	}
	q.retries++
	o.schedule(now+retryAfter, func(later time.Duration) { o.submit(later, q) })
}

func (o *overloadSimulation) startRequest(now time.Duration, e *overloadEntry, q *overloadRequest) {
	e.running++
	serviceTime := minServiceTime + time.Duration(o.random.Int64N(int64(maxServiceTime-minServiceTime)))
	o.schedule(now+serviceTime, func(done time.Duration) {
		e.running--
		e.queue.RecordDuration(serviceTime)
		if done <= q.firstSentAt+overloadDeadline && done <= overloadDuration {
			o.served[q.sizeClass()]++
		}
		o.startQueued(done, e)
	})
}

// startQueued starts queued requests while slots are free, and refuses those that
// have expired.
func (o *overloadSimulation) startQueued(now time.Duration, e *overloadEntry) {
	freeSlots := slotsPerEntry - e.running
	if !o.limited {
		for ; freeSlots > 0 && len(e.fifo) > 0; freeSlots-- {
			next := e.fifo[0]
			e.fifo = e.fifo[1:]
			o.startRequest(now, e, next)
		}
		return
	}
	for _, t := range e.queue.Expire(o.startTime.Add(now)) {
		o.handleRefusal(now, e.queued[t.ID], e.queue.RetryAfter())
		delete(e.queued, t.ID)
	}
	for _, t := range e.queue.Dequeue(o.startTime.Add(now), freeSlots) {
		o.startRequest(now, e, e.queued[t.ID])
		delete(e.queued, t.ID)
	}
}
