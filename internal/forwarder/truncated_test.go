package forwarder

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/internal/logger"
	"github.com/waxwingmount/waxwingmount/internal/misresponder"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

// truncatedResponses are responses that end too early, by the path that they are for.
var truncatedResponses = map[string]map[string]string{
	"/once/": {
		"shorter than its length": okHead + "Content-Length: 10\r\n\r\nhalf",
		"chunks without an end":   okHead + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"end inside a chunk":      okHead + "Transfer-Encoding: chunked\r\n\r\n8\r\nhalf",
		"end inside the header":   okHead,
	},
	"/stream/": {
		"chunks without an end":          streamHead + "Transfer-Encoding: chunked\r\n\r\n" + chunk("id: 1\ndata: \n\n"),
		"end inside an event":            streamHead + "Transfer-Encoding: chunked\r\n\r\n" + chunk("id: 1\ndata: \n\nid: 2\n") + "0\r\n\r\n",
		"no blank line at the end":       streamHead + "Transfer-Encoding: chunked\r\n\r\n" + chunk("id: 1\ndata: \n") + "0\r\n\r\n",
		"chunk shorter than its data":    streamHead + "Transfer-Encoding: chunked\r\n\r\nd\r\n" + "id: 1\ndata: \n\n" + "\r\n",
		"the same inside an event":       streamHead + "Transfer-Encoding: chunked\r\n\r\n13\r\n" + "id: 1\ndata: \n\nid: 2\n" + "\r\n0\r\n\r\n",
		"the same without a blank line":  streamHead + "Transfer-Encoding: chunked\r\n\r\nc\r\n" + "id: 1\ndata: \n" + "\r\n0\r\n\r\n",
		"shorter than its length":        streamHead + "Content-Length: 100\r\n\r\n" + "id: 1\ndata: \n\n",
		"end inside an undelimited body": streamHead + "\r\n" + "id: 1\ndata: \n\nid: 2\n",
		"no event in an undelimited one": streamHead + "\r\n",
	},
}

// chunk returns one chunk of a body.
func chunk(data string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(data), data) }

// serveRaw serves the same bytes to each request and then closes the connection, with a reset
// if reset is set.
func serveRaw(t *testing.T, response string, reset bool) netip.AddrPort {
	t.Helper()
	s := &misresponder.Server{Respond: misresponder.Always(response)}
	if reset {
		s.End = misresponder.Reset
	}
	return s.Start(t)
}

// TestTruncatedResponse guards against a response that ends too early looking complete, with
// the connection's end or a reset, straight to the server and by a peer. A request that may
// run only once is not said not to have run.
func TestTruncatedResponse(t *testing.T) {
	for path, responses := range truncatedResponses {
		for name, response := range responses {
			for _, reset := range []bool{false, true} {
				for _, byPeer := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s %s reset %t by peer %t", path, name, reset, byPeer), func(t *testing.T) {
						t.Parallel()
						f := newRawFixture(t, serveRaw(t, response, reset), byPeer)
						status, body, err := f.callAt(f.server, "POST", path, "x", "k", "body", "")
						assert.Assert(t, err != nil || status == http.StatusBadGateway || status == http.StatusGatewayTimeout, "status %d, %q", status, body)
					})
				}
			}
		}
	}
}

// newRawFixture returns a fixture whose plain server and only group are at that address. If
// byPeer is set, its server is that of an entry instance which is cut from them.
func newRawFixture(t *testing.T, address netip.AddrPort, byPeer bool) *fixture {
	t.Helper()
	f := newFixture(t)
	f.platform.set(func(p *platformStub) {
		p.instances = []provider.Instance{
			{ID: "p", Incarnation: "1", Service: "plain", Address: address, Slots: 2},
			{ID: "head", Incarnation: "1", Service: "engines", Address: address, Slots: 2, Membership: provider.Membership{Group: "m~a", Epoch: 1, State: provider.Serving}},
			{ID: "member", Incarnation: "1", Service: "engines", Slots: 2, Membership: provider.Membership{Group: "m~a", Epoch: 1, Rank: 1, State: provider.MemberReady}},
		}
	})
	f.applyConfig()
	if byPeer {
		cut := &cutFixture{fixture: f}
		f.takeDetours("sound", f.forwarder)
		cut.path = newLink(t, f.platform, f.forwarder)
		cut.cut, cut.server = f.newForwarderOn(cut.path)
		f.eventually(func() bool { return cut.cut.Observer.Config() != nil })
		cut.cutOff()
		f.server = cut.server
	}
	return f
}

// TestSlowStreamIsNotCut guards against a stream whose events come with long but valid pauses
// being broken off, or an event missing, straight to the servers and by a peer. The pauses are
// longer than those after which a group counts as stalled.
func TestSlowStreamIsNotCut(t *testing.T) {
	const (
		events = 6
		pause  = 900 * time.Millisecond
	)
	slow := func(w http.ResponseWriter, r *http.Request) {
		writeHeader(w, r, "text/event-stream")
		last, _ := strconv.Atoi(r.Header.Get(headerLastEventID))
		for id := last + 1; id <= events; id++ {
			writeAndFlush(w, testEvent(id))
			time.Sleep(pause)
		}
	}
	want := ""
	for id := 1; id <= events; id++ {
		want += testEvent(id)
	}
	for _, byPeer := range []bool{false, true} {
		t.Run(fmt.Sprintf("by peer %t", byPeer), func(t *testing.T) {
			t.Parallel()
			f := newCutFixture(t, slow, nil)
			config := testConfig(2)
			config.Routes[0].Timeout = time.Minute
			f.apply(config)
			f.eventually(func() bool {
				return f.cut.Observer.Config().Version == 2 && f.forwarder.Observer.Config().Version == 2
			})
			server := f.fixture.server
			if byPeer {
				f.cutOff()
				server = f.server
			}
			status, body, err := f.callAt(server, "POST", "/stream/", "x", "k", "body", "")
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusOK)
			assert.Equal(t, body, want)
		})
	}
}

// TestEndOfPeerIsTold guards against a request that waits at a peer being said to may have run
// when the peer's process ends, and against one that runs there being said not to have.
func TestEndOfPeerIsTold(t *testing.T) {
	const slots = 4
	var reached atomic.Int32
	f := newCutFixture(t, nil, func(w http.ResponseWriter, r *http.Request) {
		// The end of the caller is noticed once the body has been read.
		io.Copy(io.Discard, r.Body)
		reached.Add(1)
		<-r.Context().Done()
	})
	config := testConfig(2)
	config.Routes[1].Timeout = 30 * time.Second
	f.apply(config)
	f.eventually(func() bool { return f.cut.Observer.Config().Version == 2 })
	f.cutOff()
	var calls sync.WaitGroup
	call := func(want int) {
		calls.Go(func() {
			status, _, err := f.callAt(f.server, "POST", "/once/", "x", "k", "body", "")
			if err != nil || status != want {
				t.Errorf("status %d, error %v; want %d", status, err, want)
			}
		})
	}
	for range slots {
		call(http.StatusBadGateway)
	}
	f.eventually(func() bool { return reached.Load() == slots })
	queued := make(chan struct{})
	onLogLine(t, logger.LineQueued, func() { close(queued) })
	call(http.StatusServiceUnavailable)
	<-queued
	f.forwarder.EndRequests()
	ended := time.Now()
	calls.Wait()
	assert.Assert(t, time.Since(ended) < 5*time.Second)
	assert.Equal(t, reached.Load(), int32(slots))
}
