package forwarder

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

// The beginnings of answers that never end, and what follows again and again.
const (
	okHead     = "HTTP/1.1 200 OK\r\nId: x\r\nProof: p\r\n"
	streamHead = okHead + "Content-Type: text/event-stream\r\n"
)

var endlessAnswers = map[string]struct{ begin, repeat string }{
	"status line":          {"HTTP/1.1 200 ", "OK"},
	"header":               {okHead, "X-Pad: xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\n"},
	"header line":          {okHead + "X-Pad: ", "xxxxxxxxxxxxxxxx"},
	"informational heads":  {"", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"},
	"no answer":            {"", "\x00garbage "},
	"body":                 {okHead + "\r\n", "xxxxxxxxxxxxxxxx"},
	"error body":           {"HTTP/1.1 500 Oops\r\nId: x\r\nProof: p\r\n\r\n", "xxxxxxxxxxxxxxxx"},
	"chunks":               {okHead + "Transfer-Encoding: chunked\r\n\r\n", "5\r\nxxxxx\r\n"},
	"chunk extension":      {okHead + "Transfer-Encoding: chunked\r\n\r\n5;", "pad=xxxx;"},
	"trailers":             {okHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", "X-Pad: xxxxxxxx\r\n"},
	"event of short lines": {streamHead + "\r\n", "data: x\n"},
	"event of one line":    {streamHead + "\r\ndata: ", "xxxxxxxx"},
	"comments":             {streamHead + "\r\n", ":\n"},
	"blank lines":          {streamHead + "\r\n", "\n"},
}

// serveEndless serves an answer that never ends: at full speed, or a repetition each
// pause.
func serveEndless(t *testing.T, begin, repeat string, pause time.Duration) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	s := &endlessServer{begin: begin, repeat: repeat, pause: pause}
	if pause == 0 {
		s.repeat = strings.Repeat(repeat, 1+2000/len(repeat))
	}
	go s.run(listener)
	return netip.MustParseAddrPort(listener.Addr().String())
}

type endlessServer struct {
	begin, repeat string
	pause         time.Duration
	conns         sync.WaitGroup
	answers       atomic.Int64
}

func (s *endlessServer) run(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s.conns.Go(func() { s.runConn(conn) })
	}
}

func (s *endlessServer) runConn(conn net.Conn) {
	defer conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	s.answers.Add(1)
	_, err := conn.Write([]byte(s.begin))
	for err == nil {
		_, err = conn.Write([]byte(s.repeat))
		time.Sleep(s.pause)
	}
}

// addEndless adds a plain server or a group whose answers never end.
func (f *fixture) addEndless(address netip.AddrPort) {
	f.platform.set(func(p *platformStub) {
		p.instances = append(p.instances, provider.Instance{ID: "endless", Incarnation: "1", Service: "plain", Address: address, Slots: 50})
		p.instances = append(p.instances,
			provider.Instance{ID: "endless-head", Incarnation: "1", Service: "engines", Address: address, Slots: endlessRequests,
				Membership: provider.Membership{Group: "m~endless", Epoch: 1, State: provider.Serving}},
			provider.Instance{ID: "endless-member", Incarnation: "1", Service: "engines", Slots: 2,
				Membership: provider.Membership{Group: "m~endless", Epoch: 1, Rank: 1, State: provider.MemberReady}})
	})
}

const (
	endlessRequests = 30
	// endlessGiveUp is when a caller gives up a request that its timeout does not end.
	endlessGiveUp = 10 * time.Second
)

// pipeListener accepts connections within the process. They can be used with the clock of
// a synctest bubble, which advances only while no goroutine has anything to do.
type pipeListener struct {
	address  netip.AddrPort
	accepted chan net.Conn
	closed   chan struct{}
	close    func()
}

func newPipeListener(address string) *pipeListener {
	l := &pipeListener{address: netip.MustParseAddrPort(address), accepted: make(chan net.Conn), closed: make(chan struct{})}
	l.close = sync.OnceFunc(func() { close(l.closed) })
	return l
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { l.close(); return nil }
func (l *pipeListener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }

func (l *pipeListener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case l.accepted <- far:
		return near, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// newEndlessFixture returns a fixture within a synctest bubble whose forwarder sends to a
// server with endless answers.
func newEndlessFixture(t *testing.T, s *endlessServer) *fixture {
	t.Helper()
	callers, servers := newPipeListener("127.0.0.1:1"), newPipeListener("127.0.0.1:2")
	var f *fixture
	t.Cleanup(func() {
		f.forwarder.transport.CloseIdleConnections()
		servers.close()
		s.conns.Wait()
		// The checks for crashes outlive their requests.
		time.Sleep(endlessGiveUp)
	})
	f = newFixtureWith(t, func(h http.Handler) *httptest.Server {
		server := httptest.NewUnstartedServer(h)
		server.Listener.Close()
		server.Listener = callers
		server.Start()
		server.Client().Transport.(*http.Transport).DialContext = callers.dial
		return server
	})
	f.forwarder.transport.DialContext = servers.dial
	go s.run(servers)
	f.addEndless(servers.address)
	// All requests run at the same time, also those to the group, and whatever the age of
	// the keys is: it is not measured by the clock of the bubble.
	config, engine := testConfig(1), *testEngine
	engine.Slots = endlessRequests
	config.Services[0].Engine = &engine
	for i := range config.Routes {
		config.Routes[i].Anonymous = true
	}
	f.apply(config)
	return f
}

// callEndless sends requests to a server whose answers do not end, and checks that none
// succeeds, all end within the route's timeout, and what they took of the memory for
// responses is given back.
func (f *fixture) callEndless(s *endlessServer) {
	path := "/once/"
	if strings.Contains(s.begin, "event-stream") {
		path = "/stream/"
	}
	var calls sync.WaitGroup
	for i := range endlessRequests {
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(f.t.Context(), endlessGiveUp)
			defer cancel()
			began := time.Now()
			status, body, err := f.callContext(ctx, "GET", path, "x", "k")
			complete := err == nil && status == http.StatusOK
			if took := time.Since(began); complete || took > testRouteTimeout {
				f.t.Errorf("request %d: status %d with %d bytes after %s", i, status, len(body), took)
			}
		})
	}
	calls.Wait()
	assert.Assert(f.t, s.answers.Load() > 0)
	f.eventually(func() bool { return f.forwarder.responses.Used() == 0 })
}

