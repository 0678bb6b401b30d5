package limiter

import "time"

// Demand is what one entry instance asks of an organisation's rate.
type Demand struct {
	Entry string
	// PerSecond is the rate of requests that the entry sees.
	PerSecond float64
}

// QuotaLease is an entry's part of an organisation's rate.
type QuotaLease struct {
	PerSecond float64
	// Expiry is when the part must no longer be used, on the clock of the
	// instance that gave it.
	Expiry time.Time
}

// QuotaAllocator splits one organisation's rate over the entry instances. One
// instance, the organisation's home, runs it; parts are short leases, so that
// the sum of all live parts never exceeds the rate. It does no I/O and is not
// safe for concurrent use.
type QuotaAllocator struct {
	rate   float64
	term   time.Duration
	leases map[string]lease
	// grantsFrom is when the first part may be given: an earlier home's parts have
	// then run out.
	grantsFrom time.Time
}

// lease is what one entry holds.
type lease struct {
	demand    float64
	perSecond float64
	expiry    time.Time
}

// NewQuotaAllocator returns an allotter for a rate whose parts last for term. It
// gives nothing before a whole term has passed from now.
func NewQuotaAllocator(now time.Time, rate float64, term time.Duration) *QuotaAllocator {
	return &QuotaAllocator{rate: rate, term: term, leases: make(map[string]lease), grantsFrom: now.Add(term)}
}

// SetRate changes the organisation's rate.
func (a *QuotaAllocator) SetRate(rate float64) { a.rate = rate }

// evenShare is the share of the rate that is split evenly, so that an
// entry without traffic can start to serve some at once.
const evenShare = 0.1

// Allocate answers one entry's demand with its part of the rate.
func (a *QuotaAllocator) Allocate(now time.Time, d Demand) QuotaLease {
	leased := 0.0
	demand := d.PerSecond
	entries := 1
	for entry, p := range a.leases {
		if entry == d.Entry {
			continue
		}
		if !now.Before(p.expiry) {
			delete(a.leases, entry)
			continue
		}
		leased += p.perSecond
		demand += p.demand
		entries++
	}
	evenPart := a.rate * evenShare / float64(entries)
	target := evenPart
	if demand > 0 {
		target += a.rate * (1 - evenShare) * d.PerSecond / demand
	} else {
		target += a.rate * (1 - evenShare) / float64(entries)
	}
	if now.Before(a.grantsFrom) {
		target = 0
	}
	granted := lease{
		demand:    d.PerSecond,
		perSecond: max(0, min(target, a.rate-leased)),
		expiry:    now.Add(a.term),
	}
	a.leases[d.Entry] = granted
	return QuotaLease{PerSecond: granted.perSecond, Expiry: granted.expiry}
}
