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

// Suspicions decides which instances that respond to no probe are lost. An entry instance
// whose own path is congested gets no response from any instance, so a missing response
// counts only if others respond. It does no I/O and is not safe for concurrent use.
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
func (s *Suspicions) Judge(now time.Time, id, incarnation string, path PathEvidence) Verdict {
	if !path.Disturbed() {
		delete(s.byID, id)
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

// Since returns the start of the series of unanswered probes of an instance, or now if
// there is none.
func (s *Suspicions) Since(now time.Time, id string) time.Time {
	if current, found := s.byID[id]; found {
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
