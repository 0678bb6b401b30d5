package engineemulator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/waxwingmount/waxwingmount/pkg/reconciler"
)

// Headers between the entry instances and the engines.
const (
	headerRequestID    = "Waxwing-Request-Id"
	headerOrganisation = "Waxwing-Organisation"
	headerGroup        = "Waxwing-Group"
	headerFence        = "Waxwing-Fence"
	headerResumeFrom   = "Waxwing-Resume-From"
	headerNotRun       = "Waxwing-Not-Run"
	headerKey          = "Idempotency-Key"
)

// CrashMarker in a prompt makes the engine that runs it crash.
const CrashMarker = "crash-the-engine"

const defaultMaxTokens = 16

// completionRequest is the part of a caller's request that the engine reads.
type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	Messages  []message
	MaxTokens int `json:"max_tokens"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (r completionRequest) text() string {
	if r.Prompt != "" {
		return r.Prompt
	}
	var b strings.Builder
	for _, m := range r.Messages {
		b.WriteString(m.Role + ":" + m.Content + "\n")
	}
	return b.String()
}

// Token returns token number i of the answer to a prompt.
func Token(prompt string, i int) string {
	return fmt.Sprintf("t%d-%x ", i, xxhash.Sum64String(prompt+"#"+strconv.Itoa(i))&0xffffff)
}

// CompletionText returns the whole answer to a prompt.
func CompletionText(prompt string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(Token(prompt, i))
	}
	return b.String()
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	e.serveCompletion(w, r, chatEvent)
}

func (e *Engine) serveText(w http.ResponseWriter, r *http.Request) {
	e.serveCompletion(w, r, textEvent)
}

// eventFormat formats one event of a stream.
type eventFormat func(id, model, text string, last bool) any

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request, format eventFormat) {
	var request completionRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if reason := e.begin(r); reason != "" {
		w.Header().Set(headerNotRun, "true")
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	defer e.end()
	resumeFrom, _ := strconv.Atoi(r.Header.Get(headerResumeFrom))
	e.recordCompletion(r, request, resumeFrom)
	if strings.Contains(request.text(), CrashMarker) {
		e.settings.crash()
		return
	}
	e.stream(w, r, request, resumeFrom, format)
}

// begin counts a request in, or says why it is not run.
func (e *Engine) begin(r *http.Request) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.report.Phase != reconciler.PhaseReady {
		return "engine is not ready"
	}
	if e.settings.fencing && r.Header.Get(headerFence) != strconv.FormatUint(e.report.Fence, 10) {
		return "request is for another fence"
	}
	if !e.settings.resume && r.Header.Get(headerResumeFrom) != "" {
		return "engine cannot resume"
	}
	e.report.InFlight++
	return ""
}

func (e *Engine) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.report.InFlight--
}

func (e *Engine) recordCompletion(r *http.Request, request completionRequest, resumeFrom int) {
	report := e.Report()
	e.recorder.Record(ServerEvent{
		Kind:           EventCompletion,
		RequestID:      r.Header.Get(headerRequestID),
		IdempotencyKey: r.Header.Get(headerKey),
		Organisation:   r.Header.Get(headerOrganisation),
		Instance:       report.Instance,
		Incarnation:    report.Incarnation,
		Group:          report.Group,
		Fence:          report.Fence,
		ResumeFrom:     resumeFrom,
		Subject:        subject(request.text()),
	})
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, request completionRequest, resumeFrom int, format eventFormat) {
	tokens := request.MaxTokens
	if tokens == 0 {
		tokens = defaultMaxTokens
	}
	prompt := request.text()
	id := r.Header.Get(headerRequestID)
	w.Header().Set("Content-Type", "text/event-stream")
	if !sleep(r.Context(), e.settings.firstToken) {
		return
	}
	formation := e.currentFormation()
	pace := time.NewTicker(max(e.settings.tokenInterval, time.Microsecond))
	defer pace.Stop()
	controller := http.NewResponseController(w)
	for i := resumeFrom; i <= tokens; i++ {
		if !e.step(r.Context(), pace, formation) {
			return
		}
		last := i == tokens
		text := ""
		if !last {
			text = Token(prompt, i)
		}
		data, _ := json.Marshal(format(id, request.Model, text, last))
		fmt.Fprintf(w, "data: %s\n\n", data)
		controller.Flush()
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

// step waits for the time of the next token and reports whether the caller is
// still there and the engine still in the same formation. While a member is
// lost it makes no progress.
func (e *Engine) step(ctx context.Context, pace *time.Ticker, formation int) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-pace.C:
		}
		e.mu.Lock()
		lost := e.memberLost
		same := e.formation == formation
		e.mu.Unlock()
		if !same {
			return false
		}
		if !lost {
			return true
		}
	}
}

func (e *Engine) currentFormation() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.formation
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
