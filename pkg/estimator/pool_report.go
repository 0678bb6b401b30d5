package estimator

import (
	"math"
	"time"
)

const (
	// Ranks is the number of rank classes that waiting requests are counted by, the most
	// urgent one first. It is the same on all entry instances.
	Ranks = 4
	// Milli is the unit of the decaying counts of a PoolReport: an entry instance with a
	// request every few seconds would otherwise report none or one.
	Milli = 1000
	// AllPools is the name under which a report counts the entry instances that report,
	// whatever pools they have requests for.
	AllPools = ""
)

// PoolReport is what one entry instance, or several together, know of the requests to one
// pool, which is a service and model. All values are integers, so that sums are exact.
type PoolReport struct {
	// Reporters is the number of entry instances; it is set for AllPools only.
	Reporters int
	// Offered is the instance time that the requests need that have arrived, and Arrived
	// and Missed are the numbers of these and of those among them that were refused, failed
	// or were late, in thousandths. They decay exponentially. A request counts once.
	Offered time.Duration
	Arrived int
	Missed  int
	// Waiting counts the waiting requests that can still meet their objective, and Late
	// those that cannot, by rank class.
	Waiting [Ranks]int
	Late    [Ranks]int
}

// plus returns the sum of r and o.
func (r PoolReport) plus(o PoolReport) PoolReport { return r.combine(o, 1) }

// minus returns the difference of r and o.
func (r PoolReport) minus(o PoolReport) PoolReport { return r.combine(o, -1) }

func (r PoolReport) combine(o PoolReport, sign int) PoolReport {
	r.Reporters += sign * o.Reporters
	r.Offered += time.Duration(sign) * o.Offered
	r.Arrived += sign * o.Arrived
	r.Missed += sign * o.Missed
	for rank := range Ranks {
		r.Waiting[rank] += sign * o.Waiting[rank]
		r.Late[rank] += sign * o.Late[rank]
	}
	return r
}

// Plus returns the sum of r and o.
func (r PoolReport) Plus(o PoolReport) PoolReport { return r.plus(o) }

// MissedShare returns the fraction of the requests that were refused, failed or late.
func (r PoolReport) MissedShare() float64 {
	return min(1, float64(max(0, r.Missed))/float64(max(1, r.Arrived)))
}

// SameQueues reports whether the same requests wait according to both reports. The
// decaying values differ at any two times.
func SameQueues(a, b map[string]PoolReport) bool {
	for name, r := range a {
		if o := b[name]; r.Waiting != o.Waiting || r.Late != o.Late {
			return false
		}
	}
	return len(a) == len(b)
}

// PoolMeter counts the requests to one pool at one entry instance. Its counts decay
// exponentially. It does no I/O and is not safe for concurrent use.
type PoolMeter struct {
	decayTime time.Duration
	updated   time.Time
	// offered is in seconds.
	offered, arrived, missed float64
}

// NewPoolMeter returns a meter in which the weight of a request decays with the time
// constant decayTime.
func NewPoolMeter(decayTime time.Duration) *PoolMeter { return &PoolMeter{decayTime: decayTime} }

// Observe records the arrival of a request that uses cost of the time of a group with the
// given number of members.
func (m *PoolMeter) Observe(now time.Time, members int, cost time.Duration) {
	m.decay(now)
	m.offered += cost.Seconds() * float64(members)
	m.arrived++
}

// Miss records that a request that was observed is refused, fails or is late.
func (m *PoolMeter) Miss(now time.Time) {
	m.decay(now)
	m.missed++
}

// Report returns the counts.
func (m *PoolMeter) Report(now time.Time) PoolReport {
	m.decay(now)
	return PoolReport{
		Offered: time.Duration(m.offered * float64(time.Second)),
		Arrived: int(math.Round(m.arrived * Milli)),
		Missed:  int(math.Round(m.missed * Milli)),
	}
}

// decay reduces the counts by the time since the last update.
func (m *PoolMeter) decay(now time.Time) {
	factor := math.Exp(-now.Sub(m.updated).Seconds() / m.decayTime.Seconds())
	m.offered, m.arrived, m.missed = m.offered*factor, m.arrived*factor, m.missed*factor
	m.updated = now
}
