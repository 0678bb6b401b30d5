package receiver

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
)

// shape is the form of a completion: a chat or a text.
type shape struct {
	object string
	chat   bool
}

var (
	chatShape = shape{object: "chat.completion", chat: true}
	textShape = shape{object: "text_completion"}
)

// chunk is one event of a stream, of either shape.
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

// wholeBody is a completion that is not streamed.
type wholeBody struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Model   string        `json:"model"`
	Choices []wholeChoice `json:"choices"`
	Usage   usage         `json:"usage"`
}

type wholeChoice struct {
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

// assembler makes one body of the events of a stream.
type assembler struct {
	shape  shape
	id     string
	model  string
	text   strings.Builder
	tokens int
	finish string
}

// add takes in one event.
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
		a.finish = *choice.FinishReason
	}
	return nil
}

// body returns the whole completion.
func (a *assembler) body() ([]byte, error) {
	choice := wholeChoice{FinishReason: a.finish}
	if a.shape.chat {
		choice.Message = &message{Role: "assistant", Content: a.text.String()}
	} else {
		choice.Text = a.text.String()
	}
	return json.Marshal(wholeBody{
		ID:      a.id,
		Object:  a.shape.object,
		Model:   a.model,
		Choices: []wholeChoice{choice},
		Usage:   usage{CompletionTokens: a.tokens},
	})
}
