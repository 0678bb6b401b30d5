package messenger

import (
	"bytes"
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/rpc"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingmount/waxwingmount/internal/server"
)

// BufferBytes is the size of the operating system's buffers of connections for calls: what is
// on its way to a peer in another region.
const BufferBytes = 256 << 10

const (
	handshakeTimeout = 2 * time.Second
	nonceBytes       = sha256.Size
)

// purpose is what a connection is for. It is part of the proof, so that a peer that does
// not know a purpose refuses the connection before anything is sent on it.
type purpose string

const (
	// purposeCalls is for RPC calls.
	purposeCalls purpose = ""
	// purposeDetour is for HTTP requests.
	purposeDetour purpose = "waxwing detour 1"
)

// Server serves the calls of peers.
type Server struct {
	security      Security
	rpc           *rpc.Server
	nonce         func([]byte) (int, error)
	detourHandler http.Handler
	detourSlots   chan struct{}
	limiter       *server.Limiter
}

// NewServer returns a Server that offers the methods of receiver under name. The
// nonce function fills its argument with random bytes. The error is that of
// net/rpc if receiver has no suitable methods.
func NewServer(security Security, name string, receiver any, nonce func([]byte) (int, error), options ...ServerOption) (*Server, error) {
	rpcServer := rpc.NewServer()
	if err := rpcServer.RegisterName(name, receiver); err != nil {
		return nil, err
	}
	s := &Server{security: security, rpc: rpcServer, nonce: nonce, detourSlots: make(chan struct{}, maxDetourConns)}
	for _, option := range options {
		option(s)
	}
	if s.limiter == nil {
		s.limiter = server.NewLimiter(server.LimiterSettings{Name: "peers"})
	}
	return s, nil
}

// Serve accepts connections until ctx ends or the listener fails.
func (s *Server) Serve(ctx context.Context, listener net.Listener) {
	go func() {
		<-ctx.Done()
		listener.Close()
	}()
	detours := newHandoverListener(listener.Addr())
	if s.detourHandler != nil {
		go s.runDetours(ctx, detours)
	}
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		adopted, err := s.limiter.Adopt(conn)
		if err != nil {
			continue
		}
		go s.runConn(conn, adopted, detours)
	}
}

// runConn authenticates the peer of one connection and serves what the connection is for.
func (s *Server) runConn(transport, conn net.Conn, detours *handoverListener) {
	if s.security.Server != nil {
		conn = tls.Server(conn, s.security.Server)
	}
	conn.SetDeadline(time.Now().Add(handshakeTimeout))
	use, err := s.challenge(conn)
	if err != nil {
		conn.Close()
		return
	}
	if use == purposeDetour {
		if err := s.takeDetour(); err != nil {
			conn.Close()
			return
		}
		boundBuffers(transport)
		conn = &detourConn{Conn: conn, release: sync.OnceFunc(func() { <-s.detourSlots })}
	}
	if err := acceptPeer(conn); err != nil {
		conn.Close()
		return
	}
	if use == purposeDetour {
		detours.hand(conn)
		return
	}
	s.rpc.ServeConn(server.AsCalls(conn))
}

// challenge sends a nonce and verifies the peer's proof that it has the token. It returns
// what the connection is for.
func (s *Server) challenge(conn net.Conn) (purpose, error) {
	nonce := make([]byte, nonceBytes)
	if _, err := s.nonce(nonce); err != nil {
		return purposeCalls, err
	}
	if _, err := conn.Write(nonce); err != nil {
		return purposeCalls, err
	}
	proof := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, proof); err != nil {
		return purposeCalls, err
	}
	for _, p := range []purpose{purposeCalls, purposeDetour} {
		if hmac.Equal(proof, tokenProof(s.security.Token, nonce, p)) {
			return p, nil
		}
	}
	return purposeCalls, errors.New("peer authentication failed: wrong token")
}

// acceptPeer tells the peer that its proof is valid, and ends the handshake.
func acceptPeer(conn net.Conn) error {
	if _, err := conn.Write(accepted); err != nil {
		return err
	}
	return conn.SetDeadline(time.Time{})
}

// accepted is the server's response to a valid proof.
var accepted = []byte("ok")

// answerChallenge proves to a server that this caller has the token.
func answerChallenge(conn net.Conn, token string, p purpose) error {
	conn.SetDeadline(time.Now().Add(handshakeTimeout))
	nonce := make([]byte, nonceBytes)
	if _, err := io.ReadFull(conn, nonce); err != nil {
		return err
	}
	if _, err := conn.Write(tokenProof(token, nonce, p)); err != nil {
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

func tokenProof(token string, nonce []byte, p purpose) []byte {
	mac := hmac.New(sha256.New, []byte(token))
	mac.Write(nonce)
	mac.Write([]byte(p))
	return mac.Sum(nil)
}
