// Package apportioner divides the instances of a service among its models, and
// decides when loaded instances should change their model. Each group goes to the
// model for which it saves the most requests per instance; a group that exists
// moves only if that saves clearly more than it costs.
//
// # Usage
//
//	a := apportioner.New()
//	result := a.Divide(now, apportioner.Input{Instances: 162, Reported: true, Models: models})
//	for _, move := range result.Moves { ... }
//
// The number of groups that a model needs at a moment is modelled as normally
// distributed with a variance in proportion to its mean. All state is a moving average;
// a new Apportioner reaches the same decisions after settleTime.
package apportioner

import (
	"math"
	"time"
)

const (
	// averageTime is the time constant of the mean load. It is longer than a load
	// of weights, since a peak that ends before the load does can't be served by it.
	averageTime = 20 * time.Second
	// settleTime is how long the load must have been observed before groups move.
	settleTime = 5 * time.Second
	// keepTime is how long the last result is used when reports are missing.
	keepTime = 5 * time.Second
	// tolerableMiss is the share of missed requests that needs no more groups.
	tolerableMiss = 0.02
	// missGain is how much the correction grows per second and missed share. A model
	// that misses half of its requests reaches maxCorrection in 10 s.
	missGain = 0.2
	// correctionTime is the time constant with which the correction falls back to one.
	correctionTime = 30 * time.Second
	// maxCorrection bounds the factor by which missed requests raise the load. Groups
	// that are planned at twice their work answer nearly all requests in time.
	maxCorrection = 2
)

// Model is the state of one model.
type Model struct {
	Name string
	// Size is the number of instances in a group.
	Size int
	// UsableShare is the fraction of the model's instances that serve in groups.
	UsableShare float64
	// Offered is the load in instance seconds per second, Arrived the number of
	// requests per second, and Missed the share of them that were refused or late.
	Offered, Arrived, Missed float64
	// Open and Forming count the groups; Forming includes those whose members still
	// load the weights.
	Open, Forming int
	// Load is the time to load the weights from the weight store, Warm from the
	// host's memory.
	Load, Warm time.Duration
	// Staged counts the instances outside the model's groups whose hosts have the
	// weights in memory.
	Staged int
	// Weight is the value of one request of the model; zero means one.
	Weight float64
}

// groups returns the number of groups that the model has or will have.
func (m Model) groups() int { return m.Open + m.Forming }

// instancesPerGroup returns how many instances one group takes, those that can't
// serve included.
func (m Model) instancesPerGroup() float64 {
	if m.UsableShare <= 0 {
		return float64(m.Size)
	}
	return float64(m.Size) / min(1, m.UsableShare)
}

// Input is the input of [Apportioner.Divide].
type Input struct {
	// Instances is the number of instances that can serve.
	Instances int
	// Reported is set if enough entry instances have reported their load.
	Reported bool
	Models   []Model
}

// Move proposes that groups of one model end and their instances load another.
type Move struct {
	From, To string
	// Groups is the number of groups of From that end.
	Groups int
}

// Result is a division of the instances.
type Result struct {
	// Wanted is the number of instances by model, or nil if the load is unknown.
	Wanted map[string]int
	Moves  []Move
}

// average is the moving average of one model's load, with its correction.
type average struct {
	offered, arrived float64
	correction       float64
}

// direction is a pair of models between which groups move.
type direction struct{ from, to string }

// Apportioner holds the averages of one service. It does no I/O and is not safe for
// concurrent use.
type Apportioner struct {
	averages map[string]*average
	// span is the time that the averages cover, at most averageTime.
	span      time.Duration
	startedAt time.Time
	updatedAt time.Time
	// proposedAt is when a move was last proposed.
	proposedAt map[direction]time.Time
	wanted     map[string]int
}

// New returns an Apportioner that has observed nothing.
func New() *Apportioner {
	return &Apportioner{averages: make(map[string]*average), proposedAt: make(map[direction]time.Time)}
}

// Divide returns the division of the instances and at most maxMoves moves. Until the
// first requests arrive, and when reports are missing for longer than keepTime, it
// returns no division.
func (a *Apportioner) Divide(now time.Time, in Input) Result {
	if !in.Reported {
		if now.Sub(a.updatedAt) > keepTime {
			*a = *New()
		}
		return Result{Wanted: a.wanted}
	}
	if !a.observe(now, in.Models) {
		return Result{}
	}
	loads := a.loads(in.Models)
	counts := divide(float64(in.Instances), loads)
	a.wanted = make(map[string]int, len(loads))
	for i, l := range loads {
		a.wanted[l.model.Name] = int(math.Round(float64(counts[i]) * l.instances))
	}
	result := Result{Wanted: a.wanted}
	if now.Sub(a.startedAt) >= settleTime {
		result.Moves = a.moves(now, in.Instances, loads)
	}
	return result
}

// observe updates the averages and reports whether any request has arrived.
func (a *Apportioner) observe(now time.Time, models []Model) bool {
	arrived := 0.0
	for _, m := range models {
		arrived += m.Arrived
	}
	if a.startedAt.IsZero() {
		if arrived == 0 {
			return false
		}
		a.startedAt, a.updatedAt = now, now
	}
	elapsed := now.Sub(a.updatedAt)
	a.updatedAt = now
	a.span = min(a.span+elapsed, averageTime)
	for _, m := range models {
		average := a.averages[m.Name]
		if average == nil {
			average = newAverage(m)
			a.averages[m.Name] = average
		}
		average.update(m, elapsed, a.span)
	}
	return true
}

func newAverage(m Model) *average {
	return &average{offered: m.Offered, arrived: m.Arrived, correction: 1}
}

// update adds the load over the elapsed time to an average over span.
func (l *average) update(m Model, elapsed, span time.Duration) {
	if span > 0 {
		weight := min(1, elapsed.Seconds()/span.Seconds())
		l.offered += weight * (m.Offered - l.offered)
		l.arrived += weight * (m.Arrived - l.arrived)
	}
	if m.Missed > tolerableMiss {
		l.correction += missGain * (m.Missed - tolerableMiss) * elapsed.Seconds()
	} else {
		l.correction = 1 + (l.correction-1)*math.Exp(-elapsed.Seconds()/correctionTime.Seconds())
	}
	l.correction = min(l.correction, maxCorrection)
}

// loads returns the loads on which the division is based, in the order of the models.
func (a *Apportioner) loads(models []Model) []load {
	all := make([]load, 0, len(models))
	for _, m := range models {
		all = append(all, newLoad(m, *a.averages[m.Name]))
	}
	return all
}
