package quarantiner

import (
	"slices"
	"time"
)

// JournalLimits bound the writes of a [Journal] and what it holds.
type JournalLimits struct {
	// RetryInterval is the time until a write that failed is tried again.
	RetryInterval time.Duration
	// LateWrite is how long after it failed a write may still take effect. It would replace a
	// newer one, so that everything is written once more then.
	LateWrite time.Duration
	// Expiry is how long a strike counts.
	Expiry time.Duration
	// Settling is the time after Load in which the parts of loaded strikes are kept though
	// they are not blocked: the evidence against them is judged meanwhile.
	Settling time.Duration
	// Capacity is the largest number of strikes that are held; the oldest is left out first.
	Capacity int
}

// Journal decides when the strikes that one entry instance has found are written to durable
// storage. All of them are written at once, in place of what was written before. Parts of
// prompts are written only while they are blocked: evidence that has not been weighed against
// sound runs must not outlast those who know of them. It does no I/O and is not safe for
// concurrent use.
type Journal struct {
	limits  JournalLimits
	entries []journalEntry
	// loaded reports whether the strikes of the processes before this one are known. Nothing
	// is written before, since it would replace them.
	loaded bool
	// dirty reports whether the entries differ from what is written, and stored whether
	// anything is.
	dirty  bool
	stored bool
	// writing reports whether a write is in progress.
	writing bool
	// nextWrite is the time of the earliest next write.
	nextWrite time.Time
	// rewriteAt is when a write that failed can no longer take effect, or zero.
	rewriteAt time.Time
	settledAt time.Time
}

// journalEntry is a strike with all suspected parts.
type journalEntry struct {
	strike Strike
	at     time.Time
	// blocked are the suspected parts that were blocked at the last write.
	blocked []Part
}

// NewJournal returns an empty journal. Load has to be called before it asks for writes.
func NewJournal(limits JournalLimits) *Journal { return &Journal{limits: limits} }

// Load adopts the strikes that earlier processes of the entry instance have written. stored
// says whether they have written anything.
func (j *Journal) Load(now time.Time, strikes []Strike, stored bool) {
	own := j.entries
	j.entries = nil
	for _, s := range strikes {
		j.add(now, s)
	}
	for i := range j.entries {
		j.entries[i].blocked = j.entries[i].strike.Parts
	}
	for _, e := range own {
		e.strike.Age = now.Sub(e.at)
		j.add(now, e.strike)
	}
	j.loaded, j.stored = true, stored
	j.dirty = j.dirty || stored && len(j.entries) == 0
	j.settledAt = now.Add(j.limits.Settling)
}

// Record adds a strike that this entry instance has found. It is written after delay, if not
// sooner with another one.
func (j *Journal) Record(now time.Time, s Strike, delay time.Duration) {
	if !j.add(now, s) {
		return
	}
	if at := now.Add(delay); !j.dirty && at.After(j.nextWrite) {
		j.nextWrite = at
	}
	j.dirty = true
}

// Rewrite makes the journal write everything once more, since the storage may have lost it.
func (j *Journal) Rewrite() { j.dirty = j.dirty || len(j.entries) > 0 }

// Advance returns the strikes to be written and whether they are due; none means that what
// is written is to be removed. blocked returns those of some parts that are blocked. The
// caller reports the end of the write by Finish.
func (j *Journal) Advance(now time.Time, blocked func([]Part) []Part) (strikes []Strike, due bool) {
	j.entries = slices.DeleteFunc(j.entries, func(e journalEntry) bool { return now.Sub(e.at) >= j.limits.Expiry })
	late := !j.rewriteAt.IsZero() && !now.Before(j.rewriteAt)
	if late {
		j.rewriteAt = time.Time{}
	}
	j.dirty = j.dirty || late || j.stored && len(j.entries) == 0
	for i := range j.entries {
		e := &j.entries[i]
		if len(e.strike.Parts) == 0 {
			continue
		}
		parts := blocked(e.strike.Parts)
		if now.Before(j.settledAt) && len(parts) < len(e.blocked) || slices.Equal(parts, e.blocked) {
			continue
		}
		e.blocked, j.dirty = parts, true
	}
	if !j.loaded || !j.dirty || j.writing || now.Before(j.nextWrite) {
		return nil, false
	}
	j.dirty, j.writing = false, true
	for _, e := range j.entries {
		s := e.strike
		s.Parts, s.Age = e.blocked, now.Sub(e.at)
		strikes = append(strikes, s)
	}
	return strikes, true
}

// Finish records the end of a write and whether it succeeded. The next one is made after
// pace at the earliest.
func (j *Journal) Finish(now time.Time, pace time.Duration, written bool) {
	j.writing = false
	if !written {
		j.dirty, j.stored = true, true
		j.nextWrite, j.rewriteAt = now.Add(j.limits.RetryInterval), now.Add(j.limits.LateWrite)
		return
	}
	j.stored, j.nextWrite = len(j.entries) > 0, now.Add(pace)
}

// add adds a strike unless it has expired or is known, and reports whether it did.
func (j *Journal) add(now time.Time, s Strike) bool {
	age := max(0, s.Age)
	known := func(e journalEntry) bool {
		return e.strike.Fingerprint == s.Fingerprint && e.strike.Site == s.Site
	}
	if age >= j.limits.Expiry || slices.ContainsFunc(j.entries, known) {
		return false
	}
	if len(j.entries) == j.limits.Capacity {
		j.entries = slices.Delete(j.entries, 0, 1)
	}
	j.entries = append(j.entries, journalEntry{strike: s, at: now.Add(-age)})
	return true
}
