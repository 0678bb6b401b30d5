// Package gossiper implements a gossip protocol that replicates the membership
// record of each entry instance to all others over a sparse random regular
// graph. Each instance exchanges digests with its neighbours in round-robin
// order. A request holds a hash of the records in each bucket of member IDs; the
// reply holds one byte a member, the age of its heartbeat, for each bucket with the
// same hash, and the versions of the records otherwise. The content of a record is
// sent only after it has changed.
//
// # Usage
//
//	g := gossiper.New(self, gossiper.Settings{Expiry: 3 * time.Second, Degree: 4})
//	for _, peer := range g.Tick(now) {
//		request := g.Request()
//		reply := call(peer, request)
//		if next, ok := g.HandleReply(now, request, reply); ok {
//			g.Merge(now, call(peer, next))
//		}
//	}
//
// A member is live until the time of its last known heartbeat is too long ago.
// Every digest says how old its heartbeats are, and the age grows along the way,
// so that neither a long path nor a record that was forgotten and learned again
// makes a heartbeat younger than it is. Members of earlier releases send the
// versions of all records; such digests are answered in kind.
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
	// Partial means that Versions does not hold all of the sender's records.
	Partial bool
	// Summary is set in a request for what the receiver knows.
	Summary Summary
	// Matching has a bit for each bucket in which the receiver of a summary holds
	// the same records as its sender. Ages holds the age of each member's heartbeat
	// in those buckets, by bucket and ID, in units of AgeUnit.
	Matching uint64
	Ages     []byte
	AgeUnit  time.Duration
}

// Gossiper holds one instance's copy of all membership records. It does no I/O
// and is not safe for concurrent use.
type Gossiper struct {
	settings Settings
	self     Member
	records  recordSet
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
		records:  newRecordSet(),
		seeds:    make(map[string]*seed),
	}
	g.records.put(&memberState{member: self, version: Version{Epoch: self.Epoch, Revision: self.Revision, Beat: 1}})
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
	own := *g.records.states[next.ID]
	own.member = next
	own.version.Revision = next.Revision
	g.records.put(&own)
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
// exchange digests with: the next neighbours in round-robin order, the seeds that
// have not been tried often, and now and then a silent member, through which
// parts of the cluster that were cut apart find each other again.
func (g *Gossiper) Tick(now time.Time) []Member {
	own := g.records.states[g.self.ID]
	own.version.Beat++
	own.lastHeartbeat = now
	g.ticks++
	var peers []Member
	neighbours := g.LiveNeighbours(now)
	for i := range min(neighboursPerTick, len(neighbours)) {
		peers = append(peers, neighbours[(g.ticks*neighboursPerTick+i)%len(neighbours)])
	}
	for _, id := range slices.Sorted(maps.Keys(g.seeds)) {
		if _, known := g.records.states[id]; !known && g.seeds[id].attempts < maxSeedAttempts {
			g.seeds[id].attempts++
			peers = append(peers, g.seeds[id].member)
		}
	}
	return append(peers, g.nextSilent(now, len(peers) > 0)...)
}

