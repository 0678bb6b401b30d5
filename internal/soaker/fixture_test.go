package soaker

import (
	"context"
	"encoding/json"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/platform"
	"github.com/waxwingmount/waxwingmount/platform/emulator"
)

// The size and the settings of the installation under test.
const (
	// usualEntries is the number of entry instances, except in scenarios of the
	// configuration, where configEntries make most of them fetch from readers.
	usualEntries    = 3
	configEntries   = 7
	plainServers    = 2
	modelServers    = 6
	serverSlots     = 8
	heartbeat       = 300 * time.Millisecond
	requestTime     = 15 * time.Millisecond
	loadTime        = time.Second
	warmTime        = 300 * time.Millisecond
	groupFormTime   = 200 * time.Millisecond
	stallTime       = 1500 * time.Millisecond
	shutdownTimeout = 4 * time.Second
	host            = "soak.example"
	plainService    = "portal"
	modelService    = "assist"
	routeTimeout    = 4 * time.Second
)

// The organisations: the keys of one stay, those of the other are revoked except
// for the first.
const (
	stableOrganisation    = "members"
	revocableOrganisation = "visitors"
)

var revocableKeys = []string{"visitors-1", "visitors-2", "visitors-3", "visitors-4", "visitors-5"}

var testLimits = limits{
	keyTTL: 3 * time.Second, faultMargin: 2 * time.Second, apply: 2 * time.Second, evacuate: 5 * time.Second,
	retryRatio: 0.2, retrySlack: 60, maxAttempts: 2 + usualEntries, contact: 3 * time.Second,
}

// The second byte of the loopback addresses, by what listens there: processes or
// the proxies in front of them.
const (
	blockEntry = 101 + iota
	blockServer
	blockServerProxy
	blockCallerProxy
	blockStore
)

// The ports of an entry instance, and portOther of every other process.
const (
	portCaller = 7001 + iota
	portReadiness
	portPeer
	portDirectory
	portOther
)

// fixture is an installation under test: entry instances, backend servers, the
// store and the proxies between them.
type fixture struct {
	t       testing.TB
	run     byte
	dir     string
	daemon  string
	logDir  string
	checker *checker
	// memoryMB is the memory of an entry instance in its settings, or zero for none.
	memoryMB int

	store         *process
	daemons       []*process
	servers       []*process
	entryProxies  []*proxy
	storeProxies  []*proxy
	serverProxies []*proxy

	mu       sync.Mutex
	config   emulator.Config
	started  atomic.Bool
	stopping atomic.Bool
	// entryStarts is the number of times that an entry instance was started.
	entryStarts atomic.Int32
}

// address returns an address that no other fixture on this machine uses.
func (f *fixture) address(block byte, n int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, block, f.run, byte(n + 1)}), port)
}

func newFixture(t testing.TB, run byte, daemon, logDir string, entries int) *fixture {
	f := &fixture{t: t, run: run, dir: t.TempDir(), daemon: daemon, logDir: logDir, checker: newChecker(testLimits)}
	f.store = f.newEmulatedProcess("store", roleStore, storeSettings{Address: f.address(blockStore, 0, portOther), Heartbeat: heartbeat})
	for i := range plainServers + modelServers {
		f.addServer(i)
	}
	for i := range entries {
		f.addEntry(i)
	}
	return f
}

func (f *fixture) serverID(i int) string { return "w-" + strconv.Itoa(i) }

// newEmulatedProcess returns a process of the emulated platform that isn't started
// yet.
func (f *fixture) newEmulatedProcess(name, role string, settings any) *process {
	data, err := json.Marshal(settings)
	assert.NilError(f.t, err)
	return &process{
		name: name,
		command: func() *exec.Cmd {
			cmd := exec.Command(os.Args[0])
			cmd.Env = append(os.Environ(), roleVariable+"="+role, settingsVariable+"="+string(data))
			cmd.Stderr = os.Stderr
			return cmd
		},
		onLine: func(line []byte) {
			var r emulator.ServerEvent
			if json.Unmarshal(line, &r) == nil {
				f.checker.recordRun(r)
			}
		},
		onExit: f.reportUnexpectedExit,
	}
}

// reportUnexpectedExit reports a violation for a process that exited or failed to
// start, unless the fixture is stopping.
func (f *fixture) reportUnexpectedExit(name string, err error) {
	if !f.stopping.Load() {
		f.checker.mu.Lock()
		defer f.checker.mu.Unlock()
		f.checker.failf("exit: %s exited unexpectedly: %v", name, err)
	}
}

func (f *fixture) addServer(i int) {
	direct, proxied := f.address(blockServer, i, portOther), f.address(blockServerProxy, i, portOther)
	settings := emulator.BackendServerSettings{
		ID: f.serverID(i), Service: plainService, AdvertisedAddress: proxied, Store: f.address(blockStore, 0, portOther),
		DataCentre: dataCentre(i), Slots: serverSlots, Heartbeat: heartbeat, ServiceTime: requestTime,
	}
	if i >= plainServers {
		settings.Service, settings.FabricDomain = modelService, "domain-"+strconv.Itoa(i%2)
		settings.LoadTime, settings.WarmLoadTime, settings.OpenTime, settings.MemberLossTimeout = loadTime, warmTime, groupFormTime, stallTime
		settings.PeerAddresses = map[string]netip.AddrPort{}
		for other := plainServers; other < plainServers+modelServers; other++ {
			settings.PeerAddresses[f.serverID(other)] = f.address(blockServerProxy, other, portOther)
		}
	}
	f.checker.places[settings.ID] = settings.DataCentre
	proxy, err := newOwnedProxy(proxied, direct, f.entryOf)
	assert.NilError(f.t, err)
	f.serverProxies = append(f.serverProxies, proxy)
	f.servers = append(f.servers, f.newEmulatedProcess(settings.ID, roleServer, serverSettings{Address: direct, Worker: settings}))
}

