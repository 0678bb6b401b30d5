package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/platform/emulator"
)

// cutKinds are the faults that cut entry instances from servers, by name.
var cutKinds = []struct {
	name  string
	fault linkFault
}{
	{"hang", linkHoldAll}, {"lose", linkLoseAll}, {"reset", linkReset},
	{"refuse", linkRefuse}, {"hold requests", linkHoldRequests}, {"hold responses", linkHoldResponses},
}

// cutFor cuts entry instances from servers while wait runs. Cuts may overlap.
func (f *fixture) cutFor(entries, servers []int, fault linkFault, wait func()) {
	from := time.Now()
	forEachLink(entries, servers, func(entry, server int) { f.serverProxies[server].startOwnerFault(entry, fault) })
	wait()
	to := time.Now()
	forEachLink(entries, servers, func(entry, server int) { f.serverProxies[server].endOwnerFault(entry, fault) })
	f.checker.recordCuts(entries, cutSpan{interval: interval{from, to}, all: len(servers) == len(f.servers)})
}

func forEachLink(entries, servers []int, apply func(entry, server int)) {
	for _, entry := range entries {
		for _, server := range servers {
			apply(entry, server)
		}
	}
}

func (f *fixture) allServers() []int {
	all := make([]int, len(f.servers))
	for i := range all {
		all[i] = i
	}
	return all
}

// The cuts of a scenario of TestCutSoak.
const (
	minCuts    = 2
	maxCuts    = 6
	minCutTime = time.Second
	maxCutTime = 8 * time.Second
	// cutSoakRun keeps the addresses apart from those of the scenarios of TestSoak.
	cutSoakRun = 64
)

// addCuts adds steps that cut entry instances from all servers, or from those of one
// data centre or one service, to steps of generateSteps. One entry instance is neither
// cut nor stopped in a planned way, so that the cuts excuse nothing.
func (f *fixture) addCuts(others []step, seed uint64) []step {
	random := rand.New(rand.NewPCG(^seed, ^seed))
	entries := random.Perm(len(f.daemons))
	kept := f.daemons[entries[0]].name
	entries = entries[1:]
	others = slices.DeleteFunc(others, func(s step) bool { return s.stops == kept })
	steps := make([]step, minCuts+random.IntN(maxCuts-minCuts+1))
	for i := range steps {
		cut := slices.Clone(entries[:1+random.IntN(len(entries))])
		random.Shuffle(len(entries), func(a, b int) { entries[a], entries[b] = entries[b], entries[a] })
		servers := f.randomServers(random)
		kind := cutKinds[random.IntN(len(cutKinds))]
		steps[i] = step{name: fmt.Sprintf("%s between entries %v and servers %v", kind.name, cut, servers), planned: true, run: func(duration time.Duration) {
			f.cutFor(cut, servers, kind.fault, func() { time.Sleep(duration) })
		}}
		steps[i].startAfter = time.Duration(random.Int64N(int64(faultPhase)))
		steps[i].duration = minCutTime + time.Duration(random.Int64N(int64(maxCutTime-minCutTime)))
	}
	return append(others, steps...)
}

// randomServers returns all servers, or those of one data centre or one service.
func (f *fixture) randomServers(random *rand.Rand) []int {
	all := f.allServers()
	switch part := random.IntN(2); random.IntN(4) {
	case 0:
		return slices.DeleteFunc(all, func(n int) bool { return n%2 == part })
	case 1:
		return slices.DeleteFunc(all, func(n int) bool { return n < plainServers == (part == 0) })
	}
	return all
}

const (
	cutEntries = 4
	cutTime    = 6 * time.Second
	cutCallers = 3
	// cutPause is the mean time between two requests of a caller, which does not wait
	// for the response to the first.
	cutPause = 100 * time.Millisecond
	// healEvents is the length of the streams that run while the cut heals, and
	// healLead how long before that they begin.
	healEvents     = 100
	healLead       = 750 * time.Millisecond
	healStreams    = 4
	minCutRequests = 50
	afterHeal      = 2 * time.Second
	// cutRun keeps the addresses apart from those of the scenarios of TestSoak.
	cutRun = 128
)

// cutCase is a scenario in which the first entry instances are cut from all servers.
type cutCase struct {
	cutCount int
	kind     int
}

func (c cutCase) name() string {
	return fmt.Sprintf("%d of %d %s", c.cutCount, cutEntries, cutKinds[c.kind].name)
}

