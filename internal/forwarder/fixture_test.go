package forwarder

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace/noop"
	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/internal/detourer"
	"github.com/waxwingmount/waxwingmount/internal/messenger"
	"github.com/waxwingmount/waxwingmount/internal/observer"
	"github.com/waxwingmount/waxwingmount/pkg/enumerator"
	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/pkg/pathfinder"
	"github.com/waxwingmount/waxwingmount/pkg/permitter"
	"github.com/waxwingmount/waxwingmount/pkg/prefixer"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
	"github.com/waxwingmount/waxwingmount/pkg/quarantiner"
	"github.com/waxwingmount/waxwingmount/pkg/tracker"
)

// testCodec reads and writes metadata in headers with short names.
type testCodec struct{}

func (testCodec) ParseRequest(h http.Header) RequestMetadata {
	m := RequestMetadata{ID: h.Get("Id"), Key: h.Get("Key"), Model: h.Get("Model"), PromptTokens: 100}
	for _, text := range splitList(h.Get("Parts")) {
		if id, err := strconv.ParseUint(text, 10, 64); err == nil {
			m.PromptParts = append(m.PromptParts, quarantiner.Part(id))
		}
	}
	if tokens, err := strconv.Atoi(h.Get("Prefix")); err == nil {
		m.PromptPrefix = []prefixer.Part{{ID: 1, Tokens: tokens}}
	}
	return m
}

func (testCodec) PrepareRequest(h http.Header, m OutboundMetadata) {
	h.Del("Key")
	h.Set("For", m.Instance)
	h.Set("Organisation", m.Organisation)
	h.Set("Left", strconv.FormatInt(m.Remaining.Milliseconds(), 10))
}

func (testCodec) ParseResponse(_ int, h http.Header) ResponseMetadata {
	m := ResponseMetadata{ID: h.Get("Id"), NotRun: h.Get("Not-Run") != "", Verified: h.Get("Proof") != ""}
	m.Leaving = h.Get("Leaving") != ""
	m.Misdirected = h.Get("Misdirected") != ""
	if wait, err := strconv.ParseFloat(h.Get("Defer"), 64); err == nil {
		m.Deferral = time.Duration(wait * float64(time.Second))
	}
	if rate, err := strconv.ParseFloat(h.Get("Limit"), 64); err == nil {
		m.Limit = permitter.RateLimit{Limited: true, PerSecond: rate}
	}
	return m
}

func (testCodec) SetRequestID(h http.Header, id string) { h.Set("Id", id) }

// platformStub is the platform and the peers of one forwarder.
type platformStub struct {
	// issuePermit is the permit owner of all servers.
	issuePermit func(permitter.Request) permitter.Reply

	mu        sync.Mutex
	config    *mapper.RouteTable
	instances []provider.Instance
	down      bool
	dead      map[string]bool
	// unreachable makes the probes of all instances fail.
	unreachable bool
	// testimonies are the answers of peers that are asked whether they reach an instance.
	testimonies []tracker.Testimony
	// peers is the number of other entry instances.
	peers int
	// held holds readings of the store until it is closed, unless it is nil.
	held chan struct{}
	// lag is how old the list is that readings return, and delay how long they take.
	lag, delay time.Duration
	// detourPeers are the forwarders that take requests from others.
	detourPeers []DetourPeer
	// evacuated holds the evacuated data centres.
	evacuated []string
	// forwarders are those of the entry instances whose strikes reach each other.
	forwarders []*Forwarder
}

var errDown = errors.New("the store is unavailable")

func (*platformStub) Interval() time.Duration { return 0 }

func (p *platformStub) Fetch(context.Context, bool) (observer.Snapshot, error) {
	p.mu.Lock()
	held, delay := p.held, p.delay
	p.mu.Unlock()
	if held != nil {
		<-held
	}
	defer time.Sleep(delay)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return observer.Snapshot{}, errDown
	}
	now := clocker.Now()
	evacuated := make(map[string]time.Time)
	for _, dataCentre := range p.evacuated {
		evacuated[dataCentre] = now
	}
	return observer.Snapshot{
		Instances: slices.Clone(p.instances), ListedAt: now.Add(-p.lag), Config: p.config, ConfirmedAt: now,
		Evacuated: evacuated, EvacuationsAt: now.Add(-p.lag),
	}, nil
}

