//go:build crowds

package crowder

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/platform"
	"github.com/waxwingmount/waxwingmount/platform/emulator"
)

var (
	daemonFlag = flag.String("daemon", "", "absolute path of a built daemon to test instead of one of this tree")
	showLogs   = flag.Bool("show-logs", false, "print the logs of the entry instance")
)

const (
	host         = "crowd.example"
	service      = "portal"
	key          = "members-1"
	pathOrdinary = "/ordinary/"
	routeTimeout = 30 * time.Second
	heartbeat    = 300 * time.Millisecond
	serverSlots  = 400
	// crowdHold is how long the backend server works on a request of a crowd.
	crowdHold = 2 * time.Second
	// crowdID is the request ID of all requests of a crowd.
	crowdID = "crowd"
	// maxBodyBytes bounds a body in the configuration, unless a test sets another bound.
	maxBodyBytes = 1 << 20
)

// daemon is the path of the daemon under test.
var daemon string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(runMain(m))
}

func runMain(m *testing.M) int {
	dir, err := os.MkdirTemp("", "crowder")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	if daemon = *daemonFlag; daemon == "" {
		daemon = filepath.Join(dir, "waxwingd")
		build := exec.Command("go", "build", "-o", daemon, "github.com/waxwingmount/waxwingmount/cmd/waxwingd")
		if out, err := build.CombinedOutput(); err != nil {
			panic(string(out))
		}
	}
	return m.Run()
}

// entry is an entry instance with the platform and the backend server that it needs, which
// run in the process of the test.
type entry struct {
	process
	settings emulator.EntrySettings
	caller   *emulator.Caller
	requests int
}

// entryLimits are what the settings and the configuration limit.
type entryLimits struct {
	memoryMB, fds int
	bodyBytes     int64
}

// startEntry starts an entry instance and waits until it serves an ordinary request.
func startEntry(t *testing.T, limits entryLimits) *entry {
	t.Helper()
	e, applyConfig := launchEntry(t, limits)
	applyConfig()
	e.awaitOrdinary("the entry instance to serve")
	return e
}

// launchEntry starts an entry instance that has no configuration. The function that it returns
// writes one.
func launchEntry(t *testing.T, limits entryLimits) (*entry, func()) {
	t.Helper()
	store := emulator.NewStore(heartbeat)
	storeAddress := serve(t, store)
	config := emulator.Config{
		Version: 1, Host: host, MaxBodyBytes: limits.bodyBytes,
		Routes: []emulator.Route{{Prefix: pathOrdinary, Repeat: mapper.Once, Service: service, Timeout: routeTimeout}},
		Keys:   map[string][]string{"members": {key}},
	}
	startServer(t, storeAddress)
	e := &entry{process: newProcess(t), caller: emulator.NewCaller()}
	ports := freeAddresses(t, 4)
	e.settings = emulator.EntrySettings{
		ID: "entry-0", DataCentre: "z", FirstStart: true, Store: storeAddress, Seeds: []netip.AddrPort{ports[2]},
		CallerAddress: ports[0], ReadinessAddress: ports[1], PeerAddress: ports[2], DirectoryAddress: ports[3],
		KeyTTL: 5 * time.Second, ConfigTTL: 2 * time.Second, StopTimeout: 4 * time.Second, AddressTTL: time.Second,
		RetryRatio: 0.2, RetrySlack: 100, MemoryMB: limits.memoryMB, MaxFDs: limits.fds,
	}
	data, err := e.settings.Encode()
	assert.NilError(t, err)
	path := filepath.Join(t.TempDir(), "local.json")
	assert.NilError(t, os.WriteFile(path, data, 0o600))
	command := exec.Command(daemon, "--hosted")
	command.Env = append(os.Environ(), platform.SettingsVariable+"="+path)
	e.start(command)
	if limits.fds > 0 {
		limit := unix.Rlimit{Cur: uint64(limits.fds), Max: uint64(limits.fds)}
		assert.NilError(t, unix.Prlimit(e.command.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil))
	}
	return e, func() { assert.NilError(t, emulator.Operator{Store: storeAddress}.Write(t.Context(), config)) }
}

const ordinaryTimeout = 5 * time.Second

// awaitOrdinary sends an ordinary request, on a new connection and again if it is refused or
// fails, until a backend server has answered it.
func (e *entry) awaitOrdinary(what string) {
	e.t.Helper()
	body := strings.Repeat("ordinary ", 100)
	e.await(what, func() error {
		response := e.sendOrdinary(body)
		if response.Status == http.StatusOK && response.Verified && strings.HasSuffix(response.Body, body) {
			return nil
		}
		return fmt.Errorf("status %d: %v", response.Status, response.Err)
	})
}

func (e *entry) sendOrdinary(body string) emulator.Response {
	e.requests++
	caller := emulator.NewCaller()
	defer caller.Close()
	return caller.Do(context.Background(), e.settings.CallerAddress, emulator.Request{
		ID: "ordinary-" + strconv.Itoa(e.requests), Host: host, Path: pathOrdinary, Key: key, Body: body, Timeout: ordinaryTimeout,
	})
}

// serve serves a handler at a loopback address until the test ends.
func serve(t *testing.T, handler http.Handler) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: handler}
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

// startServer starts the backend server. It works on a crowd's requests for crowdHold and
// answers them with as many bytes as they ask for.
func startServer(t *testing.T, store netip.AddrPort) {
	t.Helper()
	const id = "w-0"
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	worker := emulator.NewBackendServer(emulator.BackendServerSettings{
		ID: id, Service: service, AdvertisedAddress: listener.Addr().(*net.TCPAddr).AddrPort(), Store: store,
		DataCentre: "z", Slots: serverSlots, Heartbeat: heartbeat,
	}, func(emulator.ServerEvent) {})
	handler := worker.Handler()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Request-Id") != crowdID {
			handler.ServeHTTP(w, r)
			return
		}
		time.Sleep(crowdHold)
		w.Header().Set("X-Request-Id", crowdID)
		w.Header().Set("X-Server-Stamp", id+"."+crowdID)
		if n, err := strconv.Atoi(r.Header.Get("X-Answer-Bytes")); err == nil {
			fmt.Fprint(w, strings.Repeat("a", n))
		}
	})}
	go server.Serve(listener)
	go worker.Run(t.Context())
	t.Cleanup(func() { server.Close() })
}

// freeAddresses returns loopback addresses with free ports.
func freeAddresses(t *testing.T, n int) []netip.AddrPort {
	t.Helper()
	var free []netip.AddrPort
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		defer listener.Close()
		free = append(free, listener.Addr().(*net.TCPAddr).AddrPort())
	}
	return free
}
