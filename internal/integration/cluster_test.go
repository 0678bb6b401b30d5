package integration

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

// binaries is the directory of the programs that TestMain builds.
var binaries string

// The names in binaries of the daemon and of the other one that -beside gives.
const (
	entryProgram  = "waxwingd"
	besideProgram = "waxwingd-beside"
)

var beside = flag.String("beside", "", "absolute path of a daemon of another build that every second start of an entry instance uses; empty uses the built one only")

func TestMain(m *testing.M) {
	os.Exit(runMain(m))
}

func runMain(m *testing.M) int {
	dir, err := os.MkdirTemp("", "waxwing")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	binaries = dir
	build := exec.Command("go", "build", "-o", dir, "github.com/waxwingmount/waxwingmount/cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		panic(string(out))
	}
	flag.Parse()
	if *beside != "" {
		if err := os.Symlink(*beside, filepath.Join(dir, besideProgram)); err != nil {
			panic(err)
		}
	}
	return m.Run()
}

const (
	organisationKey  = "key-of-alpha"
	startTimeout     = time.Minute
	firstByteTimeout = 3 * time.Second
)

// process is a running program.
type process struct {
	command *exec.Cmd
	done    chan struct{}
	logPath string
}

// clusterSpec describes the parts of a cluster.
type clusterSpec struct {
	entries    int
	domains    map[string]int
	services   int
	engineArgs []string
	config     string
	listLag    time.Duration
}

// cluster is a running system: the emulated platform, engines, services and entry
// instances, each a process of its own.
type cluster struct {
	t        *testing.T
	dir      string
	spec     clusterSpec
	platform netip.AddrPort
	// platformProxies holds the proxy between each entry instance and the platform.
	platformProxies   map[string]*toxiproxy.Proxy
	processes         map[string]*process
	callerAddresses   map[string]netip.AddrPort
	operatorAddresses map[string]netip.AddrPort
	peerAddresses     map[string]netip.AddrPort
	engineAddresses   map[string]netip.AddrPort
	domainOf          map[string]string
	serviceAddresses  []netip.AddrPort
	proxyServer       *toxiproxy.ApiServer
	// clients holds a *caller.Client for each entry instance.
	clients sync.Map
	// address is the cluster's own loopback address.
	address  netip.Addr
	nextPort uint16
	// entryStarts is the number of times that an entry instance was started.
	entryStarts int
}

const baseConfig = `
[system]
deployment = test
[class.trainee]
priority = 0
deadline = 30s
[class.batch]
priority = 5
deadline = 30s
[organisation.alpha]
key_sha256 = %s
class = trainee
`

// startCluster starts a system and waits until its configuration is in force at
// every entry instance.
func startCluster(t *testing.T, spec clusterSpec) *cluster {
	t.Helper()
	c := &cluster{
		t: t, dir: t.TempDir(), spec: spec, address: newAddress(),
		platformProxies:   make(map[string]*toxiproxy.Proxy),
		processes:         make(map[string]*process),
		callerAddresses:   make(map[string]netip.AddrPort),
		operatorAddresses: make(map[string]netip.AddrPort),
		peerAddresses:     make(map[string]netip.AddrPort),
		engineAddresses:   make(map[string]netip.AddrPort),
		domainOf:          make(map[string]string),
		proxyServer:       toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop()),
	}
	t.Cleanup(c.stopAll)
	c.platform = c.freeAddress()
	c.startProcess("platform", "waxwing-standin", "platform", "--address", c.platform.String(), "--list-lag", spec.listLag.String())
	awaitPort(t, c.platform)
	for domain, count := range spec.domains {
		for i := range count {
			c.startEngine(fmt.Sprintf("%s-%d", domain, i), domain)
		}
	}
	for i := range spec.services {
		address := c.freeAddress()
		c.serviceAddresses = append(c.serviceAddresses, address)
		name := fmt.Sprintf("service-%d", i)
		c.startProcess(name, "waxwing-standin", "service", "--id", name, "--address", address.String(), "--record", c.recordPath(name))
		awaitPort(t, address)
	}
	for i := range spec.entries {
		c.startEntry(fmt.Sprintf("entry-%d", i))
	}
	version := c.apply("entry-0", c.fullConfig())
	c.awaitVersion(version)
	return c
}

