package engineemulator

// chatChunk is an event of a streamed chat completion.
type chatChunk struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
}

type chatChoice struct {
	Index        int       `json:"index"`
	Delta        chatDelta `json:"delta"`
	FinishReason *string   `json:"finish_reason"`
}

type chatDelta struct {
	Content string `json:"content,omitempty"`
}

// textChunk is an event of a streamed text completion.
type textChunk struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Model   string       `json:"model"`
	Choices []textChoice `json:"choices"`
}

type textChoice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

func chatEvent(id, model, text string, last bool) any {
	choice := chatChoice{Delta: chatDelta{Content: text}, FinishReason: finishReason(last)}
	return chatChunk{ID: id, Object: "chat.completion.chunk", Model: model, Choices: []chatChoice{choice}}
}

func textEvent(id, model, text string, last bool) any {
	choice := textChoice{Text: text, FinishReason: finishReason(last)}
	return textChunk{ID: id, Object: "text_completion", Model: model, Choices: []textChoice{choice}}
}

func finishReason(last bool) *string {
	if !last {
		return nil
	}
	reason := "stop"
	return &reason
}
