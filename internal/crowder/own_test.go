//go:build crowds

package crowder

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/internal/operator"
	"github.com/waxwingmount/waxwingmount/internal/platformemulator"
	"github.com/waxwingmount/waxwingmount/pkg/decoder"
	"github.com/waxwingmount/waxwingmount/pkg/responsechecker"
)

const ownSettings = `
[entry]
id = entry-0
data_centre = hall-a
address = %s
keep_answer = 1s
[platform]
address = %s
[peers]
address = %s
seeds = %s
[operator]
address = %s
[tls]
certificate = %s
key = %s
authority = %s
[limits]
memory_mb = %d
descriptors = %d
`

const ownConfig = `
[system]
deployment = test
[class.usual]
priority = 0
deadline = 30s
[organisation.members]
key_sha256 = %s
class = usual
[service.portal]
addresses = %s
[route.portal]
path_prefix = /ordinary/
service = portal
`

// ownEntry is an entry instance on the project's own platform, with TLS.
type ownEntry struct {
	process
	callers, operators netip.AddrPort
	roots              *x509.CertPool
}

// startOwnEntry starts an entry instance and waits until it serves an ordinary request.
func startOwnEntry(t *testing.T, limits entryLimits) *ownEntry {
	t.Helper()
	store := serve(t, platformemulator.NewHandler(platformemulator.NewStore()))
	service := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		io.WriteString(w, "done")
	}))
	ports := freeAddresses(t, 3)
	e := &ownEntry{process: newProcess(t), callers: ports[0], operators: ports[2]}
	certificate, keyFile := e.writeAuthority()
	path := filepath.Join(t.TempDir(), "entry.ini")
	text := fmt.Sprintf(ownSettings, e.callers, store, ports[1], ports[1], e.operators, certificate, keyFile, certificate, limits.memoryMB, limits.fds)
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	e.start(exec.Command(daemon, "--settings", path))
	limit := unix.Rlimit{Cur: uint64(limits.fds), Max: uint64(limits.fds)}
	assert.NilError(t, unix.Prlimit(e.command.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil))
	e.apply(service)
	e.awaitOrdinary("the entry instance to serve")
	return e
}

// writeAuthority writes a certificate for 127.0.0.1 and its key to files.
func (e *ownEntry) writeAuthority() (certificateFile, keyFile string) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(e.t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	assert.NilError(e.t, err)
	parsed, err := x509.ParseCertificate(certificate)
	assert.NilError(e.t, err)
	e.roots = x509.NewCertPool()
	e.roots.AddCert(parsed)
	encoded, err := x509.MarshalECPrivateKey(private)
	assert.NilError(e.t, err)
	dir := e.t.TempDir()
	certificateFile, keyFile = filepath.Join(dir, "certificate.pem"), filepath.Join(dir, "key.pem")
	assert.NilError(e.t, os.WriteFile(certificateFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificate}), 0o600))
	assert.NilError(e.t, os.WriteFile(keyFile, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: encoded}), 0o600))
	return certificateFile, keyFile
}

// client returns a client with connections of its own.
func (e *ownEntry) client() *http.Client {
	return &http.Client{Transport: responsechecker.Wrap(&http.Transport{TLSClientConfig: &tls.Config{RootCAs: e.roots}, ForceAttemptHTTP2: true})}
}

// apply puts the configuration in force.
func (e *ownEntry) apply(service netip.AddrPort) {
	sum := sha256.Sum256([]byte(key))
	data, err := json.Marshal(operator.ApplyRequest{
		Sources: []decoder.Source{{Name: "test.ini", Data: fmt.Appendf(nil, ownConfig, hex.EncodeToString(sum[:]), service)}},
		Author:  "test", OperationID: "apply",
	})
	assert.NilError(e.t, err)
	client := e.client()
	defer client.CloseIdleConnections()
	e.await("the configuration to be accepted", func() error {
		response, err := client.Post("https://"+e.operators.String()+"/operator/config", "application/json", bytes.NewReader(data))
		if err != nil {
			return err
		}
		defer response.Body.Close()
		text, err := io.ReadAll(response.Body)
		if response.StatusCode != http.StatusOK {
			return fmt.Errorf("status %d: %s", response.StatusCode, text)
		}
		return err
	})
}

// awaitOrdinary sends an ordinary request, on a new connection and again if it is refused or
// fails, until the service has answered it.
func (e *ownEntry) awaitOrdinary(what string) {
	e.t.Helper()
	e.await(what, func() error {
		client := e.client()
		defer client.CloseIdleConnections()
		ctx, cancel := context.WithTimeout(context.Background(), ordinaryTimeout)
		defer cancel()
		response, err := client.Do(e.request(ctx, e.callers, strings.NewReader("ordinary"), len("ordinary")))
		if err != nil {
			return err
		}
		defer response.Body.Close()
		text, err := io.ReadAll(response.Body)
		if response.StatusCode != http.StatusOK || string(text) != "done" {
			return fmt.Errorf("status %d: %s", response.StatusCode, text)
		}
		return err
	})
}

func (e *ownEntry) request(ctx context.Context, address netip.AddrPort, body io.Reader, length int) *http.Request {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+address.String()+pathOrdinary, body)
	assert.NilError(e.t, err)
	request.ContentLength = int64(length)
	request.Header.Set("Authorization", "Bearer "+key)
	return request
}

// gatherStreams opens the requests of a crowd over HTTP/2, and returns a function that ends them.
func (e *ownEntry) gatherStreams(ctx context.Context, s scenario) (disperse func()) {
	ctx, cancel := context.WithCancel(ctx)
	for range s.crowd.Conns {
		client := e.client()
		for range s.streams {
			go runStream(client, e.request(ctx, e.callers, &shortBody{ctx: ctx, left: s.crowd.Sent}, s.crowd.Length))
		}
	}
	return cancel
}

func runStream(client *http.Client, request *http.Request) {
	if response, err := client.Do(request); err == nil {
		response.Body.Close()
	}
}

// shortBody is a body that stops short of its end.
type shortBody struct {
	ctx  context.Context
	left int
}

// Read implements [io.Reader].
func (b *shortBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		<-b.ctx.Done()
		return 0, b.ctx.Err()
	}
	n := min(b.left, len(p))
	b.left -= n
	return n, nil
}

// TestCrowdsAtOwnInterface guards against callers of the project's own interface that misbehave
// in numbers: there TLS turns HTTP/2 on, so that a bound on connections bounds no bodies.
func TestCrowdsAtOwnInterface(t *testing.T) {
	for _, s := range readScenarios(t, "testdata/own_crowds.txt") {
		t.Run(s.name, func(t *testing.T) {
			e := startOwnEntry(t, entryLimits{memoryMB: s.memoryMB, fds: s.fds})
			meter := startGauge(e.command.Process.Pid)
			var disperse func()
			if s.streams > 0 {
				disperse = e.gatherStreams(t.Context(), s)
			} else {
				address := map[string]netip.AddrPort{targetCallers: e.callers, targetOperators: e.operators}[s.target]
				crowd := s.crowd.Gather(func() (net.Conn, error) {
					dialer := &net.Dialer{Timeout: dialTimeout}
					return tls.DialWithDialer(dialer, "tcp", address.String(), &tls.Config{RootCAs: e.roots})
				}, requestTarget(s.target))
				disperse = func() { t.Logf("%+v", crowd.Disperse()) }
			}
			time.Sleep(crowdStay)
			e.awaitOrdinary("an ordinary request beside the crowd")
			disperse()
			e.awaitOrdinary("an ordinary request after the crowd")
			e.checkLimits(meter, s.memoryMB, s.fds)
		})
	}
}
