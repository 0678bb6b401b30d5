package warmer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	searchTick = 10 * time.Millisecond
	// listLag is how late an entry instance learns of a change of the list, at most.
	listLag = 2 * time.Second
	// The limit of the first deployment: 26 requests in any second.
	searchWarmUp  = 10 * time.Second
	searchPerS    = 14
	searchOverage = 1.5
	searchSlack   = 5
	searchMost    = 26
	searchFewest  = 3
)

// faults are what happens to the entry instances of a search.
type faults struct {
	// blind is how many of the others each entry instance does not see. In each second
	// paused ones stop for up to 3 s, and with the probability killed one restarts. Every
	// 10 s, cut ones lose their peers and the list for up to 10 s, but not each other.
	blind, paused int
	killed        float64
	cut           int
}

// system is one backend server and the entry instances that send requests to it.
type system struct {
	now    time.Time
	random *rand.Rand
	limit  Limit
	procs  []*process
	faults faults
	// coldUntil is the end of the server's warm-up; coldAt is when it became cold, and count
	// the reports that said so.
	coldAt, coldUntil time.Time
	count             uint64
	sent              []time.Time
}

// process is one entry instance.
type process struct {
	id     string
	warmer *Warmer
	// hidden holds the others that it does not see, and gossipAt is when it sees any.
	hidden   map[int]bool
	gossipAt time.Time
	// Until these times it does not run, is down, or reaches no peer and no list.
	pausedUntil, downUntil, cutUntil time.Time
	// hearsAt is when it learns of the last change of the list; heard holds the count.
	hearsAt  time.Time
	heard    uint64
	requests []*request
}

// request is one on the way from the choice of the server to its first byte.
type request struct {
	at        time.Time
	allowance Allowance
}

func newSystem(seed uint64, entries int, f faults) *system {
	s := &system{
		now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 2)), faults: f,
		limit: Limit{WarmUp: searchWarmUp, PerSecond: searchPerS, Overage: searchOverage, Slack: searchSlack},
	}
	for i := range entries {
		p := &process{id: fmt.Sprintf("e%d", i), warmer: New(s.now, fmt.Sprintf("e%d", i))}
		s.procs = append(s.procs, p)
		s.hide(i)
		p.warmer.Update(s.now, []Listed{{Server: "s/1", Limit: s.limit, Statement: Statement{Stated: true}}}, false)
	}
	return s
}

// hide chooses the others that an entry instance does not see.
func (s *system) hide(i int) {
	s.procs[i].hidden = make(map[int]bool)
	for range s.faults.blind {
		s.procs[i].hidden[s.random.IntN(len(s.procs))] = true
	}
}

// run lets time pass while requests wait for the server at each entry instance.
func (s *system) run(d time.Duration) {
	for range int(d / searchTick) {
		s.now = s.now.Add(searchTick)
		if s.now.UnixNano()%int64(time.Second) == 0 {
			s.disturb()
		}
		for i, p := range s.procs {
			if !s.now.Before(p.pausedUntil) && !s.now.Before(p.downUntil) {
				s.step(i, p)
			}
		}
	}
}

// disturb pauses, restarts and cuts off some entry instances.
func (s *system) disturb() {
	pick := func() *process { return s.procs[s.random.IntN(len(s.procs))] }
	span := func(most time.Duration) time.Time { return s.now.Add(time.Duration(s.random.Int64N(int64(most)))) }
	for range s.faults.paused {
		p := pick()
		p.pausedUntil = span(3 * time.Second)
		if len(p.requests) > 0 && s.random.IntN(2) == 0 {
			// It stops between the last check and the first byte, which no check can prevent.
			p.requests = p.requests[1:]
			s.sent = append(s.sent, p.pausedUntil)
		}
	}
	if s.random.Float64() < s.faults.killed {
		p := pick()
		p.requests, p.heard, p.downUntil = nil, 0, span(time.Second)
		p.warmer = New(p.downUntil, p.id)
		p.hearsAt, p.gossipAt = p.downUntil, span(time.Second)
	}
	if s.now.Unix()%10 == 0 {
		first, until := s.random.IntN(len(s.procs)), span(10*time.Second)
		for i := range s.faults.cut {
			s.procs[(first+i)%len(s.procs)].cutUntil = until
		}
	}
	if s.faults.blind > 0 {
		s.hide(s.random.IntN(len(s.procs)))
	}
}

