package hostedrunner

import (
	"context"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/internal/observer"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
	"github.com/waxwingmount/waxwingmount/pkg/tracker"
)

// oneServer is a platform with one backend server, which responds.
type oneServer struct{}

func (oneServer) Interval() time.Duration                                       { return 0 }
func (oneServer) Probe(context.Context, provider.Instance, time.Duration) error { return nil }

func (oneServer) Fetch(context.Context, bool) (observer.Snapshot, error) {
	return observer.Snapshot{ListedAt: clocker.Now(), Instances: []provider.Instance{{ID: "a", Incarnation: "1", Service: "s"}}}, nil
}

// TestPeerTestifies guards against the question whether a peer reaches a backend server not
// being understood, or being answered for another run of it; a peer of an older build does
// not know.
func TestPeerTestifies(t *testing.T) {
	node := testNode()
	node.observer = observer.New(observer.Dependencies{Source: oneServer{}, Prober: oneServer{}, Announcer: node.peers, Scope: tally.NoopScope})
	node.observer.Start(t.Context())
	for node.observer.ListAge() > time.Minute {
		time.Sleep(time.Millisecond)
	}
	current, older := servePeer(t, &peerService{node: node}), servePeer(t, olderPeer{})
	for _, c := range []struct {
		incarnation string
		older       bool
		want        tracker.Testimony
	}{{"1", false, tracker.Reached}, {"2", false, tracker.Unknown}, {"1", true, tracker.Unknown}} {
		peer := current
		if c.older {
			peer = older
		}
		replies := make(chan tracker.Testimony, 1)
		node.peers.runInquiry(t.Context(), peer.ID, peer.Peer, provider.Instance{ID: "a", Incarnation: c.incarnation}, replies)
		assert.Equal(t, <-replies, c.want)
	}
}