func (p *platformStub) Probe(_ context.Context, in provider.Instance, _ time.Duration) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dead[in.ID] || p.unreachable {
		return errDown
	}
	return nil
}

func (p *platformStub) Count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peers + 1
}

// Entries returns this entry instance and the other ones.
func (p *platformStub) Entries() []enumerator.Entry {
	entries := []enumerator.Entry{{ID: ""}}
	for i := range p.Count() - 1 {
		entries = append(entries, enumerator.Entry{ID: "entry-" + strconv.Itoa(i)})
	}
	return entries
}

func (p *platformStub) Announce(context.Context, messenger.LossesMessage) {}

func (p *platformStub) AskWitnesses(context.Context, provider.Instance, int) []tracker.Testimony {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.testimonies
}

// peerDelay is the time that a message takes from one entry instance to another.
const peerDelay = 50 * time.Millisecond

// BroadcastStrikes delivers the strikes to all forwarders; the sender knows them already.
func (p *platformStub) BroadcastStrikes(_ context.Context, strikes []quarantiner.Strike) {
	p.broadcast(func(f *Forwarder) { f.AddStrikes(strikes) })
}

// BroadcastClearances delivers the clearances to all forwarders.
func (p *platformStub) BroadcastClearances(_ context.Context, clearances []quarantiner.Clearance) {
	p.broadcast(func(f *Forwarder) { f.AddClearances(clearances) })
}

func (p *platformStub) broadcast(deliver func(*Forwarder)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, f := range p.forwarders {
		time.AfterFunc(peerDelay, func() { deliver(f) })
	}
}

func (p *platformStub) RequestPermit(_ context.Context, r permitter.Request) (permitter.Reply, error) {
	return p.issuePermit(r), nil
}

// allInstances returns the instances in the list.
func (p *platformStub) allInstances() []provider.Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.instances)
}

// DetourPeers returns all forwarders, which the stub's Detours reach.
func (p *platformStub) DetourPeers() []DetourPeer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.detourPeers)
}

func (p *platformStub) set(change func(*platformStub)) { p.mu.Lock(); defer p.mu.Unlock(); change(p) }
func (p *platformStub) kill(id string)                 { p.set(func(p *platformStub) { p.dead[id] = true }) }
func (p *platformStub) configure(config mapper.Config) {
	p.set(func(p *platformStub) { p.config = mapper.New(config) })
}

// fixture is one forwarder with backend servers whose handlers the tests
// provide.
type fixture struct {
	t        *testing.T
	platform *platformStub
	// serve starts the HTTP server of a forwarder.
	serve  func(http.Handler) *httptest.Server
	server *httptest.Server
	// forwarder is the forwarder under test.
	forwarder *Forwarder
	// detourServers take the requests that are handed to forwarders.
	detourServers []*httptest.Server
}

const (
	testKeyTTL       = 3 * time.Second
	testRouteTimeout = 3 * time.Second
	// testRetryWindow is short, so that a forwarder has its retry reserve when a test begins.
	testRetryWindow = 100 * time.Millisecond
	// testMemoryBytes is the memory of the smallest processes that the users run.
	testMemoryBytes = 184 << 20
)

var testEngine = &mapper.Engine{
	Models: []mapper.Model{{Name: "m", Size: 2, Pace: 1, Share: 1}},
	Slots:  2, Step: 5 * time.Millisecond, Stride: 1, ReadPerSecond: 50_000, Chunk: 2048,
}

func testConfig(version uint64) mapper.Config {
	route := func(name string, repeat mapper.Repeat, service string) mapper.Route {
		return mapper.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Targets: []mapper.Target{{Service: service, Weight: 1}},
			Repeat: repeat, Timeout: testRouteTimeout, Objective: 500 * time.Millisecond, GapObjective: 300 * time.Millisecond,
			MaxAttempts: 2, Resumable: repeat == mapper.Streaming,
		}
	}
	return mapper.Config{
		Version: version,
		Routes: []mapper.Route{
			route("stream", mapper.Streaming, "engines"), route("once", mapper.Once, "plain"), route("safe", mapper.Idempotent, "plain"),
		},
		Services:      []mapper.Service{{Name: "engines", Engine: testEngine}, {Name: "plain"}},
		Organisations: []mapper.Organisation{{Name: "o", Keys: []string{"k"}}},
	}
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	return newFixtureWith(t, httptest.NewServer)
}

