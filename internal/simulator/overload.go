package simulator

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/limiter"
)

// Constants of the overload experiment.
const (
	overloadEntries = 9
	// slotsPerEntry is how many requests one entry runs at once.
	slotsPerEntry = 12
	// Range of the time that one request runs.
	minService = 500 * time.Millisecond
	maxService = 1500 * time.Millisecond
	// overloadCapacity is what all entries can run a second.
	overloadCapacity = overloadEntries * slotsPerEntry
	overloadDeadline = 4 * time.Second
	overloadTime     = 2 * time.Minute
	overloadQueue    = 64
	// smallOrganisations send a fixed part of the capacity in total, and one
	// large organisation sends the rest of the load.
	smallOrganisations = 9
	smallShare         = 0.3
	// comeBackOnce is how often a refused caller comes back.
	comeBackOnce = 1
)

// OverloadResult is what came of one load.
type OverloadResult struct {
	// Load is the offered load as a multiple of the capacity.
	Load float64 `json:"load"`
	// Limited says whether the queue's limits were on.
	Limited bool `json:"limited"`
	// Goodput is the answers within their deadline a second, as a share of the
	// capacity.
	Goodput float64 `json:"goodput"`
	// SmallServed and LargeServed are the shares of the requests of the small
	// and of the large organisations that were answered in time.
	SmallServed float64 `json:"small_served"`
	LargeServed float64 `json:"large_served"`
	// Refused is the share of the requests that were refused in the end.
	Refused float64 `json:"refused"`
	// MaxRefusalLatency is the longest time from the sending of a request to its
	// refusal.
	MaxRefusalLatency time.Duration `json:"longest_refusal_ns"`
}

// overload is one run under way.
type overload struct {
	timeline
	limited bool
	load    float64
	random  *rand.Rand
	epoch   time.Time
	entries []*gate
	result  OverloadResult
	sent    [2]int
	served  [2]int
	refused int
}

// gate is one entry instance with its queue.
type gate struct {
	queue   *limiter.Queue
	fifo    []*call
	running int
	waiting map[uint64]*call
}

// call is one request.
type call struct {
	id           uint64
	organisation int
	began        time.Duration
	// offered is when it was last sent.
	offered   time.Duration
	comeBacks int
}

// small reports whether the call is of a small organisation.
func (c *call) small() int {
	if c.organisation > 0 {
		return 1
	}
	return 0
}

// SimulateOverload offers a multiple of the capacity, with the limits of package
// limiter or with a plain unbounded queue.
func SimulateOverload(load float64, limited bool, seed uint64) OverloadResult {
	o := &overload{limited: limited, load: load, random: rand.New(rand.NewPCG(seed, 3)), epoch: time.Unix(0, 0)}
	for range overloadEntries {
		o.entries = append(o.entries, &gate{queue: limiter.NewQueue(overloadQueue), waiting: make(map[uint64]*call)})
	}
	o.at(0, o.arrive)
	o.play()
	total := float64(o.sent[0] + o.sent[1])
	o.result.Load, o.result.Limited = load, limited
	o.result.Goodput = float64(o.served[0]+o.served[1]) / overloadTime.Seconds() / overloadCapacity
	o.result.LargeServed = float64(o.served[0]) / float64(max(1, o.sent[0]))
	o.result.SmallServed = float64(o.served[1]) / float64(max(1, o.sent[1]))
	o.result.Refused = float64(o.refused) / total
	return o.result
}

func (o *overload) arrive(now time.Duration) {
	if now >= overloadTime {
		return
	}
	c := &call{id: uint64(o.order), began: now}
	if o.random.Float64() < smallShare/o.load {
		c.organisation = 1 + o.random.IntN(smallOrganisations)
	}
	o.sent[c.small()]++
	o.offer(now, c)
	rate := o.load * overloadCapacity
	o.at(now+time.Duration(o.random.ExpFloat64()/rate*float64(time.Second)), o.arrive)
}

// offer sends a call to any entry instance.
func (o *overload) offer(now time.Duration, c *call) {
	c.offered = now
	g := o.entries[o.random.IntN(len(o.entries))]
	free := slotsPerEntry - g.running
	if !o.limited {
		g.fifo = append(g.fifo, c)
		o.pump(now, g)
		return
	}
	d := g.queue.Offer(o.epoch.Add(now), limiter.Ticket{
		ID:           c.id,
		Organisation: strconv.Itoa(c.organisation),
		Deadline:     o.epoch.Add(c.began + overloadDeadline),
	}, free)
	if d.Evicted != nil {
		o.refuse(now, g.waiting[d.Evicted.ID], d.RetryAfter)
		delete(g.waiting, d.Evicted.ID)
	}
	switch d.Verdict {
	case limiter.Admitted:
		o.start(now, g, c)
	case limiter.Queued:
		g.waiting[c.id] = c
	default:
		o.refuse(now, c, d.RetryAfter)
	}
}

// refuse lets the caller come back when it was told, or give up.
func (o *overload) refuse(now time.Duration, c *call, retryAfter time.Duration) {
	o.result.MaxRefusalLatency = max(o.result.MaxRefusalLatency, now-c.offered)
	if c.comeBacks >= comeBackOnce || now+retryAfter >= c.began+overloadDeadline {
		o.refused++
		return
	}
	c.comeBacks++
	o.at(now+retryAfter, func(later time.Duration) { o.offer(later, c) })
}

func (o *overload) start(now time.Duration, g *gate, c *call) {
	g.running++
	service := minService + time.Duration(o.random.Int64N(int64(maxService-minService)))
	o.at(now+service, func(done time.Duration) {
		g.running--
		g.queue.RecordDuration(service)
		if done <= c.began+overloadDeadline && done <= overloadTime {
			o.served[c.small()]++
		}
		o.pump(done, g)
	})
}

// pump starts what waits.
func (o *overload) pump(now time.Duration, g *gate) {
	free := slotsPerEntry - g.running
	if !o.limited {
		for ; free > 0 && len(g.fifo) > 0; free-- {
			next := g.fifo[0]
			g.fifo = g.fifo[1:]
			o.start(now, g, next)
		}
		return
	}
	for _, t := range g.queue.Expire(o.epoch.Add(now)) {
		o.refuse(now, g.waiting[t.ID], g.queue.RetryAfter())
		delete(g.waiting, t.ID)
	}
	for _, t := range g.queue.Dequeue(o.epoch.Add(now), free) {
		o.start(now, g, g.waiting[t.ID])
		delete(g.waiting, t.ID)
	}
}
