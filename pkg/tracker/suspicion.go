package tracker

import "time"

//go:generate stringer -type=Verdict -linecomment -output=verdict_string.go

// Verdict says what an unanswered probe means for an instance.
type Verdict int

const (
	// Undecided means that the fault may be on the path from here.
	Undecided Verdict = iota // undecided
	// LostHere means that the instance can't be reached from here, which says nothing
	// about other entry instances.
	LostHere // lost_here
	// Lost means that the instance is lost for all entry instances.
	Lost // lost
)

const (
	// unconfirmedLossAge is how long an instance must have responded to no probe before it
	// counts as lost here although the path may be the cause.
	unconfirmedLossAge = 1200 * time.Millisecond
	// suspicionGap is the time between two unanswered probes from which they are no
	// evidence of one long failure.
	suspicionGap = time.Second
)

// PathEvidence is what probes of other instances, at the same moment, say about the path
// from here.
type PathEvidence struct {
	// References is the number of other instances that were probed.
	References int
	// Prompt is the number of those that responded promptly.
	Prompt int
}

// Disturbed reports whether the path from here is likely to be at fault.
func (e PathEvidence) Disturbed() bool { return e.References > 0 && e.Prompt == 0 }

// Sound reports whether most of the references responded promptly, so that silence says
// something about an instance to others too.
func (e PathEvidence) Sound() bool { return 2*e.Prompt > e.References || e.References == 0 }

// Evidence is what is known of an instance that did not respond.
type Evidence struct {
	// Refused reports whether its machine refused the connection.
	Refused bool
	Path    PathEvidence
	Peers   Testimonies
}

// Suspicions decides which instances that respond to no probe are lost. A missing response,
// and a refused connection, say something about this entry instance and the instance only,
// until a peer that should reach it does not either. It does no I/O and is not safe for
// concurrent use.
type Suspicions struct {
	byID map[string]suspicion
}

// suspicion is a series of unanswered probes without other evidence.
type suspicion struct {
	incarnation string
	since, last time.Time
}

// NewSuspicions returns Suspicions of no instance.
func NewSuspicions() *Suspicions { return &Suspicions{byID: make(map[string]suspicion)} }

// Judge returns the verdict on an incarnation of an instance that did not respond.
func (s *Suspicions) Judge(now time.Time, id, incarnation string, e Evidence) Verdict {
	switch {
	case e.Peers.Reached > 0:
		delete(s.byID, id)
		return LostHere
	case e.Peers.Silent > 0:
		delete(s.byID, id)
		return Lost
	case e.Refused || !e.Path.Disturbed():
		delete(s.byID, id)
		if e.Peers.Asked > 0 {
			return LostHere
		}
		return Lost
	}
	current, found := s.byID[id]
	if !found || current.incarnation != incarnation || now.Sub(current.last) > suspicionGap {
		current = suspicion{incarnation: incarnation, since: now}
	}
	current.last = now
	s.byID[id] = current
	if now.Sub(current.since) >= unconfirmedLossAge {
		return LostHere
	}
	return Undecided
}

// Since returns the start of the series of unanswered probes of an incarnation of an
// instance, or now if there is none.
func (s *Suspicions) Since(now time.Time, id, incarnation string) time.Time {
	if current, found := s.byID[id]; found && current.incarnation == incarnation {
		return current.since
	}
	return now
}

// Clear ends the suspicion of an instance that has responded.
func (s *Suspicions) Clear(id string) { delete(s.byID, id) }

// Prune forgets suspicions without a recent probe.
func (s *Suspicions) Prune(now time.Time) {
	for id, current := range s.byID {
		if now.Sub(current.last) > suspicionGap {
			delete(s.byID, id)
		}
	}
}
