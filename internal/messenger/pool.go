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
//
// Requests that one entry instance hands to another have connections of their own, on the
// same port and with the same handshake, so that they do not hold up calls:
//
//	server, err := messenger.NewServer(security, name, receiver, rand.Read, messenger.WithDetourHandler(handler))
//	conn, err := pool.DialDetour(ctx, address)
package messenger

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
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

const (
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is how long a connection without calls stays open. It is above the
	// interval of every message that is sent regularly.
	idleTimeout = 15 * time.Second
	// idleCheckInterval is the time between two looks for idle connections.
	idleCheckInterval = time.Second
)

// Pool holds one connection to each peer that is called, and closes those that are
// not used any more. It is safe for concurrent use.
type Pool struct {
	security Security
	scope    tally.Scope

	mu        sync.Mutex
	clients   map[netip.AddrPort]*pooledClient
	checkedAt time.Time
}

// pooledClient is a connection to a peer.
type pooledClient struct {
	*rpc.Client
	// calls counts the calls in progress, and usedAt is when the last one began or
	// ended. Both are guarded by the pool's lock.
	calls  int
	usedAt time.Time
}

// PoolOption changes a Pool that is made.
type PoolOption func(*Pool)

// WithScope makes the pool count its calls (peer_calls, by method and outcome) and the
// bytes of its connections (peer_bytes, by direction) in a scope.
func WithScope(scope tally.Scope) PoolOption { return func(p *Pool) { p.scope = scope } }

// NewPool returns a Pool without connections.
func NewPool(security Security, options ...PoolOption) *Pool {
	p := &Pool{security: security, scope: tally.NoopScope, clients: make(map[netip.AddrPort]*pooledClient)}
	for _, option := range options {
		option(p)
	}
	return p
}

// Call calls a method of the peer at address and waits for its reply. It opens a
// connection if there is none. Errors are of type *[Error].
func (p *Pool) Call(ctx context.Context, address netip.AddrPort, method string, arguments, reply any) error {
	err := p.call(ctx, address, method, arguments, reply)
	outcome := "answered"
	if err != nil {
		outcome = "failed"
	}
	p.scope.Tagged(map[string]string{"method": method, "outcome": outcome}).Counter("peer_calls").Inc(1)
	return err
}

func (p *Pool) call(ctx context.Context, address netip.AddrPort, method string, arguments, reply any) error {
	client, err := p.client(ctx, address)
	if err != nil {
		return faulter.New(method, KindUnreachable, err)
	}
	defer p.release(client)
	call := client.Go(method, arguments, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return p.callError(address, client, method, call.Error)
	case <-ctx.Done():
		p.discardClient(address, client)
		return faulter.New(method, KindTimeout, ctx.Err())
	}
}

func (p *Pool) callError(address netip.AddrPort, client *pooledClient, method string, err error) error {
	if err == nil {
		return nil
	}
	if _, replied := err.(rpc.ServerError); replied {
		return faulter.New(method, KindRefused, err)
	}
	p.discardClient(address, client)
	return faulter.New(method, KindUnreachable, err)
}

// client returns the connection to a peer with one more call counted on it.
func (p *Pool) client(ctx context.Context, address netip.AddrPort) (*pooledClient, error) {
	now := clocker.Now()
	p.mu.Lock()
	p.closeIdle(now)
	client, found := p.clients[address]
	if found {
		client.calls++
		client.usedAt = now
	}
	p.mu.Unlock()
	if found {
		return client, nil
	}
	conn, err := p.dial(ctx, address, purposeCalls)
	if err != nil {
		return nil, err
	}
	client = &pooledClient{Client: rpc.NewClient(conn)}
	p.mu.Lock()
	defer p.mu.Unlock()
	if other, raced := p.clients[address]; raced {
		client.Close()
		client = other
	}
	client.calls++
	client.usedAt = clocker.Now()
	p.clients[address] = client
	return client, nil
}

// release ends a call on a connection.
func (p *Pool) release(client *pooledClient) {
	p.mu.Lock()
	defer p.mu.Unlock()
	client.calls--
	client.usedAt = clocker.Now()
}

// closeIdle closes the connections without calls for idleTimeout. The caller holds p.mu.
func (p *Pool) closeIdle(now time.Time) {
	if now.Sub(p.checkedAt) < idleCheckInterval {
		return
	}
	p.checkedAt = now
	for address, client := range p.clients {
		if client.calls == 0 && now.Sub(client.usedAt) >= idleTimeout {
			delete(p.clients, address)
			client.Close()
		}
	}
}

// Connections returns the number of open connections.
func (p *Pool) Connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.clients)
}

func (p *Pool) dial(ctx context.Context, address netip.AddrPort, use purpose) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	if use == purposeDetour {
		boundBuffers(conn)
	}
	conn = countBytes(conn, p.scope)
	if p.security.Client != nil {
		config := p.security.Client.Clone()
		config.ServerName = address.Addr().String()
		conn = tls.Client(conn, config)
	}
	// A peer that says nothing holds up the caller for no longer than its context.
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	err = answerChallenge(conn, p.security.Token, use)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}

func (p *Pool) discardClient(address netip.AddrPort, client *pooledClient) {
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
