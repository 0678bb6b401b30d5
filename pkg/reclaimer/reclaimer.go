// Package reclaimer decides which connections and which requests of clients give way when
// memory or connections are short. Clients may open connections and send nothing, or stop
// just short of the end of a large body; what they hold is taken back for others, and only
// while it is needed.
//
// # Usage
//
//	r := reclaimer.New[owner](reclaimer.Limits{Memory: 16 << 20, Connections: 500, Grace: time.Second})
//	conn, victims, err := r.Open(now, owner)
//	conn.Serve(now)
//	claim := conn.NewClaim(now, requestOwner)
//	claim.Advance(now, n)
//	victims, err = claim.Resize(now, arrived)
//	claim.Complete()
//	claim.Close()
//	conn.Rest(now)
//	conn.Close()
//
// Sizes are in bytes. The caller passes the time and does what is decided: a victim has lost
// its place and its memory already, and its owner ends the request or closes the connection.
// Errors are of type *[Error]; no error changes anything.
//
// # Who gives way
//
// If memory is short, the incomplete requests without progress for the longest time, at least
// for the grace; if they don't suffice, the request that grows. If connections are short, the
// connection that holds up its server for the longest time, at least for the grace: it has no
// whole request, or takes nothing of its response. Then the connection that has been idle
// for the longest time, and then the new one. A request that has arrived whole never gives
// way.
package reclaimer

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/bounder"
	"github.com/waxwingmount/waxwingmount/pkg/faulter"
)

//go:generate stringer -type=Kind,Reason -trimprefix=Kind -linecomment -output=kind_string.go

// Kind classifies the errors of this package.
type Kind int

// Kinds of errors.
const (
	// KindNoMemory means that the memory is in use by others that make progress.
	KindNoMemory Kind = iota
	// KindNoConnection means that all connections are in use.
	KindNoConnection
	// KindReclaimed means that a claim has given way.
	KindReclaimed
)

// Error is the error type of this package.
type Error = faulter.Error[Kind]

// Reason is why a victim gives way.
type Reason int

// Reasons.
const (
	// ReasonStalled means that a request is incomplete and makes no progress.
	ReasonStalled Reason = iota // stalled
	// ReasonUnread means that the client takes nothing of its response.
	ReasonUnread // unread
	// ReasonIdle means that a connection has been without a request for the longest time.
	ReasonIdle // idle
	// ReasonHeadTimeout means that a request's head took too long.
	ReasonHeadTimeout // head_timeout
	// ReasonIdleTimeout means that a connection was idle for too long.
	ReasonIdleTimeout // idle_timeout
)

const (
	// progressBytes is what must arrive of a request to count as progress.
	progressBytes = 4 << 10
	// smallClaim is the size up to which a claim may use the reserve.
	smallClaim = 64 << 10
	// reserveDivisor is the ratio of the memory to its reserve for small claims.
	reserveDivisor = 8
)

// Limits are what a Reclaimer divides. Zero means no limit.
type Limits struct {
	// Memory is what all claims may take together, and Part the part of a pool from which they
	// take it. Part may be nil.
	Memory      int64
	Part        *bounder.Part
	Connections int
	// Grace is the time without progress after which something may be reclaimed.
	Grace time.Duration
}

// Victim is what gives way.
type Victim[O any] struct {
	Owner  O
	Reason Reason
}

// Reclaimer divides memory and connections among clients. It is safe for concurrent use.
type Reclaimer[O any] struct {
	limits Limits

	mu    sync.Mutex
	used  int64
	conns []*Conn[O]
	// incomplete holds the claims of requests that have not arrived whole.
	incomplete []*Claim[O]
}

// New returns a Reclaimer without connections.
func New[O any](l Limits) *Reclaimer[O] {
	if l.Memory <= 0 {
		l.Memory = l.Part.Limit()
	}
	if l.Connections <= 0 {
		l.Connections = math.MaxInt
	}
	return &Reclaimer[O]{limits: l}
}

