package receiver

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
)

// completionFormat is the format of a completion response: chat or text.
type completionFormat struct {
	object string
	chat   bool
}

var (
	chatFormat = completionFormat{object: "chat.completion", chat: true}
	textFormat = completionFormat{object: "text_completion"}
)

// chunk is one event of a stream, in either format.
type chunk struct {
	ID      string `json:"id"`
	Model   string `json:"model"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

// completionObject is the response body of a completion that is not streamed.
type completionObject struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   usage              `json:"usage"`
}

type completionChoice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Text         string   `json:"text,omitempty"`
	FinishReason string   `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// assembler builds one response body from the events of a stream.
type assembler struct {
	format       completionFormat
	id           string
	model        string
	text         strings.Builder
	tokens       int
	finishReason string
}

// add adds one event. It returns a [Problem] if the event is not JSON.
func (a *assembler) add(event []byte) error {
	var c chunk
	if err := json.Unmarshal(bytes.TrimPrefix(event, []byte("data: ")), &c); err != nil {
		return problemf(http.StatusBadGateway, "malformed_event", "the backend server sent an event that is not JSON")
	}
	a.id, a.model = c.ID, c.Model
	if len(c.Choices) == 0 {
		return nil
	}
	choice := c.Choices[0]
	if text := choice.Delta.Content + choice.Text; text != "" {
		a.text.WriteString(text)
		a.tokens++
	}
	if choice.FinishReason != nil {
		a.finishReason = *choice.FinishReason
	}
	return nil
}

// body returns the complete response body.
func (a *assembler) body() ([]byte, error) {
	choice := completionChoice{FinishReason: a.finishReason}
	if a.format.chat {
		choice.Message = &message{Role: "assistant", Content: a.text.String()}
	} else {
		choice.Text = a.text.String()
	}
	return json.Marshal(completionObject{
		ID:      a.id,
		Object:  a.format.object,
		Model:   a.model,
		Choices: []completionChoice{choice},
		Usage:   usage{CompletionTokens: a.tokens},
	})
}
