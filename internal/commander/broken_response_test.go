package commander

import (
	"crypto/tls"
	"encoding/pem"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/internal/misresponder"
	"github.com/waxwingmount/waxwingmount/pkg/faulter"
)

// callStandIn calls a stand-in for an entry instance, with TLS if it has any.
func callStandIn(t *testing.T, s *misresponder.Server, body any) (map[string]any, error) {
	t.Helper()
	flags := newClientFlags()
	if s.TLS != nil {
		flags.caFile = writeAuthority(t, s.TLS)
	}
	flags.address = s.Start(t).String()
	c, err := flags.newClient()
	assert.NilError(t, err)
	var result map[string]any
	err = c.call(http.MethodPost, "/operator/x", body, &result)
	return result, err
}

// testTLS returns the settings of a server of TLS.
func testTLS(t *testing.T) *tls.Config {
	t.Helper()
	s := httptest.NewTLSServer(nil)
	t.Cleanup(s.Close)
	return &tls.Config{Certificates: s.TLS.Certificates}
}

// writeAuthority writes the certificate of a server to a file and returns its path.
func writeAuthority(t *testing.T, config *tls.Config) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "authority.pem")
	data := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: config.Certificates[0].Certificate[0]})
	assert.NilError(t, os.WriteFile(path, data, 0o600))
	return path
}

// TestBrokenResponse guards against a broken response of an entry instance being shown as the
// result of a command, with and without TLS.
func TestBrokenResponse(t *testing.T) {
	const result = `{"version":7}`
	for _, config := range []*tls.Config{nil, testTLS(t)} {
		for name, head := range misresponder.MalformedHeads {
			got, err := callStandIn(t, &misresponder.Server{Respond: misresponder.Always(head + "\r\n" + result), TLS: config}, "x")
			checkUnavailable(t, got, err, name)
		}
		for name, response := range map[string]string{
			"without a length":        "HTTP/1.1 200 OK\r\n\r\n" + result,
			"shorter than its length": "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n" + result,
			"chunks without an end":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nd\r\n" + result + "\r\n",
		} {
			s := &misresponder.Server{Respond: misresponder.Always(response), Early: true, End: misresponder.Reset, TLS: config}
			got, err := callStandIn(t, s, make([]byte, misresponder.LongBodyBytes))
			checkUnavailable(t, got, err, name)
		}
	}
}

// TestEarlyUndelimitedResponse guards against a complete early response without a length being
// taken for a broken one.
func TestEarlyUndelimitedResponse(t *testing.T) {
	for _, config := range []*tls.Config{nil, testTLS(t)} {
		s := &misresponder.Server{Respond: misresponder.Always("HTTP/1.1 200 OK\r\n\r\n{}"), Early: true, End: misresponder.HalfClosed, TLS: config}
		_, err := callStandIn(t, s, make([]byte, misresponder.LongBodyBytes))
		assert.NilError(t, err)
	}
}

func checkUnavailable(t *testing.T, got map[string]any, err error, name string) {
	t.Helper()
	kind, known := faulter.KindOf[Kind](err)
	assert.Check(t, known && kind == KindUnavailable && got == nil, "%s: %v, %v", name, got, err)
}
