package forwarder

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/internal/misresponder"
	"github.com/waxwingmount/waxwingmount/internal/server"
)

// streamRoute is the path of the route with streams.
const streamRoute = "/stream/"

// newEarlyServer returns a server that responds early, without a length. A stream's response is
// the next two events, after the last one of a caller that resumes it.
func newEarlyServer(route string, end misresponder.End) *misresponder.Server {
	return &misresponder.Server{Early: true, End: end, Respond: func(r *http.Request) string {
		if route != streamRoute {
			return okHead + "\r\nhalf"
		}
		last := lastEvent(r)
		return streamHead + "\r\n" + testEvent(last+1) + testEvent(last+2)
	}}
}

// lastEvent returns the ID of the event after which a request resumes a stream, or 0.
func lastEvent(r *http.Request) int {
	// A request without the field begins a stream.
	last, _ := strconv.Atoi(r.Header.Get(headerLastEventID))
	return last
}

// newEarlyFixture is like newRawFixture for a stand-in, with a limit that lets long bodies pass.
func newEarlyFixture(t *testing.T, s *misresponder.Server, byPeer bool) *fixture {
	t.Helper()
	f := newRawFixture(t, s.Start(t), byPeer)
	f.applyLongBodies(2)
	return f
}

// applyLongBodies applies a configuration that lets long bodies pass, and waits until it is in
// force at the forwarder of the fixture's server and at the one that others hand requests to.
func (f *fixture) applyLongBodies(version uint64) {
	f.t.Helper()
	config := testConfig(version)
	config.Limits.BodyBytes = 2 * misresponder.LongBodyBytes
	for i := range config.Routes {
		config.Routes[i].Timeout = 10 * time.Second
	}
	f.platform.configure(config)
	f.eventually(func() bool {
		status, _, err := f.callLong("/nowhere/")
		return err == nil && status == http.StatusNotFound && f.forwarder.Observer.Config().Version == version
	})
}

// callLong sends a request with a long body.
func (f *fixture) callLong(path string) (int, string, error) {
	f.t.Helper()
	return f.callAt(f.server, "POST", path, "x", "k", strings.Repeat("x", misresponder.LongBodyBytes), "")
}

// forEachPath runs a test on each kind of route, straight to the server and by a peer.
func forEachPath(t *testing.T, run func(t *testing.T, route string, byPeer bool)) {
	t.Helper()
	for _, route := range []string{"/once/", "/safe/", streamRoute} {
		for _, byPeer := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s by peer %t", strings.Trim(route, "/"), byPeer), func(t *testing.T) {
				t.Parallel()
				run(t, route, byPeer)
			})
		}
	}
}

// TestResetDuringUpload guards against a part of a body that a server sends without a length, and
// breaks off with a reset while the upload is being written, reaching a caller as a complete
// response.
func TestResetDuringUpload(t *testing.T) {
	const calls = 8
	forEachPath(t, func(t *testing.T, route string, byPeer bool) {
		f := newEarlyFixture(t, newEarlyServer(route, misresponder.Reset), byPeer)
		for range calls {
			status, body, err := f.callLong(route)
			assert.Check(t, err != nil || status == http.StatusBadGateway || status == http.StatusGatewayTimeout, "status %d, %q", status, body)
			assert.Check(t, strings.Count(body, testEvent(1)) <= 1 && strings.Count(body, testEvent(2)) <= 1, "%q", body)
		}
	})
}

// TestEarlyUndelimitedResponse guards against a complete response that comes without a length
// before its request has been read being taken for a broken one.
func TestEarlyUndelimitedResponse(t *testing.T) {
	const calls = 4
	forEachPath(t, func(t *testing.T, route string, byPeer bool) {
		f := newEarlyFixture(t, newEarlyServer(route, misresponder.HalfClosed), byPeer)
		want := "half"
		if route == streamRoute {
			want = testEvent(1) + testEvent(2)
		}
		for range calls {
			status, body, err := f.callLong(route)
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusOK)
			assert.Equal(t, body, want)
		}
	})
}

// TestResetDuringUploadIsRetried guards against an idempotent request whose response was reset
// during the upload not being sent to another server.
func TestResetDuringUploadIsRetried(t *testing.T) {
	broken := newEarlyServer("/safe/", misresponder.Reset)
	f := newEarlyFixture(t, broken, false)
	f.addServer("sound", "plain", func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		writeHeader(w, r, "text/plain")
		io.WriteString(w, "whole")
	})
	f.applyLongBodies(3)
	for range 40 {
		status, body, err := f.callLong("/safe/")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, body, "whole")
		if broken.Requests() > 0 {
			return
		}
	}
	t.Fatal("no request reached the broken server")
}

// TestStreamResetDuringUploadIsResumed guards against a stream that is reset during the upload
// ending early, or an event coming twice, where another group can go on with it.
func TestStreamResetDuringUploadIsResumed(t *testing.T) {
	const events = 4
	broken := newEarlyServer(streamRoute, misresponder.Reset)
	f := newEarlyFixture(t, broken, false)
	want := ""
	for id := 1; id <= events; id++ {
		want += testEvent(id)
	}
	var resumed sync.Map
	f.addGroup("b", func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		last := lastEvent(r)
		resumed.Store(last, true)
		writeHeader(w, r, "text/event-stream")
		for id := last + 1; id <= events; id++ {
			writeAndFlush(w, testEvent(id))
		}
	})
	f.applyLongBodies(3)
	for range 40 {
		status, body, err := f.callLong(streamRoute)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, body, want)
		if _, found := resumed.Load(2); found {
			return
		}
	}
	t.Fatal("no stream was resumed")
}

// TestBrokenStreamOfOldClient guards against a stream that can't be completed looking complete to
// a client of HTTP/1.0, whose stream ends with its connection, and against one that is complete
// looking broken.
func TestBrokenStreamOfOldClient(t *testing.T) {
	for _, complete := range []bool{false, true} {
		t.Run(fmt.Sprintf("complete %t", complete), func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			f.addGroup("a", func(w http.ResponseWriter, r *http.Request) {
				if lastEvent(r) > 0 {
					resetConnection(w)
					return
				}
				writeHeader(w, r, "text/event-stream")
				writeAndFlush(w, testEvent(1))
				if !complete {
					time.Sleep(20 * time.Millisecond)
					resetConnection(w)
				}
			})
			f.applyConfig()
			s, err := server.Start(netip.MustParseAddrPort("127.0.0.1:0"), f.forwarder.Handler())
			assert.NilError(t, err)
			t.Cleanup(func() { s.Close() })
			conn, err := net.Dial("tcp", s.Addr)
			assert.NilError(t, err)
			defer conn.Close()
			assert.NilError(t, conn.SetDeadline(time.Now().Add(testRouteTimeout+time.Second)))
			fmt.Fprint(conn, "POST /stream/ HTTP/1.0\r\nHost: h\r\nId: x\r\nKey: k\r\nModel: m\r\nContent-Length: 4\r\n\r\nbody")
			received, err := io.ReadAll(conn)
			assert.Assert(t, strings.HasSuffix(string(received), testEvent(1)), "%q", received)
			assert.Assert(t, (err == nil) == complete, "error %v", err)
		})
	}
}
