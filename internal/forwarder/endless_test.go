package forwarder

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
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
}

func (s *endlessServer) run(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go s.runConn(conn)
	}
}

func (s *endlessServer) runConn(conn net.Conn) {
	defer conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
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
			provider.Instance{ID: "endless-head", Incarnation: "1", Service: "engines", Address: address, Slots: 2,
				Membership: provider.Membership{Group: "m~endless", Epoch: 1, State: provider.Serving}},
			provider.Instance{ID: "endless-member", Incarnation: "1", Service: "engines", Slots: 2,
				Membership: provider.Membership{Group: "m~endless", Epoch: 1, Rank: 1, State: provider.MemberReady}})
	})
}

const (
	endlessRequests = 30
	// endlessLimit is above the route's timeout of 3 s, since a caller learns of the end a
	// little later.
	endlessLimit = 3500 * time.Millisecond
)

// callEndless sends requests to a server whose answers do not end, and checks that none
// succeeds and all end in time.
func (f *fixture) callEndless(begin string) {
	path := "/once/"
	if strings.Contains(begin, "event-stream") {
		path = "/stream/"
	}
	var calls sync.WaitGroup
	for i := range endlessRequests {
		calls.Go(func() {
			began := time.Now()
			status, body, err := f.call("GET", path, "x")
			complete := err == nil && status == http.StatusOK
			if complete || time.Since(began) > endlessLimit {
				f.t.Errorf("request %d: status %d with %d bytes after %s", i, status, len(body), time.Since(began))
			}
		})
	}
	calls.Wait()
}

// TestSlowEndlessAnswers guards against a server that goes on sending a few bytes now and
// then, in any part of its answer: the request must not succeed, must end within its
// timeout, and gives back what it took of the memory for responses.
func TestSlowEndlessAnswers(t *testing.T) {
	for name, kind := range endlessAnswers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			f.addEndless(serveEndless(t, kind.begin, kind.repeat, 100*time.Millisecond))
			f.applyConfig()
			f.callEndless(kind.begin)
			f.eventually(func() bool { return f.forwarder.responses.Used() == 0 })
		})
	}
}

// TestFastEndlessAnswers is like TestSlowEndlessAnswers with servers that send as fast as they
// can. Many such answers at once must not take more memory than a process of 184 MB has
// beside its idle 35 MB. Each kind runs alone, with the memory limit that the daemon sets,
// and the largest heap while it runs counts.
func TestFastEndlessAnswers(t *testing.T) {
	const (
		limitPercent = 60
		maxGrowth    = 128 << 20
	)
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(testMemoryBytes * limitPercent / 100))
	for name, kind := range endlessAnswers {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.addEndless(serveEndless(t, kind.begin, kind.repeat, 0))
			f.applyConfig()
			runtime.GC()
			before := heapBytes()
			peak := &heapPeak{done: make(chan struct{}), result: make(chan int64)}
			go peak.run()
			f.callEndless(kind.begin)
			close(peak.done)
			if grown := <-peak.result - before; grown > maxGrowth {
				t.Errorf("the heap grew by %d MB", grown>>20)
			}
			f.eventually(func() bool { return f.forwarder.responses.Used() == 0 })
		})
	}
}

// heapPeak watches the size of the heap until done is closed.
type heapPeak struct {
	done   chan struct{}
	result chan int64
}

func (h *heapPeak) run() {
	var peak int64
	for {
		peak = max(peak, heapBytes())
		select {
		case <-h.done:
			h.result <- max(peak, heapBytes())
			return
		case <-time.After(2 * time.Millisecond):
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

func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
