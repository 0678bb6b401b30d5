package tracker

import "time"

const (
	// contradictionTTL is how long it counts that a peer reached a server that did not
	// respond here.
	contradictionTTL = 2 * time.Second
	// contradictionsOfCut is the number of places with a contradicted server from which
	// the path is cut.
	contradictionsOfCut = 2
	// responsesAfterFailure is the number of responses in a row that make a server
	// reachable again over a path that is cut.
	responsesAfterFailure = 2
	// restoredAfter is how long no server must have failed until the path counts as whole.
	restoredAfter = 3 * time.Second
	// minorityDivisor is the ratio of all servers to those that are so few that their failure
	// need not be one of the path, unless peers have reached one of them recently.
	minorityDivisor = 4
)

// Path decides whether the path from this entry instance to the backend servers is cut: one
// way or both, to all of them or to many. Servers that fail are no sign of it unless peers
// reach them. While the path is cut, a server is reachable only if it has responded since.
// It does no I/O and is not safe for concurrent use.
type Path struct {
	cut   bool
	since time.Time
	// contradictions holds the servers that did not respond here while a peer reached them.
	contradictions map[string]contradiction
	// lastContradiction is when a peer last reached a server that did not respond here.
	lastContradiction time.Time
	// lastFailure is when a server last failed to respond, while the path is cut.
	lastFailure time.Time
	// pairs holds what is known of each server since the path was found cut.
	pairs map[string]pairState
}

type contradiction struct {
	place Place
	at    time.Time
}

// pairState is what is known of the path to one server.
type pairState struct {
	// responses is the number of responses in a row.
	responses int
	// failedSince is the time of the first failure, or zero.
	failedSince time.Time
}

func (s pairState) reachable() bool {
	return s.responses >= responsesAfterFailure || s.responses > 0 && s.failedSince.IsZero()
}

// NewPath returns a Path that is whole.
func NewPath() *Path { return &Path{contradictions: make(map[string]contradiction)} }

// Cut reports whether the path is cut.
func (p *Path) Cut() bool { return p.cut }

// Since returns the time at which the path was found cut.
func (p *Path) Since() time.Time { return p.since }

// Contradict records that a server did not respond here while a peer reached it, and what
// probes of other servers said of the path. It reports whether the path is found cut by it.
func (p *Path) Contradict(now time.Time, id string, place Place, evidence PathEvidence) bool {
	p.prune(now)
	p.contradictions[id], p.lastContradiction = contradiction{place: place, at: now}, now
	if p.cut {
		return false
	}
	places := make(map[Place]bool)
	for _, c := range p.contradictions {
		places[c.place] = true
	}
	if len(places) < contradictionsOfCut && !evidence.Disturbed() {
		return false
	}
	p.cut, p.since, p.lastFailure = true, now, now
	p.pairs = make(map[string]pairState)
	for other := range p.contradictions {
		p.Fail(now, other)
	}
	return true
}

// Contradicted reports whether peers have recently reached another server than this one
// that did not respond here.
func (p *Path) Contradicted(now time.Time, id string) bool {
	for other, c := range p.contradictions {
		if other != id && now.Sub(c.at) < contradictionTTL {
			return true
		}
	}
	return false
}

// Fail records that a server did not respond.
func (p *Path) Fail(now time.Time, id string) {
	if !p.cut {
		return
	}
	p.lastFailure = now
	s := p.pairs[id]
	if s.failedSince.IsZero() {
		s.failedSince = now
	}
	s.responses = 0
	p.pairs[id] = s
}

// Respond records that a server responded.
func (p *Path) Respond(id string) {
	delete(p.contradictions, id)
	if !p.cut {
		return
	}
	s := p.pairs[id]
	s.responses++
	p.pairs[id] = s
}

// Reachable reports whether a server can be sent requests as far as the path is concerned.
func (p *Path) Reachable(id string) bool { return !p.cut || p.pairs[id].reachable() }

// FailedSince returns the time since which a server has not been reachable over a path that
// is cut, and whether that is known: a server of which nothing is known has not failed.
func (p *Path) FailedSince(id string) (time.Time, bool) {
	s := p.pairs[id]
	return s.failedSince, p.cut && !s.failedSince.IsZero() && !s.reachable()
}

// Restore ends the cut if all of the given servers are reachable, none has failed for some
// time, or few are unreachable and no peer has reached one of them for some time: those may
// have failed themselves. It reports whether the path is whole again by it.
func (p *Path) Restore(now time.Time, servers []string) bool {
	p.prune(now)
	if !p.cut {
		return false
	}
	if now.Sub(p.lastFailure) < restoredAfter {
		unreachable := 0
		for _, id := range servers {
			if !p.Reachable(id) {
				unreachable++
			}
		}
		few := minorityDivisor*unreachable <= len(servers) && now.Sub(p.lastContradiction) >= restoredAfter
		if unreachable > 0 && !few {
			return false
		}
	}
	p.cut, p.pairs = false, nil
	clear(p.contradictions)
	return true
}

func (p *Path) prune(now time.Time) {
	for id, c := range p.contradictions {
		if now.Sub(c.at) >= contradictionTTL {
			delete(p.contradictions, id)
		}
	}
}
