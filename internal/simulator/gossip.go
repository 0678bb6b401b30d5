package simulator

import (
	"encoding/gob"
	"fmt"
	"runtime"
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/gossiper"
)

// GossipCost is the cost of the gossip protocol for a number of members.
type GossipCost struct {
	Members int `json:"members"`
	Degree  int `json:"degree"`
	// BytesPerRound is the mean number of bytes that a member sends in a round.
	BytesPerRound float64 `json:"bytes_per_round"`
	// MessagesPerRound is the mean number of messages that a member sends in a
	// round.
	MessagesPerRound float64 `json:"messages_per_round"`
	// CPUPerRound is the mean time to process a round, per member. Rounds run in
	// one goroutine, so that elapsed time stands for processor time.
	CPUPerRound time.Duration `json:"cpu_per_round_ns"`
	// HeapBytes is the mean heap size of a member.
	HeapBytes float64 `json:"bytes_of_memory"`
	// RoundsToConverge is the number of rounds until all running members know a
	// change, while a tenth of the members is paused.
	RoundsToConverge int `json:"rounds_to_all"`
}

const (
	warmUpRounds   = 40
	measuredRounds = 20
	// One of every pausedEvery members is paused.
	pausedEvery = 10
	// maxConvergenceRounds is the upper limit of GossipCost.RoundsToConverge.
	maxConvergenceRounds = 200
	roundInterval        = time.Second
)

// MeasureGossipCost runs members in this process and lets them gossip in rounds.
// Messages are encoded with gob, as between processes.
func MeasureGossipCost(members, degree int) GossipCost {
	heapBefore := heapInUse()
	n := newGossipNetwork(members, degree)
	for range warmUpRounds {
		n.runRound()
	}
	result := GossipCost{Members: members, Degree: degree}
	result.HeapBytes = (float64(heapInUse()) - float64(heapBefore)) / float64(members)
	n.bytes, n.messages = 0, 0
	startedAt := time.Now()
	for range measuredRounds {
		n.runRound()
	}
	memberRounds := float64(members * measuredRounds)
	result.CPUPerRound = time.Duration(float64(time.Since(startedAt)) / memberRounds)
	result.BytesPerRound = float64(n.bytes) / memberRounds
	result.MessagesPerRound = float64(n.messages) / memberRounds
	result.RoundsToConverge = n.roundsToConverge()
	return result
}

func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// gossipNetwork connects gossip members in one process.
type gossipNetwork struct {
	now       time.Time
	members   []*gossiper.Gossiper
	indexByID map[string]int
	paused    map[int]bool
	encoders  map[[2]int]*gob.Encoder
	bytes     int
	messages  int
}

func newGossipNetwork(members, degree int) *gossipNetwork {
	n := &gossipNetwork{now: time.Unix(0, 0), indexByID: make(map[string]int), paused: make(map[int]bool), encoders: make(map[[2]int]*gob.Encoder)}
	for i := range members {
		id := fmt.Sprintf("entry-%d", i)
		n.indexByID[id] = i
		s := gossiper.New(
			gossiper.Member{ID: id, Epoch: uint64(time.Now().UnixNano()), DataCentre: "hall-a"},
			gossiper.Settings{Expiry: 10 * roundInterval, Interval: roundInterval, Degree: degree})
		s.AddSeed(gossiper.Member{ID: fmt.Sprintf("entry-%d", (i+1)%members)})
		n.members = append(n.members, s)
	}
	return n
}

// Write implements [io.Writer]; it counts encoded bytes and discards them.
func (n *gossipNetwork) Write(p []byte) (int, error) {
	n.bytes += len(p)
	return len(p), nil
}

// countMessage counts a message and its bytes. Each pair of members has one
// encoder, as on a persistent connection, so that gob sends type descriptions
// only once.
func (n *gossipNetwork) countMessage(from, to int, d gossiper.Digest) {
	encoder, found := n.encoders[[2]int{from, to}]
	if !found {
		encoder = gob.NewEncoder(n)
		n.encoders[[2]int{from, to}] = encoder
	}
	n.messages++
	if err := encoder.Encode(d); err != nil {
		// Encoding a digest cannot fail.
		panic(err)
	}
}

func (n *gossipNetwork) runRound() {
	n.now = n.now.Add(roundInterval)
	for i, s := range n.members {
		if n.paused[i] {
			continue
		}
		for _, neighbour := range s.Tick(n.now) {
			n.exchange(i, n.indexByID[neighbour.ID])
		}
	}
}

// exchange lets member i ask member j for what it knows.
func (n *gossipNetwork) exchange(i, j int) {
	digest := n.members[i].Request()
	for more := true; more; {
		n.countMessage(i, j, digest)
		if n.paused[j] {
			return
		}
		reply := n.members[j].HandleDigest(n.now, digest)
		n.countMessage(j, i, reply)
		digest, more = n.members[i].HandleReply(n.now, digest, reply)
	}
}

// roundsToConverge pauses a tenth of the members, changes the record of one
// member and counts the rounds until all running members know the change.
func (n *gossipNetwork) roundsToConverge() int {
	for i := pausedEvery / 2; i < len(n.members); i += pausedEvery {
		n.paused[i] = true
	}
	n.members[0].Update(func(m *gossiper.Member) { m.ConfigVersion = 1 })
	for rounds := 1; rounds <= maxConvergenceRounds; rounds++ {
		n.runRound()
		if n.converged() {
			return rounds
		}
	}
	return maxConvergenceRounds
}

func (n *gossipNetwork) converged() bool {
	for i, s := range n.members {
		if n.paused[i] {
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
