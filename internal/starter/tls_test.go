package starter

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/waxwingmount/waxwingmount/internal/loader"
	"github.com/waxwingmount/waxwingmount/internal/logger"
	"github.com/waxwingmount/waxwingmount/internal/messenger"
	"github.com/waxwingmount/waxwingmount/internal/platformemulator"
)

const certificateLifetime = time.Hour

// writeAuthority writes a self-signed certificate for 127.0.0.1 and its key to
// files, and returns the TLS settings with their paths.
func writeAuthority(t *testing.T) loader.TLS {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		NotBefore:             time.Now().Add(-certificateLifetime),
		NotAfter:              time.Now().Add(certificateLifetime),
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	private, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	dir := t.TempDir()
	write := func(name, kind string, data []byte) string {
		path := filepath.Join(dir, name)
		assert.NilError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600))
		return path
	}
	file := write("certificate.pem", "CERTIFICATE", certificate)
	return loader.TLS{CertificateFile: file, CAFile: file, KeyFile: write("key.pem", "EC PRIVATE KEY", private)}
}

func loopbackAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// startNode runs a node in this process until the test ends.
func startNode(t *testing.T, id string, store *platformemulator.Store, files loader.TLS) *Node {
	t.Helper()
	s := loader.Defaults()
	s.ID, s.DataCentre, s.TLS = id, "hall-a", files
	s.CallerAddress, s.PeerAddress, s.OperatorAddress = loopbackAddress(t), loopbackAddress(t), loopbackAddress(t)
	s.AddressTTL = 0
	node, err := New(s, logger.NewProcess("e"), store)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- node.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	return node
}

// TestTLS checks that two nodes with certificates of the same authority discover
// each other, and that a node rejects a peer without a certificate, a peer with a
// certificate of another authority, and unencrypted connections from peers and
// callers.
func TestTLS(t *testing.T) {
	store := platformemulator.NewStore()
	files := writeAuthority(t)
	first := startNode(t, "entry-1", store, files)
	second := startNode(t, "entry-2", store, files)
	for _, node := range []*Node{first, second} {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if len(node.discoverer.Live()) == 2 {
				return poll.Success()
			}
			return poll.Continue("the nodes have not discovered each other")
		}, poll.WithTimeout(time.Minute))
	}
	otherAuthority, err := loadTLS(writeAuthority(t))
	assert.NilError(t, err)
	for name, config := range map[string]*tls.Config{
		"no certificate":  {RootCAs: first.tls.peerClient.RootCAs, MinVersion: tls.VersionTLS13},
		"other authority": {RootCAs: first.tls.peerClient.RootCAs, Certificates: otherAuthority.peerClient.Certificates, MinVersion: tls.VersionTLS13},
		"unencrypted":     nil,
	} {
		pool := messenger.NewPool(messenger.Security{Client: config})
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		err := pool.Call(ctx, first.settings.PeerAddress, messenger.MethodConfig, &messenger.Empty{}, &messenger.ConfigReply{})
		cancel()
		assert.Assert(t, err != nil, "a peer was accepted: %s", name)
	}
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: first.tls.peerClient.RootCAs, MinVersion: tls.VersionTLS13}}}
	response, err := client.Get("https://" + first.settings.CallerAddress.String() + "/healthz")
	assert.NilError(t, err)
	response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusOK)
	response, err = http.Get("http://" + first.settings.CallerAddress.String() + "/healthz")
	assert.NilError(t, err)
	response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusBadRequest)
}
