package detourer

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingmount/waxwingmount/pkg/faulter"
)

const (
	requestPath = "/detour"
	contentType = "application/octet-stream"
)

// DialFunc opens a connection to a peer on which it serves detours. An error must mean
// that nothing of a request can arrive.
type DialFunc func(ctx context.Context, peer netip.AddrPort) (net.Conn, error)

// Client hands requests to peers. It is safe for concurrent use.
type Client struct {
	transport    *http.Transport
	maxBodyBytes int
	silence      time.Duration
}

// ClientOption changes a Client that is made.
type ClientOption func(*Client)

// WithMaxRequestBody bounds the body of a request that a client sends.
func WithMaxRequestBody(bytes int) ClientOption { return func(c *Client) { c.maxBodyBytes = bytes } }

// WithSilence sets the time without any byte after which a client gives a hop up.
func WithSilence(silence time.Duration) ClientOption {
	return func(c *Client) { c.silence = silence }
}

// NewClient returns a Client that opens connections with dial.
func NewClient(dial DialFunc, options ...ClientOption) *Client {
	c := &Client{
		transport: &http.Transport{
			DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
				peer, err := netip.ParseAddrPort(address)
				if err != nil {
					return nil, err
				}
				return dial(ctx, peer)
			},
			MaxIdleConns:           maxIdleConns,
			MaxIdleConnsPerHost:    maxIdleConnsPerPeer,
			IdleConnTimeout:        idleTimeout,
			DisableCompression:     true,
			ExpectContinueTimeout:  confirmationTimeout,
			MaxResponseHeaderBytes: maxHeaderBytes,
		},
		maxBodyBytes: defaultMaxBodyBytes,
		silence:      defaultSilence,
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// Close closes the connections that are not in use.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Do hands a request to a peer and returns when the head of the response has arrived. The
// response has the server's status and header; if its end can be told from the end of the
// server's connection, it is marked as chunked. Its body yields the bytes as they arrive
// and ends with io.EOF only if the response is complete, and with an *[Error] otherwise.
// The caller closes it. When ctx ends, so does the hop, and the error wraps that of ctx.
func (c *Client) Do(ctx context.Context, peer netip.AddrPort, e *Envelope) (*http.Response, Head, error) {
	message, err := e.encode(c.maxBodyBytes)
	if err != nil {
		return nil, Head{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	h := &hop{cancel: cancel, watch: newWatchdog(c.silence, cancel)}
	h.request = newRequestBody(message, h.watch)
	h.watch.arm()
	response, err := c.transport.RoundTrip((&http.Request{
		Method:        http.MethodPost,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		URL:           &url.URL{Scheme: "http", Host: peer.String(), Path: requestPath},
		Header:        http.Header{"User-Agent": nil, "Content-Type": {contentType}, "Expect": {"100-continue"}},
		Body:          h.request,
		ContentLength: int64(message.size()),
	}).WithContext(ctx))
	if err != nil {
		return nil, Head{}, h.abandon(err)
	}
	h.body = response.Body
	if response.StatusCode != http.StatusOK {
		return nil, Head{}, h.abandon(errors.Newf("peer responds with status %d", response.StatusCode))
	}
	h.reader = bufio.NewReaderSize(&watchedReader{Reader: response.Body, watch: h.watch}, readBufferBytes)
	head, err := h.readHead()
	if err != nil {
		h.Close()
		return nil, Head{}, err
	}
	return newResponse(head, h), head, nil
}

func newResponse(head Head, body io.ReadCloser) *http.Response {
	response := &http.Response{
		Status:        strconv.Itoa(head.Status) + " " + http.StatusText(head.Status),
		StatusCode:    head.Status,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        head.Header,
		Body:          body,
		ContentLength: -1,
	}
	if head.Delimited {
		response.TransferEncoding = []string{"chunked"}
	}
	return response
}

// abandon ends a hop that failed and returns its error.
func (h *hop) abandon(err error) error {
	h.watch.stop()
	defer h.cancel()
	return h.classify(err)
}

// classify returns the error of a hop that failed.
func (h *hop) classify(err error) error {
	const op = "hand over request"
	var ours *Error
	if errors.As(err, &ours) && ours.Kind == KindRefused {
		return ours
	}
	silent := h.watch.hasFired()
	if silent {
		// The transport's error would look like that of a caller who has left.
		err = errors.Newf("nothing arrived for %s", h.watch.silence())
	}
	switch {
	case h.request.seal():
		return faulter.New(op, KindUnreachable, err)
	case silent:
		return faulter.New(op, KindSilent, err)
	}
	return faulter.New(op, KindBroken, err)
}
