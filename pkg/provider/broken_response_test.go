package provider

import (
	"context"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/internal/misresponder"
	"github.com/waxwingmount/waxwingmount/pkg/faulter"
)

// platformCalls are all calls that read a response, with the body of one.
var platformCalls = map[string]struct {
	body string
	call func(context.Context, *HTTP) error
}{
	"read":           {`{}`, func(ctx context.Context, h *HTTP) error { _, err := h.Read(ctx, "k"); return err }},
	"scan":           {`[]`, func(ctx context.Context, h *HTTP) error { _, err := h.Scan(ctx, "k"); return err }},
	"commit":         {`{"committed":true}`, func(ctx context.Context, h *HTTP) error { _, err := h.Commit(ctx, Transaction{}); return err }},
	"get object":     {`x`, func(ctx context.Context, h *HTTP) error { _, err := h.GetObject(ctx, "k"); return err }},
	"put object":     {``, func(ctx context.Context, h *HTTP) error { return h.PutObject(ctx, "k", []byte("x")) }},
	"list instances": {`[]`, func(ctx context.Context, h *HTTP) error { _, err := h.ListInstances(ctx); return err }},
}

// TestMalformedHead guards against a response of the platform whose head is none being taken for
// one.
func TestMalformedHead(t *testing.T) {
	for name, head := range misresponder.MalformedHeads {
		for call, test := range platformCalls {
			t.Run(call+", "+name, func(t *testing.T) {
				t.Parallel()
				s := &misresponder.Server{Respond: misresponder.Always(head + "\r\n" + test.body)}
				h := NewHTTP(s.Start(t))
				checkUnavailable(t, test.call(t.Context(), h))
			})
		}
	}
}

// TestResponseBrokenOff guards against a response that is reset, or shorter than its length,
// counting as complete.
func TestResponseBrokenOff(t *testing.T) {
	for name, fields := range map[string]string{"without a length": "", "shorter than its length": "Content-Length: 100\r\n"} {
		for call, test := range platformCalls {
			t.Run(call+", "+name, func(t *testing.T) {
				t.Parallel()
				s := &misresponder.Server{Respond: misresponder.Always("HTTP/1.1 200 OK\r\n" + fields + "\r\n" + test.body), End: misresponder.Reset}
				h := NewHTTP(s.Start(t))
				checkUnavailable(t, test.call(t.Context(), h))
			})
		}
	}
}

// TestResetDuringPut guards against an object counting as stored although the connection was reset
// while it was being written, and against one counting as failed whose early response is complete.
func TestResetDuringPut(t *testing.T) {
	const calls = 8
	for _, end := range []misresponder.End{misresponder.Reset, misresponder.HalfClosed} {
		t.Run(fmt.Sprintf("reset %t", end == misresponder.Reset), func(t *testing.T) {
			t.Parallel()
			s := &misresponder.Server{Respond: misresponder.Always("HTTP/1.1 200 OK\r\n\r\nok"), Early: true, End: end}
			h := NewHTTP(s.Start(t))
			for range calls {
				err := h.PutObject(t.Context(), "k", make([]byte, misresponder.LongBodyBytes))
				if end == misresponder.Reset {
					checkUnavailable(t, err)
				} else {
					assert.Check(t, err)
				}
			}
		})
	}
}

func checkUnavailable(t *testing.T, err error) {
	t.Helper()
	kind, known := faulter.KindOf[Kind](err)
	assert.Check(t, known && kind == KindUnavailable, "%v", err)
}
