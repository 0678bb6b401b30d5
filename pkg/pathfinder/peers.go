package pathfinder

import (
	"math/rand/v2"
	"time"
)

// Peer is an entry instance that may be asked to send a request.
type Peer struct {
	ID         string
	DataCentre string
	// Cut reports whether the peer itself says that its path to most servers is cut.
	Cut bool
}

// Outcome is what became of a request at a peer.
type Outcome int

// Outcomes of a hop.
const (
	// Answered means that the peer returned the response of a backend server, or refused
	// this request for a reason of its own.
	Answered Outcome = iota // answered
	// Declined means that the peer can send no request of this pool.
	Declined // declined
	// Failed means that the peer could not be reached, went silent or broke the hop.
	Failed // failed
)

const (
	// failedPause is how long a peer that failed is asked nothing: gossip takes about
	// that long to tell that it is gone.
	failedPause = time.Second
	// minDeclinedPause and maxDeclinedPause bound how long a peer that declined a request
	// is asked for no other one of the same pool.
	minDeclinedPause = 50 * time.Millisecond
	maxDeclinedPause = time.Second
	// farPenalty is added to the requests in progress of a peer in another data centre.
	farPenalty = 4
	// cutPenalty is the same for a peer whose path is cut to most servers: it may reach those
	// that can't be reached from here.
	cutPenalty = 1000
	// maxInProgress is the largest number of requests in progress at one peer.
	maxInProgress = 64
)

// Peers chooses among the peers. It is not safe for concurrent use.
type Peers struct {
	random *rand.Rand
	byID   map[string]*load
}

// load is what is known of the requests that a peer was asked to send.
type load struct {
	inProgress  int
	pausedUntil time.Time
	// poolPausedUntil holds the pools for which the peer is asked nothing until a time.
	poolPausedUntil map[string]time.Time
}

func (l *load) paused(now time.Time, pool string) bool {
	return now.Before(l.pausedUntil) || now.Before(l.poolPausedUntil[pool])
}

// idle reports whether nothing is known of the peer.
func (l *load) idle(now time.Time) bool {
	for _, until := range l.poolPausedUntil {
		if now.Before(until) {
			return false
		}
	}
	return l.inProgress == 0 && !now.Before(l.pausedUntil)
}

// NewPeers returns Peers without requests. Ties are broken by random.
func NewPeers(random *rand.Rand) *Peers {
	return &Peers{random: random, byID: make(map[string]*load)}
}

// Choose returns the peer to ask for a request of a pool: the one with the fewest requests in
// progress from here, near ones first and those that say that they are cut themselves last,
// except those that were tried for this request, or that have failed, or declined one of the
// pool, lately. It reports false if there is none.
func (p *Peers) Choose(now time.Time, dataCentre, pool string, peers []Peer, tried map[string]bool) (Peer, bool) {
	p.prune(now)
	var best Peer
	bestCost, ties := 0, 0
	for _, peer := range peers {
		l := p.byID[peer.ID]
		if tried[peer.ID] || l != nil && (l.paused(now, pool) || l.inProgress >= maxInProgress) {
			continue
		}
		cost := 0
		if l != nil {
			cost = l.inProgress
		}
		if peer.DataCentre != dataCentre {
			cost += farPenalty
		}
		if peer.Cut {
			cost += cutPenalty
		}
		switch {
		case ties == 0 || cost < bestCost:
			best, bestCost, ties = peer, cost, 1
		case cost == bestCost:
			ties++
			if p.random.IntN(ties) == 0 {
				best = peer
			}
		}
	}
	return best, ties > 0
}

// Begin records that a peer is asked to send a request.
func (p *Peers) Begin(id string) {
	l := p.byID[id]
	if l == nil {
		l = &load{}
		p.byID[id] = l
	}
	l.inProgress++
}

// End records what became of a request of a pool at a peer. A peer that declined it is asked
// for no other one of the pool until the time after which it wants to be asked again, within
// bounds; one that failed is asked nothing for a while.
func (p *Peers) End(now time.Time, id, pool string, outcome Outcome, retryAfter time.Duration) {
	l := p.byID[id]
	if l == nil {
		return
	}
	l.inProgress--
	switch outcome {
	case Declined:
		if l.poolPausedUntil == nil {
			l.poolPausedUntil = make(map[string]time.Time)
		}
		l.poolPausedUntil[pool] = now.Add(min(max(retryAfter, minDeclinedPause), maxDeclinedPause))
	case Failed:
		l.pausedUntil = now.Add(failedPause)
	}
}

// prune forgets peers without requests that may be asked.
func (p *Peers) prune(now time.Time) {
	for id, l := range p.byID {
		if l.idle(now) {
			delete(p.byID, id)
		}
	}
}

// InProgress returns the number of requests in progress at all peers.
func (p *Peers) InProgress() int {
	sum := 0
	for _, l := range p.byID {
		sum += l.inProgress
	}
	return sum
}
