package messenger

import (
	"bytes"
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"crypto/tls"
	"io"
	"net"
	"net/rpc"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	handshakeTimeout = 2 * time.Second
	nonceBytes       = sha256.Size
)

// Server serves the calls of peers.
type Server struct {
	security Security
	rpc      *rpc.Server
	nonce    func([]byte) (int, error)
}

// NewServer returns a Server that offers the methods of receiver under name. The
// nonce function fills its argument with random bytes. The error is that of
// net/rpc if receiver has no suitable methods.
func NewServer(security Security, name string, receiver any, nonce func([]byte) (int, error)) (*Server, error) {
	server := rpc.NewServer()
	if err := server.RegisterName(name, receiver); err != nil {
		return nil, err
	}
	return &Server{security: security, rpc: server, nonce: nonce}, nil
}

// Serve accepts connections until ctx ends or the listener fails.
func (s *Server) Serve(ctx context.Context, listener net.Listener) {
	go func() {
		<-ctx.Done()
		listener.Close()
	}()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go s.runConn(conn)
	}
}

// runConn authenticates the peer of one connection and serves its calls.
func (s *Server) runConn(conn net.Conn) {
	if s.security.Server != nil {
		conn = tls.Server(conn, s.security.Server)
	}
	if err := s.challenge(conn); err != nil {
		conn.Close()
		return
	}
	s.rpc.ServeConn(conn)
}

// challenge sends a nonce and verifies the peer's proof that it has the token.
func (s *Server) challenge(conn net.Conn) error {
	conn.SetDeadline(time.Now().Add(handshakeTimeout))
	nonce := make([]byte, nonceBytes)
	if _, err := s.nonce(nonce); err != nil {
		return err
	}
	if _, err := conn.Write(nonce); err != nil {
		return err
	}
	proof := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, proof); err != nil {
		return err
	}
	if !hmac.Equal(proof, tokenProof(s.security.Token, nonce)) {
		return errors.New("peer authentication failed: wrong token")
	}
	if _, err := conn.Write(accepted); err != nil {
		return err
	}
	return conn.SetDeadline(time.Time{})
}

// accepted is the server's response to a valid proof.
var accepted = []byte("ok")

// answerChallenge proves to a server that this caller has the token.
func answerChallenge(conn net.Conn, token string) error {
	conn.SetDeadline(time.Now().Add(handshakeTimeout))
	nonce := make([]byte, nonceBytes)
	if _, err := io.ReadFull(conn, nonce); err != nil {
		return err
	}
	if _, err := conn.Write(tokenProof(token, nonce)); err != nil {
		return err
	}
	response := make([]byte, len(accepted))
	if _, err := io.ReadFull(conn, response); err != nil {
		return err
	}
	if !bytes.Equal(response, accepted) {
		return errors.New("peer refused the token")
	}
	return conn.SetDeadline(time.Time{})
}

func tokenProof(token string, nonce []byte) []byte {
	mac := hmac.New(sha256.New, []byte(token))
	mac.Write(nonce)
	return mac.Sum(nil)
}
