package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
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

// cut cuts an entry instance from servers, or heals the links with linkHealthy.
func (f *fixture) cut(entry int, servers []int, fault linkFault) {
	for _, n := range servers {
		f.serverProxies[n].setOwnerFault(entry, fault)
	}
}

func (f *fixture) allServers() []int {
	all := make([]int, len(f.servers))
	for i := range all {
		all[i] = i
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
	healEvents  = 100
	healLead    = 750 * time.Millisecond
	healStreams = 4
	// cutServedShare is the share of the rate at which requests at the other entry
	// instances are served that those at cut ones must reach.
	cutServedShare = 2.0 / 3
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
	from := time.Now()
	for entry := range c.cutCount {
		f.cut(entry, f.allServers(), cutKinds[c.kind].fault)
	}
	time.Sleep(cutTime - healLead)
	group.Go(func() { callers.sendHealStreams(c.cutCount) })
	time.Sleep(healLead)
	to := time.Now()
	for entry := range c.cutCount {
		f.cut(entry, f.allServers(), linkHealthy)
	}
	time.Sleep(afterHeal)
	cancel()
	group.Wait()
	f.checker.checkCut(c.cutCount, interval{from.Add(testLimits.contact), to}, t.Logf)
	violations := f.checker.finish(int(f.entryStarts.Load()))
	t.Log(f.checker.summary())
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

// served counts requests and those that were served.
type served struct{ sent, served int }

func (s *served) add(r result) {
	s.sent++
	if r.succeeded() {
		s.served++
	}
}

func (s served) share() float64 { return float64(s.served) / float64(max(1, s.sent)) }

// checkCut reports that requests sent to the first entry instances, which are cut, are
// served too rarely compared with those sent to the others.
func (c *checker) checkCut(cutCount int, i interval, logf func(string, ...any)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var cut, others served
	failed := map[string]int{}
	for _, r := range c.results {
		if r.sentAt.Before(i.from) || !r.sentAt.Before(i.to) {
			continue
		}
		if r.entry >= cutCount {
			others.add(r)
			continue
		}
		cut.add(r)
		if !r.succeeded() {
			failed[fmt.Sprint(r.Path, " ", r.response.Status)]++
		}
	}
	logf("cut instances served %d of %d, the others %d of %d; not served: %v", cut.served, cut.sent, others.served, others.sent, failed)
	if cut.sent < minCutRequests || others.sent < minCutRequests {
		c.failf("cut: only %d and %d requests were sent", cut.sent, others.sent)
	}
	if cut.share() < cutServedShare*others.share() {
		c.failf("cut: cut instances served %d of %d first tries, the others %d of %d", cut.served, cut.sent, others.served, others.sent)
	}
}
