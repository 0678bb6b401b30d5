// Package spreader spreads what each entry instance tells of itself to all
// others over a sparse random regular graph. Each instance exchanges
// digests with a few neighbours in turn; a heartbeat is a number in the
// digest, and the content of a record travels only when it has changed.
//
// # Usage
//
//	s := spreader.New(self, spreader.Settings{Expiry: 3 * time.Second, Degree: 4})
//	for _, contact := range s.Tick(now) {
//		reply := call(contact, s.Digest())
//		s.Merge(now, reply)
//	}
//
// A record is live while its heartbeat rises as seen on the own clock.
package gossiper

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Settings are the constants of a spreader.
type Settings struct {
	// Expiry is how long a member is live without a new heartbeat.
	Expiry time.Duration
	// Degree is how many neighbours each member has.
	Degree int
}

// Digest is what two members exchange.
type Digest struct {
	// Versions holds what the sender knows of, by member.
	Versions map[string]Version
	// Records holds the content that the receiver lacks.
	Records []Member
	// Wanted names the records that the sender lacks.
	Wanted []string
}

// Gossiper holds what one instance knows of all. It does no I/O and is not
// safe for concurrent use.
type Gossiper struct {
	settings Settings
	self     Member
	states   map[string]*memberState
	seeds    map[string]Member
	// ticks counts the ticks; it decides whose ticks it is.
	ticks int
}

// memberState is what is known of one member.
type memberState struct {
	member  Member
	version Version
	// lastHeartbeat is when the heartbeat last rose.
	lastHeartbeat time.Time
}

// New returns a spreader for the instance self.
func New(self Member, settings Settings) *Gossiper {
	s := &Gossiper{
		settings: settings,
		self:     self,
		states:   make(map[string]*memberState),
		seeds:    make(map[string]Member),
	}
	s.states[self.ID] = &memberState{member: self, version: Version{Epoch: self.Epoch, Revision: self.Revision, Beat: 1}}
	return s
}

// Self returns the instance's own record.
func (s *Gossiper) Self() Member { return s.self }

// Update changes the instance's own record.
func (s *Gossiper) Update(change func(*Member)) {
	next := s.self
	change(&next)
	if next == s.self {
		return
	}
	next.Revision++
	s.self = next
	own := s.states[next.ID]
	own.member = next
	own.version.Revision = next.Revision
}

// AddSeed names a member that may be there, from the table or from settings.
func (s *Gossiper) AddSeed(m Member) {
	if m.ID != s.self.ID {
		s.seeds[m.ID] = m
	}
}

// Tick raises the own heartbeat and returns the members to exchange with: the
// neighbour whose turn it is, and members that have only been heard of.
func (s *Gossiper) Tick(now time.Time) []Member {
	own := s.states[s.self.ID]
	own.version.Beat++
	own.lastHeartbeat = now
	s.ticks++
	var contacts []Member
	if neighbours := s.LiveNeighbours(now); len(neighbours) > 0 {
		contacts = append(contacts, neighbours[s.ticks%len(neighbours)])
	}
	for _, id := range slices.Sorted(maps.Keys(s.seeds)) {
		if _, known := s.states[id]; !known {
			contacts = append(contacts, s.seeds[id])
		}
	}
	return contacts
}

// Digest returns what to send to another member.
func (s *Gossiper) Digest() Digest {
	d := Digest{Versions: make(map[string]Version, len(s.states))}
	for id, k := range s.states {
		d.Versions[id] = k.version
	}
	return d
}

// HandleDigest takes in a digest and returns the one to reply with.
func (s *Gossiper) HandleDigest(now time.Time, d Digest) Digest {
	s.Merge(now, d)
	reply := s.Digest()
	for id, k := range s.states {
		if k.version.supersedes(d.Versions[id]) {
			reply.Records = append(reply.Records, k.member)
		}
	}
	for id, version := range d.Versions {
		if s.needsRecord(id, version) {
			reply.Wanted = append(reply.Wanted, id)
		}
	}
	slices.Sort(reply.Wanted)
	slices.SortFunc(reply.Records, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return reply
}

// RequestedRecords returns the records that a reply asked for, or false for none.
func (s *Gossiper) RequestedRecords(reply Digest) (Digest, bool) {
	if len(reply.Wanted) == 0 {
		return Digest{}, false
	}
	d := s.Digest()
	for _, id := range reply.Wanted {
		if k, known := s.states[id]; known {
			d.Records = append(d.Records, k.member)
		}
	}
	return d, true
}

// Merge takes in a digest.
func (s *Gossiper) Merge(now time.Time, d Digest) {
	for _, m := range d.Records {
		s.mergeRecord(now, m)
	}
	for id, version := range d.Versions {
		k, known := s.states[id]
		if known && id != s.self.ID && version.sameRecordAs(k.version) && version.Beat > k.version.Beat {
			k.version.Beat = version.Beat
			k.lastHeartbeat = now
		}
	}
}

func (s *Gossiper) mergeRecord(now time.Time, m Member) {
	if m.ID == s.self.ID {
		return
	}
	version := Version{Epoch: m.Epoch, Revision: m.Revision}
	k, known := s.states[m.ID]
	if !known {
		s.states[m.ID] = &memberState{member: m, version: version, lastHeartbeat: now}
		return
	}
	if !version.supersedes(k.version) {
		return
	}
	if version.Epoch == k.version.Epoch {
		version.Beat = k.version.Beat
	}
	k.member, k.version, k.lastHeartbeat = m, version, now
}

func (s *Gossiper) needsRecord(id string, version Version) bool {
	if id == s.self.ID {
		return false
	}
	k, known := s.states[id]
	return !known || version.supersedes(k.version)
}

// Live returns the members whose heartbeat is fresh, in order of their ids.
// The instance itself is always among them.
func (s *Gossiper) Live(now time.Time) []Member {
	members := make([]Member, 0, len(s.states))
	for id, k := range s.states {
		if id == s.self.ID || now.Sub(k.lastHeartbeat) < s.settings.Expiry {
			members = append(members, k.member)
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return members
}

// pruneAfterExpiries is after how many expiries a silent member is dropped.
const pruneAfterExpiries = 20

// Prune drops the members that have been silent for long.
func (s *Gossiper) Prune(now time.Time) {
	for id, k := range s.states {
		if id != s.self.ID && now.Sub(k.lastHeartbeat) > pruneAfterExpiries*s.settings.Expiry {
			delete(s.states, id)
			delete(s.seeds, id)
		}
	}
}
