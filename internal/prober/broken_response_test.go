package prober

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/internal/misresponder"
)

// probeStandIn probes a stand-in and reports whether the probe was conclusive.
func probeStandIn(t *testing.T, s *misresponder.Server) bool {
	t.Helper()
	_, conclusive := newClient().probe(t.Context(), target{instance: "a", address: s.Start(t)})
	return conclusive
}

// TestBrokenReport guards against a broken response of an engine being taken for its report, or
// for that of another instance, which would prove a loss.
func TestBrokenReport(t *testing.T) {
	for _, body := range []string{`{"instance":"a","incarnation":"1"}`, `{"instance":"b","incarnation":"1"}`} {
		for name, head := range misresponder.MalformedHeads {
			s := &misresponder.Server{Respond: misresponder.Always(head + "\r\n" + body)}
			assert.Check(t, !probeStandIn(t, s), "%s, %s", name, body)
		}
		for name, response := range map[string]string{
			"without a length":        "HTTP/1.1 200 OK\r\n\r\n" + body,
			"shorter than its length": "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n" + body,
			"chunks without an end":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n22\r\n" + body + "\r\n",
			"more after the report":   "HTTP/1.1 200 OK\r\nContent-Length: 35\r\n\r\n" + body + "x",
			"status 500":              "HTTP/1.1 500 Odd\r\nContent-Length: 34\r\n\r\n" + body,
		} {
			s := &misresponder.Server{Respond: misresponder.Always(response), End: misresponder.Reset}
			assert.Check(t, !probeStandIn(t, s), "%s, %s", name, body)
		}
	}
}

// TestUndelimitedReport guards against a report without a length being inconclusive.
func TestUndelimitedReport(t *testing.T) {
	s := &misresponder.Server{Respond: misresponder.Always("HTTP/1.1 200 OK\r\n\r\n" + `{"instance":"a"}` + "\n")}
	assert.Check(t, probeStandIn(t, s))
}
