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
//		reply := call(peer, g.Digest(now))
//		g.Merge(now, reply)
//		if requested, ok := g.RequestedRecords(now, reply); ok {
//			call(peer, requested)
//		}
//	}
//
// A member is live until the time of its last known heartbeat is too long ago.
// Every digest says how old its heartbeats are, and the age grows along the way,
// so that neither a long path nor a record that was forgotten and learned again
// makes a heartbeat younger than it is.
package gossiper

import (
	"maps"
	"math/bits"
	"slices"
	"strings"
	"time"
)

// Settings configures a Gossiper.
type Settings struct {
	// Expiry is how long a member stays live without a new heartbeat, beyond the
	// time that heartbeats take to spread.
	Expiry time.Duration
	// Interval is the time between two calls of Tick. Heartbeats spread over the
	// graph in about as many intervals as the number of members has binary digits.
	Interval time.Duration
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
	seeds    map[string]*seed
	// ticks counts the calls of Tick and selects the next neighbour.
	ticks int
	// silentTurn selects the next silent member.
	silentTurn int
}

// seed is a member that may exist, and whose record has not been received.
type seed struct {
	member Member
	// attempts counts the exchanges that Tick requested with it.
	attempts int
}

// memberState is the local state of one member.
type memberState struct {
	member  Member
	version Version
	// lastHeartbeat is when the member sent the heartbeat in version, by the local
	// clock, or later by at most the latency of the messages that carried it.
	lastHeartbeat time.Time
}

// New returns a Gossiper for the instance self.
func New(self Member, settings Settings) *Gossiper {
	g := &Gossiper{
		settings: settings,
		self:     self,
		states:   make(map[string]*memberState),
		seeds:    make(map[string]*seed),
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
	if m.ID == g.self.ID {
		return
	}
	if known, found := g.seeds[m.ID]; found {
		known.member = m
		return
	}
	g.seeds[m.ID] = &seed{member: m}
}

// Tick increments the instance's own heartbeat and returns the members to
// exchange digests with: the next neighbour in round-robin order, the seeds that
// have not been tried often, and now and then a silent member, through which
// parts of the cluster that were cut apart find each other again.
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
		if _, known := g.states[id]; !known && g.seeds[id].attempts < maxSeedAttempts {
			g.seeds[id].attempts++
			peers = append(peers, g.seeds[id].member)
		}
	}
	return append(peers, g.nextSilent(now, len(peers) > 0)...)
}

const (
	// maxSeedAttempts is the number of consecutive ticks for which a seed is tried.
	// After them it is tried in turn with the silent members.
	maxSeedAttempts = 12
	// silentInterval is the number of ticks between two exchanges with silent
	// members while there are live ones.
	silentInterval = 4
)

// nextSilent returns the members that may have come back, in round-robin order:
// one at every silentInterval, or several at once if there is nobody else to
// exchange digests with.
func (g *Gossiper) nextSilent(now time.Time, othersFound bool) []Member {
	count := g.settings.Degree
	if othersFound {
		if g.ticks%silentInterval != 0 {
			return nil
		}
		count = 1
	}
	silent := g.silentMembers(now)
	var chosen []Member
	for range min(count, len(silent)) {
		g.silentTurn++
		chosen = append(chosen, silent[g.silentTurn%len(silent)])
	}
	return chosen
}