// TestSlowEndlessAnswers guards against a server that goes on sending a few bytes now and
// then, in any part of its answer: the request must not succeed, must end within its
// timeout, and gives back what it took of the memory for responses.
func TestSlowEndlessAnswers(t *testing.T) {
	for name, kind := range endlessAnswers {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &endlessServer{begin: kind.begin, repeat: kind.repeat, pause: 100 * time.Millisecond}
				newEndlessFixture(t, s).callEndless(s)
			})
		})
	}
}

// TestFastEndlessAnswers is like TestSlowEndlessAnswers with servers that send far more than
// the process has memory for. Many such answers at once must not take more memory than a
// process of 184 MB has beside its idle 35 MB, even if the collector runs only now and then.
func TestFastEndlessAnswers(t *testing.T) {
	const (
		bytesPerMillisecond = 8 << 10
		maxGrowth           = 128 << 20
	)
	for name, kind := range endlessAnswers {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &endlessServer{begin: kind.begin, repeat: strings.Repeat(kind.repeat, 1+bytesPerMillisecond/len(kind.repeat)), pause: time.Millisecond}
				f := newEndlessFixture(t, s)
				peak := newHeapPeak()
				go peak.run()
				f.callEndless(s)
				close(peak.done)
				if grown := <-peak.result; grown > maxGrowth {
					t.Errorf("the heap grew by up to %d MB", grown>>20)
				}
			})
		})
	}
}

// heapPeak finds by how much the heap could grow within a synctest bubble if the collector
// ran only at the beginning of each interval: by what was in use then, and all that was
// allocated until the end of the interval. So it does not depend on how the collector and the
// goroutines share the processors.
type heapPeak struct {
	first, last runtime.MemStats
	peak        uint64
	done        chan struct{}
	result      chan uint64
}

func newHeapPeak() *heapPeak {
	h := &heapPeak{done: make(chan struct{}), result: make(chan uint64)}
	h.begin()
	h.first = h.last
	return h
}

// begin begins an interval.
func (h *heapPeak) begin() {
	synctest.Wait()
	runtime.GC()
	runtime.ReadMemStats(&h.last)
}

// end ends an interval.
func (h *heapPeak) end() {
	synctest.Wait()
	var now runtime.MemStats
	runtime.ReadMemStats(&now)
	if most := h.last.HeapAlloc + now.TotalAlloc - h.last.TotalAlloc; most > h.first.HeapAlloc {
		h.peak = max(h.peak, most-h.first.HeapAlloc)
	}
}

func (h *heapPeak) run() {
	const interval = 25 * time.Millisecond
	for {
		select {
		case <-h.done:
			h.end()
			h.result <- h.peak
			return
		case <-time.After(interval):
			h.end()
			h.begin()
		}
	}
}

// TestEndlessAnswersLeaveOthers guards against a server with endless answers that uses up
// what the requests to sound servers need.
func TestEndlessAnswersLeaveOthers(t *testing.T) {
	f := newFixture(t)
	f.addEndless(serveEndless(t, okHead+"\r\n", "xxxxxxxx", 0))
	f.addServer("sound", "other", answer)
	config := testConfig(1)
	config.Services = append(config.Services, config.Services[1])
	config.Services[2].Name = "other"
	route := config.Routes[1]
	route.Name, route.Prefix = "other", "/other/"
	route.Targets = []mapper.Target{{Service: "other", Weight: 1}}
	config.Routes = append(config.Routes, route)
	f.platform.configure(config)
	f.eventually(func() bool {
		status, _, _ := f.call("GET", "/other/", "ready")
		return status == http.StatusOK
	})
	var endless sync.WaitGroup
	for range 40 {
		endless.Go(func() { f.call("GET", "/once/", "x") })
	}
	for i := range 100 {
		began := time.Now()
		status, _, err := f.call("GET", "/other/", fmt.Sprint(i))
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
		assert.Assert(t, time.Since(began) < time.Second)
	}
	endless.Wait()
}
