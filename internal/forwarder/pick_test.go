package forwarder

import (
	"context"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/internal/logger"
	"github.com/waxwingmount/waxwingmount/pkg/estimator"
)

// TestCheckBetweenPickAndSend runs the check of the upstreams after a request
// has chosen a new upstream and before it is sent. The check must keep the
// upstream: its request counts as load, and is canceled once a member is lost.
func TestCheckBetweenPickAndSend(t *testing.T) {
	f := newFixture(t)
	onLogLine(t, logger.LineSent, func() { f.forwarder.checkUpstreams(context.Background()) })
	running := make(chan map[string]estimator.Work, 1)
	f.addGroup("a", func(w http.ResponseWriter, r *http.Request) {
		writeHeader(w, r, "text/event-stream")
		writeAndFlush(w, testEvent(1))
		running <- f.forwarder.LocalLoad()
		f.platform.kill("a-member")
		<-r.Context().Done()
	})
	f.applyConfig()
	request, err := http.NewRequest("POST", f.server.URL+"/stream/", http.NoBody)
	assert.NilError(t, err)
	request.Host = "h"
	request.Header.Set("Id", "r1")
	request.Header.Set("Key", "k")
	request.Header.Set("Model", "m")
	response, err := f.server.Client().Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, (<-running)["m~a"].Running, 1)
	_, err = io.ReadAll(response.Body)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}
