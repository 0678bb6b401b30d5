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

// The installation that is played.
const (
	entries        = 3
	plainServers   = 2
	modelServers   = 6
	serverSlots    = 8
	heartbeat      = 300 * time.Millisecond
	workTime       = 15 * time.Millisecond
	loadTime       = time.Second
	warmTime       = 300 * time.Millisecond
	formTime       = 200 * time.Millisecond
	stallTime      = 1500 * time.Millisecond
	grace          = 4 * time.Second
	host           = "soak.example"
	serviceOfPlain = "portal"
	serviceOfModel = "assist"
	routeTimeout   = 4 * time.Second
)

// The organisations: one keeps its key, the other loses all but one.
const (
	keeping   = "members"
	shrinking = "visitors"
)

var shrinkingKeys = []string{"visitors-1", "visitors-2", "visitors-3", "visitors-4", "visitors-5"}

var dayBounds = bounds{
	keyTTL: 3 * time.Second, contact: 2 * time.Second, apply: 2 * time.Second,
	retryRatio: 0.2, retrySlack: 60, maxAttempts: 2 + entries,
}

// The address blocks of the loopback network: where processes listen, and
// where the proxies before them do.
const (
	blockEntry = 101 + iota
	blockServer
	blockServerProxy
	blockCallerProxy
	blockStore
)

// ports of an entry instance and of everything else.
const (
	portCaller = 7001 + iota
	portReady
	portPeer
	portDirectory
	portOther
)

// world is one installation under play.
type world struct {
	t       testing.TB
	run     byte
	dir     string
	daemon  string
	keep    string
	checker *checker

	store    *process
	daemons  []*process
	servers  []*process
	toEntry  []*proxy
	toStore  []*proxy
	toServer []*proxy

	mu      sync.Mutex
	config  emulator.Config
	started atomic.Bool
	over    atomic.Bool
}

// address is an address that no other world on this machine uses.
func (w *world) address(block byte, n int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, block, w.run, byte(n + 1)}), port)
}

func newWorld(t testing.TB, run byte, daemon, keep string) *world {
	w := &world{t: t, run: run, dir: t.TempDir(), daemon: daemon, keep: keep, checker: newChecker(dayBounds)}
	w.store = w.role("store", roleStore, storeSettings{Address: w.address(blockStore, 0, portOther), Heartbeat: heartbeat})
	for i := range plainServers + modelServers {
		w.addServer(i)
	}
	for i := range entries {
		w.addEntry(i)
	}
	return w
}

func (w *world) serverID(i int) string { return "w-" + strconv.Itoa(i) }

// role describes a process of the emulated platform.
func (w *world) role(name, role string, settings any) *process {
	data, err := json.Marshal(settings)
	assert.NilError(w.t, err)
	return &process{
		name: name,
		command: func() *exec.Cmd {
			cmd := exec.Command(os.Args[0])
			cmd.Env = append(os.Environ(), roleVariable+"="+role, settingsVariable+"="+string(data))
			cmd.Stderr = os.Stderr
			return cmd
		},
		lines: func(line []byte) {
			var r emulator.ServerEvent
			if json.Unmarshal(line, &r) == nil {
				w.checker.sawRun(r)
			}
		},
		ended: w.unexpected,
	}
}

// unexpected takes the end of a process that nobody asked for.
func (w *world) unexpected(name string, err error) {
	if !w.over.Load() {
		w.checker.mu.Lock()
		defer w.checker.mu.Unlock()
		w.checker.failf("ended: %s ended by itself: %v", name, err)
	}
}

func (w *world) addServer(i int) {
	own, proxied := w.address(blockServer, i, portOther), w.address(blockServerProxy, i, portOther)
	settings := emulator.BackendServerSettings{
		ID: w.serverID(i), Service: serviceOfPlain, AdvertisedAddress: proxied, Store: w.address(blockStore, 0, portOther),
		DataCentre: dataCentre(i), Slots: serverSlots, Heartbeat: heartbeat, ServiceTime: workTime,
	}
	if i >= plainServers {
		settings.Service, settings.FabricDomain = serviceOfModel, "domain-"+strconv.Itoa(i%2)
		settings.LoadTime, settings.WarmLoadTime, settings.OpenTime, settings.MemberLossTimeout = loadTime, warmTime, formTime, stallTime
		settings.PeerAddresses = map[string]netip.AddrPort{}
		for other := plainServers; other < plainServers+modelServers; other++ {
			settings.PeerAddresses[w.serverID(other)] = w.address(blockServerProxy, other, portOther)
		}
	}
	link, err := newProxy(proxied, own)
	assert.NilError(w.t, err)
	w.toServer = append(w.toServer, link)
	w.servers = append(w.servers, w.role(settings.ID, roleWorker, workerSettings{Address: own, Worker: settings}))
}

