// Package server runs an HTTP server in the background, with timeouts against
// slow clients.
//
// # Usage
//
//	s, err := server.Start(address, handler, server.WithTLS(config))
//	s.Shutdown(ctx)
package server

import (
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
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
	}}
	for _, option := range options {
		option(s)
	}
	go s.run()
	return s, nil
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
