// Package crowder sends what callers that misbehave send, on many connections at once: bodies
// that stop short of their end, chunks without an end, bodies over the limit, heads without an
// end, connections without a request, responses that nobody reads.
//
// # Usage
//
//	crowd, err := crowder.Parse("conns=300 length=1048576 sent=1048575")
//	gathering := crowd.Gather(dial, crowder.Target{Host: "models.example", Path: "/v1/run"})
//	time.Sleep(stay)
//	report := gathering.Disperse()
//
// From the command line:
//
//	waxwing-standin crowd --address 127.0.0.1:8000 --path /v1/run --crowd "conns=300 length=1048576 sent=1048575"
//
// Sizes are in bytes. Errors are of type *[Error].
//
// The tests of this package start an entry instance as a process of its own on loopback
// addresses, with low limits in its settings, let crowds loose on it, and judge what the kernel
// says of the process: memory with the bytes in its sockets, descriptors, and that an ordinary
// request is answered beside the crowd. They measure a whole process, so they run alone, one at
// a time, and only with the build tag crowds:
//
//	go test -tags crowds -count=1 -p 1 ./internal/crowder
//	go test -tags crowds -count=1 -p 1 ./internal/crowder -run TestCrowds/length -daemon /path/of/waxwingd
package crowder

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/faulter"
	"github.com/waxwingmount/waxwingmount/pkg/responsechecker"
)

//go:generate stringer -type=Kind -trimprefix=Kind -output=kind_string.go

// Kind classifies the errors of this package.
type Kind int

// KindInvalid means that the description of a crowd can't be read.
const KindInvalid Kind = iota

// Error is the error type of this package.
type Error = faulter.Error[Kind]

// Crowd describes what each connection of a crowd sends. What is zero is left out.
type Crowd struct {
	// Conns is the number of connections.
	Conns int
	// Header is the length of a header that doesn't end. With it nothing else is sent.
	Header int
	// Length is the announced length of the body. Without it, the body comes in chunks of
	// Chunk bytes, and without either nothing is sent.
	Length, Chunk int
	// Sent is how much of the body is sent, in writes of Piece bytes with a Pause after each.
	Sent, Piece int
	Pause       time.Duration
	// Requests is the number of whole requests that are sent without waiting for responses.
	Requests int
	// Answer is the length of the response that the header X-Answer-Bytes asks for.
	Answer int
	// Reads says that the responses are read.
	Reads bool
}

// Parse reads a description: words "key=value", with the names of the fields in lower case.
func Parse(text string) (Crowd, error) {
	var c Crowd
	numbers := map[string]*int{
		"conns": &c.Conns, "header": &c.Header, "length": &c.Length, "chunk": &c.Chunk, "sent": &c.Sent, "piece": &c.Piece,
		"requests": &c.Requests, "answer": &c.Answer,
	}
	for field := range strings.FieldsSeq(text) {
		key, value, _ := strings.Cut(field, "=")
		var err error
		switch {
		case key == "pause":
			c.Pause, err = time.ParseDuration(value)
		case key == "reads":
			c.Reads, err = strconv.ParseBool(value)
		case numbers[key] != nil:
			*numbers[key], err = strconv.Atoi(value)
		default:
			return c, faulter.Newf("parse crowd", KindInvalid, "unknown key %q", key)
		}
		if err != nil {
			return c, faulter.Newf("parse crowd", KindInvalid, "%s: %v", field, err)
		}
	}
	if c.Conns <= 0 {
		return c, faulter.Newf("parse crowd", KindInvalid, "conns is missing or not positive")
	}
	return c, nil
}

// Target is what the requests of a crowd are for.
type Target struct {
	Host string
	Path string
	// Key is the API key, or empty.
	Key string
	// ID is the request ID of all requests.
	ID string
}

const (
	// sendTimeout bounds the time in which a connection sends what it has, beside its pauses.
	// The other side may have stopped reading, or closed the connection.
	sendTimeout = 5 * time.Second
	// bufferedBytes is how much is prepared for one write.
	bufferedBytes = 64 << 10
	// reportTimeout is how long a connection is looked at when the crowd disperses.
	reportTimeout = 100 * time.Millisecond
)

// DialFunc opens a connection.
type DialFunc func() (net.Conn, error)

// Gathering is a crowd whose connections are open.
type Gathering struct {
	crowd Crowd

	mu     sync.Mutex
	conns  []net.Conn
	failed int
}

// Report says what became of the connections of a crowd.
type Report struct {
	// Opened and Failed count the connections that could and could not be opened.
	Opened int `json:"opened"`
	Failed int `json:"failed"`
	// Ended counts those that the other side had closed without a response, and Waiting those
	// that were open without one.
	Ended   int `json:"ended"`
	Waiting int `json:"waiting"`
	// Statuses counts the others by the status of their first response. It is empty if the
	// crowd reads responses.
	Statuses map[int]int `json:"statuses"`
}

