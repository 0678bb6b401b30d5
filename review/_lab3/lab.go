package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/platform/emulator"
)

const (
	host      = "lab.example"
	service   = "portal"
	zone      = "hall-a"
	key       = "key-1"
	tenant    = "members"
	heartbeat = 400 * time.Millisecond
)

// lab is one small deployment.
type lab struct {
	trouble bool
	dir     string
	daemon  string
	store   *emulator.Store
	address netip.AddrPort
	config  emulator.Config
	entries []*entry
	ctx     context.Context
	cancel  context.CancelFunc

	mu     sync.Mutex
	record *os.File
	began  time.Time
	// closed says that no process may be started any more.
	closed atomic.Bool
}

// newLab returns a deployment without processes, whose record is written to a file.
func newLab(path string) (*lab, error) {
	record, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "lab3")
	if err != nil {
		return nil, err
	}
	daemon, err := filepath.Abs("target/waxwingd")
	if err != nil {
		return nil, err
	}
	l := &lab{trouble: os.Getenv("TROUBLE") != "0", dir: dir, daemon: daemon, store: emulator.NewStore(heartbeat), record: record, began: time.Now()}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	if l.address, err = serve(l.store); err != nil {
		return nil, err
	}
	l.config = emulator.Config{
		Version: 1, Host: host, MaxBodyBytes: 4 << 20,
		Routes: []emulator.Route{
			{Prefix: "/once/", Repeat: mapper.Once, Service: service, Timeout: 6 * time.Second},
			{Prefix: "/again/", Repeat: mapper.Idempotent, Service: service, Timeout: 6 * time.Second},
		},
		Keys: map[string][]string{tenant: {key}},
	}
	return l, nil
}

// write appends a line to the record.
func (l *lab) write(format string, a ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f ", time.Since(l.began).Seconds())
	fmt.Fprintf(l.record, format+"\n", a...)
}

// conclude writes the last line of the record, also to standard output.
func (l *lab) conclude(format string, a ...any) {
	l.write(format, a...)
	fmt.Printf(format+"\n", a...)
}

func (l *lab) close() {
	l.cancel()
	l.closed.Store(true)
	for _, e := range l.entries {
		e.kill()
	}
	l.record.Close()
	os.RemoveAll(l.dir)
}

// serve serves a handler at a free loopback address.
func serve(handler http.Handler) (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	go (&http.Server{Handler: handler}).Serve(listener)
	return listener.Addr().(*net.TCPAddr).AddrPort(), nil
}

// Ports are taken below those that the system gives to connections, each once, so that nothing takes
// one between its choice and its use.
const (
	firstPort = 15000
	lastPort  = 30000
)

// nextPort is the port that is tried next. It begins at a place of its own in each run.
var nextPort = firstPort + rand.IntN(lastPort-firstPort)

// freeAddresses returns loopback addresses with free ports.
func freeAddresses(n int) ([]netip.AddrPort, error) {
	var free []netip.AddrPort
	for range lastPort - firstPort {
		if nextPort++; nextPort > lastPort {
			nextPort = firstPort
		}
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", nextPort))
		if err != nil {
			continue
		}
		listener.Close()
		if free = append(free, listener.Addr().(*net.TCPAddr).AddrPort()); len(free) == n {
			return free, nil
		}
	}
	return nil, errors.New("no free ports")
}

// entry is one entry instance.
type entry struct {
	lab      *lab
	settings emulator.EntrySettings
	path     string

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// addEntries adds entry instances that aren't started yet.
func (l *lab) addEntries(n, memoryMB, fds int) error {
	var seeds []netip.AddrPort
	for i := range n {
		ports, err := freeAddresses(4)
		if err != nil {
			return err
		}
		seeds = append(seeds, ports[2])
		l.entries = append(l.entries, &entry{lab: l, path: filepath.Join(l.dir, fmt.Sprintf("local-%d.json", i)), settings: emulator.EntrySettings{
			ID: fmt.Sprintf("edge-%d", i+1), DataCentre: zone, FirstStart: true, Store: l.address,
			CallerAddress: ports[0], ReadinessAddress: ports[1], PeerAddress: ports[2], DirectoryAddress: ports[3],
			KeyTTL: 5 * time.Second, ConfigTTL: 2 * time.Second, StopTimeout: 8 * time.Second, AddressTTL: 5 * time.Second,
			RetryRatio: 0.2, RetrySlack: 109, MemoryMB: memoryMB, MaxFDs: fds,
		}})
	}
	for _, e := range l.entries {
		e.settings.Seeds = seeds[:min(3, len(seeds))]
	}
	return nil
}

// writeSettings writes the settings file.
func (e *entry) writeSettings() error {
	data, err := e.settings.Encode()
	if err != nil {
		return err
	}
	return os.WriteFile(e.path, data, 0o600)
}

// start starts the process of an entry instance.
func (e *entry) start() error {
	if err := e.writeSettings(); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.lab.closed.Load() {
		return errors.New("the case has ended")
	}
	e.command = exec.Command(e.lab.daemon, "--hosted")
	e.command.Env = append(os.Environ(), "WAXWINGMOUNT_BOOT="+e.path)
	e.command.Stderr = os.Stderr
	if logs := os.Getenv("LAB_LOGS"); logs != "" {
		out, err := os.Create(filepath.Join(logs, fmt.Sprintf("%s-%d.log", e.settings.ID, time.Now().Unix())))
		if err != nil {
			return err
		}
		e.command.Stdout = out
	}
	if err := e.command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	e.ended = ended
	command := e.command
	go func() { defer close(ended); command.Wait() }()
	e.settings.FirstStart = false
	return nil
}

func (e *entry) pid() int { return e.command.Process.Pid }

func (e *entry) signal(s os.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.command != nil {
		e.command.Process.Signal(s)
	}
}

func (e *entry) alive() bool {
	select {
	case <-e.ended:
		return false
	default:
		return true
	}
}

func (e *entry) kill() {
	if e.command == nil {
		return
	}
	e.signal(syscall.SIGCONT)
	e.signal(syscall.SIGKILL)
	<-e.ended
}

// writeConfig writes the next version of the configuration.
func (l *lab) writeConfig(change func(*emulator.Config)) error {
	change(&l.config)
	l.config.Version++
	return emulator.Operator{Store: l.address}.Write(l.ctx, l.config)
}

// await repeats an attempt until it succeeds.
func (l *lab) await(what string, limit time.Duration, attempt func() error) error {
	var err error
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if err = attempt(); err == nil {
			return nil
		}
	}
	return fmt.Errorf("waiting for %s: %w", what, errors.Join(err))
}

func nothing(*emulator.Config) {}

func errStatus(a answer) error { return fmt.Errorf("status %d, %v", a.status, a.err) }
