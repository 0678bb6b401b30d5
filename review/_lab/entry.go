package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// restartDelay is how long the platform takes to start an ended process again.
const restartDelay = 500 * time.Millisecond

// entry is one machine of the system with its process, as the platform runs it.
type entry struct {
	name     string
	zone     string
	ip       netip.Addr
	frontend netip.AddrPort
	ready    netip.AddrPort
	control  netip.AddrPort
	lookup   netip.AddrPort
	internal uint16
	path     string
	logPath  string
	env      []string
	daemon   string

	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{}
	ended   bool
	peakRSS int64
	// killedAt are the times at which the test killed the process, and memoryKills those at which
	// the platform did because of the memory limit.
	killedAt    []time.Time
	memoryKills []time.Time
}

// freePort returns a port of an address on which nothing listens.
func freePort(ip netip.Addr) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", netip.AddrPortFrom(ip, 0).String())
	if err != nil {
		return netip.AddrPort{}, err
	}
	defer l.Close()
	return netip.AddrPortFrom(ip, uint16(l.Addr().(*net.TCPAddr).Port)), nil
}

// newEntries returns the machines of a deployment, one in each zone in turn.
func newEntries(dir, daemon string, store netip.AddrPort, n int, zones []string, memoryMB int64, bounds map[string]any) ([]*entry, error) {
	var all []*entry
	block := byte(10 + os.Getpid()%200)
	for i := range n {
		e := &entry{
			name: "edge-" + strconv.Itoa(i+1), zone: zones[i%len(zones)], daemon: daemon,
			ip: netip.AddrFrom4([4]byte{127, 77, block, byte(i + 1)}),
		}
		for _, p := range []*netip.AddrPort{&e.frontend, &e.ready, &e.control, &e.lookup} {
			var err error
			if *p, err = freePort(e.ip); err != nil {
				return nil, err
			}
		}
		metrics, err := freePort(e.ip)
		if err != nil {
			return nil, err
		}
		e.internal = metrics.Port()
		e.path = filepath.Join(dir, e.name+".json")
		e.logPath = filepath.Join(dir, e.name+".log")
		all = append(all, e)
	}
	started.Lock()
	started.entries = all
	started.Unlock()
	var seeds []string
	for _, e := range all[:min(3, len(all))] {
		seeds = append(seeds, e.control.String())
	}
	for _, e := range all {
		if err := e.writeSettings(store, seeds, true, memoryMB, bounds); err != nil {
			return nil, err
		}
	}
	return all, nil
}

func (e *entry) writeSettings(store netip.AddrPort, seeds []string, bootstrap bool, memoryMB int64, bounds map[string]any) error {
	data, err := json.MarshalIndent(map[string]any{
		"node_name": e.name, "role": "entry", "machine_class": "edge", "serves": []string{"edge", "control", "registry"},
		"ip": e.ip.String(), "zone": e.zone, "region": "r", "bootstrap": bootstrap,
		"listen": map[string]any{
			"frontend": e.frontend.String(), "readiness": e.ready.String(), "control_plane": e.control.String(), "directory": e.lookup.String(),
		},
		"internal_ports": []int{int(e.internal), int(e.internal) + 15}, "seeds": seeds,
		"limits":       map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": memoryMB, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir":     nil,
		"heartbeat_ms": 1200, "discovery": "platform", "entry": "registry",
		"bounds":   bounds,
		"platform": map[string]any{"address": store.String(), "form": "table"},
	}, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(e.path, data, 0o600)
}

// afterBootstrap rewrites the settings as they are after the first start of the system.
func afterBootstrap(all []*entry, store netip.AddrPort, memoryMB int64, bounds map[string]any) error {
	var seeds []string
	for _, e := range all[:min(3, len(all))] {
		seeds = append(seeds, e.control.String())
	}
	for _, e := range all {
		if err := e.writeSettings(store, seeds, false, memoryMB, bounds); err != nil {
			return err
		}
	}
	return nil
}

// start starts the process as the deploy file says.
func (e *entry) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.startLocked()
}

func (e *entry) startLocked() error {
	out, err := os.OpenFile(e.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(e.daemon, "--hosted")
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "WAXWINGMOUNT_BOOT=" + e.path}, e.env...)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	e.cmd, e.done = cmd, make(chan struct{})
	go e.wait(cmd, e.done)
	return nil
}

func (e *entry) wait(cmd *exec.Cmd, done chan struct{}) {
	cmd.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cmd = nil
	close(done)
}

// pid returns the process's ID, or zero if it does not run.
func (e *entry) pid() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd == nil {
		return 0
	}
	return e.cmd.Process.Pid
}

// kill ends the process with SIGKILL and starts it again after a time.
func (e *entry) kill(down time.Duration) {
	e.mu.Lock()
	cmd, done := e.cmd, e.done
	e.mu.Unlock()
	if cmd == nil {
		return
	}
	cmd.Process.Kill()
	<-done
	time.Sleep(down)
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.ended && e.cmd == nil {
		if err := e.startLocked(); err != nil {
			fmt.Fprintln(os.Stderr, "restart:", err)
		}
	}
}

// stop ends the process for good.
func (e *entry) stop() {
	e.mu.Lock()
	e.ended = true
	cmd, done := e.cmd, e.done
	e.mu.Unlock()
	if cmd == nil {
		return
	}
	cmd.Process.Signal(syscall.SIGCONT)
	cmd.Process.Kill()
	<-done
}

// rss returns the resident memory of a process in bytes, or zero.
func rss(pid int) int64 {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if text, found := strings.CutPrefix(line, "VmRSS:"); found {
			n, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")), 10, 64)
			return n << 10
		}
	}
	return 0
}
