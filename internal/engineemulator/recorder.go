package engineemulator

import (
	"encoding/json"
	"io"
	"sync"
	"time"
)

// Kinds of recorded runs.
const (
	EventCompletion = "completion"
	EventCall       = "call"
	EventOrder      = "order"
)

// ServerEvent is one line of the record: something that an emulated engine or service
// is about to do, or has refused.
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
	// Subject is the beginning of the prompt or body.
	Subject string `json:"subject,omitempty"`
}

// subjectBytes is how much of a prompt or body is recorded.
const subjectBytes = 64

func subject(text string) string { return text[:min(len(text), subjectBytes)] }

// Recorder appends runs to a writer, one JSON object a line.
type Recorder struct {
	mu      sync.Mutex
	encoder *json.Encoder
}

// NewRecorder returns a recorder that writes to w.
func NewRecorder(w io.Writer) *Recorder {
	return &Recorder{encoder: json.NewEncoder(w)}
}

// Record stamps and writes one run.
func (r *Recorder) Record(run ServerEvent) {
	run.Time = time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.encoder.Encode(run)
}

// ReadEvents decodes all runs of a record.
func ReadEvents(reader io.Reader) ([]ServerEvent, error) {
	var runs []ServerEvent
	decoder := json.NewDecoder(reader)
	for {
		var run ServerEvent
		switch err := decoder.Decode(&run); err {
		case nil:
			runs = append(runs, run)
		case io.EOF:
			return runs, nil
		default:
			return runs, err
		}
	}
}
