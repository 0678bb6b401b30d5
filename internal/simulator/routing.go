// Package experimenter runs the real routing decisions against a model of the
// engines in virtual time: the same seed gives the same figures. It models
// only what routing depends on, which is prefill, batching, limited prefix
// caches and lagging load reports.
//
// # Usage
//
//	result, err := experimenter.Run(experimenter.Scenarios[0], "prefix_affinity", 1)
package simulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/waxwingmount/waxwingmount/pkg/router"
)

// Scenario is one situation.
type Scenario struct {
	Name string
	// Rate is the mean of the requests a second.
	Rate float64
	// TrafficSurge makes one organisation send as much again as all, in the middle.
	TrafficSurge bool
	// Straggler makes one group three times as slow, in the middle.
	Straggler bool
	// GroupLoss takes one group away, in the middle.
	GroupLoss bool
}

// Scenarios are the situations that are compared.
var Scenarios = []Scenario{
	{Name: "ordinary_day", Rate: 20},
	{Name: "surge", Rate: 16, TrafficSurge: true},
	{Name: "straggler", Rate: 18, Straggler: true},
	{Name: "group_lost", Rate: 18, GroupLoss: true},
}

// Constants of an experiment.
const (
	entries = 9
	groups  = 11
	// day is the length of the compressed day.
	day = 10 * time.Minute
	// middleBegin and middleEnd bound the time of what a scenario does.
	middleBegin = 4 * time.Minute
	middleEnd   = 6 * time.Minute
	// warmUp is left out of the figures.
	warmUp = 30 * time.Second
	// reportInterval is the time between two load reports, which lag by as much.
	reportInterval  = time.Second
	stragglerFactor = 3
	surgeFactor     = 1.6
)

// RoutingResult is what came of one run.
type RoutingResult struct {
	Scenario      string  `json:"scenario"`
	Policy        string  `json:"policy"`
	Seed          uint64  `json:"seed"`
	Requests      int     `json:"requests"`
	CacheHitRatio float64 `json:"hit_ratio"`
	// First token of the urgent class and of the others, and the gap between
	// tokens, in milliseconds.
	UrgentFirstTokenP50 int64 `json:"urgent_p50_ms"`
	UrgentFirstTokenP95 int64 `json:"urgent_p95_ms"`
	OtherFirstTokenP95  int64 `json:"other_p95_ms"`
	TokenGapP95         int64 `json:"gap_p95_ms"`
}

// entry is one entry instance: its own policy, tracker and view.
type entry struct {
	policy  router.Policy
	tracker *router.LoadTracker
}

// run is one experiment under way.
type run struct {
	timeline
	scenario Scenario
	random   *rand.Rand
	workload *workload
	engines  []*engine
	entries  []*entry
	epoch    time.Time

	requests, blocks, cached int
	urgent, other, gaps      *hdrhistogram.Histogram
}

// SimulateRouting runs one scenario under one policy.
func SimulateRouting(s Scenario, policy string, seed uint64) (RoutingResult, error) {
	factory, err := router.Policies.Lookup(policy)
	if err != nil {
		return RoutingResult{}, err
	}
	random := rand.New(rand.NewPCG(seed, 1))
	r := &run{scenario: s, random: random, workload: newWorkload(rand.New(rand.NewPCG(seed, 2))), epoch: time.Unix(0, 0)}
	r.urgent, r.other, r.gaps = newHistogram(), newHistogram(), newHistogram()
	for i := range groups {
		r.engines = append(r.engines, newEngine(fmt.Sprintf("group-%02d", i)))
	}
	for range entries {
		r.entries = append(r.entries, &entry{policy: factory(), tracker: router.NewLoadTracker()})
	}
	r.at(0, r.arrive)
	r.at(reportInterval, r.report)
	r.at(middleBegin, func(time.Duration) { r.disturb(true) })
	r.at(middleEnd, func(time.Duration) { r.disturb(false) })
	r.play()
	return r.result(policy, seed), nil
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 600_000, 3) }