func (c *cluster) fullConfig() string {
	sum := sha256.Sum256([]byte(organisationKey))
	text := fmt.Sprintf(baseConfig, hex.EncodeToString(sum[:])) + c.spec.config
	if len(c.serviceAddresses) > 0 {
		addresses := make([]string, len(c.serviceAddresses))
		for i, a := range c.serviceAddresses {
			addresses[i] = a.String()
		}
		text += "\n[service.portal]\naddresses = " + strings.Join(addresses, ", ") +
			"\n[route.portal]\npath_prefix = /portal/\nservice = portal\n"
	}
	return text
}

func (c *cluster) startEngine(id, domain string) {
	address, known := c.engineAddresses[id]
	if !known {
		address = c.freeAddress()
	}
	c.engineAddresses[id], c.domainOf[id] = address, domain
	args := []string{"engine", "--id", id, "--address", address.String(), "--record", c.recordPath(id)}
	c.startProcess(id, "waxwing-standin", append(args, c.spec.engineArgs...)...)
	awaitPort(c.t, address)
	c.putInstance(id, false)
}

// putInstance puts an instance into the instance list of the platform.
func (c *cluster) putInstance(id string, leaving bool) {
	c.t.Helper()
	data, err := json.Marshal(provider.Instance{
		ID: id, Address: c.engineAddresses[id], FabricDomain: c.domainOf[id], DataCentre: "hall-a", Leaving: leaving,
	})
	assert.NilError(c.t, err)
	request, err := http.NewRequest(http.MethodPut, "http://"+c.platform.String()+"/instances", bytes.NewReader(data))
	assert.NilError(c.t, err)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(c.t, err)
	response.Body.Close()
}

const entrySettings = `
[entry]
id = %s
data_centre = hall-a
address = %s
keep_answer = 1s
[platform]
address = %s
[peers]
address = %s
heartbeat_interval = 200ms
seeds = %s
%s
[operator]
address = %s
%s
`

// startEntry starts an entry instance. One that was started before keeps its name
// and addresses.
func (c *cluster) startEntry(id string) {
	c.t.Helper()
	if _, known := c.callerAddresses[id]; !known {
		c.callerAddresses[id], c.operatorAddresses[id], c.peerAddresses[id] = c.freeAddress(), c.freeAddress(), c.freeAddress()
		c.platformProxies[id] = c.startProxy(id+"-platform", c.platform)
	}
	c.startProcess(id, entryProgram, "--settings", c.writeSettings(id, "", ""))
	awaitPort(c.t, c.callerAddresses[id])
}

// writeSettings writes the settings file of an entry instance, with keys added to
// the sections [operator] and [peers], and returns its path.
func (c *cluster) writeSettings(id, operatorKeys, peerKeys string) string {
	c.t.Helper()
	var seeds []string
	for _, seed := range c.peerAddresses {
		seeds = append(seeds, seed.String())
	}
	proxyAddress, err := netip.ParseAddrPort(c.platformProxies[id].Listen)
	assert.NilError(c.t, err)
	path := filepath.Join(c.dir, id+".ini")
	text := fmt.Sprintf(entrySettings, id, c.callerAddresses[id], proxyAddress, c.peerAddresses[id], strings.Join(seeds, ", "), peerKeys, c.operatorAddresses[id], operatorKeys)
	assert.NilError(c.t, os.WriteFile(path, []byte(text), 0o644))
	return path
}

// startProxy starts a fault-injecting proxy in front of an address.
func (c *cluster) startProxy(name string, upstream netip.AddrPort) *toxiproxy.Proxy {
	p := toxiproxy.NewProxy(c.proxyServer, name, c.freeAddress().String(), upstream.String())
	assert.NilError(c.t, p.Start())
	c.t.Cleanup(p.Stop)
	return p
}

// addToxic adds a fault to a proxy, described in the JSON of toxiproxy.
func (c *cluster) addToxic(p *toxiproxy.Proxy, toxic string) {
	c.t.Helper()
	_, err := p.Toxics.AddToxicJson(strings.NewReader(toxic))
	assert.NilError(c.t, err)
}

