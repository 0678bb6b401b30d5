package retrier

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/pkg/enumerator"
)

const (
	fleetTick  = 50 * time.Millisecond
	fleetRatio = 0.2
	// fleetSlack is what the users' small deployments allow beside the ratio, and
	// fleetReserve the part that is divided.
	fleetSlack   = 136
	fleetReserve = 0.4
	fleetFewest  = 4
	// fleetRate is the number of requests a second, of which brokenShare need a retry.
	fleetRate   = 150
	brokenShare = 0.6
	// fleetLatency is the longest time from the charge of a retry until it arrives.
	fleetLatency = 300 * time.Millisecond
	fleetTime    = 40 * time.Second
)

// fleetFaults are what happens to the entry instances. In each second each one is killed or
// stopped with the probability killed, and all at once with the probability herd. Every 6 s the
// fleet is cut into as many parts as sides, for 5 s. added ones come at 10 s. blind ones are
// not seen by each of the others for good.
type fleetFaults struct {
	killed, herd float64
	sides, added int
	blind        int
}

// fleet is a set of entry instances that send requests to one service.
type fleet struct {
	now      time.Time
	random   *rand.Rand
	faults   fleetFaults
	members  []*fleetMember
	requests []time.Time
	retries  []time.Time
}

// fleetMember is one entry instance, of which one process after the other runs.
type fleetMember struct {
	id        string
	side      int
	budget    *Budget
	fleet     *enumerator.Enumerator
	downUntil time.Time
	hidden    map[string]bool
}

func newFleet(seed uint64, size int, faults fleetFaults) *fleet {
	f := &fleet{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1)), faults: faults}
	for range size {
		f.add()
	}
	return f
}

func (f *fleet) add() {
	m := &fleetMember{id: fmt.Sprintf("e%d", len(f.members)), hidden: make(map[string]bool)}
	for range f.faults.blind {
		m.hidden[fmt.Sprintf("e%d", f.random.IntN(len(f.members)+1))] = true
	}
	f.members = append(f.members, m)
	f.start(m)
}

// start replaces the process of a member by a new one, which knows nothing.
func (f *fleet) start(m *fleetMember) {
	m.budget = NewBudget(Limits{Ratio: fleetRatio}, f.now)
	m.fleet = enumerator.New(m.id, enumerator.Settings{Retention: time.Minute, LeavingRetention: DefaultWindow})
}

func (f *fleet) kill(m *fleetMember) {
	m.downUntil = f.now.Add(time.Duration(200+f.random.IntN(800)) * time.Millisecond)
}

// run plays fleetTime.
func (f *fleet) run() {
	end := f.now.Add(fleetTime)
	for tick := 0; f.now.Before(end); tick++ {
		f.now = f.now.Add(fleetTick)
		second := int64(f.now.Sub(end.Add(-fleetTime)) / time.Second)
		if f.faults.sides > 1 && second%6 == 0 {
			for _, m := range f.members {
				m.side = f.random.IntN(f.faults.sides)
			}
		}
		if f.faults.sides > 1 && second%6 == 5 {
			for _, m := range f.members {
				m.side = 0
			}
		}
		if tick == int(10*time.Second/fleetTick) {
			for range f.faults.added {
				f.add()
			}
		}
		f.disturb()
		f.step()
	}
}

func (f *fleet) disturb() {
	perTick := fleetTick.Seconds()
	herd := f.random.Float64() < f.faults.herd*perTick
	for _, m := range f.members {
		if !f.now.Before(m.downUntil) && !m.downUntil.IsZero() {
			m.downUntil = time.Time{}
			f.start(m)
		}
		if m.downUntil.IsZero() && (herd || f.random.Float64() < f.faults.killed*perTick) {
			f.kill(m)
		}
	}
}

// step lets the members that run see each other and take requests.
func (f *fleet) step() {
	var up []*fleetMember
	for _, m := range f.members {
		if m.downUntil.IsZero() {
			up = append(up, m)
		}
	}
	if len(up) == 0 {
		return
	}
	for _, m := range up {
		live := []enumerator.Entry{{ID: m.id}}
		for _, other := range up {
			if other != m && other.side == m.side && !m.hidden[other.id] {
				live = append(live, enumerator.Entry{ID: other.id})
			}
		}
		m.fleet.Update(f.now, live, fleetFewest)
		limits := Limits{Ratio: fleetRatio}
		if m.fleet.Complete() {
			limits.Reserve = fleetReserve * fleetSlack / float64(m.fleet.Size())
		}
		m.budget.SetLimits(limits)
	}
	for range int(fleetRate * fleetTick.Seconds()) {
		m := up[f.random.IntN(len(up))]
		f.requests = append(f.requests, f.now)
		m.budget.Deposit(f.now)
		if f.random.Float64() < brokenShare && m.budget.Withdraw(f.now) {
			f.retries = append(f.retries, f.now.Add(time.Duration(f.random.Int64N(int64(fleetLatency)))))
		}
	}
}

// worst returns the most retries beyond the users' rule in any window: the requests are those
// of the window, of the one before it or of the one half a window before, whichever has most.
func (f *fleet) worst() float64 {
	slices.SortFunc(f.retries, time.Time.Compare)
	between := func(of []time.Time, from time.Time) int {
		lower, _ := slices.BinarySearchFunc(of, from, time.Time.Compare)
		upper, _ := slices.BinarySearchFunc(of, from.Add(DefaultWindow), time.Time.Compare)
		return upper - lower
	}
	worst := -float64(fleetSlack)
	for _, from := range f.retries {
		requests := max(between(f.requests, from), between(f.requests, from.Add(-DefaultWindow)), between(f.requests, from.Add(-DefaultWindow/2)))
		worst = max(worst, float64(between(f.retries, from))-fleetRatio*float64(requests)-fleetSlack)
	}
	return worst
}

// TestFleetKeepsRetryBudget guards against retries beyond the budget of a fleet of which the
// entry instances restart, are cut apart, are added, or do not see each other, while most
// requests need a retry.
func TestFleetKeepsRetryBudget(t *testing.T) {
	for name, faults := range map[string]fleetFaults{
		"none":      {},
		"restarts":  {killed: 0.4},
		"herds":     {herd: 0.4},
		"additions": {added: 9, killed: 0.2},
		"cuts":      {sides: 3, killed: 0.2},
		"isolated":  {sides: 9, herd: 0.2},
		"blind":     {blind: 3, killed: 0.1},
		"all":       {sides: 3, added: 6, killed: 0.3, herd: 0.2, blind: 1},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				f := newFleet(seed, 9, faults)
				f.run()
				assert.Assert(t, f.worst() <= 0, "seed %d: %.1f beyond the budget", seed, f.worst())
				// A budget that leaves callers without retries is no fix.
				share := float64(len(f.retries)) / float64(len(f.requests))
				assert.Assert(t, share >= 0.95*fleetRatio, "seed %d: %.3f retries a request", seed, share)
			}
		})
	}
}

// TestShortWindow guards against a window that is too short to be divided.
func TestShortWindow(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewBudget(Limits{Ratio: 1, Window: 1}, now)
	b.Deposit(now)
	assert.Assert(t, b.Withdraw(now))
	assert.Assert(t, !b.Withdraw(now))
}
