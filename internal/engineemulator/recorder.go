package engineemulator

import (
	"encoding/json"
	"io"
	"sync"
	"time"
)

// Kinds of recorded events.
const (
	EventCompletion = "completion"
	EventCall       = "call"
	EventOrder      = "order"
)

// ServerEvent is an entry of the event log: a request that an emulated engine or
// service is about to run, or an order that an engine has accepted or refused.
type ServerEvent struct {
	Kind           string    `json:"kind"`
	Time           time.Time `json:"time"`
	RequestID      string    `json:"request_id,omitempty"`
	IdempotencyKey string    `json:"idempotency_key,omitempty"`
	Organisation   string    `json:"organisation,omitempty"`
	Instance       string    `json:"instance"`
	Incarnation    string    `json:"incarnation,omitempty"`
	Group          string    `json:"group,omitempty"`
	Fence          uint64    `json:"fence,omitempty"`
	ResumeFrom     int       `json:"resume_from,omitempty"`
	Refused        bool      `json:"refused,omitempty"`
	// Subject is the beginning of the prompt or of the request body.
	Subject string `json:"subject,omitempty"`
}

// maxSubjectBytes is the maximum length of ServerEvent.Subject.
const maxSubjectBytes = 64

func truncateSubject(text string) string { return text[:min(len(text), maxSubjectBytes)] }

// Recorder appends events to a writer, one JSON object per line. It is safe for
// concurrent use.
type Recorder struct {
	mu      sync.Mutex
	encoder *json.Encoder
}

// NewRecorder returns a Recorder that writes to w.
func NewRecorder(w io.Writer) *Recorder {
	return &Recorder{encoder: json.NewEncoder(w)}
}

// Record sets the time of the event and appends it.
func (r *Recorder) Record(event ServerEvent) {
	event.Time = time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.encoder.Encode(event)
}

// ReadEvents decodes all events of an event log. On an error it also returns the
// events before it.
func ReadEvents(reader io.Reader) ([]ServerEvent, error) {
	var events []ServerEvent
	decoder := json.NewDecoder(reader)
	for {
		var event ServerEvent
		switch err := decoder.Decode(&event); err {
		case nil:
			events = append(events, event)
		case io.EOF:
			return events, nil
		default:
			return events, err
		}
	}
}
