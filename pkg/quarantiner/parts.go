package quarantiner

import (
	"maps"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// PartLimits say when a part of prompts is blocked, and bound what is held.
type PartLimits struct {
	// Sites, Requests and Span are the numbers of distinct sites and requests, and the
	// time between the first and the last crash, from which a part is blocked that was
	// never cleared. Sites that fail together at one moment are no evidence.
	Sites    int
	Requests int
	Span     time.Duration
	// Share is the least fraction of the crashes in that time, and ShareMargin before
	// and after it, that the part has to explain. Where many servers fail for another
	// reason, each part explains few.
	Share       float64
	ShareMargin time.Duration
	// ClearedSites and ClearedSpan replace Sites and Span for a part that was cleared.
	ClearedSites int
	ClearedSpan  time.Duration
	// ClearedExpiry replaces Expiry for a part that was cleared: where all servers fail, no
	// run is left that could clear it again.
	ClearedExpiry time.Duration
	// Trust is how long after a clearance crashes don't count against the part.
	Trust time.Duration
	// Settling is the time in which the strikes of a crash arrive from other entry
	// instances; the crash isn't judged before.
	Settling time.Duration
	// Expiry is how long a crash counts.
	Expiry time.Duration
	// SiteCapacity, PartCapacity, PartsPerSite and PartsPerRequest bound the sites that
	// are held, the clearances that are held, and the parts that are read.
	SiteCapacity    int
	PartCapacity    int
	PartsPerSite    int
	PartsPerRequest int
}

// Clearance states that a server wrote an answer to a request with the part without
// crashing.
type Clearance struct {
	Part Part
	// Age is how long ago that run began to write.
	Age time.Duration
}

// PartChanges are the results of [PartQuarantine.Advance].
type PartChanges struct {
	Blocked  []PartBlock
	Released []Part
	// Clearances are to be reported to the other entry instances.
	Clearances []Clearance
}

// PartBlock is a part that is blocked, with the number of crashes that it explains.
type PartBlock struct {
	Part  Part
	Sites int
}

// PartQuarantine finds the parts of prompts that crash the servers that write answers on
// them, whatever else the requests hold. Strikes name the parts of the requests that may
// have caused a crash. The parts that explain the crashes best are blocked, and a crash
// that a blocked part explains doesn't count against the others. It does no I/O and is
// not safe for concurrent use.
type PartQuarantine struct {
	limits  PartLimits
	crashes *simplelru.LRU[string, *crash]
	records *simplelru.LRU[Part, *partRecord]
	blocked map[Part]int
	// pending holds the own clearances that are to be reported.
	pending map[Part]struct{}
	// checkAt is the time of the next change without new evidence; changed says that
	// there is new evidence.
	checkAt time.Time
	changed bool
}

// partRecord holds the times at which a part was last cleared, named by a strike, and
// reported as cleared by any entry instance.
type partRecord struct {
	clearedAt  time.Time
	struckAt   time.Time
	reportedAt time.Time
}

// NewPartQuarantine returns a quarantine that holds nothing. All limits must be positive.
func NewPartQuarantine(limits PartLimits) *PartQuarantine {
	crashes, err := simplelru.NewLRU[string, *crash](limits.SiteCapacity, nil)
	if err != nil {
		// The capacity is a positive constant of the caller, so NewLRU cannot fail.
		panic(err)
	}
	records, err := simplelru.NewLRU[Part, *partRecord](limits.PartCapacity, nil)
	if err != nil {
		// As above.
		panic(err)
	}
	return &PartQuarantine{
		limits: limits, crashes: crashes, records: records,
		blocked: make(map[Part]int), pending: make(map[Part]struct{}),
	}
}

// RecordStrike records the parts that a strike names.
func (q *PartQuarantine) RecordStrike(now time.Time, s Strike) {
	age := max(0, s.Age)
	if len(s.Parts) == 0 || age >= q.limits.Expiry {
		return
	}
	at := now.Add(-age)
	c, found := q.crashes.Get(s.Site)
	if !found {
		c = &crash{at: at, heardAt: now, suspects: make(map[Part]*suspect)}
		if age >= q.limits.Trust {
			// A peer that has known the crash for so long has judged it.
			c.heardAt = at
		}
		q.crashes.Add(s.Site, c)
	}
	if at.Before(c.at) {
		c.at = at
	}
	// Strikes are received again and again.
	for _, part := range c.add(q.limits, s.Fingerprint, s.Parts) {
		q.record(part).struckAt = now
		q.changed = true
	}
}

// Clear records that a server wrote an answer with these parts from a time on without
// crashing. Parts that strikes have named since are reported to the peers by the next
// Advance.
func (q *PartQuarantine) Clear(now, began time.Time, parts []Part) {
	for _, part := range parts {
		r := q.record(part)
		if began.After(r.clearedAt) {
			r.clearedAt = began
		}
		q.recheck(part)
		if r.struckAt.After(r.reportedAt) && now.Sub(r.reportedAt) >= q.limits.Trust {
			q.pending[part] = struct{}{}
		}
	}
}

// RecordClearance records what a peer reported.
func (q *PartQuarantine) RecordClearance(now time.Time, c Clearance) {
	r := q.record(c.Part)
	r.reportedAt = now
	if began := now.Add(-max(0, c.Age)); began.After(r.clearedAt) {
		r.clearedAt = began
	}
	q.recheck(c.Part)
}

// recheck makes the next Advance judge the evidence if a part that was cleared is
// blocked. No other judgement can change, since parts that aren't blocked explain
// nothing.
func (q *PartQuarantine) recheck(part Part) {
	if _, blocked := q.blocked[part]; blocked {
		q.changed = true
	}
}

// Suspects returns those of a request's parts that may have caused a crash at a time.
func (q *PartQuarantine) Suspects(crashedAt time.Time, parts []Part) []Part {
	var suspects []Part
	for _, part := range parts {
		if !q.trusted(crashedAt, part) {
			suspects = append(suspects, part)
		}
	}
	return suspects
}

// Blocked returns the first of a request's parts that is blocked.
func (q *PartQuarantine) Blocked(parts []Part) (Part, bool) {
	for _, part := range parts {
		if _, found := q.blocked[part]; found {
			return part, true
		}
	}
	return 0, false
}

// AllBlocked returns those of some parts that are blocked.
func (q *PartQuarantine) AllBlocked(parts []Part) []Part {
	var blocked []Part
	for _, part := range parts {
		if _, found := q.blocked[part]; found {
			blocked = append(blocked, part)
		}
	}
	return blocked
}

// BlockedCount returns how many parts are blocked.
func (q *PartQuarantine) BlockedCount() int { return len(q.blocked) }

// Advance judges the evidence and returns what has changed. It has to be called
// regularly.
func (q *PartQuarantine) Advance(now time.Time) PartChanges {
	changes := PartChanges{Clearances: q.takePending(now)}
	if !q.changed && (q.checkAt.IsZero() || now.Before(q.checkAt)) {
		return changes
	}
	q.changed = false
	blocked := q.judge(now)
	for _, part := range slices.Sorted(maps.Keys(blocked)) {
		if _, before := q.blocked[part]; !before {
			changes.Blocked = append(changes.Blocked, PartBlock{Part: part, Sites: blocked[part]})
		}
	}
	for _, part := range slices.Sorted(maps.Keys(q.blocked)) {
		if _, still := blocked[part]; !still {
			changes.Released = append(changes.Released, part)
		}
	}
	q.blocked = blocked
	return changes
}

// AllStrikes returns the unexpired evidence, to initialise a new entry instance.
func (q *PartQuarantine) AllStrikes(now time.Time) []Strike {
	var strikes []Strike
	for _, site := range q.crashes.Keys() {
		if c, found := q.crashes.Peek(site); found && now.Sub(c.at) < q.limits.Expiry {
			strikes = append(strikes, c.strikes(now, site)...)
		}
	}
	return strikes
}

// AllClearances returns the clearances of the parts that strikes have named, to
// initialise a new entry instance.
func (q *PartQuarantine) AllClearances(now time.Time) []Clearance {
	var clearances []Clearance
	for _, part := range q.records.Keys() {
		if r, found := q.records.Peek(part); found && !r.struckAt.IsZero() && !r.clearedAt.IsZero() {
			clearances = append(clearances, Clearance{Part: part, Age: now.Sub(r.clearedAt)})
		}
	}
	return clearances
}

// judge returns the parts to block and how many crashes each explains. It repeatedly
// takes the part that is the most likely cause of the crashes not yet explained. The
// result follows from the evidence alone, so that a part that was blocked because
// evidence against the true cause was still missing is released.
func (q *PartQuarantine) judge(now time.Time) map[Part]int {
	q.checkAt = time.Time{}
	var unexplained []*crash
	for _, site := range q.crashes.Keys() {
		c, _ := q.crashes.Peek(site)
		if now.Sub(c.at) >= q.limits.Expiry {
			q.crashes.Remove(site)
			continue
		}
		if settled := c.heardAt.Add(q.limits.Settling); now.Before(settled) {
			q.checkNoLaterThan(settled)
			continue
		}
		expiry := q.limits.Expiry
		if now.Sub(c.at) < q.limits.ClearedExpiry {
			expiry = q.limits.ClearedExpiry
		}
		q.checkNoLaterThan(c.at.Add(expiry))
		unexplained = append(unexplained, c)
	}
	blocked := make(map[Part]int)
	for {
		worst := q.mostLikely(now, unexplained)
		if worst == nil {
			return blocked
		}
		blocked[worst.part] = worst.sites
		unexplained = slices.DeleteFunc(unexplained, func(c *crash) bool { return c.suspects[worst.part] != nil })
	}
}

// mostLikely returns the most likely cause of the crashes, or nil if the evidence
// suffices against no part.
func (q *PartQuarantine) mostLikely(now time.Time, crashes []*crash) *charge {
	if len(crashes) < q.limits.Sites {
		return nil
	}
	// Few parts are named often enough to be looked at closely.
	sites := make(map[Part]int)
	for _, c := range crashes {
		for part := range c.suspects {
			sites[part]++
		}
	}
	charges := make(map[Part]*charge)
	for _, c := range crashes {
		for part, s := range c.suspects {
			if sites[part] < q.limits.Sites || q.trusted(c.at, part) || q.expired(now, c.at, part) {
				continue
			}
			if charges[part] == nil {
				charges[part] = &charge{part: part, cleared: q.wasCleared(part)}
			}
			charges[part].add(q.limits, c.at, s)
		}
	}
	var worst *charge
	for _, candidate := range charges {
		if candidate.suffices(q.limits, crashes) && (worst == nil || candidate.outweighs(worst)) {
			worst = candidate
		}
	}
	return worst
}

// trusted reports whether a crash at a time doesn't count against a part.
func (q *PartQuarantine) trusted(crashedAt time.Time, part Part) bool {
	r, found := q.records.Peek(part)
	return found && !r.clearedAt.IsZero() && !crashedAt.After(r.clearedAt.Add(q.limits.Trust))
}

// expired reports whether a crash at a time no longer counts against a part that was
// cleared before.
func (q *PartQuarantine) expired(now, crashedAt time.Time, part Part) bool {
	return q.wasCleared(part) && now.Sub(crashedAt) >= q.limits.ClearedExpiry
}

func (q *PartQuarantine) wasCleared(part Part) bool {
	r, found := q.records.Peek(part)
	return found && !r.clearedAt.IsZero()
}

func (q *PartQuarantine) record(part Part) *partRecord {
	r, found := q.records.Get(part)
	if !found {
		r = &partRecord{}
		q.records.Add(part, r)
	}
	return r
}

// takePending returns the own clearances that are due.
func (q *PartQuarantine) takePending(now time.Time) []Clearance {
	var clearances []Clearance
	for _, part := range slices.Sorted(maps.Keys(q.pending)) {
		r := q.record(part)
		if now.Sub(r.reportedAt) < q.limits.Trust {
			continue
		}
		r.reportedAt = now
		clearances = append(clearances, Clearance{Part: part, Age: now.Sub(r.clearedAt)})
	}
	clear(q.pending)
	return clearances
}

func (q *PartQuarantine) checkNoLaterThan(t time.Time) {
	if q.checkAt.IsZero() || t.Before(q.checkAt) {
		q.checkAt = t
	}
}
