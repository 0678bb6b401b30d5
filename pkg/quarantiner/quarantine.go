// Package quarantiner recognises requests that crash the back ends that run
// them. A request is known by a fingerprint of its content; each distinct back
// end that it took down is a strike, and after a few strikes it is refused.
//
// # Usage
//
//	quarantine := quarantiner.New(2, time.Hour, 10_000)
//	quarantine.Strike(now, quarantiner.Strike{Fingerprint: f, Site: "group-3/17"})
//	if quarantine.Blocked(now, f) { ... }
//
// Strikes are merged from other entry instances, so that a request that is
// sent again elsewhere is known there. Memory and time are bounded.
package quarantiner

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Fingerprint identifies a request by its organisation and content.
type Fingerprint uint64

// Strike says that a request was being run when a back end crashed.
type Strike struct {
	Fingerprint Fingerprint
	// Site names the back end and its incarnation.
	Site string
}

// Quarantine counts strikes. It does no I/O and is not safe for concurrent use.
type Quarantine struct {
	limit   int
	expiry  time.Duration
	records *simplelru.LRU[Fingerprint, *strikeRecord]
}

// strikeRecord holds the sites that one request took down.
type strikeRecord struct {
	sites      []string
	lastStrike time.Time
}

// New returns a quarantine that blocks a request after limit strikes, until
// expiry has passed since the last, and that holds up to capacity requests.
func New(limit int, expiry time.Duration, capacity int) *Quarantine {
	records, err := simplelru.NewLRU[Fingerprint, *strikeRecord](capacity, nil)
	if err != nil {
		// The capacity is a positive constant of the caller.
		panic(err)
	}
	return &Quarantine{limit: limit, expiry: expiry, records: records}
}

// RecordStrike counts a crash. It reports whether it was not known before.
func (q *Quarantine) RecordStrike(now time.Time, s Strike) bool {
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
	r.lastStrike = now
	return true
}

// Blocked reports whether the request must be refused.
func (q *Quarantine) Blocked(now time.Time, f Fingerprint) bool {
	r := q.unexpired(now, f)
	return r != nil && len(r.sites) >= q.limit
}

// Strikes returns what is known of one request.
func (q *Quarantine) Strikes(now time.Time, f Fingerprint) []Strike {
	r := q.unexpired(now, f)
	if r == nil {
		return nil
	}
	strikes := make([]Strike, len(r.sites))
	for i, site := range r.sites {
		strikes[i] = Strike{Fingerprint: f, Site: site}
	}
	return strikes
}

// AllStrikes returns every strike that has not expired, for a new entry instance.
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
