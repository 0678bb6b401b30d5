// Package simulator runs the routing policies and the admission queue in virtual
// time; the same seed gives the same result. The routing policies choose between
// simulated engines, whose model covers only what routing depends on: prefill,
// batching, prefix caches of limited size and delayed load reports. The package
// also measures the cost of the gossip protocol between members in one process.
//
// # Usage
//
//	result, err := simulator.SimulateRouting(simulator.Scenarios[0], "prefix_affinity", 1)
package simulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/waxwingmount/waxwingmount/pkg/router"
)

// Scenario describes a load and a disturbance.
type Scenario struct {
	Name string
	// Rate is the mean request rate over the day, in requests per second.
	Rate float64
	// TrafficSurge multiplies the rate by surgeRateFactor during the disturbance,
	// with at least half of the requests from one organisation.
	TrafficSurge bool
	// Straggler slows one group down by stragglerSlowdown during the disturbance.
	Straggler bool
	// GroupLoss makes one group unavailable during the disturbance.
	GroupLoss bool
}

// Scenarios are the scenarios under which the policies are compared.
var Scenarios = []Scenario{
	{Name: "ordinary_day", Rate: 20},
	{Name: "surge", Rate: 16, TrafficSurge: true},
	{Name: "straggler", Rate: 18, Straggler: true},
	{Name: "group_lost", Rate: 18, GroupLoss: true},
}

// Parameters of the routing simulation.
const (
	entryCount = 9
	groupCount = 11
	// dayLength is the virtual time into which the load curve of a day is
	// compressed.
	dayLength = 10 * time.Minute
	// disturbanceStart and disturbanceEnd bound the disturbance of a scenario.
	disturbanceStart = 4 * time.Minute
	disturbanceEnd   = 6 * time.Minute
	// Requests that arrive within warmUpTime are not measured.
	warmUpTime = 30 * time.Second
	// reportInterval is the time between two load reports, and their delay.
	reportInterval    = time.Second
	stragglerSlowdown = 3
	surgeRateFactor   = 1.6
)

// RoutingResult holds the measurements of one simulation.
type RoutingResult struct {
	Scenario      string  `json:"scenario"`
	Policy        string  `json:"policy"`
	Seed          uint64  `json:"seed"`
	Requests      int     `json:"requests"`
	CacheHitRatio float64 `json:"hit_ratio"`
	// Time to first token of the urgent class and of the other requests, and time
	// between two tokens, in milliseconds.
	UrgentFirstTokenP50 int64 `json:"urgent_p50_ms"`
	UrgentFirstTokenP95 int64 `json:"urgent_p95_ms"`
	OtherFirstTokenP95  int64 `json:"other_p95_ms"`
	TokenGapP95         int64 `json:"gap_p95_ms"`
}

// entry is an entry instance with its own policy and load tracker.
type entry struct {
	policy  router.Policy
	tracker *router.LoadTracker
}

// routingSimulation is the state of a running simulation.
type routingSimulation struct {
	eventLoop
	scenario  Scenario
	random    *rand.Rand
	workload  *workload
	engines   []*engine
	entries   []*entry
	startTime time.Time

	measuredRequests, promptBlocks, cachedBlocks int
	urgentFirstToken, otherFirstToken, tokenGaps *hdrhistogram.Histogram
}

// SimulateRouting runs a scenario under the named policy. It returns an error if
// the policy does not exist.
func SimulateRouting(s Scenario, policy string, seed uint64) (RoutingResult, error) {
	factory, err := router.Policies.Lookup(policy)
	if err != nil {
		return RoutingResult{}, err
	}
	random := rand.New(rand.NewPCG(seed, 1))
	r := &routingSimulation{scenario: s, random: random, workload: newWorkload(rand.New(rand.NewPCG(seed, 2))), startTime: time.Unix(0, 0)}
	r.urgentFirstToken, r.otherFirstToken, r.tokenGaps = newHistogram(), newHistogram(), newHistogram()
	for i := range groupCount {
		r.engines = append(r.engines, newEngine(fmt.Sprintf("group-%02d", i)))
	}
	for range entryCount {
		r.entries = append(r.entries, &entry{policy: factory(), tracker: router.NewLoadTracker()})
	}
	r.schedule(0, r.handleArrival)
	r.schedule(reportInterval, r.reportLoads)
	r.schedule(disturbanceStart, func(time.Duration) { r.setDisturbance(true) })
	r.schedule(disturbanceEnd, func(time.Duration) { r.setDisturbance(false) })
	r.runAll()
	return r.result(policy, seed), nil
}

// newHistogram returns a histogram of durations from 1 ms to 10 minutes.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 600_000, 3) }