// newFixtureWith returns a fixture whose forwarder is served by the server that serve
// starts.
func newFixtureWith(t *testing.T, serve func(http.Handler) *httptest.Server) *fixture {
	t.Helper()
	f := &fixture{t: t, serve: serve, platform: &platformStub{dead: make(map[string]bool)}}
	f.forwarder, f.server = f.newForwarder()
	f.platform.issuePermit = f.forwarder.IssuePermit
	return f
}

// newForwarder starts a forwarder with the fixture's backend servers, and its HTTP
// server.
func (f *fixture) newForwarder() (*Forwarder, *httptest.Server) {
	return f.newForwarderOn(f.platform)
}

// platformView is the platform and the peers as one entry instance sees them.
type platformView interface {
	observer.Source
	observer.Prober
	observer.Announcer
}

// newForwarderOn is like newForwarder for an entry instance that sees the platform in its
// own way.
func (f *fixture) newForwarderOn(view platformView) (*Forwarder, *httptest.Server) {
	return f.newForwarderWith(view, Settings{
		KeyTTL: testKeyTTL, RetryRatio: 0.2, RetrySlack: 100, RetryWindow: testRetryWindow, MemoryBytes: testMemoryBytes,
	})
}

// newForwarderWith is like newForwarderOn with other settings.
func (f *fixture) newForwarderWith(view platformView, settings Settings) (*Forwarder, *httptest.Server) {
	ctx, cancel := context.WithCancel(context.Background())
	o := observer.New(observer.Dependencies{Source: view, Prober: view, Announcer: view, Scope: tally.NoopScope})
	forwarder := New(Dependencies{
		Settings: settings,
		Observer: o, Codec: testCodec{}, Peers: f.platform, Detours: detourer.NewClient(dialPlain),
		Tracer: noop.NewTracerProvider().Tracer(""), Scope: tally.NoopScope,
	})
	o.OnReturn(forwarder.HandleReturn)
	o.Start(ctx)
	forwarder.Start(ctx)
	server := f.serve(forwarder.Handler())
	f.t.Cleanup(func() {
		server.Close()
		forwarder.checkMemoryReturned(f.t)
		cancel()
	})
	return forwarder, server
}

