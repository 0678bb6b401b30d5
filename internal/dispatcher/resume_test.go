package dispatcher

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.opentelemetry.io/otel/trace/noop"
	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/pkg/configurer"
	"github.com/waxwingmount/waxwingmount/pkg/decoder"
	"github.com/waxwingmount/waxwingmount/pkg/gatekeeper"
	"github.com/waxwingmount/waxwingmount/pkg/grouper"
	"github.com/waxwingmount/waxwingmount/pkg/quarantiner"
)

// groupsStub is a configuration with groups whose gates are open.
type groupsStub struct {
	config *configurer.Config
	groups grouper.Snapshot
}

func (s *groupsStub) Config() *configurer.Config { return s.config }

func (s *groupsStub) Groups() *grouper.Snapshot { return &s.groups }

func (*groupsStub) Check(grouper.Group) gatekeeper.Verdict { return gatekeeper.Open }

func (*groupsStub) Evidence(string) (gatekeeper.Evidence, bool) { return gatekeeper.Evidence{}, false }

func (*groupsStub) Changed() <-chan struct{} { return nil }

func (*groupsStub) Suspect(string, netip.AddrPort) {}

func (*groupsStub) Broadcast(context.Context, []quarantiner.Strike) []quarantiner.Strike { return nil }

// newGroupsStub returns a stub with two groups of a model m, whose heads answer with handler.
func newGroupsStub(t *testing.T, handler http.HandlerFunc) *groupsStub {
	t.Helper()
	config, err := configurer.Parse(decoder.Source{Name: "test.ini", Data: []byte("[system]\ndeployment = test\n[model.m]\nversion = 1\ngroups = 2\n")})
	assert.NilError(t, err)
	s := &groupsStub{config: config, groups: grouper.Snapshot{Groups: make(map[string]grouper.Group)}}
	for _, id := range []string{"a", "b"} {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		s.groups.Groups[id] = grouper.Group{ID: id, Model: "m", Members: []grouper.Member{
			{Instance: id, Address: netip.MustParseAddrPort(server.Listener.Addr().String())},
		}}
	}
	return s
}

// TestErrorOfNextServerStaysOutOfStream guards against a stream that has begun and that goes on
// with the text of another server's error, or ends as if it were complete.
func TestErrorOfNextServerStaysOutOfStream(t *testing.T) {
	const events = "data: {\"error\":\"overloaded\"}\n\ndata: [DONE]\n\n"
	for name, next := range map[string]struct {
		status      int
		contentType string
	}{
		"not found":       {http.StatusNotFound, "text/event-stream"},
		"too many":        {http.StatusTooManyRequests, "application/json"},
		"internal error":  {http.StatusInternalServerError, "text/event-stream"},
		"unavailable":     {http.StatusServiceUnavailable, "text/event-stream"},
		"no stream":       {http.StatusOK, "application/json"},
		"no type":         {http.StatusOK, ""},
		"partial content": {http.StatusPartialContent, "text/event-stream"},
	} {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int32
			stub := newGroupsStub(t, func(w http.ResponseWriter, _ *http.Request) {
				if calls.Add(1) > 1 {
					w.Header()["Content-Type"] = []string{next.contentType}
					w.WriteHeader(next.status)
					io.WriteString(w, events)
					return
				}
				w.Header().Set("Content-Type", "text/event-stream")
				io.WriteString(w, "data: first\n\n")
				http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			})
			d := New(Dependencies{Configs: stub, Gates: stub, Broadcaster: stub, Tracer: noop.NewTracerProvider().Tracer("")})
			stream, err := d.Open(t.Context(), Request{
				ID: "r", Model: "m", Method: "POST", Path: "/v1/completions", Idempotent: true, Deadline: time.Now().Add(2 * time.Second),
			})
			assert.NilError(t, err)
			defer stream.Close()
			var received []string
			for err == nil {
				var event []byte
				if event, err = stream.Next(); err == nil {
					received = append(received, string(event))
				}
			}
			assert.Assert(t, err != io.EOF, "the stream ended as if it were complete")
			assert.Equal(t, strings.Join(received, "|"), "data: first")
			assert.Assert(t, calls.Load() > 1)
		})
	}
}
