package limiter

import "time"

// Demand is the demand of one entry instance for an organisation's rate limit.
type Demand struct {
	Entry string
	// PerSecond is the rate of requests that the entry instance receives.
	PerSecond float64
}

// QuotaLease is the share of an organisation's rate limit that is leased to one
// entry instance, in requests per second.
type QuotaLease struct {
	PerSecond float64
	// Expiry is when the lease ends, on the clock of the instance that granted
	// it.
	Expiry time.Time
}

// QuotaAllocator splits one organisation's rate limit among the entry instances.
// It runs on one instance, the organisation's quota owner. It grants short leases,
// each no larger than the part of the rate that no unexpired lease holds. It does
// no I/O and is not safe for concurrent use.
type QuotaAllocator struct {
	rate   float64
	term   time.Duration
	leases map[string]lease
	// grantsFrom is when the first lease may be granted: the leases of a previous
	// quota owner have expired by then.
	grantsFrom time.Time
}

// lease is the current lease of one entry instance.
type lease struct {
	demand    float64
	perSecond float64
	expiry    time.Time
}

// NewQuotaAllocator returns an allocator for a rate in requests per second, with
// leases of the given term. It grants leases of zero until one term after now.
func NewQuotaAllocator(now time.Time, rate float64, term time.Duration) *QuotaAllocator {
	return &QuotaAllocator{rate: rate, term: term, leases: make(map[string]lease), grantsFrom: now.Add(term)}
}

// SetRate sets the organisation's rate limit in requests per second. Unexpired
// leases are not revoked.
func (a *QuotaAllocator) SetRate(rate float64) { a.rate = rate }

// evenShare is the share of the rate that is split evenly, so that an entry
// instance without traffic can admit its first requests at once.
const evenShare = 0.1

// Allocate renews the lease of one entry instance in proportion to its demand.
func (a *QuotaAllocator) Allocate(now time.Time, d Demand) QuotaLease {
	leased := 0.0
	demand := d.PerSecond
	entries := 1
	for entry, l := range a.leases {
		if entry == d.Entry {
			continue
		}
		if !now.Before(l.expiry) {
			delete(a.leases, entry)
			continue
		}
		leased += l.perSecond
		demand += l.demand
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
