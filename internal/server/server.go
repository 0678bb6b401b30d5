// Package server runs an HTTP server in the background. Its clients may misbehave: what they
// take of memory, connections and time is bounded, and given to others when it is short
// (docs/design/caller-limits.md).
//
// # Usage
//
//	limiter := server.NewLimiter(server.LimiterSettings{Name: "callers", Connections: 500, Memory: 16 << 20})
//	s, err := server.Start(address, handler, server.WithLimiter(limiter), server.WithTLS(config))
//	s.Stop(ctx, lastResponses)
//
// Sizes are in bytes. Errors of reading a request's body are of type *[Error] if the client or
// the memory is the cause.
package server

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/apex/log"
)

const (
	// readTimeout is the timeout for reading a whole request.
	readTimeout = 30 * time.Second
	// checkInterval is the time between two looks at the connections while the server stops.
	checkInterval = 10 * time.Millisecond
	// maxStreams bounds the requests at a time on one HTTP/2 connection, and
	// connectionBufferBytes and streamBufferBytes what is received and not read of them.
	maxStreams            = 100
	connectionBufferBytes = 64 << 10
	streamBufferBytes     = 32 << 10
)

// The largest [Bounds].
const (
	// MaxHeaderBytes is the largest bound on the head of a request.
	MaxHeaderBytes = 256 << 10
	// MaxHeadTimeout is the longest time for the head of a request.
	MaxHeadTimeout = readTimeout
	// MaxIdleTimeout is the longest time for which an idle connection is kept.
	MaxIdleTimeout = time.Hour
)

// Server serves one handler at one address.
type Server struct {
	http.Server
	listener net.Listener
	limiter  *Limiter
	conns    *connections
	// stopping says that the listener is closed.
	stopping atomic.Bool
	// base is the context of all requests, which endRequests ends.
	base        context.Context
	endRequests context.CancelFunc
}

// Option configures a new Server.
type Option func(*Server)

// WithTLS makes the server use TLS; a nil configuration means plain HTTP.
func WithTLS(config *tls.Config) Option {
	return func(s *Server) { s.TLSConfig = config }
}

// WithLimiter bounds what the clients of the server take. Without it, only time is bounded.
func WithLimiter(l *Limiter) Option {
	return func(s *Server) { s.limiter = l }
}

// Start listens on address and serves in the background until the server is shut
// down. The error is that of listening.
func Start(address netip.AddrPort, handler http.Handler, options ...Option) (*Server, error) {
	listener, err := Listen(address, clientBufferBytes)
	if err != nil {
		return nil, err
	}
	s := &Server{listener: listener, conns: newConnections(), Server: http.Server{
		Addr:              listener.Addr().String(),
		ReadHeaderTimeout: MaxHeadTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       MaxIdleTimeout,
		MaxHeaderBytes:    MaxHeaderBytes,
		ErrorLog:          NewErrorLog(),
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams:          maxStreams,
			MaxReceiveBufferPerConnection: connectionBufferBytes,
			MaxReceiveBufferPerStream:     streamBufferBytes,
		},
	}}
	s.base, s.endRequests = context.WithCancel(context.Background())
	s.ConnState = s.handleState
	s.ConnContext = WithConn
	s.BaseContext = func(net.Listener) context.Context { return s.base }
	for _, option := range options {
		option(s)
	}
	if s.limiter == nil {
		s.limiter = NewLimiter(LimiterSettings{})
	}
	s.Handler = s.endReadsOf(s.limiter.Handler(handler))
	go s.run()
	return s, nil
}

// handleState records a change of a connection's state.
func (s *Server) handleState(c net.Conn, state http.ConnState) {
	HandleState(c, state)
	s.conns.handle(c, state)
}

// endReadsOf returns a handler that stops reading a request once its context ends, so that its
// caller can be told, and that closes each connection after its response once the server stops.
// It also sees to it that clients of HTTP/1.0 can tell a broken response.
func (s *Server) endReadsOf(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		stop := context.AfterFunc(s.base, func() {
			// It fails only on a connection that is closed, where reading ends too.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now())
		})
		defer stop()
		if s.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		if !r.ProtoAtLeast(1, 1) {
			serveResettable(handler, w, r)
			return
		}
		handler.ServeHTTP(w, r)
	})
}

// Stop closes the listener and waits until all requests have a response, or ctx ends. Then it
// ends the contexts of the requests and gives their handlers the time to say so to the callers.
// Until the end, requests on open connections are still handled, so that none that has been read
// ends without a response. It returns the error of ctx if any request was ended.
func (s *Server) Stop(ctx context.Context, lastResponses time.Duration) error {
	defer s.endRequests()
	s.stopping.Store(true)
	if err := s.listener.Close(); err != nil {
		log.WithError(err).Warn("listener not closed")
	}
	err := s.awaitResponses(ctx)
	if err != nil {
		s.endRequests()
		last, cancel := context.WithTimeout(context.Background(), lastResponses)
		defer cancel()
		// The error says only that some handlers did not end either.
		_ = s.awaitResponses(last)
	}
	// The connections that are left have no request.
	_ = s.Close()
	return err
}

// awaitResponses waits until no connection has a request, or is so young that its first one is
// expected. It returns the error of ctx if any request is left when that ends.
func (s *Server) awaitResponses(ctx context.Context) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		active, expected := s.conns.count(time.Now())
		if active+expected == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			if active, _ := s.conns.count(time.Now()); active == 0 {
				return nil
			}
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (s *Server) run() {
	serve := s.Serve
	if s.TLSConfig != nil {
		serve = func(l net.Listener) error { return s.ServeTLS(l, "", "") }
	}
	if err := serve(&limitedListener{Listener: s.listener, limiter: s.limiter}); err != http.ErrServerClosed && !s.stopping.Load() {
		log.WithError(err).Error("HTTP server failed")
	}
}
