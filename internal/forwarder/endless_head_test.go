package forwarder

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/internal/partitioner"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

// serveStalled serves answers that begin and don't go on, and counts them.
func serveStalled(t *testing.T, begin string, begun *atomic.Int32) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer conn.Close()
		begun.Add(1)
		if _, err := io.WriteString(conn, begin); err == nil {
			// Until the caller closes.
			_, _ = conn.Read(make([]byte, 1))
		}
	})}
	go server.Serve(listener)
	return netip.MustParseAddrPort(listener.Addr().String())
}

// TestManyLongHeadsShareMemory guards against faulty servers that send just less than the
// longest head in many answers at once and then fall silent: each was bounded, and together
// they took more than the memory for responses.
func TestManyLongHeadsShareMemory(t *testing.T) {
	const provenHead = "HTTP/1.1 200 OK\r\nProof: p\r\n"
	lines := strings.Repeat("X-Pad-Of-A-Header: xxxxxxxx\r\n", (maxResponseHeaderBytes-1024)/29)
	short := growthOfStalled(t, provenHead)
	for name, begin := range map[string]string{
		"header lines": provenHead + lines,
		"header line":  provenHead + "X-Pad: " + strings.Repeat("x", maxResponseHeaderBytes-1024),
		"whole head":   provenHead + lines + "Content-Length: 9\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			grown := growthOfStalled(t, begin) - short
			assert.Assert(t, grown <= partitioner.DefaultResponses, "%d MB", grown>>20)
		})
	}
}

// growthOfStalled returns by how much the heap grows when many requests get an answer at the
// same time that begins and doesn't go on.
func growthOfStalled(t *testing.T, begin string) int64 {
	t.Helper()
	const servers, requests = 10, 1200
	f := newFixture(t)
	var arrived atomic.Int32
	for i := range servers {
		address := serveStalled(t, begin, &arrived)
		f.platform.set(func(p *platformStub) {
			p.instances = append(p.instances, provider.Instance{ID: fmt.Sprint("stalled-", i), Incarnation: "1", Service: "plain", Address: address, Slots: requests / servers})
		})
	}
	config := testConfig(1)
	for i := range config.Routes {
		config.Routes[i].Anonymous = true
	}
	f.apply(config)
	before := heapInUse()
	var calls sync.WaitGroup
	for i := range requests {
		calls.Go(func() {
			status, _, err := f.call("GET", "/once/", fmt.Sprint(i))
			if err == nil && status == http.StatusOK {
				t.Error("an answer without a body counted as complete")
			}
		})
	}
	f.eventually(func() bool { return arrived.Load() > requests/2 })
	time.Sleep(500 * time.Millisecond)
	grown := heapInUse() - before
	calls.Wait()
	assert.Equal(t, f.forwarder.responses.Used(), int64(0))
	return grown
}

// heapInUse returns the memory that is reachable.
func heapInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
