package forwarder

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// longBodyBytes is more than the buffers of a connection take, so that the upload is still being
// written when a server that reads only the head of a request has responded.
const longBodyBytes = 8 << 20

// streamRoute is the path of the route with streams.
const streamRoute = "/stream/"

// responseEnd is how a server ends the connection of an early response.
type responseEnd int

const (
	// byReset ends it with a reset while the upload is being written.
	byReset responseEnd = iota
	// byFIN closes the sending side, and the rest once the peer has.
	byFIN
)

// earlyServer responds to each request when it has read the head, without a length, and ends the
// connection. A stream that resumes goes on after the last event of its caller.
type earlyServer struct {
	stream   bool
	end      responseEnd
	requests atomic.Int32
}

// start starts the server and returns its address.
func (s *earlyServer) start(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	go s.run(listener)
	return netip.MustParseAddrPort(listener.Addr().String())
}

func (s *earlyServer) run(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go s.runConn(conn.(*net.TCPConn))
	}
}

func (s *earlyServer) runConn(conn *net.TCPConn) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	s.requests.Add(1)
	head, body := s.response(lastEvent(request))
	fmt.Fprint(conn, head, "\r\n", body)
	// The response arrives, and the upload fills the buffers.
	time.Sleep(50 * time.Millisecond)
	if s.end == byReset {
		conn.SetLinger(0)
		return
	}
	conn.CloseWrite()
	io.Copy(io.Discard, conn)
}

// response returns the head and the body of a response. A stream's is the next two events.
func (s *earlyServer) response(last int) (head, body string) {
	if s.stream {
		return streamHead, testEvent(last+1) + testEvent(last+2)
	}
	return okHead, "half"
}

// lastEvent returns the ID of the event after which a request resumes a stream, or 0.
func lastEvent(r *http.Request) int {
	// A request without the field begins a stream.
	last, _ := strconv.Atoi(r.Header.Get(headerLastEventID))
	return last
}

// newEarlyFixture is like newRawFixture for an earlyServer, with a limit that lets long bodies
// pass.
func newEarlyFixture(t *testing.T, s *earlyServer, byPeer bool) *fixture {
	t.Helper()
	f := newRawFixture(t, s.start(t), byPeer)
	f.applyLongBodies(2)
	return f
}

// applyLongBodies applies a configuration that lets long bodies pass, and waits until it is in
// force at the forwarder of the fixture's server and at the one that others hand requests to.
func (f *fixture) applyLongBodies(version uint64) {
	f.t.Helper()
	config := testConfig(version)
	config.Limits.BodyBytes = 2 * longBodyBytes
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
	return f.callAt(f.server, "POST", path, "x", "k", strings.Repeat("x", longBodyBytes), "")
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
		f := newEarlyFixture(t, &earlyServer{stream: route == streamRoute, end: byReset}, byPeer)
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
		s := &earlyServer{stream: route == streamRoute, end: byFIN}
		f := newEarlyFixture(t, s, byPeer)
		_, want := s.response(0)
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
	broken := &earlyServer{end: byReset}
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
		if broken.requests.Load() > 0 {
			return
		}
	}
	t.Fatal("no request reached the broken server")
}

// TestStreamResetDuringUploadIsResumed guards against a stream that is reset during the upload
// ending early, or an event coming twice, where another group can go on with it.
func TestStreamResetDuringUploadIsResumed(t *testing.T) {
	const events = 4
	broken := &earlyServer{stream: true, end: byReset}
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
