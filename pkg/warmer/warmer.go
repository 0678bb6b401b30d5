// Package warmer decides whether one entry instance may send a request to a backend
// server that is cold. A server that has just started tolerates only a certain rate of
// requests from all entry instances together. Without exchanging messages, the entry
// instances with the highest rendezvous weights for the server divide the rate among
// themselves; the others send it nothing.
//
// # Usage
//
//	w := warmer.New(now, self)
//	w.SetEntries(now, entries, fewest)
//	w.Update(now, listed, idle)
//	if w.Allowed(now, server) {
//		allowance := w.Use(now, server)
//		// Immediately before the first byte is sent:
//		allowance, ok = w.Confirm(now, server, allowance)
//	}
//
// A server is named by its ID and incarnation. The package does no I/O; times are passed
// in.
package warmer

import (
	"slices"
	"strings"
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/enumerator"
)

const (
	// probePrecedence is for how long an entry in the list, which may be up to two seconds
	// old, does not end a warm-up that a server has stated in response to a probe.
	probePrecedence = 2500 * time.Millisecond
	// serverRetention is how long a server that is not listed is remembered.
	serverRetention = 10 * time.Minute
	// After a warm-up the rate doubles every rampStep for rampTime before the limit ends,
	// so that the rate has no step.
	rampStep = 500 * time.Millisecond
	rampTime = 2 * time.Second
)

// Limit is the limit of a service's cold servers.
type Limit struct {
	// WarmUp is how long a server is cold after its start.
	WarmUp time.Duration
	// PerSecond is the rate that a cold server tolerates from all entry instances. Zero
	// means that there is no limit.
	PerSecond float64
	// Overage and Slack give the most requests that it may get in any one second:
	// PerSecond times Overage plus Slack. If both are zero, PerSecond is the most.
	Overage, Slack float64
}

// rate returns the rate that the entry instances divide among themselves.
func (l Limit) rate() float64 {
	if l.Overage <= 0 && l.Slack <= 0 {
		return l.PerSecond
	}
	return min(l.PerSecond, l.PerSecond*l.Overage+l.Slack)
}

// Statement is what a server's entry says of its warm-up.
type Statement struct {
	// Stated reports whether the entry says anything.
	Stated bool
	// Left is the remaining time; zero means that the server is warm.
	Left time.Duration
	// Count is the count of the server's reports, or zero if they are not counted. It tells
	// a new warm-up from a repeated statement.
	Count uint64
}

// Listed is a server in the list of backend servers.
type Listed struct {
	Server    string
	Limit     Limit
	Statement Statement
}

// Change is a server that has become cold or warm.
type Change struct {
	Server string
	Cold   bool
	// Left is the remaining time of the warm-up.
	Left time.Duration
}

// Warmer holds what one entry instance knows of cold servers. It is not safe for
// concurrent use.
type Warmer struct {
	self  string
	fleet *enumerator.Enumerator
	// allowedFrom is when the first request may be sent to a cold server: the process
	// before this one may have used its part of the rate until it ended.
	allowedFrom time.Time
	servers     map[string]*server
	// listed reports whether a list has been applied, so that an unknown server has started
	// since.
	listed bool
}

// server is what is known of one server.
type server struct {
	limit Limit
	// statement is the last one in the list.
	statement Statement
	listedAt  time.Time
	// until is the end of the warm-up, or zero; since is when it became known, and probedAt
	// when the server last stated it in response to a probe.
	until, since, probedAt time.Time
	// reported says that the change to cold was returned by Changes.
	reported bool
	// rank is the number of entry instances with a higher weight, if ranked is set.
	rank   int
	ranked bool
	// notBefore is the earliest next allowance, and used holds the recent ones.
	notBefore time.Time
	used      []time.Time
}

// New returns a Warmer of a process that starts now and knows no server.
func New(now time.Time, self string) *Warmer {
	return &Warmer{self: self, fleet: newFleet(self), allowedFrom: now.Add(window), servers: make(map[string]*server)}
}