const (
	// neighboursPerTick is the number of neighbours that Tick returns. A request
	// brings news in one direction only, so that two of them make the news travel
	// as fast as one exchange in both directions.
	neighboursPerTick = 2
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
	for id, state := range g.records.states {
		if id != g.self.ID && now.Sub(state.lastHeartbeat) >= expiry {
			members = append(members, state.member)
		}
	}
	for id, s := range g.seeds {
		if _, known := g.records.states[id]; !known && s.attempts >= maxSeedAttempts {
			members = append(members, s.member)
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return members
}

// Digest returns the digest to send to another member, without records.
func (g *Gossiper) Digest(now time.Time) Digest {
	d := Digest{Versions: make(map[string]Version, len(g.records.states))}
	for id := range g.records.states {
		d.Versions[id] = g.versionAt(now, id)
	}
	return d
}

// HandleDigest merges a received digest and returns the reply: what the local
// member knows, the records that the sender requests or lacks, and the IDs of the
// records that this instance lacks.
func (g *Gossiper) HandleDigest(now time.Time, d Digest) Digest {
	g.Merge(now, d)
	var reply Digest
	switch {
	case d.Summary != nil:
		reply = g.summarize(now, d.Summary)
	case d.Partial:
		reply = Digest{Partial: true, Versions: make(map[string]Version)}
	default:
		reply = g.Digest(now)
		for id, state := range g.records.states {
			if state.version.supersedes(d.Versions[id]) {
				reply.Records = append(reply.Records, state.member)
			}
		}
	}
	for _, id := range d.Wanted {
		if state, known := g.records.states[id]; known {
			reply.Records = append(reply.Records, state.member)
			reply.Versions[id] = g.versionAt(now, id)
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

// Merge applies the records and heartbeats of a digest received at that time. Its
// ages do not count the latency of the message, so that only a heartbeat with a
// greater counter is news; otherwise two members could keep a third one alive.
func (g *Gossiper) Merge(now time.Time, d Digest) {
	g.mergeRecords(d)
	for id, version := range d.Versions {
		if state, known := g.records.states[id]; known && version.Beat > state.version.Beat {
			g.mergeHeartbeat(now, id, version)
		}
	}
}

func (g *Gossiper) mergeRecords(d Digest) {
	for _, m := range d.Records {
		if version, found := d.Versions[m.ID]; !found || !g.forgotten(version.Age) {
			g.mergeRecord(m)
		}
	}
}

// mergeHeartbeat applies the heartbeat of a known member. Its age counts back from
// now.
func (g *Gossiper) mergeHeartbeat(now time.Time, id string, version Version) {
	state := g.records.states[id]
	if id == g.self.ID || !version.sameRecordAs(state.version) {
		return
	}
	state.version.Beat = max(state.version.Beat, version.Beat)
	if sentAt := now.Add(-version.Age); sentAt.After(state.lastHeartbeat) {
		state.lastHeartbeat = sentAt
	}
}

// mergeRecord stores a received record if it supersedes the local one. Receiving
// a record is no sign of life of its member. The instance's own record is never
// overwritten.
func (g *Gossiper) mergeRecord(m Member) {
	if m.ID == g.self.ID {
		return
	}
	next := memberState{member: m, version: Version{Epoch: m.Epoch, Revision: m.Revision}}
	if state, known := g.records.states[m.ID]; known {
		if !next.version.supersedes(state.version) {
			return
		}
		if next.version.Epoch == state.version.Epoch {
			next.version.Beat = state.version.Beat
		}
		next.lastHeartbeat = state.lastHeartbeat
	}
	g.records.put(&next)
}

// needsRecord reports whether the local record of a member is missing or older
// than version.
func (g *Gossiper) needsRecord(id string, version Version) bool {
	if id == g.self.ID {
		return false
	}
	state, known := g.records.states[id]
	if !known {
		return !g.forgotten(version.Age)
	}
	return version.supersedes(state.version)
}

// expiry returns the age of a heartbeat from which its member is not live.
func (g *Gossiper) expiry() time.Duration {
	return g.settings.Expiry + time.Duration(bits.Len(uint(len(g.records.states))))*g.settings.Interval
}

// Live returns the members whose last heartbeat is recent, sorted by ID. The
// instance itself is always included.
func (g *Gossiper) Live(now time.Time) []Member {
	members := make([]Member, 0, len(g.records.states))
	expiry := g.expiry()
	for id, state := range g.records.states {
		if id == g.self.ID || now.Sub(state.lastHeartbeat) < expiry {
			members = append(members, state.member)
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return members
}

// HeartbeatAge returns the age of a member's last known heartbeat, or zero if the
// member is unknown.
func (g *Gossiper) HeartbeatAge(now time.Time, id string) time.Duration {
	if _, known := g.records.states[id]; !known {
		return 0
	}
	return g.age(now, id)
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
	for id, state := range g.records.states {
		if id != g.self.ID && g.forgotten(now.Sub(state.lastHeartbeat)) {
			g.records.remove(id)
			delete(g.seeds, id)
		}
	}
}