// silentMembers returns, sorted by ID, the known members that are not live and the
// seeds that did not respond.
func (g *Gossiper) silentMembers(now time.Time) []Member {
	var members []Member
	expiry := g.expiry()
	for id, state := range g.states {
		if id != g.self.ID && now.Sub(state.lastHeartbeat) >= expiry {
			members = append(members, state.member)
		}
	}
	for id, s := range g.seeds {
		if _, known := g.states[id]; !known && s.attempts >= maxSeedAttempts {
			members = append(members, s.member)
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return members
}

// Digest returns the digest to send to another member, without records.
func (g *Gossiper) Digest(now time.Time) Digest {
	d := Digest{Versions: make(map[string]Version, len(g.states))}
	for id, state := range g.states {
		version := state.version
		if id != g.self.ID {
			version.Age = now.Sub(state.lastHeartbeat)
		}
		d.Versions[id] = version
	}
	return d
}

// HandleDigest merges a received digest and returns the reply: the local
// versions, the records that the sender lacks, and the IDs of the records that
// this instance lacks.
func (g *Gossiper) HandleDigest(now time.Time, d Digest) Digest {
	g.Merge(now, d)
	reply := g.Digest(now)
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
func (g *Gossiper) RequestedRecords(now time.Time, reply Digest) (Digest, bool) {
	if len(reply.Wanted) == 0 {
		return Digest{}, false
	}
	d := g.Digest(now)
	for _, id := range reply.Wanted {
		if state, known := g.states[id]; known {
			d.Records = append(d.Records, state.member)
		}
	}
	return d, true
}

// Merge applies the records and heartbeats of a received digest. The ages in it
// count back from now: the time at which the digest was requested or, if it was
// not, received.
func (g *Gossiper) Merge(now time.Time, d Digest) {
	for _, m := range d.Records {
		if version, found := d.Versions[m.ID]; !found || !g.forgotten(version.Age) {
			g.mergeRecord(m)
		}
	}
	for id, version := range d.Versions {
		state, known := g.states[id]
		if !known || id == g.self.ID || !version.sameRecordAs(state.version) || version.Beat <= state.version.Beat {
			continue
		}
		state.version.Beat = version.Beat
		if sentAt := now.Add(-version.Age); sentAt.After(state.lastHeartbeat) {
			state.lastHeartbeat = sentAt
		}
	}
}

// mergeRecord stores a received record if it supersedes the local one. Receiving
// a record is no sign of life of its member. The instance's own record is never
// overwritten.
func (g *Gossiper) mergeRecord(m Member) {
	if m.ID == g.self.ID {
		return
	}
	version := Version{Epoch: m.Epoch, Revision: m.Revision}
	state, known := g.states[m.ID]
	switch {
	case !known:
		g.states[m.ID] = &memberState{member: m, version: version}
	case version.supersedes(state.version):
		if version.Epoch == state.version.Epoch {
			version.Beat = state.version.Beat
		}
		state.member, state.version = m, version
	}
}

// needsRecord reports whether the local record of a member is missing or older
// than version.
func (g *Gossiper) needsRecord(id string, version Version) bool {
	if id == g.self.ID {
		return false
	}
	state, known := g.states[id]
	if !known {
		return !g.forgotten(version.Age)
	}
	return version.supersedes(state.version)
}

// expiry returns the age of a heartbeat from which its member is not live.
func (g *Gossiper) expiry() time.Duration {
	return g.settings.Expiry + time.Duration(bits.Len(uint(len(g.states))))*g.settings.Interval
}

// Live returns the members whose last heartbeat is recent, sorted by ID. The
// instance itself is always included.
func (g *Gossiper) Live(now time.Time) []Member {
	members := make([]Member, 0, len(g.states))
	expiry := g.expiry()
	for id, state := range g.states {
		if id == g.self.ID || now.Sub(state.lastHeartbeat) < expiry {
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

// forgotten reports whether a member with a heartbeat of that age is removed.
func (g *Gossiper) forgotten(age time.Duration) bool {
	return age > pruneAfterExpiries*g.settings.Expiry
}

// Prune removes the members, and their seeds, whose last heartbeat is older
// than pruneAfterExpiries times Settings.Expiry.
func (g *Gossiper) Prune(now time.Time) {
	for id, state := range g.states {
		if id != g.self.ID && g.forgotten(now.Sub(state.lastHeartbeat)) {
			delete(g.states, id)
			delete(g.seeds, id)
		}
	}
}
