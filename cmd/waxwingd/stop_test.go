package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/platform"
)

// stopStore emulates a store with one plain server that has one slot.
func stopStore(server string) http.HandlerFunc {
	config, _ := json.Marshal(map[string]any{
		"version":  1,
		"routes":   []any{map[string]any{"name": "r", "hostname": "h", "prefix": "/", "route_type": "non_idempotent", "timeout_ms": 30000, "target_latency_ms": 5000, "service": "s", "max_attempts": 1, "anonymous": true}},
		"services": []any{map[string]any{"name": "s"}},
	})
	entry, _ := json.Marshal(map[string]any{"service": "s", "address": server, "zone": "z", "version": "v1", "slots": 1, "state": "ready", "warmup_left_ms": 0, "sequence": 1})
	return func(w http.ResponseWriter, r *http.Request) {
		var rows []any
		if r.Method == http.MethodGet {
			switch r.URL.Query().Get("table") {
			case "op":
				rows = append(rows, map[string]any{"table": "op", "key": "config", "ver": 1, "value": config})
			case "servers":
				rows = append(rows, map[string]any{"table": "servers", "key": "p", "ver": 1, "value": entry})
			}
		}
		json.NewEncoder(w).Encode(map[string]any{"rows": rows, "ver": 1})
	}
}

// TestStopUnderLoad guards against callers whose connection is reset when the process stops
// before their requests have ended: one that is being read, one that runs, one that waits.
// Each gets a response that states correctly whether it may have run.
func TestStopUnderLoad(t *testing.T) {
	reached := make(chan struct{}, 8)
	busy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		reached <- struct{}{}
		<-r.Context().Done()
	}))
	defer busy.Close()
	platformStore := httptest.NewServer(stopStore(busy.Listener.Addr().String()))
	defer platformStore.Close()
	daemon, address, out := startStopDaemon(t, platformStore.Listener.Addr().String(), 3*time.Second)

	const head = "POST /x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\nContent-Length: 4\r\n\r\n"
	var calls sync.WaitGroup
	call := func(name, text string, want int) {
		calls.Go(func() {
			status, err := rawCall(address, text)
			if err != nil || status != want {
				t.Errorf("request that %s: status %d, error %v; want %d", name, status, err, want)
			}
		})
	}
	call("runs", head+"body", http.StatusBadGateway)
	<-reached
	call("waits", head+"body", http.StatusServiceUnavailable)
	call("is being read", head+"bo", http.StatusServiceUnavailable)
	waitFor(t, "queued", func() bool { return out.contains("queued") })
	assert.NilError(t, daemon.Process.Signal(syscall.SIGTERM))
	calls.Wait()
	assert.Assert(t, daemon.Wait() != nil, "requests had to be ended")
}

func dials(address string) bool {
	conn, err := net.Dial("tcp", address)
	if err == nil {
		conn.Close()
	}
	return err == nil
}

// rawCall sends bytes and returns the status of the response.
func rawCall(address, text string) (int, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	if _, err := io.Copy(conn, strings.NewReader(text)); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// lateCaller sends requests at set times of a planned stop.
type lateCaller struct {
	t       *testing.T
	address string
	calls   sync.WaitGroup
}

// send opens a connection, sends the first part of a request, waits, sends the rest, and
// checks the status of the response.
func (c *lateCaller) send(name, first string, wait time.Duration, rest string, want int) {
	c.calls.Go(func() {
		status, err := func() (int, error) {
			conn, err := net.Dial("tcp", c.address)
			if err != nil {
				return 0, err
			}
			defer conn.Close()
			if _, err := io.WriteString(conn, first); err != nil {
				return 0, err
			}
			time.Sleep(wait)
			if _, err := io.WriteString(conn, rest); err != nil {
				return 0, err
			}
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				return 0, err
			}
			defer response.Body.Close()
			_, err = io.Copy(io.Discard, response.Body)
			return response.StatusCode, err
		}()
		if err != nil || status != want {
			c.t.Errorf("request that %s: status %d, error %v; want %d", name, status, err, want)
		}
	})
}

// TestLateRequestsInPlannedStop guards against requests that come late in a planned stop, end
// late, or still wait then, and that are passed on and cut at its end. Each gets a response; only
// the one that runs when the stop begins has reached a server.
func TestLateRequestsInPlannedStop(t *testing.T) {
	const grace = 5 * time.Second
	var reached atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		if r.URL.Path != "/x" {
			return
		}
		reached.Add(1)
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Server-Stamp", "s")
		select {
		case <-r.Context().Done():
		case <-time.After(grace * 7 / 10):
			io.WriteString(w, "done")
		}
	}))
	defer server.Close()
	platformStore := httptest.NewServer(stopStore(server.Listener.Addr().String()))
	defer platformStore.Close()
	daemon, address, out := startStopDaemon(t, platformStore.Listener.Addr().String(), grace)

	const head, body = "POST /x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\nContent-Length: 4\r\n\r\n", "body"
	c := &lateCaller{t: t, address: address}
	c.send("runs", head, 0, body, http.StatusOK)
	waitFor(t, "running", func() bool { return reached.Load() == 1 })
	assert.NilError(t, daemon.Process.Signal(syscall.SIGTERM))
	stopped := time.Now()
	at := func(fraction float64) { time.Sleep(time.Duration(fraction*float64(grace)) - time.Since(stopped)) }
	at(0.2)
	c.send("waits", head, 0, body, http.StatusServiceUnavailable)
	c.send("ends after admission", head+"bo", grace*3/10, "dy", http.StatusServiceUnavailable)
	at(0.4)
	c.send("comes after admission", head, 0, body, http.StatusServiceUnavailable)
	at(0.55)
	c.send("comes on a connection accepted before the listener closed", "", grace/10, head+body, http.StatusServiceUnavailable)
	c.calls.Wait()
	assert.NilError(t, daemon.Wait())
	assert.Equal(t, reached.Load(), int32(1))
	assert.Assert(t, out.contains("queued"))
}

// startStopDaemon starts a daemon with the given time for a planned stop and waits until it
// knows its server.
func startStopDaemon(t *testing.T, store string, grace time.Duration) (daemon *exec.Cmd, address string, out *outputBuffer) {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "waxwingd")
	build, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	assert.NilError(t, err, "%s", build)
	path := filepath.Join(t.TempDir(), "local.json")
	callers := freePort(t)
	settings := fmt.Sprintf(`{"node_name":"n","zone":"z","listen":{"frontend":"127.0.0.1:%d","readiness":"127.0.0.1:%d",`+
		`"control_plane":"127.0.0.1:%d","directory":"127.0.0.1:%d"},"bounds":{"revoke_ms":5000,"grace_s":%g,"ttl_max_s":5},"platform":{"address":%q}}`,
		callers, freePort(t), freePort(t), freePort(t), grace.Seconds(), store)
	assert.NilError(t, os.WriteFile(path, []byte(settings), 0o600))
	out = &outputBuffer{}
	daemon = exec.Command(binary, "--hosted")
	daemon.Env = append(os.Environ(), platform.SettingsVariable+"="+path)
	daemon.Stdout, daemon.Stderr = out, out
	assert.NilError(t, daemon.Start())
	t.Cleanup(func() { daemon.Process.Kill() })
	address = fmt.Sprintf("127.0.0.1:%d", callers)
	waitFor(t, "server known", func() bool { return out.contains("configuration") && dials(address) })
	time.Sleep(time.Second)
	return daemon, address, out
}
