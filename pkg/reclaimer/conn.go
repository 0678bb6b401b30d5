package reclaimer

import (
	"slices"
	"time"
)

// phase is what a connection is doing.
type phase int

const (
	// phaseHead means that the head of a request is awaited on a new connection, or has begun.
	phaseHead phase = iota
	// phaseServing means that there is a request.
	phaseServing
	// phaseIdle means that the last request has ended and none has begun.
	phaseIdle
	// phaseClosed means that the connection has been closed or has given way.
	phaseClosed
)

// Conn is the place of one connection. Its methods do nothing once it is closed or has given
// way.
type Conn[O any] struct {
	reclaimer *Reclaimer[O]
	owner     O
	// index is the place in the reclaimer's list.
	index int
	phase phase
	// since is when the phase began.
	since time.Time
	// unreadSince is when the client stopped taking its response, or zero.
	unreadSince time.Time
	claims      []*Claim[O]
}

// BeginHead says that the first byte of a request has arrived on an idle connection.
func (c *Conn[O]) BeginHead(now time.Time) {
	c.reclaimer.mu.Lock()
	defer c.reclaimer.mu.Unlock()
	if c.phase == phaseIdle {
		c.phase, c.since = phaseHead, now
	}
}

// Serve says that the head of a request has arrived whole.
func (c *Conn[O]) Serve(now time.Time) { c.enter(now, phaseServing) }

// Rest says that the last response has been sent.
func (c *Conn[O]) Rest(now time.Time) { c.enter(now, phaseIdle) }

func (c *Conn[O]) enter(now time.Time, p phase) {
	c.reclaimer.mu.Lock()
	defer c.reclaimer.mu.Unlock()
	if c.phase != phaseClosed {
		c.phase, c.since = p, now
	}
}

// SetUnread says since when the client takes nothing of its response; zero means that it does.
func (c *Conn[O]) SetUnread(since time.Time) {
	c.reclaimer.mu.Lock()
	defer c.reclaimer.mu.Unlock()
	c.unreadSince = since
}

// NewClaim returns a claim on memory for a request on the connection. It takes nothing yet.
func (c *Conn[O]) NewClaim(now time.Time, owner O) *Claim[O] {
	r := c.reclaimer
	r.mu.Lock()
	defer r.mu.Unlock()
	claim := &Claim[O]{conn: c, owner: owner, mark: now, index: len(r.incomplete)}
	r.incomplete = append(r.incomplete, claim)
	c.claims = append(c.claims, claim)
	return claim
}

// heldUp returns since when the connection has held up its server, and why. It reports false
// if it does not.
func (c *Conn[O]) heldUp() (since time.Time, reason Reason, holdsUp bool) {
	switch {
	case c.phase == phaseHead:
		return c.since, ReasonStalled, true
	case !c.unreadSince.IsZero():
		return c.unreadSince, ReasonUnread, true
	case len(c.claims) == 0:
		return time.Time{}, ReasonStalled, false
	}
	for _, claim := range c.claims {
		if !claim.incomplete() {
			return time.Time{}, ReasonStalled, false
		}
		if claim.mark.After(since) {
			since = claim.mark
		}
	}
	return since, ReasonStalled, true
}

// Close gives the place back, and the memory of the claims that are incomplete. The others are
// closed by their owners. It may be called more than once.
func (c *Conn[O]) Close() {
	c.reclaimer.mu.Lock()
	defer c.reclaimer.mu.Unlock()
	c.remove()
}

// giveWay ends the connection for a reason.
func (c *Conn[O]) giveWay(reason Reason) Victim[O] {
	c.remove()
	return Victim[O]{Owner: c.owner, Reason: reason}
}

func (c *Conn[O]) remove() {
	if c.phase == phaseClosed {
		return
	}
	c.phase = phaseClosed
	r := c.reclaimer
	last := r.conns[len(r.conns)-1]
	r.conns[c.index], last.index = last, c.index
	r.conns[len(r.conns)-1] = nil
	r.conns = r.conns[:len(r.conns)-1]
	for _, claim := range slices.Clone(c.claims) {
		if claim.incomplete() {
			claim.end()
		}
	}
}
