package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/internal/engineemulator"
	"github.com/waxwingmount/waxwingmount/pkg/caller"
)

const assistModel = `
[model.assist]
version = 1
instances_per_group = 4
groups = %d
`

// event is what the tests read of a stream's event.
type event struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// complete sends a streamed text completion and returns the whole text.
func complete(ctx context.Context, client *caller.Client, prompt string, tokens int, change func(*caller.Request)) (*caller.Result, string, error) {
	var text strings.Builder
	request := caller.Request{
		Path: "/v1/completions",
		Body: fmt.Appendf(nil, `{"model":"assist","stream":true,"max_tokens":%d,"prompt":%q}`, tokens, prompt),
		OnEvent: func(data []byte) {
			var e event
			if json.Unmarshal(data, &e) == nil && len(e.Choices) > 0 {
				text.WriteString(e.Choices[0].Text)
			}
		},
	}
	if change != nil {
		change(&request)
	}
	result, err := client.Do(ctx, request)
	return result, text.String(), err
}

// TestWholePath sends a streamed completion through an entry instance to a
// group of four instances, and a call to a plain service.
func TestWholePath(t *testing.T) {
	c := start(t, plan{entries: 3, domains: map[string]int{"fabric-a": 4}, services: 1, config: fmt.Sprintf(assistModel, 1)})
	for entry := range c.callers {
		c.awaitOpen(entry, 1)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	client := c.client()

	result, text, err := complete(ctx, client, "the rota of May", 40, nil)
	assert.NilError(t, err)
	assert.Equal(t, result.Outcome, caller.OutcomeComplete)
	assert.Equal(t, text, engineemulator.CompletionText("the rota of May", 40))

	status, header, body, err := c.post("entry-1", "/v1/chat/completions",
		`{"model":"assist","max_tokens":5,"messages":[{"role":"user","content":"hello"}]}`, nil)
	assert.NilError(t, err)
	assert.Equal(t, status, 200)
	assert.Equal(t, header.Get("Waxwing-Outcome"), "complete")
	want, err := json.Marshal(engineemulator.CompletionText("user:hello\n", 5))
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(body, string(want)), body)

	call, err := client.Do(ctx, caller.Request{Path: "/portal/rota?week=3", Body: []byte("swap")})
	assert.NilError(t, err)
	assert.Equal(t, call.Outcome, caller.OutcomeComplete)
	var echo engineemulator.EchoResponse
	assert.NilError(t, json.Unmarshal(call.Body, &echo))
	assert.Equal(t, echo.Body, "swap")
	assert.Equal(t, echo.Path, "/portal/rota")
}
