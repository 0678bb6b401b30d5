// Package gossiper implements a gossip protocol that replicates the membership
// record of each entry instance to all others over a sparse random regular
// graph. Each instance exchanges digests with its neighbours in round-robin
// order. A heartbeat is a counter in the digest; the content of a record is
// sent only after it has changed.
//
// # Usage
//
//	g := gossiper.New(self, gossiper.Settings{Expiry: 3 * time.Second, Degree: 4})
//	for _, peer := range g.Tick(now) {
//		reply := call(peer, g.Digest())
//		g.Merge(now, reply)
//		if requested, ok := g.RequestedRecords(reply); ok {
//			call(peer, requested)
//		}
//	}
//
// A member is live while its heartbeat keeps rising, timed by the local clock.
package gossiper

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Settings configures a Gossiper.
type Settings struct {
	// Expiry is how long a member stays live without a new heartbeat.
	Expiry time.Duration
	// Degree is the number of neighbours of each member in the graph.
	Degree int
}

// Digest is the message that two members exchange.
type Digest struct {
	// Versions holds the version of each record that the sender has, by member ID.
	Versions map[string]Version
	// Records holds records that the receiver lacks or has an older version of.
	Records []Member
	// Wanted holds the member IDs of the records that the sender requests.
	Wanted []string
}

// Gossiper holds one instance's copy of all membership records. It does no I/O
// and is not safe for concurrent use.
type Gossiper struct {
	settings Settings
	self     Member
	states   map[string]*memberState
	seeds    map[string]Member
	// ticks counts the calls of Tick and selects the next neighbour.
	ticks int
}

// memberState is the local state of one member.
type memberState struct {
	member  Member
	version Version
	// lastHeartbeat is when the heartbeat last rose or the record was replaced, by
	// the local clock.
	lastHeartbeat time.Time
}

// New returns a Gossiper for the instance self.
func New(self Member, settings Settings) *Gossiper {
	g := &Gossiper{
		settings: settings,
		self:     self,
		states:   make(map[string]*memberState),
		seeds:    make(map[string]Member),
	}
	g.states[self.ID] = &memberState{member: self, version: Version{Epoch: self.Epoch, Revision: self.Revision, Beat: 1}}
	return g
}

// Self returns the instance's own record.
func (g *Gossiper) Self() Member { return g.self }

// Update applies change to the instance's own record and, if the record
// differs afterwards, increments its revision.
func (g *Gossiper) Update(change func(*Member)) {
	next := g.self
	change(&next)
	if next == g.self {
		return
	}
	next.Revision++
	g.self = next
	own := g.states[next.ID]
	own.member = next
	own.version.Revision = next.Revision
}

// AddSeed adds a member that may exist, read from the table or the settings.
// Tick returns it until its record has been received.
func (g *Gossiper) AddSeed(m Member) {
	if m.ID != g.self.ID {
		g.seeds[m.ID] = m
	}
}

// Tick increments the instance's own heartbeat and returns the members to
// exchange digests with: the next neighbour in round-robin order, and all seeds
// whose records have not been received.
func (g *Gossiper) Tick(now time.Time) []Member {
	own := g.states[g.self.ID]
	own.version.Beat++
	own.lastHeartbeat = now
	g.ticks++
	var peers []Member
	if neighbours := g.LiveNeighbours(now); len(neighbours) > 0 {
		peers = append(peers, neighbours[g.ticks%len(neighbours)])
	}
	for _, id := range slices.Sorted(maps.Keys(g.seeds)) {
		if _, known := g.states[id]; !known {
			peers = append(peers, g.seeds[id])
		}
	}
	return peers
}

// Digest returns the digest to send to another member, without records.
func (g *Gossiper) Digest() Digest {
	d := Digest{Versions: make(map[string]Version, len(g.states))}
	for id, state := range g.states {
		d.Versions[id] = state.version
	}
	return d
}

// HandleDigest merges a received digest and returns the reply: the local
// versions, the records that the sender lacks, and the IDs of the records that
// this instance lacks.
func (g *Gossiper) HandleDigest(now time.Time, d Digest) Digest {
	g.Merge(now, d)
	reply := g.Digest()
	for id, state := range g.states {
		if state.version.supersedes(d.Versions[id]) {
			reply.Records = append(reply.Records, state.member)
		}
	}
	for id, version := range d.Versions {
		if g.needsRecord(id, version) {
			reply.Wanted = append(reply.Wanted, id)
		}
	}
	slices.Sort(reply.Wanted)
	slices.SortFunc(reply.Records, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return reply
}

// RequestedRecords returns a digest with the records that a reply requested. It
// returns false if the reply requested none.
func (g *Gossiper) RequestedRecords(reply Digest) (Digest, bool) {
	if len(reply.Wanted) == 0 {
		return Digest{}, false
	}
	d := g.Digest()
	for _, id := range reply.Wanted {
		if state, known := g.states[id]; known {
			d.Records = append(d.Records, state.member)
		}
	}
	return d, true
}

// Merge applies the records and heartbeats of a received digest.
func (g *Gossiper) Merge(now time.Time, d Digest) {
	for _, m := range d.Records {
		g.mergeRecord(now, m)
	}
	for id, version := range d.Versions {
		state, known := g.states[id]
		if known && id != g.self.ID && version.sameRecordAs(state.version) && version.Beat > state.version.Beat {
			state.version.Beat = version.Beat
			state.lastHeartbeat = now
		}
	}
}

// mergeRecord stores a received record if it supersedes the local one. The
// instance's own record is never overwritten.
func (g *Gossiper) mergeRecord(now time.Time, m Member) {
	if m.ID == g.self.ID {
		return
	}
	version := Version{Epoch: m.Epoch, Revision: m.Revision}
	state, known := g.states[m.ID]
	if !known {
		g.states[m.ID] = &memberState{member: m, version: version, lastHeartbeat: now}
		return
	}
	if !version.supersedes(state.version) {
		return
	}
	if version.Epoch == state.version.Epoch {
		version.Beat = state.version.Beat
	}
	state.member, state.version, state.lastHeartbeat = m, version, now
}

// needsRecord reports whether the local record of a member is missing or older
// than version.
func (g *Gossiper) needsRecord(id string, version Version) bool {
	if id == g.self.ID {
		return false
	}
	state, known := g.states[id]
	return !known || version.supersedes(state.version)
}

// Live returns the members whose heartbeat rose within Settings.Expiry, sorted
// by ID. The instance itself is always included.
func (g *Gossiper) Live(now time.Time) []Member {
	members := make([]Member, 0, len(g.states))
	for id, state := range g.states {
		if id == g.self.ID || now.Sub(state.lastHeartbeat) < g.settings.Expiry {
			members = append(members, state.member)
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return members
}

// Heartbeats returns the heartbeat counter of a member, or zero if the member is
// unknown.
func (g *Gossiper) Heartbeats(id string) uint64 {
	state, known := g.states[id]
	if !known {
		return 0
	}
	return state.version.Beat
}

// pruneAfterExpiries is the time without a heartbeat after which a member is
// removed, in multiples of Settings.Expiry.
const pruneAfterExpiries = 20

// Prune removes the members, and their seeds, whose last heartbeat is older
// than pruneAfterExpiries times Settings.Expiry.
func (g *Gossiper) Prune(now time.Time) {
	for id, state := range g.states {
		if id != g.self.ID && now.Sub(state.lastHeartbeat) > pruneAfterExpiries*g.settings.Expiry {
			delete(g.states, id)
			delete(g.seeds, id)
		}
	}
}
