package forwarder

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace/noop"
	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/internal/messenger"
	"github.com/waxwingmount/waxwingmount/internal/observer"
	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
	"github.com/waxwingmount/waxwingmount/pkg/quarantiner"
)

// plainCodec reads hints from headers that are easy to write.
type plainCodec struct{}

func (plainCodec) Hints(h http.Header) Hints {
	return Hints{ID: h.Get("Id"), Key: h.Get("Key"), Model: h.Get("Model"), PromptTokens: 100}
}

func (plainCodec) Address(h http.Header, s Send) {
	h.Del("Key")
	h.Set("For", s.Instance)
	h.Set("Organisation", s.Organisation)
	h.Set("Left", strconv.FormatInt(s.Left.Milliseconds(), 10))
}

func (plainCodec) Verdict(_ int, h http.Header) Verdict {
	return Verdict{ID: h.Get("Id"), NotRun: h.Get("Not-Run") != "", Proved: h.Get("Proof") != ""}
}

func (plainCodec) Echo(h http.Header, id string) { h.Set("Id", id) }

// platformStub is the platform, and the peers, of one forwarder.
type platformStub struct {
	mu        sync.Mutex
	config    *mapper.Map
	instances []provider.Instance
	down      bool
	dead      map[string]bool
}

var errDown = errors.New("the store is down")

func (p *platformStub) Fetch(context.Context, bool) (observer.Snapshot, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return observer.Snapshot{}, errDown
	}
	now := clocker.Now()
	return observer.Snapshot{Instances: slices.Clone(p.instances), ListedAt: now, Config: p.config, ConfirmedAt: now}, nil
}

func (p *platformStub) Probe(_ context.Context, in provider.Instance, _ time.Duration) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dead[in.ID] {
		return errDown
	}
	return nil
}

func (p *platformStub) Announce(context.Context, messenger.LossesMessage) {}
func (p *platformStub) Count() int                                        { return 1 }
func (p *platformStub) TellStrikes(context.Context, []quarantiner.Strike) {}
func (p *platformStub) set(change func(*platformStub))                    { p.mu.Lock(); defer p.mu.Unlock(); change(p) }
func (p *platformStub) kill(id string)                                    { p.set(func(p *platformStub) { p.dead[id] = true }) }
func (p *platformStub) configure(config mapper.Config) {
	p.set(func(p *platformStub) { p.config = mapper.New(config) })
}

// world is one forwarder before backend servers that a test scripts.
type world struct {
	t        *testing.T
	platform *platformStub
	server   *httptest.Server
}

const testKeyTTL = 3 * time.Second

var testEngine = &mapper.Engine{
	Models: []mapper.Model{{Name: "m", Size: 2, Pace: 1, Share: 1}},
	Slots:  2, Step: 5 * time.Millisecond, Stride: 1, ReadPerSecond: 50_000, Chunk: 2048,
}

func testConfig(version uint64) mapper.Config {
	route := func(name string, repeat mapper.Repeat, service string) mapper.Route {
		return mapper.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Targets: []mapper.Target{{Service: service, Weight: 1}},
			Repeat: repeat, Timeout: 3 * time.Second, Objective: 500 * time.Millisecond, GapObjective: 300 * time.Millisecond,
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

func newWorld(t *testing.T) *world {
	t.Helper()
	w := &world{t: t, platform: &platformStub{dead: make(map[string]bool)}}
	ctx, cancel := context.WithCancel(context.Background())
	o := observer.New(observer.Dependencies{Source: w.platform, Prober: w.platform, Announcer: w.platform, Scope: tally.NoopScope})
	f := New(Dependencies{
		Settings: Settings{KeyTTL: testKeyTTL, RetryRatio: 0.2, RetrySlack: 100},
		Observer: o, Codec: plainCodec{}, Peers: w.platform,
		Tracer: noop.NewTracerProvider().Tracer(""), Scope: tally.NoopScope,
	})
	o.Start(ctx)
	f.Start(ctx)
	w.server = httptest.NewServer(f.Handler())
	t.Cleanup(func() { w.server.Close(); cancel() })
	return w
}

// serve adds a backend server; the handler gets the connection to break.
func (w *world) serve(id, service string, handler http.HandlerFunc) {
	w.t.Helper()
	server := httptest.NewServer(handler)
	w.t.Cleanup(server.Close)
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	w.platform.set(func(p *platformStub) {
		p.instances = append(p.instances, provider.Instance{ID: id, Incarnation: "1", Service: service, Address: address, Slots: 2})
	})
}

// group makes a group of a head that is served and a member that is not.
func (w *world) group(name string, handler http.HandlerFunc) {
	w.t.Helper()
	w.serve(name+"-head", "engines", handler)
	w.platform.set(func(p *platformStub) {
		head := &p.instances[len(p.instances)-1]
		head.Membership = provider.Membership{Group: "m~" + name, Epoch: 1, State: provider.Serving}
		p.instances = append(p.instances, provider.Instance{
			ID: name + "-member", Incarnation: "1", Service: "engines", Slots: 2,
			Membership: provider.Membership{Group: "m~" + name, Epoch: 1, Rank: 1, State: provider.MemberReady},
		})
	})
}

// start puts the configuration in force.
func (w *world) start() {
	w.t.Helper()
	w.platform.configure(testConfig(1))
	w.eventually(func() bool {
		status, _, _ := w.call("GET", "/nowhere/", "x")
		return status == http.StatusNotFound
	})
	time.Sleep(100 * time.Millisecond)
}

func (w *world) eventually(what func() bool) {
	w.t.Helper()
	for range 100 {
		if what() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	w.t.Fatal("it never came")
}

// call sends a request and returns the status, the body and how the body ended.
func (w *world) call(method, path, id string) (int, string, error) {
	return w.callWith(method, path, id, "k")
}

func (w *world) callWith(method, path, id, key string) (int, string, error) {
	w.t.Helper()
	request, err := http.NewRequest(method, w.server.URL+path, bytes.NewReader([]byte("body")))
	assert.NilError(w.t, err)
	request.Host = "h"
	request.Header.Set("Id", id)
	request.Header.Set("Key", key)
	request.Header.Set("Model", "m")
	response, err := w.server.Client().Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

// event returns one event of a stream.
func event(id int) string { return "id: " + strconv.Itoa(id) + "\ndata: x" + strconv.Itoa(id) + "\n\n" }

// answer begins an answer to a request.
func answer(w http.ResponseWriter, r *http.Request, contentType string) {
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Proof", "p")
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(http.StatusOK)
}

// write sends a part of a body at once.
func write(w http.ResponseWriter, text string) {
	io.WriteString(w, text)
	http.NewResponseController(w).Flush()
}

// reset breaks a connection.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
}
