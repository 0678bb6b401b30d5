package responsechecker

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/internal/misresponder"
)

// testTLS returns the settings of a server and a client of TLS.
func testTLS(t *testing.T) (server, client *tls.Config) {
	t.Helper()
	s := httptest.NewTLSServer(nil)
	t.Cleanup(s.Close)
	return &tls.Config{Certificates: s.TLS.Certificates}, s.Client().Transport.(*http.Transport).TLSClientConfig
}

// TestEarlyResponse guards against an early response without a length that is reset during the
// upload being complete, and against one that the server has ended being broken, with and without
// TLS.
func TestEarlyResponse(t *testing.T) {
	const calls = 8
	serverTLS, clientTLS := testTLS(t)
	for _, withTLS := range []bool{false, true} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("TLS %t reset %t", withTLS, reset), func(t *testing.T) {
				t.Parallel()
				transport, scheme, config := &http.Transport{}, "http://", (*tls.Config)(nil)
				if withTLS {
					transport.TLSClientConfig, scheme, config = clientTLS.Clone(), "https://", serverTLS
				}
				client := &http.Client{Transport: Wrap(transport)}
				server := &misresponder.Server{Respond: misresponder.Always("HTTP/1.1 200 OK\r\n\r\nbody"), Early: true, End: misresponder.HalfClosed, TLS: config}
				if reset {
					server.End = misresponder.Reset
				}
				address := server.Start(t).String()
				for range calls {
					body, err := post(client, scheme+address)
					if reset {
						assert.Check(t, err != nil, "%q", body)
						continue
					}
					assert.NilError(t, err)
					assert.Equal(t, string(body), "body")
				}
			})
		}
	}
}

// post sends a request with a long body and reads the response to its end.
func post(client *http.Client, target string) ([]byte, error) {
	response, err := client.Post(target, "text/plain", bytes.NewReader(make([]byte, misresponder.LongBodyBytes)))
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	return io.ReadAll(response.Body)
}

// TestWrapKeepsDial guards against a transport's own way of opening connections being lost.
func TestWrapKeepsDial(t *testing.T) {
	server := &misresponder.Server{Respond: misresponder.Always("HTTP/1.1 204 No Content\r\n\r\n")}
	address := server.Start(t).String()
	dialed := ""
	transport := Wrap(&http.Transport{DialContext: func(ctx context.Context, network, target string) (net.Conn, error) {
		dialed = target
		return new(net.Dialer).DialContext(ctx, network, address)
	}})
	response, err := (&http.Client{Transport: transport}).Get("http://elsewhere.example/")
	assert.NilError(t, err)
	response.Body.Close()
	assert.Equal(t, dialed, "elsewhere.example:80")
}

// TestMalformedHead guards against a head that is none reaching a client.
func TestMalformedHead(t *testing.T) {
	for name, head := range misresponder.MalformedHeads {
		client := &http.Client{Transport: Wrap(&http.Transport{})}
		server := &misresponder.Server{Respond: misresponder.Always(head + "\r\n")}
		response, err := client.Get("http://" + server.Start(t).String())
		if err == nil {
			response.Body.Close()
			t.Errorf("%s: status %d", name, response.StatusCode)
		}
	}
}

// TestEarlyResponseOfHTTP2 guards against a part of an early response that is broken off during
// the upload being complete over HTTP/2, and against a complete one being broken.
func TestEarlyResponseOfHTTP2(t *testing.T) {
	const calls = 4
	for _, aborts := range []bool{false, true} {
		for _, resets := range []bool{false, true} {
			t.Run(fmt.Sprintf("aborts %t resets %t", aborts, resets), func(t *testing.T) {
				t.Parallel()
				var conns sync.Map
				server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					assert.Check(t, r.ProtoMajor == 2)
					io.WriteString(w, "body")
					if !aborts {
						return
					}
					http.NewResponseController(w).Flush()
					if conn, found := conns.Load(r.RemoteAddr); found && resets {
						conn.(*net.TCPConn).SetLinger(0)
						conn.(*net.TCPConn).Close()
					}
					panic(http.ErrAbortHandler)
				}))
				server.EnableHTTP2 = true
				server.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
					conns.Store(c.RemoteAddr().String(), c.(*tls.Conn).NetConn())
					return ctx
				}
				server.StartTLS()
				t.Cleanup(server.Close)
				config := server.Client().Transport.(*http.Transport).TLSClientConfig.Clone()
				client := &http.Client{Transport: Wrap(&http.Transport{TLSClientConfig: config, ForceAttemptHTTP2: true})}
				for range calls {
					body, err := post(client, server.URL)
					assert.Check(t, (err != nil) == aborts, "%q, %v", body, err)
				}
			})
		}
	}
}
