package gossiper

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// summaryBuckets is the number of buckets into which a summary divides the
	// members by a hash of their ID.
	summaryBuckets = 16
	// ageUnitsPerInterval is the resolution of the ages in a summary's reply.
	ageUnitsPerInterval = 12
	// unknownAge stands for a heartbeat that is too old to tell.
	unknownAge = 255
)

// Summary holds a hash of the records in each bucket of member IDs. Two members with
// the same hash hold the same records in that bucket, so that only the ages of the
// heartbeats need to be sent, in the order of the member IDs.
type Summary []uint64

// matches reports whether both summaries have the same hash for a bucket.
func (s Summary) matches(other Summary, bucket int) bool {
	return len(s) == summaryBuckets && len(other) == summaryBuckets && s[bucket] == other[bucket]
}

// bucketOf returns the bucket of a member ID.
func bucketOf(id string) int { return int(xxhash.Sum64String(id) % summaryBuckets) }

// recordHash identifies the content of one member's record.
func recordHash(id string, v Version) uint64 {
	data := make([]byte, 0, len(id)+16)
	data = append(data, id...)
	data = binary.BigEndian.AppendUint64(data, v.Epoch)
	return xxhash.Sum64(binary.BigEndian.AppendUint64(data, v.Revision))
}

// recordSet holds the records of all members, with what a summary needs of them.
type recordSet struct {
	states map[string]*memberState
	// ids holds the sorted member IDs of each bucket.
	ids [summaryBuckets][]string
	// hashes combines the hashes of the records in each bucket.
	hashes [summaryBuckets]uint64
}

func newRecordSet() recordSet { return recordSet{states: make(map[string]*memberState)} }

// put stores the record of a member.
func (r *recordSet) put(s *memberState) {
	id := s.member.ID
	bucket := bucketOf(id)
	if old, known := r.states[id]; known {
		r.hashes[bucket] ^= recordHash(id, old.version)
	} else {
		at, _ := slices.BinarySearch(r.ids[bucket], id)
		r.ids[bucket] = slices.Insert(r.ids[bucket], at, id)
	}
	r.states[id] = s
	r.hashes[bucket] ^= recordHash(id, s.version)
}

// remove deletes the record of a member.
func (r *recordSet) remove(id string) {
	old, known := r.states[id]
	if !known {
		return
	}
	bucket := bucketOf(id)
	r.hashes[bucket] ^= recordHash(id, old.version)
	at, _ := slices.BinarySearch(r.ids[bucket], id)
	r.ids[bucket] = slices.Delete(r.ids[bucket], at, at+1)
	delete(r.states, id)
}

// Request returns the digest with which a member asks another one for what it
// knows: the summary of the records, and the sender's own version.
func (g *Gossiper) Request() Digest {
	return Digest{
		Partial:  true,
		Summary:  slices.Clone(g.records.hashes[:]),
		Versions: map[string]Version{g.self.ID: g.records.states[g.self.ID].version},
	}
}

// Announcement returns a digest with the instance's own record.
func (g *Gossiper) Announcement() Digest {
	return Digest{
		Partial:  true,
		Records:  []Member{g.self},
		Versions: map[string]Version{g.self.ID: g.records.states[g.self.ID].version},
	}
}

// summarize answers a request: with ages for the buckets in which both members hold
// the same records, with versions for the others.
func (g *Gossiper) summarize(now time.Time, request Summary) Digest {
	reply := Digest{Partial: true, AgeUnit: g.ageUnit(), Versions: make(map[string]Version)}
	own := Summary(g.records.hashes[:])
	for bucket, ids := range g.records.ids {
		if own.matches(request, bucket) {
			reply.Matching |= 1 << bucket
			for _, id := range ids {
				reply.Ages = append(reply.Ages, encodeAge(g.age(now, id), reply.AgeUnit))
			}
			continue
		}
		for _, id := range ids {
			reply.Versions[id] = g.versionAt(now, id)
		}
	}
	return reply
}

// HandleReply merges the reply to a request that was made at that time, and returns
// the digest to send next, if the members' records differ. The ages in a reply count
// from a moment after now, so that they make no heartbeat younger than it is.
func (g *Gossiper) HandleReply(now time.Time, request, reply Digest) (Digest, bool) {
	g.mergeRecords(reply)
	for id, version := range reply.Versions {
		if _, known := g.records.states[id]; known {
			g.mergeHeartbeat(now, id, version)
		}
	}
	g.mergeAges(now, request.Summary, reply)
	next := Digest{Partial: true, Versions: make(map[string]Version)}
	for _, id := range reply.Wanted {
		if state, known := g.records.states[id]; known {
			next.Records = append(next.Records, state.member)
			next.Versions[id] = g.versionAt(now, id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(reply.Versions)) {
		if g.needsRecord(id, reply.Versions[id]) {
			next.Wanted = append(next.Wanted, id)
		}
	}
	return next, len(next.Records) > 0 || len(next.Wanted) > 0
}

// mergeAges applies the heartbeat ages of a reply. A bucket whose records have
// changed since the request is skipped, since its ages can't be assigned any more.
func (g *Gossiper) mergeAges(now time.Time, request Summary, reply Digest) {
	ages := reply.Ages
	requested := 0
	for bucket, ids := range g.records.ids {
		if reply.Matching&(1<<bucket) == 0 {
			continue
		}
		if !request.matches(g.records.hashes[:], bucket) {
			// The number of ages in the bucket is unknown, so that the rest can't be
			// assigned either.
			return
		}
		requested += len(ids)
		if requested > len(ages) {
			return
		}
		for i, id := range ids {
			encoded := ages[requested-len(ids)+i]
			if id == g.self.ID || encoded == unknownAge {
				continue
			}
			state := g.records.states[id]
			if sentAt := now.Add(-time.Duration(encoded) * reply.AgeUnit); sentAt.After(state.lastHeartbeat) {
				state.lastHeartbeat = sentAt
			}
		}
	}
}

// ageUnit returns the resolution of the ages that this member sends.
func (g *Gossiper) ageUnit() time.Duration {
	return max(time.Millisecond, g.settings.Interval/ageUnitsPerInterval)
}

// encodeAge returns an age in units, rounded up so that no heartbeat becomes younger
// on its way.
func encodeAge(age, unit time.Duration) byte {
	units := (max(0, age) + unit - 1) / unit
	return byte(min(units, unknownAge))
}

// age returns the age of a member's last heartbeat.
func (g *Gossiper) age(now time.Time, id string) time.Duration {
	if id == g.self.ID {
		return 0
	}
	return now.Sub(g.records.states[id].lastHeartbeat)
}

// versionAt returns the version of a known member's record with the age of its last
// heartbeat.
func (g *Gossiper) versionAt(now time.Time, id string) Version {
	version := g.records.states[id].version
	version.Age = g.age(now, id)
	return version
}
