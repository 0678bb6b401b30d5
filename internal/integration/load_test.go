package integration

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/internal/engineemulator"
	"github.com/waxwingmount/waxwingmount/pkg/caller"
)

// requestResult is the result of one completion as its caller got it.
type requestResult struct {
	prompt  string
	outcome string
	text    string
	tokens  int
	err     error
}

// loadGenerator runs callers that send completions until they are stopped.
type loadGenerator struct {
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu      sync.Mutex
	results []requestResult
}

const requestTimeout = 25 * time.Second

// startLoad starts callers that each send completions of the given number of
// tokens one after the other, each with a unique prompt.
func (c *cluster) startLoad(callers, tokens int) *loadGenerator {
	ctx, cancel := context.WithCancel(context.Background())
	l := &loadGenerator{cancel: cancel}
	for n := range callers {
		client := c.client()
		l.done.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				l.send(client, fmt.Sprintf("caller %d request %d", n, i), tokens)
			}
		})
	}
	c.t.Cleanup(cancel)
	return l
}

func (l *loadGenerator) send(client *caller.Client, prompt string, tokens int) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	result, text, err := streamCompletion(ctx, client, prompt, tokens, nil)
	s := requestResult{prompt: prompt, text: text, tokens: tokens, err: err}
	if result != nil {
		s.outcome = result.Outcome
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, s)
}

// count returns the number of finished requests.
func (l *loadGenerator) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.results)
}

// stop waits for the requests in flight and returns the results of all.
func (l *loadGenerator) stop() []requestResult {
	l.cancel()
	l.done.Wait()
	return l.results
}

// checkAllComplete checks that every request got the complete response to its own
// prompt.
func checkAllComplete(t *testing.T, results []requestResult) {
	t.Helper()
	assert.Assert(t, len(results) > 0, "no request was sent")
	for _, s := range results {
		assert.NilError(t, s.err, "request %q", s.prompt)
		assert.Equal(t, s.outcome, caller.OutcomeComplete, "request %q", s.prompt)
		assert.Equal(t, s.text, engineemulator.CompletionText(s.prompt, s.tokens), "request %q", s.prompt)
	}
}

// checkNoTruncation checks that every response that is reported as complete has its
// whole text, and every other one a prefix of it.
func checkNoTruncation(t *testing.T, results []requestResult) {
	t.Helper()
	for _, s := range results {
		want := engineemulator.CompletionText(s.prompt, s.tokens)
		if s.outcome == caller.OutcomeComplete {
			assert.Equal(t, s.text, want, "request %q", s.prompt)
			continue
		}
		assert.Assert(t, len(s.text) <= len(want) && s.text == want[:len(s.text)], "request %q got text that is not its own", s.prompt)
	}
}