func (c *cluster) clearToxics(p *toxiproxy.Proxy) { p.Toxics.ResetToxics(context.Background()) }

// setPlatformPartition partitions every entry instance from the platform, or heals
// the partition.
func (c *cluster) setPlatformPartition(partitioned bool) {
	for _, proxy := range c.platformProxies {
		if partitioned {
			c.addToxic(proxy, `{"name":"cut","type":"timeout","stream":"downstream","attributes":{"timeout":0}}`)
		} else {
			c.clearToxics(proxy)
		}
	}
}

// startProcess starts a program and writes its output to a log file. With -beside
// the daemon of this build and the other one start in turn.
func (c *cluster) startProcess(name, program string, arguments ...string) {
	c.t.Helper()
	path := filepath.Join(c.dir, name+".log")
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	assert.NilError(c.t, err)
	if program == entryProgram {
		if c.entryStarts++; c.entryStarts%2 == 0 && *beside != "" {
			program = besideProgram
			c.t.Logf("%s starts with %s", name, *beside)
		}
	}
	command := exec.Command(filepath.Join(binaries, program), arguments...)
	command.Stdout, command.Stderr = file, file
	assert.NilError(c.t, command.Start())
	p := &process{command: command, done: make(chan struct{}), logPath: path}
	c.processes[name] = p
	go func() {
		command.Wait()
		file.Close()
		close(p.done)
	}()
}

// signal sends a signal to a process.
func (c *cluster) signal(name string, s syscall.Signal) {
	c.t.Helper()
	assert.NilError(c.t, c.processes[name].command.Process.Signal(s))
}

// kill sends SIGKILL to a process and waits until it has exited.
func (c *cluster) kill(name string) {
	c.t.Helper()
	c.signal(name, syscall.SIGKILL)
	<-c.processes[name].done
}

// awaitExit waits until a process that was told to stop has exited.
func (c *cluster) awaitExit(name string) {
	c.t.Helper()
	select {
	case <-c.processes[name].done:
	case <-time.After(startTimeout):
		c.t.Fatalf("%s did not exit; its log: %s", name, c.logTail(name))
	}
}

func (c *cluster) stopAll() {
	var stopping sync.WaitGroup
	for name, p := range c.processes {
		stopping.Go(func() {
			p.command.Process.Signal(syscall.SIGKILL)
			<-p.done
			if c.t.Failed() && strings.HasPrefix(name, "entry") {
				c.t.Logf("%s:\n%s", name, c.logTail(name))
			}
		})
	}
	stopping.Wait()
}

// logTail returns the last maxLogBytes of the log of a process.
func (c *cluster) logTail(name string) string {
	data, _ := os.ReadFile(c.processes[name].logPath)
	const maxLogBytes = 4000
	return string(data[max(0, len(data)-maxLogBytes):])
}

func (c *cluster) recordPath(name string) string { return filepath.Join(c.dir, name+".record") }

// clusterCount is the number of clusters that this test process has created.
var clusterCount atomic.Int32

const (
	firstPort = 20000
	// firstNetwork and networkCount give the range of the loopback networks. Each
	// test process uses its own network and each cluster its own address in it, so
	// that ports don't conflict.
	firstNetwork = 10
	networkCount = 200
)

// newAddress returns the loopback address of a new cluster.
func newAddress() netip.Addr {
	network := byte(firstNetwork + os.Getpid()%networkCount)
	return netip.AddrFrom4([4]byte{127, network, byte(clusterCount.Add(1)), 1})
}

// freeAddress returns an address and port that no other process uses.
func (c *cluster) freeAddress() netip.AddrPort {
	c.nextPort++
	return netip.AddrPortFrom(c.address, firstPort+c.nextPort)
}

func awaitPort(t *testing.T, address netip.AddrPort) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		conn, err := net.DialTimeout("tcp", address.String(), 100*time.Millisecond)
		if err != nil {
			return poll.Continue("%s", err)
		}
		conn.Close()
		return poll.Success()
	}, poll.WithTimeout(startTimeout), poll.WithDelay(20*time.Millisecond))
}

func postEmpty(target string) (int, error) {
	response, err := http.Post(target, "application/json", nil)
	if err != nil {
		return 0, err
	}
	response.Body.Close()
	return response.StatusCode, nil
}
