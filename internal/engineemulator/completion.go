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

// Headers of requests from entry instances to engines and of their responses.
const (
	headerRequestID      = "Waxwing-Request-Id"
	headerOrganisation   = "Waxwing-Organisation"
	headerGroup          = "Waxwing-Group"
	headerFence          = "Waxwing-Fence"
	headerResumeFrom     = "Waxwing-Resume-From"
	headerNotRun         = "Waxwing-Not-Run"
	headerIdempotencyKey = "Idempotency-Key"
)

// CrashMarker makes an engine crash if the prompt contains it, and a service if the
// request body does.
const CrashMarker = "crash-the-engine"

const defaultMaxTokens = 16

// completionRequest holds the fields of a completion request that the engine
// reads.
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

func (r completionRequest) promptText() string {
	if r.Prompt != "" {
		return r.Prompt
	}
	var b strings.Builder
	for _, m := range r.Messages {
		b.WriteString(m.Role + ":" + m.Content + "\n")
	}
	return b.String()
}

// Token returns token i of the completion of a prompt.
func Token(prompt string, i int) string {
	return fmt.Sprintf("t%d-%x ", i, xxhash.Sum64String(prompt+"#"+strconv.Itoa(i))&0xffffff)
}

// CompletionText returns the completion of a prompt with the given number of
// tokens.
func CompletionText(prompt string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(Token(prompt, i))
	}
	return b.String()
}

func (e *Engine) serveChatCompletion(w http.ResponseWriter, r *http.Request) {
	e.serveCompletion(w, r, chatEvent)
}

func (e *Engine) serveTextCompletion(w http.ResponseWriter, r *http.Request) {
	e.serveCompletion(w, r, textEvent)
}

// eventFormat formats an event of a stream.
type eventFormat func(id, model, text string, last bool) any

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request, format eventFormat) {
	var request completionRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if reason := e.admit(r); reason != "" {
		w.Header().Set(headerNotRun, "true")
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	defer e.release()
	resumeFrom, _ := strconv.Atoi(r.Header.Get(headerResumeFrom))
	e.recordCompletion(r, request, resumeFrom)
	if strings.Contains(request.promptText(), CrashMarker) {
		e.settings.crash()
		return
	}
	e.streamCompletion(w, r, request, resumeFrom, format)
}

// admit counts a request as in flight, or returns the reason why it is not run.
func (e *Engine) admit(r *http.Request) string {
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

// release counts the end of a request that admit has admitted.
func (e *Engine) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.report.InFlight--
}

// recordCompletion records the request in the event log.
func (e *Engine) recordCompletion(r *http.Request, request completionRequest, resumeFrom int) {
	report := e.Report()
	e.recorder.Record(ServerEvent{
		Kind:           EventCompletion,
		RequestID:      r.Header.Get(headerRequestID),
		IdempotencyKey: r.Header.Get(headerIdempotencyKey),
		Organisation:   r.Header.Get(headerOrganisation),
		Instance:       report.Instance,
		Incarnation:    report.Incarnation,
		Group:          report.Group,
		Fence:          report.Fence,
		ResumeFrom:     resumeFrom,
		Subject:        truncateSubject(request.promptText()),
	})
}

func (e *Engine) streamCompletion(w http.ResponseWriter, r *http.Request, request completionRequest, resumeFrom int, format eventFormat) {
	tokens := request.MaxTokens
	if tokens == 0 {
		tokens = defaultMaxTokens
	}
	prompt := request.promptText()
	id := r.Header.Get(headerRequestID)
	w.Header().Set("Content-Type", "text/event-stream")
	if !sleep(r.Context(), e.settings.timeToFirstToken) {
		return
	}
	generation := e.currentGeneration()
	ticker := time.NewTicker(max(e.settings.tokenInterval, time.Microsecond))
	defer ticker.Stop()
	controller := http.NewResponseController(w)
	for i := resumeFrom; i <= tokens; i++ {
		if !e.waitForToken(r.Context(), ticker, generation) {
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

// waitForToken waits until the next token is due. It returns false if the request
// is canceled or the engine has applied another order. While a member of the group
// is lost it keeps waiting.
func (e *Engine) waitForToken(ctx context.Context, ticker *time.Ticker, generation int) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
		e.mu.Lock()
		memberLost := e.memberLost
		current := e.generation == generation
		e.mu.Unlock()
		if !current {
			return false
		}
		if !memberLost {
			return true
		}
	}
}

func (e *Engine) currentGeneration() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.generation
}

// sleep waits for d and returns false if ctx ends first.
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
