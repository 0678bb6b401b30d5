package forwarder

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// TestRefusedAttemptSendsNothing guards against a request that reaches a server although
// the list has said since the choice, while the connection was being made, that the server
// leaves: the header went out before the last check, which guarded the body alone, and a
// request without a body was checked before the connection was there.
func TestRefusedAttemptSendsNothing(t *testing.T) {
	for name, body := range map[string][]byte{"body": []byte("body"), "no body": nil} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			var left, stayed atomic.Int32
			f.addServer("a", "plain", func(rw http.ResponseWriter, r *http.Request) {
				left.Add(1)
				answer(rw, r)
			})
			f.applyConfig()
			connecting, connect := make(chan struct{}), make(chan struct{})
			begin := sync.OnceFunc(func() { close(connecting) })
			f.forwarder.transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
				begin()
				<-connect
				return dial(ctx, network, address)
			}
			statuses := make(chan int, 1)
			go func() {
				request, err := http.NewRequest(http.MethodPost, f.server.URL+"/once/", bytes.NewReader(body))
				if err != nil {
					t.Error(err)
				}
				request.Host = "h"
				request.Header = http.Header{"Id": {"1"}, "Key": {"k"}, "Model": {"m"}}
				response, err := f.server.Client().Do(request)
				if err != nil {
					t.Error(err)
					statuses <- 0
					return
				}
				response.Body.Close()
				statuses <- response.StatusCode
			}()
			<-connecting
			f.platform.set(func(p *platformStub) { p.instances[0].Leaving = true })
			f.addServer("b", "plain", func(rw http.ResponseWriter, r *http.Request) {
				stayed.Add(1)
				answer(rw, r)
			})
			f.eventually(func() bool {
				servers := f.forwarder.Observer.Servers("plain")
				return len(servers) == 1 && servers[0].ID == "b"
			})
			close(connect)
			assert.Equal(t, <-statuses, http.StatusOK)
			assert.Equal(t, left.Load(), int32(0))
			assert.Equal(t, stayed.Load(), int32(1))
		})
	}
}
