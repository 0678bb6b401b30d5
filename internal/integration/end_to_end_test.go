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

// completionEvent is the part of a stream event that the tests read.
type completionEvent struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// streamCompletion sends a streamed text completion and returns its result and the
// text of all events. modify changes the request before it is sent; it may be nil.
func streamCompletion(ctx context.Context, client *caller.Client, prompt string, tokens int, modify func(*caller.Request)) (*caller.Result, string, error) {
	var text strings.Builder
	request := caller.Request{
		Path: "/v1/completions",
		Body: fmt.Appendf(nil, `{"model":"assist","stream":true,"max_tokens":%d,"prompt":%q}`, tokens, prompt),
		OnEvent: func(data []byte) {
			var e completionEvent
			if json.Unmarshal(data, &e) == nil && len(e.Choices) > 0 {
				text.WriteString(e.Choices[0].Text)
			}
		},
	}
	if modify != nil {
		modify(&request)
	}
	result, err := client.Do(ctx, request)
	return result, text.String(), err
}

// TestEndToEnd sends a streamed completion and a chat completion through an entry
// instance to a group of four instances, and a call to a plain service.
func TestEndToEnd(t *testing.T) {
	c := startCluster(t, clusterSpec{entries: 3, domains: map[string]int{"fabric-a": 4}, services: 1, config: fmt.Sprintf(assistModel, 1)})
	for entry := range c.callerAddresses {
		c.awaitOpen(entry, 1)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	client := c.client()

	result, text, err := streamCompletion(ctx, client, "the rota of May", 40, nil)
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