// checkMemoryReturned checks that no response holds memory when all requests have ended.
func (f *Forwarder) checkMemoryReturned(t *testing.T) {
	t.Helper()
	for range 100 {
		if f.responses.Used() == 0 {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Errorf("responses still hold %d bytes", f.responses.Used())
}

// takeDetours makes a forwarder one that others hand requests to.
func (f *fixture) takeDetours(id string, forwarder *Forwarder) {
	f.t.Helper()
	server := httptest.NewServer(detourer.NewHandler(forwarder.ServeDetour))
	f.t.Cleanup(server.Close)
	f.detourServers = append(f.detourServers, server)
	f.platform.set(func(p *platformStub) {
		p.detourPeers = append(p.detourPeers, DetourPeer{Peer: pathfinder.Peer{ID: id}, Address: netip.MustParseAddrPort(server.Listener.Addr().String())})
	})
}

// dialPlain connects to a peer without authentication.
func dialPlain(ctx context.Context, peer netip.AddrPort) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", peer.String())
}

// addServer adds a backend server. Its handler may break the connection.
func (f *fixture) addServer(id, service string, handler http.HandlerFunc) *httptest.Server {
	f.t.Helper()
	server := httptest.NewServer(handler)
	f.t.Cleanup(server.Close)
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	f.platform.set(func(p *platformStub) {
		p.instances = append(p.instances, provider.Instance{ID: id, Incarnation: "1", Service: service, Address: address, Slots: 2})
	})
	return server
}

// addGroup adds a group of two members: a head with that handler, and a member
// without a server.
func (f *fixture) addGroup(name string, handler http.HandlerFunc) *httptest.Server {
	f.t.Helper()
	server := f.addServer(name+"-head", "engines", handler)
	f.platform.set(func(p *platformStub) {
		head := &p.instances[len(p.instances)-1]
		head.Membership = provider.Membership{Group: "m~" + name, Epoch: 1, State: provider.Serving}
		p.instances = append(p.instances, provider.Instance{
			ID: name + "-member", Incarnation: "1", Service: "engines", Slots: 2,
			Membership: provider.Membership{Group: "m~" + name, Epoch: 1, Rank: 1, State: provider.MemberReady},
		})
	})
	return server
}

// applyConfig applies the test configuration and waits until it is in force.
func (f *fixture) applyConfig() {
	f.t.Helper()
	f.apply(testConfig(1))
}

// apply applies a configuration and waits until it is in force.
func (f *fixture) apply(config mapper.Config) {
	f.t.Helper()
	f.platform.configure(config)
	f.eventually(func() bool {
		status, _, _ := f.call("GET", "/nowhere/", "x")
		return status == http.StatusNotFound
	})
	time.Sleep(100 * time.Millisecond)
}

func (f *fixture) eventually(condition func() bool) {
	f.t.Helper()
	for range 100 {
		if condition() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.t.Fatal("condition not met in time")
}

// call sends a request and returns the status, the body and the error with
// which the body ended.
func (f *fixture) call(method, path, id string) (int, string, error) {
	return f.callWith(method, path, id, "k")
}

func (f *fixture) callWith(method, path, id, key string) (int, string, error) {
	f.t.Helper()
	return f.callContext(f.t.Context(), method, path, id, key)
}

func (f *fixture) callContext(ctx context.Context, method, path, id, key string) (int, string, error) {
	f.t.Helper()
	return f.send(ctx, f.server, method, path, id, key, "body", "")
}

// callAt sends a request whose prompt has those parts to one of the forwarders' servers.
func (f *fixture) callAt(server *httptest.Server, method, path, id, key, body, parts string) (int, string, error) {
	f.t.Helper()
	return f.send(f.t.Context(), server, method, path, id, key, body, parts)
}

func (f *fixture) send(ctx context.Context, server *httptest.Server, method, path, id, key, body, parts string) (int, string, error) {
	f.t.Helper()
	request, err := http.NewRequestWithContext(ctx, method, server.URL+path, strings.NewReader(body))
	assert.NilError(f.t, err)
	request.Host = "h"
	request.Header.Set("Id", id)
	request.Header.Set("Key", key)
	request.Header.Set("Model", "m")
	request.Header.Set("Parts", parts)
	response, err := server.Client().Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	received, err := io.ReadAll(response.Body)
	return response.StatusCode, string(received), err
}

// testEvent returns one event of a stream.
func testEvent(id int) string {
	return "id: " + strconv.Itoa(id) + "\ndata: x" + strconv.Itoa(id) + "\n\n"
}

// writeHeader begins a valid response to a request.
func writeHeader(w http.ResponseWriter, r *http.Request, contentType string) {
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Proof", "p")
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(http.StatusOK)
}

// writeAndFlush sends a part of a body immediately.
func writeAndFlush(w http.ResponseWriter, text string) {
	io.WriteString(w, text)
	http.NewResponseController(w).Flush()
}

// resetConnection closes a connection with a TCP reset.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
}

// logHook is called with each log line, or nil. Handlers can't be replaced while the loops of a
// forwarder log.
var logHook atomic.Pointer[func(*log.Entry)]

func init() {
	handler := log.Log.(*log.Logger).Handler
	log.SetHandler(log.HandlerFunc(func(e *log.Entry) error {
		if hook := logHook.Load(); hook != nil {
			(*hook)(e)
		}
		return handler.HandleLog(e)
	}))
}

// onLogLine calls do each time the line is logged, in the goroutine that logs
// it, until the test ends.
func onLogLine(t *testing.T, line string, do func()) {
	t.Helper()
	previous := logHook.Load()
	hook := func(e *log.Entry) {
		if e.Message == line {
			do()
		}
		if previous != nil {
			(*previous)(e)
		}
	}
	logHook.Store(&hook)
	t.Cleanup(func() { logHook.Store(previous) })
}
