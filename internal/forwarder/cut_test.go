package forwarder

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/internal/messenger"
	"github.com/waxwingmount/waxwingmount/internal/observer"
	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
	"github.com/waxwingmount/waxwingmount/pkg/tracker"
)

// linkState is the state of the network between an entry instance and the backend servers.
type linkState int

const (
	linkSound linkState = iota
	// linkHangs passes nothing; connections stay open.
	linkHangs
	// linkResets resets open and new connections.
	linkResets
	// linkRefuses closes new connections at once; open ones live on.
	linkRefuses
)

var linkStateNames = map[linkState]string{linkHangs: "hangs", linkResets: "resets", linkRefuses: "refuses"}

// link is the network between one entry instance and all backend servers. Each server has
// a proxy in front of it, whose address the entry instance is told.
type link struct {
	*platformStub
	t *testing.T

	mu sync.Mutex
	// config replaces the platform's configuration unless it is nil.
	config *mapper.RouteTable
	// unaware says that this instance has not learned of any evacuation.
	unaware bool
	state   linkState
	changed chan struct{}
	proxies map[string]netip.AddrPort
	conns   map[net.Conn]bool
	// witnesses are the other entry instances.
	witnesses []*Forwarder
}

func newLink(t *testing.T, p *platformStub, witnesses ...*Forwarder) *link {
	return &link{platformStub: p, t: t, witnesses: witnesses, changed: make(chan struct{}), proxies: make(map[string]netip.AddrPort), conns: make(map[net.Conn]bool)}
}

// Fetch returns the platform's state with the addresses of the proxies.
func (l *link) Fetch(ctx context.Context, direct bool) (observer.Snapshot, error) {
	s, err := l.platformStub.Fetch(ctx, direct)
	l.mu.Lock()
	if l.config != nil {
		s.Config = l.config
	}
	if l.unaware {
		clear(s.Evacuated)
	}
	l.mu.Unlock()
	for i, in := range s.Instances {
		if in.Address.IsValid() {
			s.Instances[i].Address = l.proxy(in)
		}
	}
	return s, err
}

// Probe fails while the link is cut. It takes as long as a probe over the network would.
func (l *link) Probe(ctx context.Context, in provider.Instance, timeout time.Duration) error {
	switch l.current() {
	case linkHangs:
		select {
		case <-ctx.Done():
		case <-time.After(timeout):
		}
		return errDown
	case linkSound:
		return l.platformStub.Probe(ctx, in, timeout)
	}
	return errDown
}

// AskWitnesses asks the other entry instances.
func (l *link) AskWitnesses(ctx context.Context, in provider.Instance, _ int) []tracker.Testimony {
	var answers []tracker.Testimony
	for _, w := range l.witnesses {
		answers = append(answers, w.Observer.Testify(ctx, messenger.Loss{Instance: in.ID, Incarnation: in.Incarnation}))
	}
	return answers
}

func (l *link) current() linkState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state
}

// set changes the state of the link.
func (l *link) set(state linkState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = state
	close(l.changed)
	l.changed = make(chan struct{})
	if state == linkResets {
		for conn := range l.conns {
			conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		}
	}
}

// awaitBytes waits while the link hangs.
func (l *link) awaitBytes() {
	for {
		l.mu.Lock()
		state, changed := l.state, l.changed
		l.mu.Unlock()
		if state != linkHangs {
			return
		}
		<-changed
	}
}

// proxy returns the address of the proxy in front of a server, and starts it if there is
// none.
func (l *link) proxy(in provider.Instance) netip.AddrPort {
	l.mu.Lock()
	defer l.mu.Unlock()
	if address, found := l.proxies[in.ID]; found {
		return address
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.Check(l.t, err)
	l.t.Cleanup(func() { listener.Close() })
	go l.run(listener, in.Address)
	l.proxies[in.ID] = netip.MustParseAddrPort(listener.Addr().String())
	return l.proxies[in.ID]
}

func (l *link) run(listener net.Listener, target netip.AddrPort) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go l.runConn(conn, target)
	}
}

func (l *link) runConn(client net.Conn, target netip.AddrPort) {
	defer client.Close()
	if state := l.current(); state == linkResets || state == linkRefuses {
		client.(*net.TCPConn).SetLinger(0)
		return
	}
	server, err := net.Dial("tcp", target.String())
	if err != nil {
		return
	}
	defer server.Close()
	l.mu.Lock()
	l.conns[client], l.conns[server] = true, true
	l.mu.Unlock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.copy(server, client)
	}()
	l.copy(client, server)
	client.Close()
	<-done
	l.mu.Lock()
	delete(l.conns, client)
	delete(l.conns, server)
	l.mu.Unlock()
}

// copy copies bytes in one direction until it ends.
func (l *link) copy(to, from net.Conn) {
	defer to.Close()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		l.awaitBytes()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// cutTolerance is the time from the beginning of a cut from which callers' requests are
// judged, and cutShare the share of them that must be served.
const (
	cutTolerance = 3 * time.Second
	cutShare     = 2.0 / 3
)

// serveStream answers with a stream of three events, or with the rest of it.
func serveStream(w http.ResponseWriter, r *http.Request) {
	writeHeader(w, r, "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for id := last + 1; id <= 3; id++ {
		writeAndFlush(w, testEvent(id))
		time.Sleep(10 * time.Millisecond)
	}
}

func servePlain(w http.ResponseWriter, r *http.Request) {
	writeHeader(w, r, "text/plain")
	io.WriteString(w, "done")
}

// TestCutInstanceServesItsCallers guards against callers of an entry instance that reaches
// no backend server being refused while another entry instance reaches all of them.
func TestCutInstanceServesItsCallers(t *testing.T) {
	for state, name := range linkStateNames {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			f.takeDetours("sound", f.forwarder)
			path := newLink(t, f.platform, f.forwarder)
			cut, server := f.newForwarderOn(path)
			for _, group := range []string{"a", "b", "c"} {
				f.addGroup(group, serveStream)
			}
			f.addServer("p", "plain", servePlain)
			f.addServer("q", "plain", servePlain)
			f.applyConfig()
			f.eventually(func() bool { return cut.Observer.Config() != nil })
			assert.Assert(t, f.callAll(server, "before") == len(routesOfCut))
			path.set(state)
			time.Sleep(cutTolerance)
			served, sent := 0, 0
			for i := range 10 {
				served += f.callAll(server, strconv.Itoa(i))
				sent += len(routesOfCut)
			}
			assert.Assert(t, float64(served) >= cutShare*float64(sent), "served %d of %d", served, sent)
		})
	}
}

// routesOfCut holds a route of each kind, with the body of a whole response.
var routesOfCut = map[string]string{"/stream/": testEvent(1) + testEvent(2) + testEvent(3), "/once/": "done", "/safe/": "done"}

// callAll sends a request on each kind of route to an entry instance, all at once, and
// returns how many got their whole response.
func (f *fixture) callAll(server *httptest.Server, id string) int {
	var mu sync.Mutex
	var calls sync.WaitGroup
	served := 0
	for path, whole := range routesOfCut {
		calls.Go(func() {
			status, body, err := f.callAt(server, "POST", path, id+path, "k", "body "+id, "")
			mu.Lock()
			defer mu.Unlock()
			if err == nil && status == http.StatusOK && body == whole {
				served++
			}
		})
	}
	calls.Wait()
	return served
}
