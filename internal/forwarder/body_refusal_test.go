package forwarder

import (
	"context"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/internal/server"
	"github.com/waxwingmount/waxwingmount/pkg/faulter"
	"github.com/waxwingmount/waxwingmount/pkg/retrier"
)

// TestBodyRefusals guards against statuses that tell a caller within the limits that its request
// is at fault, or that leave open whether it has run.
func TestBodyRefusals(t *testing.T) {
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	for name, test := range map[string]struct {
		ctx        context.Context
		err        error
		status     int
		retryAfter bool
	}{
		"too large": {t.Context(), faulter.New("read", server.KindTooLarge, nil), http.StatusRequestEntityTooLarge, false},
		"too slow":  {t.Context(), faulter.New("read", server.KindTooSlow, nil), http.StatusRequestTimeout, false},
		"no memory": {t.Context(), faulter.New("read", server.KindNoMemory, nil), http.StatusServiceUnavailable, true},
		"cut off":   {t.Context(), io.ErrUnexpectedEOF, http.StatusBadRequest, false},
		"stopping":  {ended, io.ErrUnexpectedEOF, http.StatusServiceUnavailable, true},
	} {
		t.Run(name, func(t *testing.T) {
			refusal := bodyRefusal(test.ctx, test.err)
			assert.Equal(t, refusal.Status(), test.status)
			assert.Equal(t, refusal.RetryAfter > 0, test.retryAfter)
			assert.Equal(t, refusal.Outcome, retrier.NotRun)
		})
	}
}
