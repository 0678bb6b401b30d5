package hostedrunner

import (
	"bytes"
	"crypto/rand"
	"encoding/gob"
	"net"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/internal/forwarder"
	"github.com/waxwingmount/waxwingmount/internal/messenger"
	"github.com/waxwingmount/waxwingmount/pkg/gossiper"
	"github.com/waxwingmount/waxwingmount/pkg/quarantiner"
)

// olderPeer is the peer service of a build that does not offer its strikes.
type olderPeer struct{}

func (olderPeer) Strike(messenger.StrikeMessage, *messenger.Empty) error { return nil }

func servePeer(t *testing.T, service any) gossiper.Member {
	t.Helper()
	server, err := messenger.NewServer(messenger.Security{}, messenger.PeerService, service, rand.Read)
	assert.NilError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go server.Serve(t.Context(), listener)
	return gossiper.Member{ID: "peer", Peer: listener.Addr().(*net.TCPAddr).AddrPort()}
}

func testNode() *Node {
	n := &Node{pool: messenger.NewPool(messenger.Security{}), forwarder: forwarder.New(forwarder.Dependencies{Scope: tally.NoopScope})}
	n.peers = &peers{node: n}
	return n
}

// TestStrikesAreFetched guards against an entry instance that has just started not knowing
// the strikes of its peers.
func TestStrikesAreFetched(t *testing.T) {
	running, started := testNode(), testNode()
	running.forwarder.AddStrikes([]quarantiner.Strike{{Fingerprint: 1, Site: "a/1", Parts: []quarantiner.Part{7, 9}, Age: time.Second}})
	running.forwarder.AddClearances([]quarantiner.Clearance{{Part: 7, Age: time.Second}})
	assert.Assert(t, !started.peers.fetchStrikes(t.Context(), servePeer(t, olderPeer{}), started.forwarder.AddEvidence))
	assert.Assert(t, started.peers.fetchStrikes(t.Context(), servePeer(t, &peerService{node: running}), started.forwarder.AddEvidence))
	strikes, clearances := started.forwarder.Strikes()
	var parts []quarantiner.Part
	for _, s := range strikes {
		assert.Equal(t, s.Site, "a/1")
		parts = append(parts, s.Parts...)
	}
	assert.DeepEqual(t, parts, []quarantiner.Part{7, 9})
	assert.Equal(t, len(clearances), 1)
	assert.Equal(t, clearances[0].Part, quarantiner.Part(7))
}

// TestStrikeMessageOfOtherBuilds guards against strikes being lost while builds that know
// parts of prompts run beside others.
func TestStrikeMessageOfOtherBuilds(t *testing.T) {
	type olderStrike struct {
		Fingerprint quarantiner.Fingerprint
		Site        string
	}
	type olderMessage struct {
		Strikes []olderStrike
		Rumor   string
	}
	var buffer bytes.Buffer
	sent := messenger.StrikeMessage{
		Strikes:    []quarantiner.Strike{{Fingerprint: 1, Site: "a/1", Parts: []quarantiner.Part{9}, Age: time.Second}},
		Clearances: []quarantiner.Clearance{{Part: 7}}, Rumor: "x/1",
	}
	assert.NilError(t, gob.NewEncoder(&buffer).Encode(sent))
	var older olderMessage
	assert.NilError(t, gob.NewDecoder(&buffer).Decode(&older))
	assert.DeepEqual(t, older, olderMessage{Strikes: []olderStrike{{Fingerprint: 1, Site: "a/1"}}, Rumor: "x/1"})

	assert.NilError(t, gob.NewEncoder(&buffer).Encode(older))
	var received messenger.StrikeMessage
	assert.NilError(t, gob.NewDecoder(&buffer).Decode(&received))
	assert.DeepEqual(t, received, messenger.StrikeMessage{Strikes: []quarantiner.Strike{{Fingerprint: 1, Site: "a/1"}}, Rumor: "x/1"})
}

// TestMissedStrikesAreFetched guards against an entry instance that was paused or cut off, so
// that messages did not reach it, sending on requests with a part that its peers know to
// crash servers; and against strikes by content being kept alive by fetching them again.
func TestMissedStrikesAreFetched(t *testing.T) {
	running, cutOff := testNode(), testNode()
	running.forwarder.AddStrikes([]quarantiner.Strike{{Fingerprint: 1, Site: "a/1", Parts: []quarantiner.Part{9}, Age: time.Second}, {Fingerprint: 2, Site: "b/1"}})
	peer := servePeer(t, &peerService{node: running})
	assert.Assert(t, cutOff.peers.fetchStrikes(t.Context(), peer, cutOff.forwarder.AddPartEvidence))
	strikes, _ := cutOff.forwarder.Strikes()
	assert.Equal(t, len(strikes), 1)
	assert.DeepEqual(t, strikes[0].Parts, []quarantiner.Part{9})
}