func (r *run) result(policy string, seed uint64) RoutingResult {
	return RoutingResult{
		Scenario:            r.scenario.Name,
		Policy:              policy,
		Seed:                seed,
		Requests:            r.requests,
		CacheHitRatio:       float64(r.cached) / float64(max(1, r.blocks)),
		UrgentFirstTokenP50: r.urgent.ValueAtQuantile(50),
		UrgentFirstTokenP95: r.urgent.ValueAtQuantile(95),
		OtherFirstTokenP95:  r.other.ValueAtQuantile(95),
		TokenGapP95:         r.gaps.ValueAtQuantile(95),
	}
}

func (r *run) middle(now time.Duration) bool { return now >= middleBegin && now < middleEnd }

// disturb begins or ends what the scenario does to one group.
func (r *run) disturb(begin bool) {
	victim := r.engines[0]
	if r.scenario.Straggler {
		victim.slow = 1
		if begin {
			victim.slow = stragglerFactor
		}
	}
	if r.scenario.GroupLoss {
		victim.lost = begin
	}
}

// arrive draws the next request and sends this one.
func (r *run) arrive(now time.Duration) {
	if now >= day {
		return
	}
	rate := rateAt(now, day, r.scenario.Rate)
	surge := r.scenario.TrafficSurge && r.middle(now)
	if surge {
		rate *= surgeFactor
	}
	r.send(now, r.workload.next(now, surge))
	r.at(now+time.Duration(r.random.ExpFloat64()/rate*float64(time.Second)), r.arrive)
}

// send lets one entry instance choose the group.
func (r *run) send(now time.Duration, q *request) {
	q.entry = r.entries[r.random.IntN(len(r.entries))]
	var candidates []router.Candidate
	for _, e := range r.engines {
		if !e.lost {
			candidates = append(candidates, router.Candidate{Group: e.name, Load: q.entry.tracker.Load(e.name)})
		}
	}
	candidates = q.entry.tracker.FilterEjected(r.epoch.Add(now), candidates)
	picked := candidates[q.entry.policy.Pick(router.Request{Prefixes: q.blocks}, candidates, r.random)]
	for _, e := range r.engines {
		if e.name == picked.Group {
			q.group = e
		}
	}
	q.entry.tracker.Begin(q.group.name)
	q.group.inFlight++
	r.at(q.group.prefill(now, q), func(done time.Duration) { r.decode(done, q) })
}

// decode joins the batch, or waits for a place in it.
func (r *run) decode(now time.Duration, q *request) {
	if q.group.decoding >= batchSize {
		q.group.waiting = append(q.group.waiting, q)
		return
	}
	q.group.decoding++
	gap := q.group.gap()
	r.note(now+gap, gap, q)
	r.at(now+gap*time.Duration(q.answer), func(done time.Duration) { r.finish(done, q) })
}

func (r *run) finish(now time.Duration, q *request) {
	q.entry.tracker.End(r.epoch.Add(now), q.group.name, false)
	q.group.inFlight--
	q.group.decoding--
	if len(q.group.waiting) > 0 {
		next := q.group.waiting[0]
		q.group.waiting = q.group.waiting[1:]
		r.decode(now, next)
	}
}

// note counts the first token and the gaps of one request.
func (r *run) note(first, gap time.Duration, q *request) {
	if q.arrived < warmUp {
		return
	}
	r.requests++
	r.blocks += len(q.blocks)
	r.cached += q.cachedBlocks
	histogram := r.other
	if q.urgent {
		histogram = r.urgent
	}
	// Values beyond the range are counted at its end.
	_ = histogram.RecordValue(min((first - q.arrived).Milliseconds(), histogram.HighestTrackableValue()))
	_ = r.gaps.RecordValue(gap.Milliseconds())
}

// report tells all entry instances the load that each group had one interval
// ago.
func (r *run) report(now time.Duration) {
	for _, e := range r.engines {
		for _, entry := range r.entries {
			entry.tracker.Report(r.epoch.Add(now), e.name, e.reported)
		}
		e.reported = e.inFlight
	}
	if now < day {
		r.at(now+reportInterval, r.report)
	}
}
