package starter

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/waxwingmount/waxwingmount/internal/loader"
)

// tlsConfigs are the TLS configurations of a node; nil means no TLS.
type tlsConfigs struct {
	// server is for connections from callers and operators.
	server *tls.Config
	// peerServer and peerClient are for connections between peers; both sides
	// must present a certificate (mutual TLS).
	peerServer *tls.Config
	peerClient *tls.Config
}

func loadTLS(s loader.TLS) (tlsConfigs, error) {
	if !s.Enabled() {
		return tlsConfigs{}, nil
	}
	certificate, err := tls.LoadX509KeyPair(s.CertificateFile, s.KeyFile)
	if err != nil {
		return tlsConfigs{}, errors.Wrap(err, "load certificate")
	}
	pem, err := os.ReadFile(s.CAFile)
	if err != nil {
		return tlsConfigs{}, errors.Wrap(err, "load authority")
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(pem) {
		return tlsConfigs{}, errors.Newf("no certificate in %s", s.CAFile)
	}
	base := tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS13}
	server, peerServer, peerClient := base.Clone(), base.Clone(), base.Clone()
	peerServer.ClientAuth = tls.RequireAndVerifyClientCert
	peerServer.ClientCAs = authority
	peerClient.RootCAs = authority
	return tlsConfigs{server: server, peerServer: peerServer, peerClient: peerClient}, nil
}
