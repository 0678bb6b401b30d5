package controller

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/internal/prober"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

// TestForeignEntryDoesNotFreezeList guards against one entry that names no instance keeping the
// changes of all others from the controller, and against a log line for each reading of it.
func TestForeignEntryDoesNotFreezeList(t *testing.T) {
	previous := log.Log.(*log.Logger).Handler
	lines := memory.New()
	log.SetHandler(lines)
	t.Cleanup(func() { log.SetHandler(previous) })
	list, status := "", http.StatusOK
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		io.WriteString(w, list)
	}))
	defer server.Close()
	c := New(Dependencies{Platform: provider.NewHTTP(netip.MustParseAddrPort(server.Listener.Addr().String())), Prober: prober.New(nil, nil, nil)})
	refresh := func(text string) int {
		list = text
		c.refreshList(t.Context())
		return len(c.Instances())
	}
	assert.Equal(t, refresh(`[{"id":"a","address":"10.0.0.1:80"}]`), 1)
	assert.Equal(t, len(lines.Entries), 0)
	for range 3 {
		assert.Equal(t, refresh(`[{"id":"a","address":"10.0.0.1:80"},{"id":1},{"id":"b","address":"10.0.0.2:80"}]`), 2)
		assert.Equal(t, len(lines.Entries), 1)
	}
	// A list that can't be read leaves the last one in force.
	status = http.StatusInternalServerError
	assert.Equal(t, refresh(`[]`), 2)
	assert.Equal(t, len(lines.Entries), 2)
}