// Gather opens the connections of a crowd and sends what each has to send. It returns once
// all have done so, or can't.
func (c Crowd) Gather(dial DialFunc, target Target) *Gathering {
	g := &Gathering{crowd: c}
	var wait sync.WaitGroup
	for range c.Conns {
		wait.Go(func() { g.run(dial, target) })
	}
	wait.Wait()
	return g
}

// run opens one connection and sends what it has to send.
func (g *Gathering) run(dial DialFunc, target Target) {
	conn, err := dial()
	g.add(conn, err)
	if err != nil {
		return
	}
	c := g.crowd
	if err := conn.SetWriteDeadline(time.Now().Add(sendTimeout + time.Duration(c.Sent/max(1, c.Piece))*c.Pause)); err != nil {
		return
	}
	if c.Reads {
		go g.runReader(conn)
	}
	// The other side may refuse such a client or close its connection; the report says so.
	_ = c.send(conn, target)
}

// runReader reads the responses on a connection.
func (g *Gathering) runReader(conn net.Conn) {
	// It ends with the connection.
	_, _ = io.Copy(io.Discard, conn)
}

// add keeps a connection open until the crowd disperses.
func (g *Gathering) add(conn net.Conn, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil {
		g.failed++
		return
	}
	g.conns = append(g.conns, conn)
}

// send writes what one connection sends.
func (c Crowd) send(w io.Writer, target Target) error {
	switch {
	case c.Requests > 0:
		return repeat(w, c.head(target, "Content-Length: "+strconv.Itoa(c.Length))+strings.Repeat("x", c.Length), c.Requests)
	case c.Header > 0:
		_, err := io.WriteString(w, "POST "+target.Path+" HTTP/1.1\r\nHost: "+target.Host+"\r\nX-Long: "+strings.Repeat("x", c.Header))
		return err
	case c.Length > 0:
		if _, err := io.WriteString(w, c.head(target, "Content-Length: "+strconv.Itoa(c.Length))); err != nil {
			return err
		}
		return c.sendBody(w)
	case c.Chunk > 0:
		if _, err := io.WriteString(w, c.head(target, "Transfer-Encoding: chunked")); err != nil {
			return err
		}
		return repeat(w, strconv.FormatInt(int64(c.Chunk), 16)+"\r\n"+strings.Repeat("x", c.Chunk)+"\r\n", c.Sent/c.Chunk)
	}
	return nil
}

// repeat writes a text so many times, several at once if it is short.
func repeat(w io.Writer, text string, times int) error {
	perWrite := max(1, bufferedBytes/len(text))
	for ; times > 0; times -= perWrite {
		if _, err := io.WriteString(w, strings.Repeat(text, min(times, perWrite))); err != nil {
			return err
		}
	}
	return nil
}

// sendBody sends the bytes of a body, piece by piece if the crowd does so.
func (c Crowd) sendBody(w io.Writer) error {
	piece := c.Piece
	if piece <= 0 {
		piece = 1 << 20
	}
	text := strings.Repeat("x", piece)
	for left := c.Sent; left > 0; left -= piece {
		if _, err := io.WriteString(w, text[:min(piece, left)]); err != nil {
			return err
		}
		time.Sleep(c.Pause)
	}
	return nil
}

// head returns the head of a request with a body.
func (c Crowd) head(target Target, framing string) string {
	var head strings.Builder
	head.WriteString("POST " + target.Path + " HTTP/1.1\r\nHost: " + target.Host + "\r\n")
	if target.Key != "" {
		head.WriteString("Authorization: Bearer " + target.Key + "\r\n")
	}
	if target.ID != "" {
		head.WriteString("X-Request-Id: " + target.ID + "\r\n")
	}
	if c.Answer > 0 {
		head.WriteString("X-Answer-Bytes: " + strconv.Itoa(c.Answer) + "\r\n")
	}
	head.WriteString(framing + "\r\n\r\n")
	return head.String()
}

// Disperse closes all connections and says what became of them.
func (g *Gathering) Disperse() Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	report := Report{Opened: len(g.conns), Failed: g.failed, Statuses: make(map[int]int)}
	until := time.Now().Add(reportTimeout)
	for _, conn := range g.conns {
		if !g.crowd.Reads {
			report.add(conn, until)
		}
		// The other side may have closed it.
		_ = conn.Close()
	}
	g.conns = nil
	return report
}

// add counts a connection.
func (r *Report) add(conn net.Conn, until time.Time) {
	if err := conn.SetReadDeadline(until); err != nil {
		r.Ended++
		return
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if netErr, isNet := err.(net.Error); isNet && netErr.Timeout() {
		r.Waiting++
		return
	}
	if err == nil {
		err = responsechecker.CheckHead(response)
	}
	if err != nil {
		r.Ended++
		return
	}
	r.Statuses[response.StatusCode]++
}
