// Package evacuator keeps which data centres the operator has evacuated, so that no
// request is sent to servers there. It merges readings of the platform's store, which
// arrive directly and by peers, late and in any order.
//
// # Usage
//
//	e := evacuator.New()
//	e.Observe(at, evacuator.Reading{Era: 1, Version: 20, DataCentres: []string{"east"}})
//	e.Merge(now, at, report)
//	for dataCentre, since := range e.InEffect(now) { ... }
//
// A reading holds all evacuations as of a version of the store, so that the newest reading
// decides alone. Only at the beginning of an era of the store can it lack an evacuation that
// the operator has ordered, because the store has come back from an older copy: what was in
// effect before is kept until the operator has had the time to write it again. An older copy
// may also hold an evacuation that had ended; it is in effect until it is removed again.
//
// The package does no I/O; times are passed in.
package evacuator

import (
	"maps"
	"slices"
	"time"
)

// RewriteTimeout is how long the operator may take to write an evacuation again that an
// older copy of the store has lost.
const RewriteTimeout = 3 * time.Second

// Reading holds the evacuations as of a version of the store.
type Reading struct {
	// Era is the era of the store, and Version the version up to which the reading is
	// current, or zero if the store does not number its versions.
	Era, Version uint64
	// DataCentres holds the evacuated data centres, sorted.
	DataCentres []string
}

// Report is what one entry instance tells another.
type Report struct {
	Reading Reading
	// Age is the time since the reading held all changes.
	Age time.Duration
	// Kept holds the data centres that count as evacuated, though the reading lacks them,
	// for the time KeptFor.
	Kept    []string
	KeptFor time.Duration
}

// Evacuator holds what one entry instance knows of the evacuations. It is not safe for
// concurrent use.
type Evacuator struct {
	// known reports whether there has been a reading.
	known   bool
	reading Reading
	// confirmedAt is a time up to which the reading holds all changes, or zero.
	confirmedAt time.Time
	// kept holds the evacuations of before the era that the reading lacks, each with the time
	// until which it is kept.
	kept map[string]time.Time
	// keepUntil is the time until which any may be kept: RewriteTimeout after the era was
	// learned of here. Without it, instances that tell each other what they keep would keep
	// it forever, or again whenever one of them learns late of the era.
	keepUntil time.Time
	// ended holds the data centres whose evacuation has ended in the era.
	ended map[string]bool
	// since holds when each evacuation was learned of here.
	since map[string]time.Time
}

// New returns an Evacuator that knows of no evacuation.
func New() *Evacuator {
	return &Evacuator{kept: make(map[string]time.Time), ended: make(map[string]bool), since: make(map[string]time.Time)}
}

// Observe applies a reading of the store that was current at a time. It reports whether the
// evacuations in effect have changed.
func (e *Evacuator) Observe(at time.Time, r Reading) bool { return e.apply(at, at, r) }

// Merge applies the report of a peer, whose reading was current at a time, or at no known
// time if it is zero. It reports whether the evacuations in effect have changed.
func (e *Evacuator) Merge(now, at time.Time, r Report) bool {
	if at.IsZero() && r.Reading.Version == 0 {
		// Such readings can be ordered by their times alone.
		return false
	}
	changed := e.apply(now, at, r.Reading)
	if r.Reading.Era != e.reading.Era || len(r.Kept) == 0 {
		return changed
	}
	until := now.Add(r.KeptFor)
	if until.After(e.keepUntil) {
		until = e.keepUntil
	}
	for _, dataCentre := range r.Kept {
		_, kept := e.kept[dataCentre]
		if kept || e.ended[dataCentre] || e.evacuated(now, dataCentre) || !now.Before(until) {
			continue
		}
		e.kept[dataCentre], e.since[dataCentre] = until, now
		changed = true
	}
	return changed
}

// apply applies a reading that arrived now and was current at a time, which may be zero.
func (e *Evacuator) apply(now, at time.Time, r Reading) bool {
	if e.known && !e.supersedes(at, r) {
		if r.Era == e.reading.Era && r.Version > 0 && r.Version < e.reading.Version && at.After(e.confirmedAt) {
			// The known reading is newer than what was current then.
			e.confirmedAt = at
		}
		return false
	}
	before := e.InEffect(now)
	if !e.known || r.Era > e.reading.Era {
		e.keepUntil = now.Add(RewriteTimeout)
	}
	switch {
	case e.known && r.Era > e.reading.Era:
		clear(e.kept)
		clear(e.ended)
		for dataCentre := range before {
			e.kept[dataCentre] = e.keepUntil
		}
	case e.known:
		for _, dataCentre := range e.reading.DataCentres {
			e.ended[dataCentre] = !slices.Contains(r.DataCentres, dataCentre)
		}
	}
	e.known, e.reading = true, r
	if at.After(e.confirmedAt) {
		e.confirmedAt = at
	}
	for _, dataCentre := range r.DataCentres {
		// Written again, or in the older copy: from now on the readings decide.
		delete(e.kept, dataCentre)
		delete(e.ended, dataCentre)
	}
	after := e.InEffect(now)
	for dataCentre := range after {
		if _, found := before[dataCentre]; !found {
			e.since[dataCentre] = now
		}
	}
	maps.DeleteFunc(e.since, func(dataCentre string, _ time.Time) bool { return !e.evacuated(now, dataCentre) })
	return !maps.EqualFunc(before, after, func(time.Time, time.Time) bool { return true })
}

// supersedes reports whether a reading is at least as new as the known one.
func (e *Evacuator) supersedes(at time.Time, r Reading) bool {
	switch {
	case r.Era != e.reading.Era:
		return r.Era > e.reading.Era
	case r.Version != e.reading.Version && r.Version > 0 && e.reading.Version > 0:
		return r.Version > e.reading.Version
	}
	return at.After(e.confirmedAt)
}

// Settle records that an era is known to be so old that the operator has written again what
// an older copy had lost.
func (e *Evacuator) Settle(era uint64) {
	if era == e.reading.Era {
		clear(e.kept)
		e.keepUntil = time.Time{}
	}
}

func (e *Evacuator) evacuated(now time.Time, dataCentre string) bool {
	return slices.Contains(e.reading.DataCentres, dataCentre) || now.Before(e.kept[dataCentre])
}

// InEffect returns the evacuations in effect, by data centre, with the times at which they
// were learned of here.
func (e *Evacuator) InEffect(now time.Time) map[string]time.Time {
	all := make(map[string]time.Time, len(e.reading.DataCentres))
	for _, dataCentre := range e.reading.DataCentres {
		all[dataCentre] = e.since[dataCentre]
	}
	for dataCentre := range e.kept {
		if e.evacuated(now, dataCentre) {
			all[dataCentre] = e.since[dataCentre]
		}
	}
	return all
}

// ConfirmedAt returns a time up to which the newest known reading holds all changes, or zero.
func (e *Evacuator) ConfirmedAt() time.Time { return e.confirmedAt }

// Report returns what a peer is told, or nil if nothing is known.
func (e *Evacuator) Report(now time.Time) *Report {
	if !e.known {
		return nil
	}
	r := &Report{Reading: e.reading, Age: now.Sub(e.confirmedAt)}
	for _, dataCentre := range slices.Sorted(maps.Keys(e.kept)) {
		if left := e.kept[dataCentre].Sub(now); left > 0 {
			r.Kept, r.KeptFor = append(r.Kept, dataCentre), max(r.KeptFor, left)
		}
	}
	return r
}
