package crowder

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/internal/misresponder"
	"github.com/waxwingmount/waxwingmount/pkg/faulter"
)

// TestParse guards against descriptions that are read as something else.
func TestParse(t *testing.T) {
	c, err := Parse("conns=3 length=10 sent=9 piece=2 pause=5ms reads=true")
	assert.NilError(t, err)
	assert.DeepEqual(t, c, Crowd{Conns: 3, Length: 10, Sent: 9, Piece: 2, Pause: 5e6, Reads: true})
	for _, text := range []string{"", "length=10", "conns=0", "conns=many", "conns=1 pause=5", "conns=1 unknown=2"} {
		_, err := Parse(text)
		kind, found := faulter.KindOf[Kind](err)
		assert.Assert(t, found && kind == KindInvalid, "%q: %v", text, err)
	}
}

// TestReport guards against a crowd that doesn't send what it is described to send, and against
// a report that says something else.
func TestReport(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength > 100 {
			conn, _, err := http.NewResponseController(w).Hijack()
			assert.Check(t, err)
			conn.Close()
			return
		}
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusTeapot)
	}))
	defer server.Close()
	dial := func() (net.Conn, error) { return net.Dial("tcp", server.Listener.Addr().String()) }
	target := Target{Host: "h", Path: "/", Key: "k", ID: "i"}
	for text, want := range map[string]Report{
		"conns=3":                                     {Opened: 3, Waiting: 3, Statuses: map[int]int{}},
		"conns=2 header=1000":                         {Opened: 2, Waiting: 2, Statuses: map[int]int{}},
		"conns=2 length=50 sent=50":                   {Opened: 2, Statuses: map[int]int{http.StatusTeapot: 2}},
		"conns=2 length=200 sent=20":                  {Opened: 2, Ended: 2, Statuses: map[int]int{}},
		"conns=2 length=1 requests=2":                 {Opened: 2, Statuses: map[int]int{http.StatusTeapot: 2}},
		"conns=2 length=9 sent=9 answer=7 reads=true": {Opened: 2, Statuses: map[int]int{}},
	} {
		c, err := Parse(text)
		assert.NilError(t, err)
		assert.DeepEqual(t, c.Gather(dial, target).Disperse(), want)
	}
	c := Crowd{Conns: 2}
	refuse := func() (net.Conn, error) { return nil, net.ErrClosed }
	assert.DeepEqual(t, c.Gather(refuse, target).Disperse(), Report{Failed: 2, Statuses: map[int]int{}})
}

// TestMalformedHead guards against a head that is none being reported as a status.
func TestMalformedHead(t *testing.T) {
	for name, head := range misresponder.MalformedHeads {
		server := &misresponder.Server{Respond: misresponder.Always(head + "\r\n"), Early: true}
		address := server.Start(t)
		dial := func() (net.Conn, error) { return net.Dial("tcp", address.String()) }
		got := Crowd{Conns: 1, Length: 1, Sent: 1}.Gather(dial, Target{Host: "h", Path: "/"}).Disperse()
		assert.Check(t, got.Ended == 1, "%s: %+v", name, got)
	}
}

// TestBodies guards against bodies of another length or framing.
func TestBodies(t *testing.T) {
	for text, want := range map[string]string{
		"conns=1 length=7 sent=5 piece=2": "Content-Length: 7\r\n\r\nxxxxx",
		"conns=1 chunk=3 sent=7":          "Transfer-Encoding: chunked\r\n\r\n3\r\nxxx\r\n3\r\nxxx\r\n",
	} {
		c, err := Parse(text)
		assert.NilError(t, err)
		var sent strings.Builder
		assert.NilError(t, c.send(&sent, Target{Host: "h", Path: "/p"}))
		assert.Equal(t, sent.String(), "POST /p HTTP/1.1\r\nHost: h\r\n"+want)
	}
}
