// Package engineemulator stands in for a model engine and for a plain service
// in tests and in the single-process demonstration. Its text is a function of
// the prompt alone, so that a reader can check every byte of an answer. It
// records each run before it begins. It is no part of the product.
//
// # Usage
//
//	engine := engineemulator.New("inst-1", engineemulator.WithTokenInterval(time.Millisecond))
//	http.ListenAndServe(address, engine.Handler())
package engineemulator

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/waxwingmount/waxwingmount/internal/pacer"
	"github.com/waxwingmount/waxwingmount/pkg/grouper"
	"github.com/waxwingmount/waxwingmount/pkg/reconciler"
)

// Engine is one emulated model engine.
type Engine struct {
	settings settings
	recorder *Recorder
	client   *http.Client

	mu      sync.Mutex
	report  reconciler.Report
	members []grouper.Member
	// formation counts the orders obeyed; a new one ends what runs.
	formation int
	// memberLost is set on a head while one of its members does not answer.
	memberLost bool
}

type settings struct {
	tokenInterval time.Duration
	firstToken    time.Duration
	loadTime      time.Duration
	platform      netip.AddrPort
	fencing       bool
	resume        bool
	record        io.Writer
	crash         func()
}

// Option changes a new Engine.
type Option func(*settings)

// WithTokenInterval sets the time between two tokens of one request.
func WithTokenInterval(d time.Duration) Option {
	return func(s *settings) { s.tokenInterval = d }
}

// WithTimeToFirstToken sets the time from a request to its first token.
func WithTimeToFirstToken(d time.Duration) Option {
	return func(s *settings) { s.firstToken = d }
}

// WithLoadTime sets how long a model takes to load.
func WithLoadTime(d time.Duration) Option {
	return func(s *settings) { s.loadTime = d }
}

// WithPlatform makes loads go through the weight store at address.
func WithPlatform(address netip.AddrPort) Option {
	return func(s *settings) { s.platform = address }
}

// WithFencing sets whether orders and requests with an old fence are refused.
func WithFencing(enforced bool) Option {
	return func(s *settings) { s.fencing = enforced }
}

// WithResume sets whether the engine can go on with a stream cut elsewhere.
func WithResume(able bool) Option {
	return func(s *settings) { s.resume = able }
}

// WithEventLog makes the engine append a line to w before each run.
func WithEventLog(w io.Writer) Option {
	return func(s *settings) { s.record = w }
}

// WithCrash sets what happens when a request that crashes engines is run.
func WithCrash(crash func()) Option {
	return func(s *settings) { s.crash = crash }
}

// New returns an idle engine with a new incarnation.
func New(instance string, options ...Option) *Engine {
	s := settings{
		tokenInterval: time.Millisecond,
		fencing:       true,
		resume:        true,
		record:        io.Discard,
		crash:         func() {},
	}
	for _, option := range options {
		option(&s)
	}
	return &Engine{
		settings: s,
		recorder: NewRecorder(s.record),
		client:   &http.Client{Timeout: memberCheckTimeout},
		report:   reconciler.Report{Instance: instance, Incarnation: uuid.NewString()},
	}
}

// Handler serves the engine's own interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", e.serveReport)
	mux.HandleFunc("POST /orders", e.serveOrder)
	mux.HandleFunc("POST /leave", e.serveLeave)
	mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	mux.HandleFunc("POST /v1/completions", e.serveText)
	return mux
}

// Report returns what the engine says of itself.
func (e *Engine) Report() reconciler.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.report
}

// load fetches the weights and turns the engine ready, unless another order
// came in between.
func (e *Engine) load(order reconciler.Order) {
	e.fetchWeights(order)
	time.Sleep(e.settings.loadTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.report.Group == order.Group && e.report.Fence == order.Fence {
		e.report.Phase = reconciler.PhaseReady
	}
}

func (e *Engine) fetchWeights(order reconciler.Order) {
	if !e.settings.platform.IsValid() {
		return
	}
	source := url.URL{
		Scheme:   "http",
		Host:     e.settings.platform.String(),
		Path:     "/weights",
		RawQuery: url.Values{"name": {order.Model + "/" + order.ModelVersion}}.Encode(),
	}
	for {
		response, err := http.Get(source.String())
		if err == nil {
			response.Body.Close()
			return
		}
		time.Sleep(weightRetryInterval)
	}
}

const (
	weightRetryInterval = 100 * time.Millisecond
	memberCheckInterval = 50 * time.Millisecond
	memberCheckTimeout  = 200 * time.Millisecond
)

// run checks the members of the group that this engine heads: a head whose
// member is gone makes no more tokens, as with a stuck collective operation.
func (e *Engine) run(ctx context.Context) {
	pacer.Repeat(ctx, memberCheckInterval, e.checkMembers)
}

// Start begins the engine's own duties; they end with ctx.
func (e *Engine) Start(ctx context.Context) {
	go e.run(ctx)
}

func (e *Engine) checkMembers(ctx context.Context) {
	e.mu.Lock()
	members := e.members
	self := e.report.Instance
	e.mu.Unlock()
	if len(members) == 0 || members[0].Instance != self {
		return
	}
	lost := false
	for _, m := range members[1:] {
		lost = lost || !e.answers(ctx, m)
	}
	e.mu.Lock()
	e.memberLost = lost
	e.mu.Unlock()
}

func (e *Engine) answers(ctx context.Context, m grouper.Member) bool {
	target := url.URL{Scheme: "http", Host: m.Address.String(), Path: "/report"}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return false
	}
	response, err := e.client.Do(request)
	if err != nil {
		return false
	}
	io.Copy(io.Discard, response.Body)
	response.Body.Close()
	return true
}
