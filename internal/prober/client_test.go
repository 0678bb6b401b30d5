package prober

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
)

// TestLateCopyOfReport guards against a second copy of an engine's earlier report, which
// arrives on a connection that is in use again, being taken for fresh evidence.
func TestLateCopyOfReport(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	reports := make(chan int, 1)
	reports <- 1
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader, previous := bufio.NewReader(conn), ""
				for {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					n := <-reports
					reports <- n + 1
					body := fmt.Sprintf(`{"instance":"a","incarnation":"%d"}`, n)
					response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
					fmt.Fprint(conn, previous+response)
					previous = response
				}
			}()
		}
	}()
	c := newClient()
	for _, want := range []string{"1", "2", "3"} {
		evidence, conclusive := c.probe(t.Context(), target{instance: "a", address: netip.MustParseAddrPort(listener.Addr().String())})
		assert.Assert(t, conclusive)
		assert.Equal(t, evidence.Report.Incarnation, want)
	}
}