// Used returns how many bytes all claims take.
func (r *Reclaimer[O]) Used() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.used
}

// Connections returns how many connections are open.
func (r *Reclaimer[O]) Connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.conns)
}

// Open takes a place for a new connection. If there is none, one connection gives way, or the
// error is of [KindNoConnection].
func (r *Reclaimer[O]) Open(now time.Time, owner O) (*Conn[O], []Victim[O], error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var victims []Victim[O]
	if len(r.conns) >= r.limits.Connections {
		victim, reason := r.leastUseful(now)
		if victim == nil {
			return nil, nil, faulter.Newf("open connection", KindNoConnection, "all %d are in use", r.limits.Connections)
		}
		victims = append(victims, victim.giveWay(reason))
	}
	c := &Conn[O]{reclaimer: r, owner: owner, since: now, index: len(r.conns)}
	r.conns = append(r.conns, c)
	return c, victims, nil
}

// leastUseful returns the connection that gives way to a new one, or nil.
func (r *Reclaimer[O]) leastUseful(now time.Time) (*Conn[O], Reason) {
	var held, idle *Conn[O]
	var heldSince time.Time
	var reason Reason
	for _, c := range r.conns {
		if c.phase == phaseIdle {
			if idle == nil || c.since.Before(idle.since) {
				idle = c
			}
			continue
		}
		since, why, holdsUp := c.heldUp()
		if holdsUp && now.Sub(since) >= r.limits.Grace && (held == nil || since.Before(heldSince)) {
			held, heldSince, reason = c, since, why
		}
	}
	if held != nil {
		return held, reason
	}
	return idle, ReasonIdle
}

// Expire makes the connections give way whose head has taken headTimeout, or that have been
// idle for idleTimeout. Zero means that there is no such timeout.
func (r *Reclaimer[O]) Expire(now time.Time, headTimeout, idleTimeout time.Duration) []Victim[O] {
	r.mu.Lock()
	defer r.mu.Unlock()
	var victims []Victim[O]
	for _, c := range slices.Clone(r.conns) {
		age := now.Sub(c.since)
		switch {
		case c.phase == phaseHead && headTimeout > 0 && age >= headTimeout:
			victims = append(victims, c.giveWay(ReasonHeadTimeout))
		case c.phase == phaseIdle && idleTimeout > 0 && age >= idleTimeout:
			victims = append(victims, c.giveWay(ReasonIdleTimeout))
		}
	}
	return victims
}

// available returns what a claim of that size leaves of the memory for all claims. The caller
// holds the lock.
func (r *Reclaimer[O]) available(size int64) int64 {
	limit := r.limits.Memory
	if room := r.limits.Part.Room(); room < limit-r.used {
		limit = r.used + room
	}
	if size > smallClaim {
		limit -= r.limits.Memory / reserveDivisor
	}
	return limit
}

// take changes what all claims take. The caller holds the lock.
func (r *Reclaimer[O]) take(bytes int64) {
	r.used += bytes
	r.limits.Part.Use(bytes)
}

// reclaim makes stalled claims give way until so many bytes are free below the limit. It
// returns false, and changes nothing, if they don't suffice. The caller holds the lock.
func (r *Reclaimer[O]) reclaim(now time.Time, wanted int64, limit int64, except *Claim[O]) ([]Victim[O], bool) {
	missing := r.used + wanted - limit
	if missing <= 0 {
		return nil, true
	}
	var stalled []*Claim[O]
	var free int64
	for _, c := range r.incomplete {
		if c != except && c.size > 0 && now.Sub(c.mark) >= r.limits.Grace {
			stalled = append(stalled, c)
			free += c.size
		}
	}
	if free < missing {
		return nil, false
	}
	slices.SortFunc(stalled, func(a, b *Claim[O]) int { return a.mark.Compare(b.mark) })
	var victims []Victim[O]
	for _, c := range stalled {
		if missing <= 0 {
			break
		}
		missing -= c.size
		victims = append(victims, c.giveWay())
	}
	return victims, true
}