// step lets one entry instance hear of the others and of the list, send its requests and
// choose the server for another one.
func (s *system) step(i int, p *process) {
	reached := !s.now.Before(p.cutUntil)
	// A process that has just started reads the list before it serves.
	if p.heard < s.count && !s.now.Before(p.hearsAt) && (reached || p.heard == 0) {
		p.heard = s.count
		p.warmer.Update(s.now, []Listed{{Server: "s/1", Limit: s.limit, Statement: s.statement()}}, false)
	}
	if s.now.UnixNano()%int64(500*time.Millisecond) == 0 && (len(s.procs) < 100 || s.now.Unix()%2 == 0) {
		p.warmer.SetEntries(s.now, s.live(i, p), searchFewest)
	}
	kept := p.requests[:0]
	for _, r := range p.requests {
		if s.now.Before(r.at) {
			kept = append(kept, r)
		} else if _, ok := p.warmer.Confirm(s.now, "s/1", r.allowance); ok && p.heard == s.count {
			s.sent = append(s.sent, s.now)
		}
	}
	p.requests = kept
	// Before the server is known to be cold here, nothing is to be counted.
	if p.heard == s.count && s.count > 0 && p.warmer.Allowed(s.now, "s/1") {
		delay := time.Duration(s.random.IntN(30)) * time.Millisecond
		if s.faults.paused > 0 && s.random.IntN(20) == 0 {
			delay *= 15
		}
		p.requests = append(p.requests, &request{at: s.now.Add(delay), allowance: p.warmer.Use(s.now, "s/1")})
	}
}

// statement is what the entry of the server says.
func (s *system) statement() Statement {
	return Statement{Stated: true, Left: max(0, s.coldUntil.Sub(s.now)), Count: s.count}
}

// live returns the entry instances that one sees.
func (s *system) live(i int, p *process) []Entry {
	var live []Entry
	for j, other := range s.procs {
		hidden := p.hidden[j] || s.now.Before(p.gossipAt) || s.now.Before(p.cutUntil) != s.now.Before(other.cutUntil) || s.now.Before(other.downUntil)
		if i == j || !hidden {
			live = append(live, Entry{ID: other.id})
		}
	}
	return live
}

// chill makes the server cold.
func (s *system) chill() {
	s.coldAt, s.coldUntil = s.now, s.now.Add(searchWarmUp)
	s.count++
	for _, p := range s.procs {
		p.hearsAt = s.now.Add(time.Duration(s.random.Int64N(int64(listLag))))
	}
}

// most returns the largest number of requests in any second while the server was cold, and
// how many it got each second after all could know that.
func (s *system) most() (most int, used float64) {
	slices.SortFunc(s.sent, time.Time.Compare)
	from, first, total := s.coldAt.Add(listLag), 0, 0
	for i, at := range s.sent {
		if !at.After(s.coldAt) || !at.Before(s.coldUntil) {
			first = i + 1
			continue
		}
		for at.Sub(s.sent[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
		if !at.Before(from) {
			total++
		}
	}
	return most, float64(total) / s.coldUntil.Sub(from).Seconds()
}

// TestColdServerIsSpared guards against a cold server that gets more requests in a second
// than it tolerates, from entry instances that see different ones of the others, are paused
// before they send, are cut off or restart, and, in calm, against one that gets far fewer.
// A request at an instance that has not heard of the warm-up is not counted.
func TestColdServerIsSpared(t *testing.T) {
	for _, test := range []struct {
		entries int
		faults  faults
	}{
		{entries: 3}, {entries: 7}, {entries: 11}, {entries: 71}, {entries: 390},
		{entries: 3, faults: faults{paused: 1, killed: 0.3, cut: 1}},
		{entries: 7, faults: faults{blind: 1, paused: 1, killed: 0.3, cut: 2}},
		{entries: 71, faults: faults{blind: 4, paused: 3, killed: 1}},
		{entries: 71, faults: faults{blind: 4, paused: 3, killed: 1, cut: 24}},
		{entries: 390, faults: faults{blind: 20, paused: 5, killed: 1, cut: 130}},
	} {
		seeds := min(6, max(1, 300/test.entries))
		worst, least := 0, float64(searchPerS)
		for seed := range seeds {
			s := newSystem(uint64(seed), test.entries, test.faults)
			s.run(3 * time.Second)
			for range 3 {
				s.chill()
				// It may become cold anew before the warm-up ends.
				s.run(4*time.Second + time.Duration(s.random.IntN(900))*searchTick)
				most, used := s.most()
				worst = max(worst, most)
				if most > searchMost {
					t.Errorf("%+v, seed %d: %d requests in a second, %d are allowed", test, seed, most, searchMost)
				}
				if s.now.Before(s.coldUntil) {
					continue
				}
				least = min(least, used)
				if test.faults == (faults{}) && used < 0.8*searchPerS {
					t.Errorf("%+v, seed %d: %.1f requests a second of %d", test, seed, used, searchPerS)
				}
			}
		}
		t.Logf("%+v: at most %d in a second, at least %.1f a second used", test, worst, least)
	}
}
