// Package screener decides whether a backend server may be sent a request now, from all
// that is known of it: what the server says of itself, what others have seen of it, and
// what earlier requests met.
//
// # Usage
//
//	s := screener.New()
//	s.Defer(now, server, retryAfter)
//	verdict, until := s.Screen(now, server, screener.Evidence{Lost: lost})
//	if verdict == screener.Eligible { send }
//
// A server is named by its ID and incarnation, so that what one incarnation has said does
// not bind the next. The package does no I/O; times are passed in.
package screener

import "time"

//go:generate stringer -type=Verdict -linecomment -output=verdict_string.go

// Verdict is the decision on one server.
type Verdict int

// Verdicts, from the strongest reason to the weakest. The line comments are the names in
// logs.
const (
	// Eligible means that the server may be sent a request.
	Eligible Verdict = iota // eligible
	// Lost means that the server is known to be lost.
	Lost // lost
	// Leaving means that the server or the list says that it leaves.
	Leaving // leaves
	// Evacuated means that the server's data centre is evacuated.
	Evacuated // evacuated
	// Deferred means that the server wants nothing until a time.
	Deferred // wants_nothing_until
	// Ejected means that earlier requests failed there, until a time.
	Ejected // ejected
	// Cold means that the server is cold and this entry instance may not send it a request
	// now.
	Cold // cold
	// NoPermit means that the server limits its requests and there is no permit.
	NoPermit // no_permit
)

// Evidence is what the caller knows of a server.
type Evidence struct {
	Lost, Leaving, Evacuated bool
	// EjectedUntil is the time until which the server gets no requests because earlier
	// ones failed, or zero.
	EjectedUntil time.Time
	// Cold means that the server is cold and this entry instance may not send it a request
	// now.
	Cold bool
	// NoPermit means that the server limits its requests and there is no permit.
	NoPermit bool
}

// MaxDeferral bounds the time for which a server is taken at its word. A server that wants
// nothing for longer is gone, or its clock is wrong, and one request now and then does it
// no harm.
const MaxDeferral = 10 * time.Minute

const (
	// answerTTL is how long the last answer of a server is remembered.
	answerTTL = 10 * time.Second
	// answerPruneInterval is the time between two removals of old answers.
	answerPruneInterval = time.Second
)

// Screener holds what the servers have said of themselves. It is not safe for concurrent
// use.
type Screener struct {
	// deferredUntil is the time until which a server wants nothing, by server.
	deferredUntil map[string]time.Time
	// answeredAt is when a server last answered without saying that it leaves, by server.
	answeredAt     map[string]time.Time
	answersPruneAt time.Time
}

// New returns a Screener that knows of no server.
func New() *Screener {
	return &Screener{deferredUntil: make(map[string]time.Time), answeredAt: make(map[string]time.Time)}
}

// NoteAnswer records that a server has answered, and whether it said that it leaves.
func (s *Screener) NoteAnswer(now time.Time, server string, leaving bool) {
	if !now.Before(s.answersPruneAt) {
		s.answersPruneAt = now.Add(answerPruneInterval)
		for other, at := range s.answeredAt {
			if now.Sub(at) >= answerTTL {
				delete(s.answeredAt, other)
			}
		}
	}
	if leaving {
		delete(s.answeredAt, server)
		return
	}
	s.answeredAt[server] = now
}

// HasAnswered reports whether a server has answered within maxAge without saying that it
// leaves, so that its entry in the list needs no confirmation. Times up to 10 s are
// remembered.
func (s *Screener) HasAnswered(now time.Time, server string, maxAge time.Duration) bool {
	at, found := s.answeredAt[server]
	return found && now.Sub(at) < maxAge
}

// Defer records that a server wants nothing for a time. A later statement does not
// shorten an earlier one. It reports whether the time has changed.
func (s *Screener) Defer(now time.Time, server string, wait time.Duration) bool {
	s.prune(now)
	until := now.Add(min(wait, MaxDeferral))
	if wait <= 0 || !until.After(s.deferredUntil[server]) {
		return false
	}
	s.deferredUntil[server] = until
	return true
}

// Screen returns the verdict on a server and, for Deferred and Ejected, the time until
// which it holds.
func (s *Screener) Screen(now time.Time, server string, e Evidence) (Verdict, time.Time) {
	switch until := s.deferredUntil[server]; {
	case e.Lost:
		return Lost, time.Time{}
	case e.Leaving:
		return Leaving, time.Time{}
	case e.Evacuated:
		return Evacuated, time.Time{}
	case now.Before(until):
		return Deferred, until
	case !now.After(e.EjectedUntil):
		return Ejected, e.EjectedUntil
	case e.Cold:
		return Cold, time.Time{}
	case e.NoPermit:
		return NoPermit, time.Time{}
	}
	return Eligible, time.Time{}
}

// prune forgets the servers whose time has passed.
func (s *Screener) prune(now time.Time) {
	for server, until := range s.deferredUntil {
		if !now.Before(until) {
			delete(s.deferredUntil, server)
		}
	}
}
