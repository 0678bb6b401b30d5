package permitter

import "time"

const (
	// permitBurst is the largest number of unused permits of one server. Together
	// with the permits that are issued in a few seconds, it stays far below what a
	// server tolerates, and gives room for a change of the owner.
	permitBurst = 2
	// minPermitRate is the rate in permits per second for servers with a lower
	// limit. The responses show when the limit ends.
	minPermitRate = 0.25
	// maxPermitSpread bounds the random part of the wait after a refusal, which
	// spreads the entry instances that wait for the next permit.
	maxPermitSpread = 200 * time.Millisecond
)

// Issuer issues permits for requests to backend servers with a limit, at
// the rate that each server states. It runs on the permit owner of a server. An
// entry instance that becomes the owner issues its first permit only after the
// time that one permit takes. It does no I/O and is not safe for concurrent use.
type Issuer struct {
	table   limitTable
	buckets map[string]*permitBucket
	// random returns a number in [0, 1).
	random func() float64
}

// permitBucket is a token bucket.
type permitBucket struct {
	tokens  float64
	updated time.Time
}

// NewIssuer returns an issuer that draws random numbers in [0, 1) from
// random.
func NewIssuer(random func() float64) *Issuer {
	return &Issuer{table: newLimitTable(), buckets: make(map[string]*permitBucket), random: random}
}

// Issue decides on a request for a permit.
func (i *Issuer) Issue(now time.Time, request Request) Reply {
	i.prune(now)
	i.table.update(request.Server, statedLimit{limit: request.Statement.Limit, at: now.Add(-request.Statement.Age)})
	reply := Reply{Statement: i.table.statement(now, request.Server)}
	if !request.Wanted || !reply.Statement.Limit.Limited {
		return reply
	}
	rate := max(minPermitRate, reply.Statement.Limit.PerSecond)
	b := i.bucket(now, request.Server)
	b.tokens = min(permitBurst, b.tokens+rate*now.Sub(b.updated).Seconds())
	b.updated = now
	if b.tokens >= 1 {
		b.tokens--
		reply.Granted = true
		return reply
	}
	untilNext := time.Duration((1 - b.tokens) / rate * float64(time.Second))
	spread := min(maxPermitSpread, time.Duration(float64(time.Second)/rate))
	reply.Wait = untilNext + time.Duration(i.random()*float64(spread))
	return reply
}

func (i *Issuer) bucket(now time.Time, server string) *permitBucket {
	b, found := i.buckets[server]
	if !found {
		b = &permitBucket{updated: now}
		i.buckets[server] = b
	}
	return b
}

// prune forgets the servers whose limit is not known any more.
func (i *Issuer) prune(now time.Time) {
	i.table.prune(now)
	for server := range i.buckets {
		if _, known := i.table.limits[server]; !known {
			delete(i.buckets, server)
		}
	}
}
