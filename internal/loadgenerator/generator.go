// Package generator loads a system, or one engine directly, with completions
// and measures what its callers see.
//
// # Usage
//
//	report := generator.Run(ctx, generator.Plan{Rate: 50, Duration: 10 * time.Second, ...})
//
// With a Rate the load is open: requests begin on time whatever the answers
// do. Without one, a number of callers each send one request after the other.
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

// Plan says what to send.
type Plan struct {
	Client *caller.Client
	Model  string
	// Rate is the requests a second of an open load; zero makes it closed.
	Rate float64
	// Callers is how many send at once in a closed load.
	Callers  int
	Duration time.Duration
	// MaxTokens is how many tokens each completion asks for.
	MaxTokens int
	// PromptBytes is the length of each prompt, of which SharedBytes are the
	// same in all.
	PromptBytes       int
	SharedPrefixBytes int
	// Timeout bounds each request.
	Timeout time.Duration
}

// Report is what the callers saw.
type Report struct {
	Sent int `json:"sent"`
	// Outcomes counts the requests by what their callers were told.
	Outcomes map[string]int `json:"outcomes"`
	// NoResponse counts the requests without any answer.
	NoResponse int `json:"lost"`
	// Retried counts the requests that were sent more than once.
	Retried int `json:"retried"`
	// WrongLength counts the complete answers with too few or too many events.
	WrongLength      int           `json:"wrong_length"`
	Elapsed          time.Duration `json:"elapsed_ns"`
	TokensPerSecond  float64       `json:"tokens_per_second"`
	TimeToFirstToken Quantiles     `json:"first_token"`
	TokenGap         Quantiles     `json:"gap"`
}

// Quantiles of a duration, in microseconds.
type Quantiles struct {
	P50 int64 `json:"p50_us"`
	P95 int64 `json:"p95_us"`
	P99 int64 `json:"p99_us"`
	Max int64 `json:"max_us"`
}

const (
	// Range of the histograms, in microseconds.
	lowestValue       = 1
	highestValue      = 300_000_000
	significantDigits = 3
)

// run is a load under way.
type run struct {
	plan   Plan
	prompt string

	mu         sync.Mutex
	report     Report
	tokens     int
	firstToken *hdrhistogram.Histogram
	gap        *hdrhistogram.Histogram
}

// Run carries a plan out and returns what the callers saw.
func Run(ctx context.Context, plan Plan) Report {
	r := &run{
		plan:       plan,
		prompt:     strings.Repeat("s", plan.SharedPrefixBytes),
		report:     Report{Outcomes: make(map[string]int)},
		firstToken: hdrhistogram.New(lowestValue, highestValue, significantDigits),
		gap:        hdrhistogram.New(lowestValue, highestValue, significantDigits),
	}
	began := time.Now()
	sending, stop := context.WithTimeout(ctx, plan.Duration)
	defer stop()
	if plan.Rate > 0 {
		r.open(ctx, sending)
	} else {
		r.closed(ctx, sending)
	}
	r.report.Elapsed = time.Since(began)
	r.report.TokensPerSecond = float64(r.tokens) / r.report.Elapsed.Seconds()
	r.report.TimeToFirstToken = quantiles(r.firstToken)
	r.report.TokenGap = quantiles(r.gap)
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

// open begins requests at the rate, and waits for all answers.
func (r *run) open(ctx, sending context.Context) {
	var requests sync.WaitGroup
	ticker := time.NewTicker(time.Duration(float64(time.Second) / r.plan.Rate))
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-sending.Done():
			requests.Wait()
			return
		case <-ticker.C:
		}
		requests.Go(func() { r.one(ctx, i) })
	}
}

// closed lets callers send one request after the other.
func (r *run) closed(ctx, sending context.Context) {
	var callers sync.WaitGroup
	for c := range r.plan.Callers {
		callers.Go(func() {
			for i := 0; sending.Err() == nil; i++ {
				r.one(ctx, i*r.plan.Callers+c)
			}
		})
	}
	callers.Wait()
}

// one sends one completion and notes what its caller saw.
func (r *run) one(ctx context.Context, number int) {
	ctx, cancel := context.WithTimeout(ctx, r.plan.Timeout)
	defer cancel()
	last := time.Now()
	events := 0
	request := caller.Request{
		Path:    "/v1/completions",
		Body:    r.body(number),
		Timeout: r.plan.Timeout,
		OnEvent: func([]byte) {
			now := time.Now()
			r.note(events == 0, now.Sub(last))
			last = now
			events++
		},
	}
	result, err := r.plan.Client.Do(ctx, request)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Sent++
	r.tokens += events
	if result == nil || (err != nil && result.Outcome == "") {
		r.report.NoResponse++
		return
	}
	r.report.Outcomes[result.Outcome]++
	if result.Tries > 1 {
		r.report.Retried++
	}
	if result.Outcome == caller.OutcomeComplete && result.Events != r.plan.MaxTokens+1 {
		r.report.WrongLength++
	}
}

func (r *run) body(number int) []byte {
	own := fmt.Sprintf(" request %d ", number)
	own += strings.Repeat("x", max(0, r.plan.PromptBytes-len(own)-len(r.prompt)))
	return fmt.Appendf(nil, `{"model":%q,"stream":true,"max_tokens":%d,"prompt":%q}`, r.plan.Model, r.plan.MaxTokens, r.prompt+own)
}

// note counts the time before one event.
func (r *run) note(first bool, d time.Duration) {
	histogram := r.gap
	if first {
		histogram = r.firstToken
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	// A value out of range is counted at the end of the range.
	_ = histogram.RecordValue(min(max(d.Microseconds(), lowestValue), highestValue))
}