// Update applies a list of servers. With idle, the system has had no request since its
// first start, so that servers that start now are not cold.
func (w *Warmer) Update(now time.Time, listed []Listed, idle bool) {
	if idle {
		w.listed = false
	}
	for _, l := range listed {
		w.Observe(now, l)
	}
	w.listed = w.listed || len(listed) > 0
	for name, s := range w.servers {
		if now.Sub(s.listedAt) > serverRetention {
			delete(w.servers, name)
		}
	}
}

// Observe applies the entry of one server, whether its service has a limit or not. A
// repeated statement is no news. A server that was not in an earlier list has started and is
// cold, unless its entry says how long it is.
func (w *Warmer) Observe(now time.Time, l Listed) {
	s, known := w.servers[l.Server]
	if !known {
		s = &server{}
		w.servers[l.Server] = s
	}
	s.limit, s.listedAt = l.Limit, now
	if !l.Statement.Stated {
		// A build that does not know of warm-ups may have passed the entry on.
		if !known && w.listed {
			w.NoteStart(now, l.Server)
		}
		return
	}
	previous := s.statement
	s.statement = l.Statement
	switch {
	case l.Statement == previous:
	case l.Statement.Left > 0:
		// The statement may be older than one that is known, but not newer than its arrival,
		// so that the latest end is never too early.
		s.begin(now, max(l.Statement.Left, s.until.Sub(now)))
	case now.Sub(s.probedAt) < probePrecedence:
		// The entry may be older than the probe, in which the server was cold.
	case previous.Left > 0 || !previous.Stated:
		s.end(now)
	}
}

// ObserveProbe applies what a server states in response to a probe that was sent at
// sentAt.
func (w *Warmer) ObserveProbe(now, sentAt time.Time, name string, left time.Duration) {
	s, known := w.servers[name]
	switch {
	case !known || s.limit.PerSecond <= 0:
	case left > 0:
		s.begin(now, left)
		s.probedAt = now
	case !sentAt.Before(s.since):
		s.end(now)
	}
}

// NoteStart records that a server has started.
func (w *Warmer) NoteStart(now time.Time, name string) {
	if s, known := w.servers[name]; known && s.limit.PerSecond > 0 && s.limit.WarmUp > 0 {
		s.begin(now, s.limit.WarmUp)
	}
}

// NoteReturn records that a server may get requests again after it got none for a while,
// as after the evacuation of its data centre. A shorter warm-up than the known one is
// ignored.
func (w *Warmer) NoteReturn(now time.Time, name string) {
	if s, known := w.servers[name]; known && s.until.Before(now.Add(s.limit.WarmUp)) {
		w.NoteStart(now, name)
	}
}

// Cold returns how many servers are cold.
func (w *Warmer) Cold(now time.Time) int {
	n := 0
	for _, s := range w.servers {
		if s.isCold(now) {
			n++
		}
	}
	return n
}

// Changes returns the servers that have become cold or warm since the last call, sorted.
func (w *Warmer) Changes(now time.Time) []Change {
	var changes []Change
	for name, s := range w.servers {
		if cold := s.isCold(now); cold != s.reported {
			s.reported = cold
			changes = append(changes, Change{Server: name, Cold: cold, Left: max(0, s.until.Sub(now))})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(a.Server, b.Server) })
	return changes
}

func (s *server) begin(now time.Time, left time.Duration) {
	if !s.isLimited(now) {
		s.ranked, s.since = false, now
	}
	s.until = now.Add(left)
}

// end ends the warm-up. What follows is the same as if its time had passed.
func (s *server) end(now time.Time) {
	if s.until.After(now) {
		s.until = now
	}
}

// isCold reports whether the server is in its warm-up.
func (s *server) isCold(now time.Time) bool { return s.limit.PerSecond > 0 && now.Before(s.until) }

// isLimited reports whether the server is in its warm-up, or its rate still rises.
func (s *server) isLimited(now time.Time) bool {
	return s.limit.PerSecond > 0 && !s.until.IsZero() && now.Before(s.until.Add(rampTime))
}

// rate returns the rate that the server may get from all entry instances.
func (s *server) rate(now time.Time) float64 {
	rate := s.limit.rate()
	for step := s.until; !now.Before(step); step = step.Add(rampStep) {
		rate *= 2
	}
	return rate
}