func dataCentre(i int) string { return "centre-" + strconv.Itoa(i%2) }

func (w *world) addEntry(i int) {
	toStore, err := newProxy(w.address(blockStore, 1+i, portOther), w.address(blockStore, 0, portOther))
	assert.NilError(w.t, err)
	toEntry, err := newProxy(w.address(blockCallerProxy, i, portCaller), w.address(blockEntry, i, portCaller))
	assert.NilError(w.t, err)
	w.toStore, w.toEntry = append(w.toStore, toStore), append(w.toEntry, toEntry)
	name := "entry-" + strconv.Itoa(i)
	path := filepath.Join(w.dir, name+".json")
	w.daemons = append(w.daemons, &process{
		name: name,
		command: func() *exec.Cmd {
			w.writeSettings(path, name, i)
			cmd := exec.Command(w.daemon, "--hosted")
			cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+path)
			cmd.Stderr = os.Stderr
			return cmd
		},
		lines: w.logger(name),
		ended: w.unexpected,
	})
}

// logger keeps an entry instance's log where the run is to keep it.
func (w *world) logger(name string) func([]byte) {
	if w.keep == "" {
		return func([]byte) {}
	}
	file, err := os.Create(filepath.Join(w.keep, name+".log"))
	assert.NilError(w.t, err)
	w.t.Cleanup(func() { file.Close() })
	return func(line []byte) { file.Write(line) }
}

func (w *world) writeSettings(path, name string, i int) {
	var seeds []netip.AddrPort
	for n := range entries {
		seeds = append(seeds, w.address(blockEntry, n, portPeer))
	}
	data, err := emulator.EntrySettings{
		ID: name, DataCentre: dataCentre(i), FirstStart: !w.started.Load(), Seeds: seeds,
		CallerAddress: w.address(blockEntry, i, portCaller), ReadinessAddress: w.address(blockEntry, i, portReady),
		PeerAddress: w.address(blockEntry, i, portPeer), DirectoryAddress: w.address(blockEntry, i, portDirectory),
		Store: w.address(blockStore, 1+i, portOther), KeyTTL: dayBounds.keyTTL, StopTimeout: grace, AddressTTL: time.Second,
		RetryRatio: dayBounds.retryRatio, RetrySlack: dayBounds.retrySlack,
	}.Encode()
	if err == nil {
		err = os.WriteFile(path, data, 0o600)
	}
	if err != nil {
		w.unexpected(name, err)
	}
}

// start brings the whole installation up and writes the first configuration.
func (w *world) start() {
	assert.NilError(w.t, w.store.start())
	w.config = emulator.Config{
		Version: 1, Host: host, Slots: serverSlots,
		Routes: []emulator.Route{
			{Prefix: pathRepeat, Repeat: mapper.Idempotent, Service: serviceOfPlain, Timeout: routeTimeout},
			{Prefix: pathOnce, Repeat: mapper.Once, Service: serviceOfPlain, Timeout: routeTimeout},
			{Prefix: pathStream, Repeat: mapper.Streaming, Service: serviceOfModel, Timeout: routeTimeout},
		},
		Engines: map[string][]emulator.Model{serviceOfModel: {
			{Name: "m0", Size: 2, LoadTime: loadTime, WarmLoadTime: warmTime}, {Name: "m1", Size: 2, LoadTime: loadTime, WarmLoadTime: warmTime},
		}},
		Keys: map[string][]string{keeping: {keeping + "-1"}, shrinking: shrinkingKeys},
	}
	w.eventually("the first configuration", func() bool { return w.write(func(*emulator.Config) {}) == nil })
	for _, p := range append(append([]*process{}, w.servers...), w.daemons...) {
		assert.NilError(w.t, p.start())
	}
	w.started.Store(true)
}

// write changes the configuration; a nil error is the store's confirmation.
func (w *world) write(change func(*emulator.Config)) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	change(&w.config)
	w.config.Version++
	return emulator.Operator{Store: w.address(blockStore, 0, portOther)}.Write(context.Background(), w.config)
}

func (w *world) eventually(what string, check func() bool) {
	for range 200 {
		if check() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	w.t.Fatalf("it never came: %s", what)
}

// stop ends everything that the world started.
func (w *world) stop() {
	w.over.Store(true)
	for _, p := range append(append([]*process{w.store}, w.servers...), w.daemons...) {
		p.signal(syscall.SIGCONT)
		p.kill()
	}
	for _, links := range [][]*proxy{w.toEntry, w.toStore, w.toServer} {
		for _, link := range links {
			link.close()
		}
	}
}
