package engineemulator

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"
)

// Service emulates a plain service. It records each call, waits for a fixed delay
// and echoes the request.
type Service struct {
	name     string
	delay    time.Duration
	recorder *Recorder
	crash    func()
}

// EchoResponse is the response of a Service.
type EchoResponse struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Body    string `json:"body"`
}

// NewService returns a plain service that records its calls in eventLog, responds
// after delay, and calls crash for a body that contains [CrashMarker].
func NewService(name string, delay time.Duration, eventLog io.Writer, crash func()) *Service {
	return &Service{name: name, delay: delay, recorder: NewRecorder(eventLog), crash: crash}
}

// ServeHTTP implements [http.Handler].
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.recorder.Record(ServerEvent{
		Kind:           EventCall,
		RequestID:      r.Header.Get(headerRequestID),
		IdempotencyKey: r.Header.Get(headerIdempotencyKey),
		Organisation:   r.Header.Get(headerOrganisation),
		Instance:       s.name,
		Subject:        truncateSubject(string(body)),
	})
	if strings.Contains(string(body), CrashMarker) {
		s.crash()
		return
	}
	sleep(r.Context(), s.delay)
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(EchoResponse{Service: s.name, Method: r.Method, Path: r.URL.Path, Body: string(body)})
}