func (r *routingSimulation) result(policy string, seed uint64) RoutingResult {
	return RoutingResult{
		Scenario:            r.scenario.Name,
		Policy:              policy,
		Seed:                seed,
		Requests:            r.measuredRequests,
		CacheHitRatio:       float64(r.cachedBlocks) / float64(max(1, r.promptBlocks)),
		UrgentFirstTokenP50: r.urgentFirstToken.ValueAtQuantile(50),
		UrgentFirstTokenP95: r.urgentFirstToken.ValueAtQuantile(95),
		OtherFirstTokenP95:  r.otherFirstToken.ValueAtQuantile(95),
		TokenGapP95:         r.tokenGaps.ValueAtQuantile(95),
	}
}

func (r *routingSimulation) inDisturbance(now time.Duration) bool {
	return now >= disturbanceStart && now < disturbanceEnd
}

// setDisturbance starts or ends the disturbance of one group by the scenario.
func (r *routingSimulation) setDisturbance(active bool) {
	affected := r.engines[0]
	if r.scenario.Straggler {
		affected.slowdown = 1
		if active {
			affected.slowdown = stragglerSlowdown
		}
	}
	if r.scenario.GroupLoss {
		affected.unavailable = active
	}
}

// handleArrival generates and routes a request, and schedules the next arrival.
func (r *routingSimulation) handleArrival(now time.Duration) {
	if now >= dayLength {
		return
	}
	rate := rateAt(now, dayLength, r.scenario.Rate)
	surge := r.scenario.TrafficSurge && r.inDisturbance(now)
	if surge {
		rate *= surgeRateFactor
	}
	r.routeRequest(now, r.workload.next(now, surge))
	r.schedule(now+time.Duration(r.random.ExpFloat64()/rate*float64(time.Second)), r.handleArrival)
}

// routeRequest lets a random entry instance pick the group and schedules the
// prefill there.
func (r *routingSimulation) routeRequest(now time.Duration, q *request) {
	q.entry = r.entries[r.random.IntN(len(r.entries))]
	var candidates []router.Candidate
	for _, e := range r.engines {
		if !e.unavailable {
			candidates = append(candidates, router.Candidate{Group: e.name, Load: q.entry.tracker.Load(e.name)})
		}
	}
	candidates = q.entry.tracker.FilterEjected(r.startTime.Add(now), candidates)
	picked := candidates[q.entry.policy.Pick(router.Request{Prefixes: q.blocks}, candidates, r.random)]
	for _, e := range r.engines {
		if e.name == picked.Group {
			q.group = e
		}
	}
	q.entry.tracker.Begin(q.group.name)
	q.group.inFlight++
	r.schedule(q.group.schedulePrefill(now, q), func(done time.Duration) { r.startDecoding(done, q) })
}

// startDecoding adds the request to the batch, or queues it if the batch is full.
func (r *routingSimulation) startDecoding(now time.Duration, q *request) {
	if q.group.decodingCount >= maxBatchSize {
		q.group.waiting = append(q.group.waiting, q)
		return
	}
	q.group.decodingCount++
	gap := q.group.stepTime()
	r.recordLatency(now+gap, gap, q)
	r.schedule(now+gap*time.Duration(q.outputTokens), func(done time.Duration) { r.finishDecoding(done, q) })
}

func (r *routingSimulation) finishDecoding(now time.Duration, q *request) {
	q.entry.tracker.End(r.startTime.Add(now), q.group.name, false)
	q.group.inFlight--
	q.group.decodingCount--
	if len(q.group.waiting) > 0 {
		next := q.group.waiting[0]
		q.group.waiting = q.group.waiting[1:]
		r.startDecoding(now, next)
	}
}

// recordLatency records the time to first token and the token gap of a request.
func (r *routingSimulation) recordLatency(first, gap time.Duration, q *request) {
	if q.arrivedAt < warmUpTime {
		return
	}
	r.measuredRequests++
	r.promptBlocks += len(q.blocks)
	r.cachedBlocks += q.cachedBlocks
	histogram := r.otherFirstToken
	if q.urgent {
		histogram = r.urgentFirstToken
	}
	// Values above the range are recorded as its maximum.
	_ = histogram.RecordValue(min((first - q.arrivedAt).Milliseconds(), histogram.HighestTrackableValue()))
	_ = r.tokenGaps.RecordValue(gap.Milliseconds())
}

// reportLoads reports to all entry instances the load that each group had one
// interval ago.
func (r *routingSimulation) reportLoads(now time.Duration) {
	for _, e := range r.engines {
		for _, entry := range r.entries {
			entry.tracker.Report(r.startTime.Add(now), e.name, e.reportedInFlight)
		}
		e.reportedInFlight = e.inFlight
	}
	if now < dayLength {
		r.schedule(now+reportInterval, r.reportLoads)
	}
}
