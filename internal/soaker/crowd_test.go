package soaker

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/waxwingmount/waxwingmount/internal/crowder"
)

const (
	// crowdSoakRun keeps the addresses of this test apart from those of the others.
	crowdSoakRun = 120
	// crowdMemoryMB is the memory of an entry instance in a scenario with crowds.
	crowdMemoryMB = 128
	minCrowds     = 2
	maxCrowds     = 6
	crowdDial     = time.Second
	// pathNone has no route, so that no server runs what a crowd sends.
	pathNone = "/none/"
)

// crowds are what callers that misbehave send in a scenario.
var crowds = []string{
	"conns=80 length=1048576 sent=1048575",
	"conns=80 chunk=65536 sent=1048575",
	"conns=80 length=1048576 sent=1048576",
	"conns=80 length=268435456 sent=4194304",
	"conns=80 header=262144",
	"conns=400",
	"conns=200 length=2 sent=1",
}

// TestCrowdSoak guards against callers that misbehave while processes are killed, paused,
// stopped and restarted: the scenarios of TestSoak with crowds at single entry instances.
func TestCrowdSoak(t *testing.T) {
	t.Parallel()
	var scenarios []scenario
	for i := range max(1, *seeds) {
		scenarios = append(scenarios, scenario{seed: max(*first, defaultFirstSeed) + uint64(i), crowds: true, returns: true})
	}
	runScenarios(t, byte(os.Getpid()+crowdSoakRun), buildDaemon(t), scenarios)
}

// generateCrowds generates steps in which a crowd is at one entry instance. They come on top,
// like those of generateReturns.
func generateCrowds(f *fixture, seed uint64) []step {
	random := rand.New(rand.NewPCG(seed+2, seed))
	steps := make([]step, minCrowds+random.IntN(maxCrowds-minCrowds+1))
	for i := range steps {
		steps[i] = crowdAt(f, random.IntN(len(f.daemons)), crowds[random.IntN(len(crowds))])
		steps[i].startAfter = time.Duration(random.Int64N(int64(faultPhase)))
		steps[i].duration = minDuration + time.Duration(random.Int64N(int64(maxDuration-minDuration)))
	}
	return steps
}

func crowdAt(f *fixture, n int, description string) step {
	p := f.daemons[n]
	return step{name: "crowd at " + p.name + ": " + description, entry: n + 1, run: func(duration time.Duration) {
		crowd, err := crowder.Parse(description)
		if err != nil {
			f.checker.mu.Lock()
			defer f.checker.mu.Unlock()
			f.checker.failf("crowd: %v", err)
			return
		}
		address := f.address(blockEntry, n, portCaller).String()
		gathering := crowd.Gather(func() (net.Conn, error) { return net.DialTimeout("tcp", address, crowdDial) },
			crowder.Target{Host: host, Path: pathNone})
		time.Sleep(duration)
		f.checkMemory(p)
		gathering.Disperse()
	}}
}

// checkMemory checks the most memory that a process has had, unless it has just ended.
func (f *fixture) checkMemory(p *process) {
	pid := p.pid()
	if pid == 0 {
		return
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return
	}
	for line := range bytes.Lines(data) {
		value, found := strings.CutPrefix(string(line), "VmHWM:")
		if !found {
			continue
		}
		kb, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
		f.checker.mu.Lock()
		defer f.checker.mu.Unlock()
		if err != nil || kb > crowdMemoryMB<<10 {
			f.checker.failf("crowd: %s has had %s resident, %d MB are allowed (%v)", p.name, strings.TrimSpace(value), crowdMemoryMB, err)
		}
		return
	}
}
