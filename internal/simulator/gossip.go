package simulator

import (
	"encoding/gob"
	"fmt"
	"runtime"
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/gossiper"
)

// GossipCost is what it costs to keep members in touch, at one size.
type GossipCost struct {
	Members int `json:"members"`
	Degree  int `json:"degree"`
	// BytesPerRound is what one member sends in one round, on average.
	BytesPerRound float64 `json:"bytes_per_round"`
	// MessagesPerRound counts the same in messages.
	MessagesPerRound float64 `json:"messages_per_round"`
	// CPUPerRound is the processor time of one member in one round.
	CPUPerRound time.Duration `json:"cpu_per_round_ns"`
	// HeapBytes is the heap of one member.
	HeapBytes float64 `json:"bytes_of_memory"`
	// RoundsToConverge is after how many rounds all that are not frozen know a
	// change, with a tenth of the members frozen.
	RoundsToConverge int `json:"rounds_to_all"`
}

const (
	spreadWarmUp = 40
	spreadRounds = 20
	// frozenEach freezes one member of so many.
	frozenEach = 10
	// maxSpreadRounds bounds the search for RoundsToAll.
	maxSpreadRounds = 200
	roundInterval   = time.Second
)

// MeasureGossipCost joins members in this process and lets them exchange in rounds.
// Messages are encoded as between processes.
func MeasureGossipCost(members, degree int) GossipCost {
	before := heapInUse()
	n := newNet(members, degree)
	for range spreadWarmUp {
		n.round()
	}
	result := GossipCost{Members: members, Degree: degree}
	result.HeapBytes = (float64(heapInUse()) - float64(before)) / float64(members)
	n.bytes, n.messages = 0, 0
	began := time.Now()
	for range spreadRounds {
		n.round()
	}
	perRound := float64(members * spreadRounds)
	result.CPUPerRound = time.Duration(float64(time.Since(began)) / perRound)
	result.BytesPerRound = float64(n.bytes) / perRound
	result.MessagesPerRound = float64(n.messages) / perRound
	result.RoundsToConverge = n.roundsToAll()
	return result
}

func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// net is a number of members in one process.
type net struct {
	now      time.Time
	members  []*gossiper.Gossiper
	index    map[string]int
	frozen   map[int]bool
	encoders map[[2]int]*gob.Encoder
	bytes    int
	messages int
}

func newNet(members, degree int) *net {
	n := &net{now: time.Unix(0, 0), index: make(map[string]int), frozen: make(map[int]bool), encoders: make(map[[2]int]*gob.Encoder)}
	for i := range members {
		id := fmt.Sprintf("entry-%d", i)
		n.index[id] = i
		s := gossiper.New(
			gossiper.Member{ID: id, Epoch: uint64(time.Now().UnixNano()), DataCentre: "hall-a"},
			gossiper.Settings{Expiry: 10 * roundInterval, Degree: degree})
		s.AddSeed(gossiper.Member{ID: fmt.Sprintf("entry-%d", (i+1)%members)})
		n.members = append(n.members, s)
	}
	return n
}

// Write counts encoded bytes.
func (n *net) Write(p []byte) (int, error) {
	n.bytes += len(p)
	return len(p), nil
}

// send counts a message as it goes over a lasting connection.
func (n *net) send(from, to int, d gossiper.Digest) {
	encoder, found := n.encoders[[2]int{from, to}]
	if !found {
		encoder = gob.NewEncoder(n)
		n.encoders[[2]int{from, to}] = encoder
	}
	n.messages++
	if err := encoder.Encode(d); err != nil {
		// A digest always encodes.
		panic(err)
	}
}

func (n *net) round() {
	n.now = n.now.Add(roundInterval)
	for i, s := range n.members {
		if n.frozen[i] {
			continue
		}
		for _, contact := range s.Tick(n.now) {
			n.exchange(i, n.index[contact.ID])
		}
	}
}

func (n *net) exchange(i, j int) {
	digest := n.members[i].Digest()
	n.send(i, j, digest)
	if n.frozen[j] {
		return
	}
	reply := n.members[j].HandleDigest(n.now, digest)
	n.send(j, i, reply)
	n.members[i].Merge(n.now, reply)
	if supply, wanted := n.members[i].RequestedRecords(reply); wanted {
		n.send(i, j, supply)
		n.members[j].Merge(n.now, supply)
	}
}

// roundsToAll freezes a tenth, changes one member and counts the rounds until
// all others know it.
func (n *net) roundsToAll() int {
	for i := frozenEach / 2; i < len(n.members); i += frozenEach {
		n.frozen[i] = true
	}
	n.members[0].Update(func(m *gossiper.Member) { m.ConfigVersion = 1 })
	for rounds := 1; rounds <= maxSpreadRounds; rounds++ {
		n.round()
		if n.allKnow() {
			return rounds
		}
	}
	return maxSpreadRounds
}

func (n *net) allKnow() bool {
	for i, s := range n.members {
		if n.frozen[i] {
			continue
		}
		known := false
		for _, m := range s.Live(n.now) {
			known = known || (m.ID == "entry-0" && m.ConfigVersion == 1)
		}
		if !known {
			return false
		}
	}
	return true
}