// cutCases returns the scenarios: two, or with -cuts one for each kind and size of a cut.
func cutCases() []cutCase {
	cases := []cutCase{{1, 0}, {cutEntries - 1, 2}}
	if !*cuts {
		return cases
	}
	cases = nil
	for kind := range cutKinds {
		for _, cutCount := range []int{1, cutEntries / 2, cutEntries - 1} {
			cases = append(cases, cutCase{cutCount, kind})
		}
	}
	return cases
}

// TestCutInstancesServeTheirCallers guards against entry instances that fail their callers
// while they reach no backend server, although the other entry instances do.
func TestCutInstancesServeTheirCallers(t *testing.T) {
	t.Parallel()
	daemon := buildDaemon(t)
	for i, c := range cutCases() {
		t.Run(c.name(), func(t *testing.T) {
			t.Parallel()
			violations := runCut(t, byte(os.Getpid()+cutRun+i), daemon, c)
			assert.Equal(t, len(violations), 0, strings.Join(violations, "\n"))
		})
	}
}

// runCut runs a scenario with a cut and returns the violated guarantees.
func runCut(t *testing.T, run byte, daemon string, c cutCase) []string {
	logDir := *keepLogs
	if logDir != "" {
		logDir = filepath.Join(logDir, strings.ReplaceAll(c.name(), " ", "_"))
		assert.NilError(t, os.MkdirAll(logDir, 0o755))
	}
	f := newFixture(t, run, daemon, logDir, cutEntries)
	defer f.stop()
	f.start()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	callers := &traffic{fixture: f, seed: uint64(c.kind)}
	var group sync.WaitGroup
	for entry := range cutEntries {
		for n := range cutCallers {
			group.Go(func() { callers.runFixedCaller(ctx, entry, n) })
		}
	}
	time.Sleep(warmUp)
	var entries []int
	for entry := range c.cutCount {
		entries = append(entries, entry)
	}
	f.cutFor(entries, f.allServers(), cutKinds[c.kind].fault, func() {
		time.Sleep(cutTime - healLead)
		group.Go(func() { callers.sendHealStreams(c.cutCount) })
		time.Sleep(healLead)
	})
	time.Sleep(afterHeal)
	cancel()
	group.Wait()
	violations := f.checker.finish(int(f.entryStarts.Load()))
	t.Log(f.checker.summary())
	f.checker.mu.Lock()
	cut, others := f.checker.countCut()
	f.checker.mu.Unlock()
	assert.Assert(t, cut.sent >= minCutRequests && others.sent >= minCutRequests, "%d and %d requests in the judged time", cut.sent, others.sent)
	return violations
}

// runFixedCaller sends requests to one entry instance at a mean rate until ctx ends, and
// returns after the last response.
func (t *traffic) runFixedCaller(ctx context.Context, entry, n int) {
	random := rand.New(rand.NewPCG(t.seed, uint64(entry*cutCallers+n)))
	caller := emulator.NewCaller()
	paths := []string{pathIdempotent, pathOnce, pathStream}
	var group sync.WaitGroup
	defer group.Wait()
	for i := 0; ctx.Err() == nil; i++ {
		r := newRequest(random, fmt.Sprintf("%d-%d-%d", entry, n, i), paths[random.IntN(len(paths))], stableOrganisation+"-1")
		group.Go(func() { t.send(caller, entry, r) })
		time.Sleep(time.Duration(random.Int64N(2 * int64(cutPause))))
	}
}

// sendHealStreams sends streams to the cut entry instances that the end of the cut finds
// in progress, and reports those that get neither all events nor a refusal.
func (t *traffic) sendHealStreams(cutCount int) {
	var group sync.WaitGroup
	for i := range healStreams {
		r := newRequest(rand.New(rand.NewPCG(t.seed, uint64(i))), fmt.Sprint("heal-", i), pathStream, stableOrganisation+"-1")
		r.Events = healEvents
		group.Go(func() {
			result := t.send(emulator.NewCaller(), i%cutCount, r)
			if result.response.Err != nil {
				t.fixture.checker.mu.Lock()
				defer t.fixture.checker.mu.Unlock()
				t.fixture.checker.failf("lost: stream %s over the end of the cut: %v", r.ID, result.response.Err)
			}
		})
	}
	group.Wait()
}
