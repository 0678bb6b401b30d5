// Package server runs an HTTP server in the background, with timeouts against
// slow clients.
//
// # Usage
//
//	s, err := server.Start(address, handler, server.WithTLS(config))
//	s.Stop(ctx, lastResponses)
package server

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/apex/log"
)

const (
	// readHeaderTimeout is the timeout for reading the request headers, and
	// readTimeout for reading the whole request.
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	// idleTimeout is the timeout of an idle connection. It is twice the longest
	// time for which users' callers leave a connection idle.
	idleTimeout = time.Minute
)

// Server serves one handler at one address.
type Server struct {
	http.Server
	listener net.Listener
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

// Start listens on address and serves in the background until the server is shut
// down. The error is that of listening.
func Start(address netip.AddrPort, handler http.Handler, options ...Option) (*Server, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, err
	}
	s := &Server{listener: listener, Server: http.Server{
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
	}}
	s.base, s.endRequests = context.WithCancel(context.Background())
	s.BaseContext = func(net.Listener) context.Context { return s.base }
	s.Handler = s.endReadsOf(handler)
	for _, option := range options {
		option(s)
	}
	go s.run()
	return s, nil
}

// endReadsOf returns a handler that stops reading a request once its context ends, so that its
// caller can be told.
func (s *Server) endReadsOf(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		stop := context.AfterFunc(s.base, func() {
			// It fails only on a connection that is closed, where reading ends too.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now())
		})
		defer stop()
		handler.ServeHTTP(w, r)
	})
}

// Stop closes the listener and waits until all requests have a response, or ctx ends. Then it
// ends the contexts of the requests and gives their handlers the time to say so to the callers.
// It returns the error of ctx if any request was ended.
func (s *Server) Stop(ctx context.Context, lastResponses time.Duration) error {
	defer s.endRequests()
	err := s.Shutdown(ctx)
	if err == nil {
		return nil
	}
	s.endRequests()
	last, cancel := context.WithTimeout(context.Background(), lastResponses)
	defer cancel()
	// The error says only that some handlers did not end either.
	_ = s.Shutdown(last)
	return err
}

func (s *Server) run() {
	serve := s.Serve
	if s.TLSConfig != nil {
		serve = func(l net.Listener) error { return s.ServeTLS(l, "", "") }
	}
	if err := serve(s.listener); err != http.ErrServerClosed {
		log.WithError(err).Error("HTTP server failed")
	}
}
