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

// said is what a caller was told of one request.
type said struct {
	prompt  string
	outcome string
	text    string
	tokens  int
	err     error
}

// load is a number of callers that send completions until they are stopped.
type load struct {
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu   sync.Mutex
	said []said
}

const requestTimeout = 25 * time.Second

// startLoad lets callers send completions of so many tokens, each with a
// prompt of its own, one after the other.
func (c *cluster) startLoad(callers, tokens int) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{cancel: cancel}
	for caller := range callers {
		client := c.client()
		l.done.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				l.one(client, fmt.Sprintf("caller %d request %d", caller, i), tokens)
			}
		})
	}
	c.t.Cleanup(cancel)
	return l
}

func (l *load) one(client *caller.Client, prompt string, tokens int) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	result, text, err := complete(ctx, client, prompt, tokens, nil)
	s := said{prompt: prompt, text: text, tokens: tokens, err: err}
	if result != nil {
		s.outcome = result.Outcome
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.said = append(l.said, s)
}

// count returns how many requests are over.
func (l *load) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.said)
}

// stop lets the requests in progress end and returns what all were told.
func (l *load) stop() []said {
	l.cancel()
	l.done.Wait()
	return l.said
}

// checkAllComplete demands that every request got the whole answer to its own
// prompt.
func checkAllComplete(t *testing.T, all []said) {
	t.Helper()
	assert.Assert(t, len(all) > 0, "no request was sent")
	for _, s := range all {
		assert.NilError(t, s.err, "request %q", s.prompt)
		assert.Equal(t, s.outcome, caller.OutcomeComplete, "request %q", s.prompt)
		assert.Equal(t, s.text, engineemulator.CompletionText(s.prompt, s.tokens), "request %q", s.prompt)
	}
}

// checkNoneSilentlyShort demands that every answer that is told as complete is
// whole, whatever became of the others.
func checkNoneSilentlyShort(t *testing.T, all []said) {
	t.Helper()
	for _, s := range all {
		want := engineemulator.CompletionText(s.prompt, s.tokens)
		if s.outcome == caller.OutcomeComplete {
			assert.Equal(t, s.text, want, "request %q", s.prompt)
			continue
		}
		assert.Assert(t, len(s.text) <= len(want) && s.text == want[:len(s.text)], "request %q got foreign bytes", s.prompt)
	}
}
