package provider

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/pkg/faulter"
)

// TestForeignInstances guards against one entry that names no instance making the whole list
// unusable, or passing for an instance.
func TestForeignInstances(t *testing.T) {
	const sound = `{"id":"i-1","address":"10.0.0.1:80","fabric_domain":"d","data_centre":"c"}`
	for _, entry := range []string{
		`7`, `null`, `{}`, `[]`, `"i-2"`, `{"id":7,"address":"10.0.0.2:80"}`, `{"id":"i-2"}`, `{"id":"i-2","address":7}`,
		`{"id":"i-2","address":"10.0.0.2"}`, `{"id":"i-2","address":"10.0.0.2:0"}`, `{"address":"10.0.0.2:80"}`,
		`{"id":"i-2","address":"10.0.0.2:80","leaving":"yes"}`, `{"id":"i-2","address":"10.0.0.2:80","fabric_domain":["d"]}`,
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			io.WriteString(w, `[`+entry+`,`+sound+`]`)
		}))
		h := NewHTTP(netip.MustParseAddrPort(server.Listener.Addr().String()))
		instances, err := h.ListInstances(t.Context())
		kind, found := faulter.KindOf[Kind](err)
		assert.Assert(t, found && kind == KindInvalidEntry, "%s: %v", entry, err)
		assert.Equal(t, len(instances), 1, entry)
		assert.Equal(t, instances[0].ID, "i-1")
		server.Close()
	}
}
