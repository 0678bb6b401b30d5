package responsechecker

import (
	"context"
	"net"
	"net/http"
)

// Transport is a client's transport that refuses broken responses.
type Transport struct{ *http.Transport }

// Wrap returns a Transport that sends requests with t, which must not be in use yet. It replaces
// the DialContext of t. Connections with TLS are checked below TLS, and those of HTTP/2 too.
func Wrap(t *http.Transport) *Transport {
	dial := t.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
	return &Transport{Transport: t}
}

// RoundTrip implements [http.RoundTripper]. It returns an error of [KindMalformed] for a response
// whose head is none.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := CheckHead(response); err != nil {
		// The rest of a response that is refused says nothing.
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}
