package caller

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/internal/misresponder"
	"github.com/waxwingmount/waxwingmount/pkg/faulter"
)

// startEntry starts a stand-in until the test ends, and returns a client of it.
func startEntry(t *testing.T, s *misresponder.Server) *Client {
	t.Helper()
	return New([]netip.AddrPort{s.Start(t)}, WithFixedAddresses())
}

// TestMalformedHead guards against a response whose head is none being returned, or its word that
// a request was not run being believed, which repeats the request.
func TestMalformedHead(t *testing.T) {
	for name, head := range misresponder.MalformedHeads {
		for _, body := range []string{"{}", `{"error":{"code":"x","outcome":"not_run","retry_after_ms":1}}`} {
			t.Run(name+", "+body, func(t *testing.T) {
				t.Parallel()
				s := &misresponder.Server{Respond: misresponder.Always(head + "Waxwing-Outcome: not_run\r\n\r\n" + body)}
				c := startEntry(t, s)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				result, err := c.Do(ctx, Request{Path: "/x", Body: []byte("x")})
				kind, known := faulter.KindOf[Kind](err)
				assert.Check(t, result == nil && known && kind == KindNoResponse, "%+v, %v", result, err)
				assert.Check(t, s.Requests() == 1, "%d requests", s.Requests())
			})
		}
	}
}

// TestMalformedHeadOfAddresses guards against addresses from a response whose head is none.
func TestMalformedHeadOfAddresses(t *testing.T) {
	for name, head := range misresponder.MalformedHeads {
		s := &misresponder.Server{Respond: misresponder.Always(head + "\r\n" + `{"addresses":["127.0.0.1:1"],"keep_for_ms":1000}`)}
		c := New([]netip.AddrPort{s.Start(t)})
		_, err := c.address(t.Context())
		assert.Check(t, err != nil, name)
	}
}

// TestResetDuringUpload guards against a part of a response, which an entry instance breaks off
// with a reset while the request is being written, being returned as complete, and against a
// complete early response being lost.
func TestResetDuringUpload(t *testing.T) {
	const calls = 8
	for _, end := range []misresponder.End{misresponder.Reset, misresponder.HalfClosed} {
		t.Run(fmt.Sprintf("reset %t", end == misresponder.Reset), func(t *testing.T) {
			t.Parallel()
			s := &misresponder.Server{Respond: misresponder.Always("HTTP/1.1 200 OK\r\n\r\n{}"), Early: true, End: end}
			address := s.Start(t)
			for range calls {
				// A client drops an address that has failed.
				c := New([]netip.AddrPort{address}, WithFixedAddresses())
				result, err := c.Do(t.Context(), Request{Path: "/x", Body: make([]byte, misresponder.LongBodyBytes)})
				if end == misresponder.Reset {
					kind, known := faulter.KindOf[Kind](err)
					assert.Check(t, result == nil && known && kind == KindNoResponse, "%+v, %v", result, err)
					continue
				}
				assert.NilError(t, err)
				assert.Equal(t, string(result.Body), "{}")
			}
		})
	}
}

// TestStreamBrokenOff guards against a stream that is broken off during the upload being complete.
func TestStreamBrokenOff(t *testing.T) {
	c := startEntry(t, &misresponder.Server{
		Respond: misresponder.Always("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: x\n\n"), Early: true, End: misresponder.Reset,
	})
	result, err := c.Do(t.Context(), Request{Path: "/x", Body: make([]byte, misresponder.LongBodyBytes)})
	assert.Check(t, err != nil || result.Outcome == OutcomeTruncated, "%+v", result)
}
