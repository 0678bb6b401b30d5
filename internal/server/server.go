// Package server serves HTTP at an address in the background, with bounds on
// how slow a caller may be.
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
	// readHeaderTimeout bounds how long a caller takes to send its header, and
	// readTimeout its whole request.
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	// idleTimeout is how long a connection may be idle: twice the longest that
	// the users' callers leave one so.
	idleTimeout = time.Minute
)

// Server serves one handler at one address.
type Server struct {
	http.Server
	listener net.Listener
}

// Option changes a new Server.
type Option func(*Server)

// WithTLS makes the server speak TLS; a nil configuration leaves it plain.
func WithTLS(config *tls.Config) Option {
	return func(s *Server) { s.TLSConfig = config }
}

// Start listens and serves until the server is shut down.
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
		log.WithError(err).Error("listener ended")
	}
}
