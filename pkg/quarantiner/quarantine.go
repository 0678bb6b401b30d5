// Package quarantiner detects requests that crash the backend servers that run
// them. A request is identified by a fingerprint of its organisation and content.
// Each distinct run of a backend server that crashes while running the request
// counts as a strike, and a request with a given number of strikes is blocked.
//
// # Usage
//
//	quarantine := quarantiner.New(2, time.Hour, 10_000)
//	quarantine.RecordStrike(now, quarantiner.Strike{Fingerprint: f, Site: "group-3/17"})
//	if quarantine.Blocked(now, f) { ... }
//
// Strikes of other entry instances are recorded too, so that a request that is
// retried at another entry instance is recognised there. The number of requests
// held and the time for which they are held are bounded.
//
// A [PartQuarantine] finds what requests that differ otherwise have in common: a part of
// their prompts that crashes the backend servers. It learns from the same strikes, and
// from runs that show that a part does not crash servers:
//
//	parts := quarantiner.NewPartQuarantine(limits)
//	parts.RecordStrike(now, quarantiner.Strike{Fingerprint: f, Site: "group-3/17", Parts: p})
//	parts.Clear(now, began, p)
//	changes := parts.Advance(now)
//	if part, found := parts.Blocked(p); found { ... }
//
// A [Journal] decides when the strikes of one entry instance are written to storage that
// outlasts it, so that they bind also after all entry instances were restarted:
//
//	journal.Record(now, strike, delay)
//	if strikes, due := journal.Advance(now, blocked); due {
//		err := write(quarantiner.EncodeStrikes(time.Now(), strikes))
//		journal.Finish(now, pace, err == nil)
//	}
package quarantiner

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Fingerprint identifies a request by its organisation and content.
type Fingerprint uint64

// Strike records that a backend server crashed while running a request.
type Strike struct {
	Fingerprint Fingerprint
	// Site identifies the backend server and its incarnation.
	Site string
	// Parts are the parts of the request's prompt, in order, that may have caused the
	// crash, and Age is how long ago the server crashed. In a strike from [Quarantine.Strikes],
	// Age is that of the request's last strike.
	Parts []Part
	Age   time.Duration
}

// Quarantine counts strikes by request. It does no I/O and is not safe for
// concurrent use.
type Quarantine struct {
	limit   int
	expiry  time.Duration
	records *simplelru.LRU[Fingerprint, *strikeRecord]
}

// strikeRecord holds the sites that crashed while running one request. At most
// limit sites are kept.
type strikeRecord struct {
	sites      []string
	lastStrike time.Time
}

// New returns a quarantine that blocks a request after limit strikes until expiry
// has passed since the last strike. It holds up to capacity requests and evicts
// the least recently used one; capacity must be positive.
func New(limit int, expiry time.Duration, capacity int) *Quarantine {
	records, err := simplelru.NewLRU[Fingerprint, *strikeRecord](capacity, nil)
	if err != nil {
		// The capacity is a positive constant of the caller, so NewLRU cannot fail.
		panic(err)
	}
	return &Quarantine{limit: limit, expiry: expiry, records: records}
}

// RecordStrike counts a strike and restarts the expiry of the request's strikes at the time
// of the crash, unless the strike has expired or the site is recorded for the request already.
// It reports whether the strike was counted as new.
func (q *Quarantine) RecordStrike(now time.Time, s Strike) bool {
	at := now.Add(-max(0, s.Age))
	if now.Sub(at) >= q.expiry {
		return false
	}
	r := q.unexpired(now, s.Fingerprint)
	if r == nil {
		r = &strikeRecord{}
		q.records.Add(s.Fingerprint, r)
	}
	for _, site := range r.sites {
		if site == s.Site {
			return false
		}
	}
	if len(r.sites) < q.limit {
		r.sites = append(r.sites, s.Site)
	}
	if at.After(r.lastStrike) {
		r.lastStrike = at
	}
	return true
}

// Blocked reports whether the request must be rejected.
func (q *Quarantine) Blocked(now time.Time, f Fingerprint) bool {
	r := q.unexpired(now, f)
	return r != nil && len(r.sites) >= q.limit
}

// Strikes returns the unexpired strikes of one request.
func (q *Quarantine) Strikes(now time.Time, f Fingerprint) []Strike {
	r := q.unexpired(now, f)
	if r == nil {
		return nil
	}
	strikes := make([]Strike, len(r.sites))
	for i, site := range r.sites {
		strikes[i] = Strike{Fingerprint: f, Site: site, Age: now.Sub(r.lastStrike)}
	}
	return strikes
}

// AllStrikes returns the unexpired strikes of all requests. It is used to
// initialise a new entry instance.
func (q *Quarantine) AllStrikes(now time.Time) []Strike {
	var strikes []Strike
	for _, f := range q.records.Keys() {
		strikes = append(strikes, q.Strikes(now, f)...)
	}
	return strikes
}

// unexpired returns the record of a fingerprint unless it has expired.
func (q *Quarantine) unexpired(now time.Time, f Fingerprint) *strikeRecord {
	r, found := q.records.Get(f)
	if !found {
		return nil
	}
	if now.Sub(r.lastStrike) >= q.expiry {
		q.records.Remove(f)
		return nil
	}
	return r
}
