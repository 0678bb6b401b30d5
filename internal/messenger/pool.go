// Package messenger makes and serves RPC calls between entry instances over
// net/rpc. A connection begins with a handshake in which the caller proves that
// it has the shared token.
//
// # Usage
//
//	pool := messenger.NewPool(messenger.Security{Token: token})
//	err := pool.Call(ctx, address, "Peer.Exchange", &arguments, &reply)
//
// Every call is bounded by its context. A call that times out or fails in
// transport closes the connection, so that its late reply is not read.
package messenger

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/faulter"
)

//go:generate stringer -type=Kind -trimprefix=Kind -output=kind_string.go

// Kind classifies the errors of this package.
type Kind int

// Kinds of errors.
const (
	// KindUnreachable means that no connection could be made or that it failed
	// during the call.
	KindUnreachable Kind = iota
	// KindTimeout means that no reply arrived before the context ended.
	KindTimeout
	// KindRefused means that the peer replied with an error.
	KindRefused
)

// Error is the error type of this package.
type Error = faulter.Error[Kind]

// Security configures authentication and encryption between peers.
type Security struct {
	// Token is the secret that all entry instances share. It may be empty.
	Token string
	// Client and Server are the TLS configurations of outgoing and incoming
	// connections. Connections are not encrypted if they are nil.
	Client *tls.Config
	Server *tls.Config
}

const dialTimeout = 500 * time.Millisecond

// Pool holds one connection to each peer. It is safe for concurrent use.
type Pool struct {
	security Security

	mu      sync.Mutex
	clients map[netip.AddrPort]*rpc.Client
}

// NewPool returns a Pool without connections.
func NewPool(security Security) *Pool {
	return &Pool{security: security, clients: make(map[netip.AddrPort]*rpc.Client)}
}

// Call calls a method of the peer at address and waits for its reply. It opens a
// connection if there is none. Errors are of type *[Error].
func (p *Pool) Call(ctx context.Context, address netip.AddrPort, method string, arguments, reply any) error {
	client, err := p.client(ctx, address)
	if err != nil {
		return faulter.New(method, KindUnreachable, err)
	}
	call := client.Go(method, arguments, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return p.callError(address, client, method, call.Error)
	case <-ctx.Done():
		p.discardClient(address, client)
		return faulter.New(method, KindTimeout, ctx.Err())
	}
}

func (p *Pool) callError(address netip.AddrPort, client *rpc.Client, method string, err error) error {
	if err == nil {
		return nil
	}
	if _, replied := err.(rpc.ServerError); replied {
		return faulter.New(method, KindRefused, err)
	}
	p.discardClient(address, client)
	return faulter.New(method, KindUnreachable, err)
}

func (p *Pool) client(ctx context.Context, address netip.AddrPort) (*rpc.Client, error) {
	p.mu.Lock()
	client, found := p.clients[address]
	p.mu.Unlock()
	if found {
		return client, nil
	}
	conn, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	client = rpc.NewClient(conn)
	p.mu.Lock()
	defer p.mu.Unlock()
	if other, raced := p.clients[address]; raced {
		client.Close()
		return other, nil
	}
	p.clients[address] = client
	return client, nil
}

func (p *Pool) dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	if p.security.Client != nil {
		config := p.security.Client.Clone()
		config.ServerName = address.Addr().String()
		conn = tls.Client(conn, config)
	}
	if err := answerChallenge(conn, p.security.Token); err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}

func (p *Pool) discardClient(address netip.AddrPort, client *rpc.Client) {
	p.mu.Lock()
	if p.clients[address] == client {
		delete(p.clients, address)
	}
	p.mu.Unlock()
	client.Close()
}

// Close closes every connection.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, client := range p.clients {
		client.Close()
		delete(p.clients, address)
	}
}
