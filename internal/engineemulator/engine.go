// Package engineemulator emulates a model engine and a plain service for tests and
// for the single-process demonstration; it is not part of the product. The text of
// a completion depends only on the prompt, so that a test can check every byte of a
// response. An event log records each request before it runs, and each order once
// it is accepted or refused.
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

// Engine is an emulated model engine.
type Engine struct {
	settings settings
	recorder *Recorder
	client   *http.Client

	mu      sync.Mutex
	report  reconciler.Report
	members []grouper.Member
	// generation counts the applied orders; a new one ends the running requests.
	generation int
	// memberLost is true on a head while a member of its group does not respond.
	memberLost bool
}

type settings struct {
	tokenInterval    time.Duration
	timeToFirstToken time.Duration
	loadTime         time.Duration
	platform         netip.AddrPort
	fencing          bool
	resume           bool
	eventLog         io.Writer
	crash            func()
}

// Option configures an Engine.
type Option func(*settings)

// WithTokenInterval sets the time between two tokens of one request.
func WithTokenInterval(d time.Duration) Option {
	return func(s *settings) { s.tokenInterval = d }
}

// WithTimeToFirstToken sets the delay before the first token of a request.
func WithTimeToFirstToken(d time.Duration) Option {
	return func(s *settings) { s.timeToFirstToken = d }
}

// WithLoadTime sets how long a model takes to load.
func WithLoadTime(d time.Duration) Option {
	return func(s *settings) { s.loadTime = d }
}

// WithPlatform makes the engine fetch model weights from the weight store at
// address.
func WithPlatform(address netip.AddrPort) Option {
	return func(s *settings) { s.platform = address }
}

// WithFencing sets whether the engine refuses orders for a past fence or another
// incarnation, and requests whose fence is not the current one.
func WithFencing(enforced bool) Option {
	return func(s *settings) { s.fencing = enforced }
}

// WithResume sets whether the engine can resume a stream that was interrupted on
// another engine.
func WithResume(supported bool) Option {
	return func(s *settings) { s.resume = supported }
}

// WithEventLog makes the engine append an event to w for each request before it
// runs, and for each order.
func WithEventLog(w io.Writer) Option {
	return func(s *settings) { s.eventLog = w }
}

// WithCrash sets the function that is called for a prompt that contains
// [CrashMarker].
func WithCrash(crash func()) Option {
	return func(s *settings) { s.crash = crash }
}

// New returns an idle engine with a new incarnation.
func New(instance string, options ...Option) *Engine {
	s := settings{
		tokenInterval: time.Millisecond,
		fencing:       true,
		resume:        true,
		eventLog:      io.Discard,
		crash:         func() {},
	}
	for _, option := range options {
		option(&s)
	}
	return &Engine{
		settings: s,
		recorder: NewRecorder(s.eventLog),
		client:   &http.Client{Timeout: memberCheckTimeout},
		report:   reconciler.Report{Instance: instance, Incarnation: uuid.NewString()},
	}
}

// Handler returns the HTTP API of the engine.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", e.serveReport)
	mux.HandleFunc("POST /orders", e.serveOrder)
	mux.HandleFunc("POST /leave", e.serveLeave)
	mux.HandleFunc("POST /v1/chat/completions", e.serveChatCompletion)
	mux.HandleFunc("POST /v1/completions", e.serveTextCompletion)
	return mux
}

// Report returns the current status of the engine.
func (e *Engine) Report() reconciler.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.report
}

// runModelLoad fetches the weights and marks the engine ready, unless it has applied
// another order meanwhile.
func (e *Engine) runModelLoad(order reconciler.Order) {
	e.fetchWeights(order)
	time.Sleep(e.settings.loadTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.report.Group == order.Group && e.report.Fence == order.Fence {
		e.report.Phase = reconciler.PhaseReady
	}
}

// fetchWeights requests the weights of the model from the weight store, if there is
// one, and retries until it gets a response.
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

// runMemberMonitor checks the members of the group whose head is this engine. A head
// that has lost a member generates no tokens, as a collective operation would
// hang.
func (e *Engine) runMemberMonitor(ctx context.Context) {
	pacer.Repeat(ctx, memberCheckInterval, e.checkMembers)
}

// Start starts the background checks of group members; they stop when ctx ends.
func (e *Engine) Start(ctx context.Context) {
	go e.runMemberMonitor(ctx)
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
		lost = lost || !e.isReachable(ctx, m)
	}
	e.mu.Lock()
	e.memberLost = lost
	e.mu.Unlock()
}

func (e *Engine) isReachable(ctx context.Context, m grouper.Member) bool {
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
