package soaker

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	seeds    = flag.Int("seeds", 0, "number of new scenarios; 0 runs one. With -seeds or -first the regression seeds are not run")
	first    = flag.Uint64("first", 0, "seed of the first new scenario; 0 uses the default seed")
	keepLogs = flag.String("keep-logs", "", "directory for the logs of the entry instances; empty discards them")
	configs  = flag.Int("configs", 0, "number of scenarios of the configuration; with -configs or -seeds the usual ones are not run")
	cuts     = flag.Bool("cuts", false, "run a cut of each kind and size instead of two")
	beside   = flag.String("beside", "", "absolute path of a daemon of another build that every second start of an entry instance uses; empty uses the built one only")
)

// defaultFirstSeed is the seed of the first new scenario unless -first is set.
const defaultFirstSeed = 1

func TestMain(m *testing.M) {
	if role := os.Getenv(roleVariable); role != "" {
		if err := runRole(role); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	flag.Parse()
	os.Exit(m.Run())
}

// scenario is a seed and what may happen.
type scenario struct {
	seed uint64
	// returns says that the store may come back from an older copy.
	returns bool
	// config says that the configuration changes often while single entry instances are
	// disturbed, instead of the usual steps.
	config bool
	// evacuations says that data centres are evacuated meanwhile.
	evacuations bool
	// cuts says that entry instances may be cut from servers.
	cuts bool
	// crowds says that callers that misbehave may come in numbers.
	crowds bool
	// planned says that all other steps are regular operations, so that no request may be
	// lost at any time.
	planned bool
}

func (s scenario) name() string {
	if s.crowds {
		return "crowds " + strconv.FormatUint(s.seed, 10)
	}
	if s.evacuations {
		return "evacuations " + strconv.FormatUint(s.seed, 10)
	}
	if s.config {
		return "config " + strconv.FormatUint(s.seed, 10)
	}
	if s.planned {
		return "cuts and planned steps " + strconv.FormatUint(s.seed, 10)
	}
	if s.cuts {
		return "cuts " + strconv.FormatUint(s.seed, 10)
	}
	return strconv.FormatUint(s.seed, 10)
}

// TestSoak runs the real daemon through seeded fault scenarios: by default those
// of testdata, which failed before, and one new scenario.
func TestSoak(t *testing.T) {
	t.Parallel()
	daemon := buildDaemon(t)
	scenarios := append(regressions(t, "testdata/seeds.txt", false), regressions(t, "testdata/seeds_with_returns.txt", true)...)
	if *seeds > 0 || *first > 0 || *configs > 0 {
		scenarios = nil
	}
	start := max(*first, defaultFirstSeed)
	if *configs == 0 {
		for i := range max(1, *seeds) {
			scenarios = append(scenarios, scenario{seed: start + uint64(i), returns: true})
		}
	}
	if *configs > 0 || *seeds == 0 {
		for i := range max(1, *configs) {
			scenarios = append(scenarios, scenario{seed: start + uint64(i), config: true})
		}
	}
	runScenarios(t, byte(os.Getpid()), daemon, scenarios)
}

// TestCutSoak guards against guarantees that hold only as long as each entry instance
// reaches the servers that the others reach. It runs the scenarios of TestSoak with cuts:
// with their planned steps only, and with -seeds or -first also with all of them.
func TestCutSoak(t *testing.T) {
	t.Parallel()
	var scenarios []scenario
	for i := range max(1, *seeds) {
		seed := max(*first, defaultFirstSeed) + uint64(i)
		scenarios = append(scenarios, scenario{seed: seed, cuts: true, planned: true})
		if *seeds > 0 || *first > 0 {
			scenarios = append(scenarios, scenario{seed: seed, cuts: true, returns: true})
		}
	}
	runScenarios(t, byte(os.Getpid()+cutSoakRun), buildDaemon(t), scenarios)
}

// runScenarios runs scenarios in parallel. The first has the number run, which keeps the
// addresses apart from those of other tests.
func runScenarios(t *testing.T, run byte, daemon string, scenarios []scenario) {
	for i, s := range scenarios {
		t.Run(s.name(), func(t *testing.T) {
			t.Parallel()
			violations := runScenario(t, run+byte(i), daemon, s)
			assert.Equal(t, len(violations), 0, strings.Join(violations, "\n"))
		})
	}
}

// buildDaemon builds the daemon and returns its path.
func buildDaemon(t *testing.T) string {
	daemon := filepath.Join(t.TempDir(), "waxwingd")
	build, err := exec.Command("go", "build", "-o", daemon, "../../cmd/waxwingd").CombinedOutput()
	assert.NilError(t, err, "%s", build)
	return daemon
}

// regressions reads the seeds of scenarios that failed before.
func regressions(t *testing.T, path string, returns bool) []scenario {
	file, err := os.Open(path)
	assert.NilError(t, err)
	defer file.Close()
	var found []scenario
	for lines := bufio.NewScanner(file); lines.Scan(); {
		text, _, _ := strings.Cut(lines.Text(), " ")
		if text == "" || text == "#" {
			continue
		}
		seed, err := strconv.ParseUint(text, 10, 64)
		assert.NilError(t, err)
		found = append(found, scenario{seed: seed, returns: returns})
	}
	return found
}

// runScenario runs a scenario and returns the violated guarantees.
func runScenario(t *testing.T, run byte, daemon string, s scenario) []string {
	entries := usualEntries
	if s.config {
		entries = configEntries
	}
	f := newFixture(t, run, daemon, *keepLogs, entries)
	defer f.stop()
	if s.crowds {
		f.memoryMB = crowdMemoryMB
	}
	f.start()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	callers := &traffic{fixture: f, seed: s.seed}
	if s.cuts {
		callers.fixedCallers = 1
	}
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		callers.run(ctx)
	}()
	time.Sleep(warmUp)
	var steps []step
	if s.config {
		steps = generateConfigSteps(f, s.seed)
	} else {
		steps = generateSteps(f, s.seed)
	}
	if s.returns {
		steps = append(steps, generateReturns(f, s.seed)...)
		steps = append(steps, generateStatements(f, s.seed)...)
		steps = append(steps, generateLateOrders(f, s.seed)...)
		steps = append(steps, generateForeignEntries(f, s.seed)...)
	}
	if s.crowds {
		steps = append(steps, generateCrowds(f, s.seed)...)
	}
	if s.evacuations {
		steps = append(steps, generateEvacuations(f, s.seed)...)
	}
	if s.planned {
		steps = slices.DeleteFunc(steps, func(s step) bool { return !s.planned })
	}
	if s.cuts {
		steps = f.addCuts(steps, s.seed)
	}
	for _, s := range steps {
		t.Logf("%6.2f s for %.2f s: %s", s.startAfter.Seconds(), s.duration.Seconds(), s.name)
	}
	f.runSteps(steps)
	time.Sleep(recoveryTime)
	cancel()
	<-finished
	callers.checkRecovery()
	violations := f.checker.finish(int(f.entryStarts.Load()))
	t.Log(f.checker.summary())
	return violations
}
