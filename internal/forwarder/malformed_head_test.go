package forwarder

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/internal/misresponder"
)

// malformedResponse returns a response with that head, which holds further fields.
func malformedResponse(route, head, fields string) string {
	if route == streamRoute {
		return head + strings.TrimPrefix(streamHead, "HTTP/1.1 200 OK\r\n") + fields + "\r\n" + testEvent(1)
	}
	return head + strings.TrimPrefix(okHead, "HTTP/1.1 200 OK\r\n") + fields + "\r\n4\r\nbody\r\n0\r\n\r\n"
}

// TestMalformedHead guards against a head that is none reaching a caller as a response, with its
// line or with a body that is not the server's. A request that may run only once is not said not
// to have run, whatever the head says.
func TestMalformedHead(t *testing.T) {
	forEachPath(t, func(t *testing.T, route string, byPeer bool) {
		f := newHeadFixture(t, route, byPeer)
		for name, head := range misresponder.MalformedHeads {
			for _, fields := range []string{"", "Not-Run: 1\r\n"} {
				status, body, err := f.callHead(head, fields)
				if err != nil || status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
					t.Errorf("%s, %q: status %d, %q, error %v", name, fields, status, body, err)
				}
			}
		}
	})
}

// TestMalformedHeadIsNotBelieved guards against what a server says of itself in a head that is
// none: that it leaves, or wants few requests or none.
func TestMalformedHeadIsNotBelieved(t *testing.T) {
	for _, fields := range []string{"Leaving: 1\r\n", "Not-Run: 1\r\nDefer: 60\r\n", "Limit: 0\r\n"} {
		t.Run(fmt.Sprintf("%q", fields), func(t *testing.T) {
			forEachPath(t, func(t *testing.T, route string, byPeer bool) {
				f := newHeadFixture(t, route, byPeer)
				for name, head := range misresponder.MalformedHeads {
					f.callHead(head, fields)
					status, body, err := f.callHead("HTTP/1.1 200 OK\r\n", "")
					if err != nil || status != http.StatusOK {
						t.Fatalf("after %s: status %d, %q, error %v", name, status, body, err)
					}
				}
			})
		})
	}
}

// headFixture is a fixture whose servers respond with the head that a test sets.
type headFixture struct {
	*fixture
	route    string
	response atomic.Pointer[string]
}

func newHeadFixture(t *testing.T, route string, byPeer bool) *headFixture {
	t.Helper()
	f := &headFixture{route: route}
	f.fixture = newRawFixture(t, (&misresponder.Server{Respond: func(*http.Request) string { return *f.response.Load() }}).Start(t), byPeer)
	return f
}

// callHead sends a request that is responded to with a head and those further fields.
func (f *headFixture) callHead(head, fields string) (int, string, error) {
	f.t.Helper()
	response := malformedResponse(f.route, head, fields)
	f.response.Store(&response)
	return f.callAt(f.server, "POST", f.route, "x", "k", "body", "")
}

// TestUnusualHead guards against a sound head being refused: a status above 599, which is no
// error of the protocol, a trailer, and names and values with any byte that they may hold.
func TestUnusualHead(t *testing.T) {
	for name, c := range map[string]struct {
		head, end string
		want      int
	}{
		"status 600":          {"HTTP/1.1 600 Odd\r\n", "", 600},
		"status 999":          {"HTTP/1.1 999 Odd\r\n", "", 999},
		"200 after 103":       {"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n", "", 200},
		"names and values":    {"HTTP/1.1 200 OK\r\nx_!#$%&'*+-.^`|~9: a\tb \x80\r\n", "", 200},
		"a trailer":           {"HTTP/1.1 200 OK\r\nTrailer: X-Odd\r\n", "X-Odd: 1\r\n", 200},
		"an odd trailer":      {"HTTP/1.1 200 OK\r\n", "X Odd: 1\r\n", 200},
		"a length as trailer": {"HTTP/1.1 200 OK\r\n", "Content-Length : 1\r\n", 200},
	} {
		t.Run(name, func(t *testing.T) {
			forEachPath(t, func(t *testing.T, route string, byPeer bool) {
				body, response := "body", c.head+strings.TrimPrefix(okHead, "HTTP/1.1 200 OK\r\n")
				if route == streamRoute {
					body, response = testEvent(1), c.head+strings.TrimPrefix(streamHead, "HTTP/1.1 200 OK\r\n")
				}
				response += fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n%s\r\n", len(body), body, c.end)
				f := newRawFixture(t, (&misresponder.Server{Respond: misresponder.Always(response)}).Start(t), byPeer)
				status, got, err := f.callAt(f.server, "POST", route, "x", "k", "body", "")
				assert.NilError(t, err)
				assert.Equal(t, status, c.want)
				assert.Equal(t, got, body)
			})
		})
	}
}
