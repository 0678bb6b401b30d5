// Package loadgenerator sends streamed completions to a system, or directly to
// one engine, and measures outcomes, latency and throughput as its callers see
// them.
//
// # Usage
//
//	report := loadgenerator.Run(ctx, loadgenerator.Plan{Rate: 50, Duration: 10 * time.Second, ...})
//
// With a Rate the load is an open loop: requests start at that rate, however long
// responses take. Without one it is a closed loop: each of a number of callers
// sends one request after the other.
package loadgenerator

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/waxwingmount/waxwingmount/pkg/caller"
)

// Plan configures a load.
type Plan struct {
	Client *caller.Client
	Model  string
	// Rate is the rate of an open loop in requests per second; zero selects a
	// closed loop.
	Rate float64
	// Callers is the number of concurrent callers in a closed loop.
	Callers int
	// Duration is the time during which requests start.
	Duration time.Duration
	// MaxTokens is the number of tokens that each request asks for.
	MaxTokens int
	// PromptBytes is the length of each prompt. The first SharedPrefixBytes are the
	// same in all prompts.
	PromptBytes       int
	SharedPrefixBytes int
	// Timeout is the timeout of each request.
	Timeout time.Duration
}

// Report holds the results of a load.
type Report struct {
	Sent int `json:"sent"`
	// Outcomes counts the requests by the outcome that their callers received.
	Outcomes map[string]int `json:"outcomes"`
	// NoResponse counts the requests without any response.
	NoResponse int `json:"lost"`
	// Retried counts the requests with more than one attempt.
	Retried int `json:"retried"`
	// WrongLength counts the complete responses with too few or too many events.
	WrongLength      int           `json:"wrong_length"`
	Elapsed          time.Duration `json:"elapsed_ns"`
	TokensPerSecond  float64       `json:"tokens_per_second"`
	TimeToFirstToken Quantiles     `json:"first_token"`
	TokenGap         Quantiles     `json:"gap"`
}

// Quantiles holds quantiles of a duration, in microseconds.
type Quantiles struct {
	P50 int64 `json:"p50_us"`
	P95 int64 `json:"p95_us"`
	P99 int64 `json:"p99_us"`
	Max int64 `json:"max_us"`
}

const (
	// Range and precision of the histograms.
	minMicroseconds   = 1
	maxMicroseconds   = 300_000_000
	significantDigits = 3
)

// loadRun is the state of a running load.
type loadRun struct {
	plan         Plan
	sharedPrefix string

	mu               sync.Mutex
	report           Report
	receivedTokens   int
	timeToFirstToken *hdrhistogram.Histogram
	tokenGap         *hdrhistogram.Histogram
}

// Run generates the load that plan describes, and returns its results once all
// requests have ended. When ctx ends, it cancels the requests in flight.
func Run(ctx context.Context, plan Plan) Report {
	r := &loadRun{
		plan:             plan,
		sharedPrefix:     strings.Repeat("s", plan.SharedPrefixBytes),
		report:           Report{Outcomes: make(map[string]int)},
		timeToFirstToken: hdrhistogram.New(minMicroseconds, maxMicroseconds, significantDigits),
		tokenGap:         hdrhistogram.New(minMicroseconds, maxMicroseconds, significantDigits),
	}
	startedAt := time.Now()
	sendCtx, cancel := context.WithTimeout(ctx, plan.Duration)
	defer cancel()
	if plan.Rate > 0 {
		r.runOpenLoop(ctx, sendCtx)
	} else {
		r.runClosedLoop(ctx, sendCtx)
	}
	r.report.Elapsed = time.Since(startedAt)
	r.report.TokensPerSecond = float64(r.receivedTokens) / r.report.Elapsed.Seconds()
	r.report.TimeToFirstToken = quantiles(r.timeToFirstToken)
	r.report.TokenGap = quantiles(r.tokenGap)
	return r.report
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{
		P50: h.ValueAtQuantile(50),
		P95: h.ValueAtQuantile(95),
		P99: h.ValueAtQuantile(99),
		Max: h.Max(),
	}
}

// runOpenLoop starts requests at the configured rate until sendCtx ends, and
// waits for all of them.
func (r *loadRun) runOpenLoop(ctx, sendCtx context.Context) {
	var requests sync.WaitGroup
	ticker := time.NewTicker(time.Duration(float64(time.Second) / r.plan.Rate))
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-sendCtx.Done():
			requests.Wait()
			return
		case <-ticker.C:
		}
		requests.Go(func() { r.sendRequest(ctx, i) })
	}
}

// runClosedLoop runs callers that each send one request after the other until
// sendCtx ends.
func (r *loadRun) runClosedLoop(ctx, sendCtx context.Context) {
	var callers sync.WaitGroup
	for c := range r.plan.Callers {
		callers.Go(func() {
			for i := 0; sendCtx.Err() == nil; i++ {
				r.sendRequest(ctx, i*r.plan.Callers+c)
			}
		})
	}
	callers.Wait()
}

// sendRequest sends a completion request and records its outcome.
func (r *loadRun) sendRequest(ctx context.Context, number int) {
	ctx, cancel := context.WithTimeout(ctx, r.plan.Timeout)
	defer cancel()
	lastEvent := time.Now()
	events := 0
	request := caller.Request{
		Path:    "/v1/completions",
		Body:    r.requestBody(number),
		Timeout: r.plan.Timeout,
		OnEvent: func([]byte) {
			now := time.Now()
			r.recordLatency(events == 0, now.Sub(lastEvent))
			lastEvent = now
			events++
		},
	}
	result, err := r.plan.Client.Do(ctx, request)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Sent++
	r.receivedTokens += events
	if result == nil || (err != nil && result.Outcome == "") {
		r.report.NoResponse++
		return
	}
	r.report.Outcomes[result.Outcome]++
	if result.Attempts > 1 {
		r.report.Retried++
	}
	if result.Outcome == caller.OutcomeComplete && result.Events != r.plan.MaxTokens+1 {
		r.report.WrongLength++
	}
}

func (r *loadRun) requestBody(number int) []byte {
	suffix := fmt.Sprintf(" request %d ", number)
	suffix += strings.Repeat("x", max(0, r.plan.PromptBytes-len(suffix)-len(r.sharedPrefix)))
	return fmt.Appendf(nil, `{"model":%q,"stream":true,"max_tokens":%d,"prompt":%q}`, r.plan.Model, r.plan.MaxTokens, r.sharedPrefix+suffix)
}

// recordLatency records the time before an event: the time to first token, or the
// gap since the previous event.
func (r *loadRun) recordLatency(first bool, d time.Duration) {
	histogram := r.tokenGap
	if first {
		histogram = r.timeToFirstToken
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	// Values out of the range are recorded as the minimum or maximum of the range.
	_ = histogram.RecordValue(min(max(d.Microseconds(), minMicroseconds), maxMicroseconds))
}
