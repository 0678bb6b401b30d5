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
	rate  float64
	term  time.Duration
	parts map[string]part
	// opens is when the first part may be given: an earlier home's parts have
	// then run out.
	opens time.Time
}

// part is what one entry holds.
type part struct {
	demand    float64
	perSecond float64
	expiry    time.Time
}

// NewQuotaAllocator returns an allotter for a rate whose parts last for term. It
// gives nothing before a whole term has passed from now.
func NewQuotaAllocator(now time.Time, rate float64, term time.Duration) *QuotaAllocator {
	return &QuotaAllocator{rate: rate, term: term, parts: make(map[string]part), opens: now.Add(term)}
}

// SetRate changes the organisation's rate.
func (a *QuotaAllocator) SetRate(rate float64) { a.rate = rate }

// minDemandShare is the share of the rate that is split evenly, so that an
// entry without traffic can start to serve some at once.
const minDemandShare = 0.1

// Allocate answers one entry's demand with its part of the rate.
func (a *QuotaAllocator) Allocate(now time.Time, d Demand) QuotaLease {
	held := 0.0
	demand := d.PerSecond
	entries := 1
	for entry, p := range a.parts {
		if entry == d.Entry {
			continue
		}
		if !now.Before(p.expiry) {
			delete(a.parts, entry)
			continue
		}
		held += p.perSecond
		demand += p.demand
		entries++
	}
	floor := a.rate * minDemandShare / float64(entries)
	fair := floor
	if demand > 0 {
		fair += a.rate * (1 - minDemandShare) * d.PerSecond / demand
	} else {
		fair += a.rate * (1 - minDemandShare) / float64(entries)
	}
	if now.Before(a.opens) {
		fair = 0
	}
	granted := part{
		demand:    d.PerSecond,
		perSecond: max(0, min(fair, a.rate-held)),
		expiry:    now.Add(a.term),
	}
	a.parts[d.Entry] = granted
	return QuotaLease{PerSecond: granted.perSecond, Expiry: granted.expiry}
}