func dataCentre(i int) string { return "centre-" + strconv.Itoa(i%dataCentres) }

func (f *fixture) addEntry(i int) {
	toStore, err := newProxy(f.address(blockStore, 1+i, portOther), f.address(blockStore, 0, portOther))
	assert.NilError(f.t, err)
	toEntry, err := newProxy(f.address(blockCallerProxy, i, portCaller), f.address(blockEntry, i, portCaller))
	assert.NilError(f.t, err)
	f.storeProxies, f.entryProxies = append(f.storeProxies, toStore), append(f.entryProxies, toEntry)
	name := "entry-" + strconv.Itoa(i)
	path := filepath.Join(f.dir, name+".json")
	f.daemons = append(f.daemons, &process{
		name: name,
		command: func() *exec.Cmd {
			f.writeSettings(path, name, i)
			cmd := exec.Command(f.nextDaemon(name, i), "--hosted")
			cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+path)
			cmd.Stderr = os.Stderr
			return cmd
		},
		onLine: f.logWriter(name),
		onExit: f.reportUnexpectedExit,
	})
}

// nextDaemon returns the daemon for the next start of an entry instance: with
// -beside the built one and the other in turn.
func (f *fixture) nextDaemon(name string, i int) string {
	if f.entryStarts.Add(1)%2 == 1 || *beside == "" {
		return f.daemon
	}
	f.t.Logf("%s starts with %s", name, *beside)
	f.checker.mu.Lock()
	defer f.checker.mu.Unlock()
	f.checker.otherBuild[i] = true
	return *beside
}

// logWriter returns a function that appends lines to the log file of an entry
// instance, or discards them when there is no log directory.
func (f *fixture) logWriter(name string) func([]byte) {
	if f.logDir == "" {
		return func([]byte) {}
	}
	file, err := os.Create(filepath.Join(f.logDir, name+".log"))
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { file.Close() })
	return func(line []byte) { file.Write(line) }
}

func (f *fixture) writeSettings(path, name string, i int) {
	var seeds []netip.AddrPort
	for n := range f.daemons {
		seeds = append(seeds, f.address(blockEntry, n, portPeer))
	}
	data, err := emulator.EntrySettings{
		ID: name, DataCentre: dataCentre(i), FirstStart: !f.started.Load(), Seeds: seeds,
		CallerAddress: f.address(blockEntry, i, portCaller), ReadinessAddress: f.address(blockEntry, i, portReadiness),
		PeerAddress: f.address(blockEntry, i, portPeer), DirectoryAddress: f.address(blockEntry, i, portDirectory),
		Store: f.address(blockStore, 1+i, portOther), KeyTTL: testLimits.keyTTL, ConfigTTL: testLimits.apply, EvacuationTTL: testLimits.evacuate, StopTimeout: shutdownTimeout, AddressTTL: time.Second,
		RetryRatio: testLimits.retryRatio, RetrySlack: testLimits.retrySlack, MemoryMB: f.memoryMB,
	}.Encode()
	if err == nil {
		err = os.WriteFile(path, data, 0o600)
	}
	if err != nil {
		f.reportUnexpectedExit(name, err)
	}
}

// start writes the first configuration and starts all processes.
func (f *fixture) start() {
	assert.NilError(f.t, f.store.start())
	f.config = emulator.Config{
		Version: 1, Host: host, Slots: serverSlots,
		Routes: []emulator.Route{
			{Prefix: pathIdempotent, Repeat: mapper.Idempotent, Service: plainService, Timeout: routeTimeout},
			{Prefix: pathOnce, Repeat: mapper.Once, Service: plainService, Timeout: routeTimeout},
			{Prefix: pathStream, Repeat: mapper.Streaming, Service: modelService, Timeout: routeTimeout},
		},
		Engines: map[string][]emulator.Model{modelService: {
			{Name: "m0", Size: 2, LoadTime: loadTime, WarmLoadTime: warmTime}, {Name: "m1", Size: 2, LoadTime: loadTime, WarmLoadTime: warmTime},
		}},
		Keys: map[string][]string{stableOrganisation: {stableOrganisation + "-1"}, revocableOrganisation: revocableKeys},
	}
	f.await("the store to accept the first configuration", func() bool { return f.writeConfig(func(*emulator.Config) {}) == nil })
	for _, p := range append(append([]*process{}, f.servers...), f.daemons...) {
		assert.NilError(f.t, p.start())
	}
	f.started.Store(true)
}

// writeConfig changes the configuration and writes it to the store. A nil error
// means that the store confirmed the change.
func (f *fixture) writeConfig(change func(*emulator.Config)) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.config)
	f.config.Version++
	return emulator.Operator{Store: f.address(blockStore, 0, portOther)}.Write(context.Background(), f.config)
}

// rewriteConfig writes the present configuration to the store again.
func (f *fixture) rewriteConfig() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return emulator.Operator{Store: f.address(blockStore, 0, portOther)}.Write(context.Background(), f.config)
}

func (f *fixture) await(description string, check func() bool) {
	for range 200 {
		if check() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.t.Fatalf("timed out waiting for %s", description)
}

// stop kills all processes and closes the proxies.
func (f *fixture) stop() {
	f.stopping.Store(true)
	for _, p := range append(append([]*process{f.store}, f.servers...), f.daemons...) {
		p.signal(syscall.SIGCONT)
		p.kill()
	}
	for _, proxies := range [][]*proxy{f.entryProxies, f.storeProxies, f.serverProxies} {
		for _, p := range proxies {
			p.close()
		}
	}
}
