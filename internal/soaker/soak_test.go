package soaker

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
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

// TestSoak runs the real daemon through seeded fault scenarios: by default those
// of testdata/seeds.txt, which failed before, and one new scenario.
func TestSoak(t *testing.T) {
	daemon := filepath.Join(t.TempDir(), "waxwingd")
	build, err := exec.Command("go", "build", "-o", daemon, "../../cmd/waxwingd").CombinedOutput()
	assert.NilError(t, err, "%s", build)
	scenarios := regressionSeeds(t)
	if *seeds > 0 || *first > 0 {
		scenarios = nil
	}
	start := max(*first, defaultFirstSeed)
	for i := range max(1, *seeds) {
		scenarios = append(scenarios, start+uint64(i))
	}
	for i, seed := range scenarios {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			violations := runScenario(t, byte(os.Getpid()+i), daemon, seed)
			assert.Equal(t, len(violations), 0, strings.Join(violations, "\n"))
		})
	}
}

// regressionSeeds reads the seeds of scenarios that failed before.
func regressionSeeds(t *testing.T) []uint64 {
	file, err := os.Open("testdata/seeds.txt")
	assert.NilError(t, err)
	defer file.Close()
	var regressions []uint64
	for lines := bufio.NewScanner(file); lines.Scan(); {
		text, _, _ := strings.Cut(lines.Text(), " ")
		if text == "" || text == "#" {
			continue
		}
		seed, err := strconv.ParseUint(text, 10, 64)
		assert.NilError(t, err)
		regressions = append(regressions, seed)
	}
	return regressions
}

// runScenario runs the scenario of a seed and returns the violated guarantees.
func runScenario(t *testing.T, run byte, daemon string, seed uint64) []string {
	f := newFixture(t, run, daemon, *keepLogs)
	defer f.stop()
	f.start()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	callers := &traffic{fixture: f, seed: seed}
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		callers.run(ctx)
	}()
	time.Sleep(warmUp)
	steps := generateSteps(f, seed)
	for _, s := range steps {
		t.Logf("%6.2f s for %.2f s: %s", s.startAfter.Seconds(), s.duration.Seconds(), s.name)
	}
	f.runSteps(steps)
	time.Sleep(recoveryTime)
	cancel()
	<-finished
	callers.checkRecovery()
	violations := f.checker.finish()
	t.Log(f.checker.summary())
	return violations
}
