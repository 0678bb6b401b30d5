package integration

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/pkg/gossiper"
)

// inForceBound is how soon an accepted configuration must be in force at every
// live entry instance; it is the users' 12 s at the size of two years hence.
const inForceBound = 12 * time.Second

// versionWatch asks every entry instance again and again which version it
// runs, and notes each that ever ran a lower one than before.
type versionWatch struct {
	stop chan struct{}
	done sync.WaitGroup

	mu       sync.Mutex
	highest  map[string]uint64
	reverted []string
}

func (c *cluster) watchVersions() *versionWatch {
	w := &versionWatch{stop: make(chan struct{}), highest: make(map[string]uint64)}
	for entry := range c.operators {
		w.done.Go(func() { w.watch(c, entry) })
	}
	return w
}

func (w *versionWatch) watch(c *cluster, entry string) {
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		version, found := c.versionOf(entry)
		if !found || version == 0 {
			continue
		}
		w.mu.Lock()
		if version < w.highest[entry] {
			w.reverted = append(w.reverted, fmt.Sprintf("%s went from %d to %d", entry, w.highest[entry], version))
		}
		w.highest[entry] = max(version, w.highest[entry])
		w.mu.Unlock()
	}
}

// versionOf returns the version that an entry instance says it runs itself.
func (c *cluster) versionOf(entry string) (uint64, bool) {
	var members []gossiper.Member
	if c.operate(entry, http.MethodGet, "/operator/entries", nil, &members) != nil {
		return 0, false
	}
	for _, m := range members {
		if m.ID == entry {
			return m.ConfigVersion, true
		}
	}
	return 0, false
}

func (w *versionWatch) check(t *testing.T) {
	t.Helper()
	close(w.stop)
	w.done.Wait()
	assert.Assert(t, len(w.highest) > 0)
	assert.Equal(t, len(w.reverted), 0, "%s", strings.Join(w.reverted, "; "))
}

const (
	racingOperators = 12
	triesOfOperator = 100
)

// TestOperatorsRace lets operators apply at once through all entry instances,
// while replies of the table are lost. Each accepted change has a version of
// its own, and the last one ends up in force everywhere.
func TestOperatorsRace(t *testing.T) {
	c := start(t, plan{entries: 3})
	w := c.watchVersions()
	for entry, link := range c.links {
		if entry != "entry-0" {
			c.addToxic(link, `{"name":"lost","type":"reset_peer","stream":"downstream","toxicity":0.3,"attributes":{"timeout":0}}`)
		}
	}
	var mu sync.Mutex
	accepted := make(map[uint64]string)
	var operators sync.WaitGroup
	for i := range racingOperators {
		operators.Go(func() {
			id := fmt.Sprintf("operation-%d", i)
			for try := range triesOfOperator {
				version, err := c.tryApply(fmt.Sprintf("entry-%d", (i+try)%3), c.fullConfig()+fmt.Sprintf("# %d\n", i), id)
				if err == nil {
					mu.Lock()
					assert.Check(t, accepted[version] == "", "version %d was given to %s and %s", version, accepted[version], id)
					accepted[version] = id
					mu.Unlock()
					return
				}
				t.Logf("%s, try %d: %s", id, try, err)
			}
		})
	}
	operators.Wait()
	for _, link := range c.links {
		c.clearToxics(link)
	}
	newest := uint64(0)
	for version := range accepted {
		newest = max(newest, version)
	}
	assert.Equal(t, len(accepted), racingOperators, "accepted: %v", accepted)
	assert.Equal(t, newest, uint64(1+racingOperators), "some change was accepted twice")
	c.awaitVersion(newest)
	w.check(t)
}

// TestConfigurationNeverReverts changes the configuration over freezes,
// restarts and outages.
func TestConfigurationNeverReverts(t *testing.T) {
	c := start(t, plan{entries: 4})
	w := c.watchVersions()

	c.signal("entry-2", syscall.SIGSTOP)
	var version uint64
	for range 3 {
		version = c.apply("entry-0", c.fullConfig())
	}
	c.signal("entry-2", syscall.SIGCONT)
	c.awaitOwn(version, "entry-0", "entry-1", "entry-2", "entry-3")

	// A new entry instance starts while the platform is down and one of its
	// peers is frozen on an old version.
	c.signal("entry-3", syscall.SIGSTOP)
	version = c.apply("entry-1", c.fullConfig())
	c.awaitOwn(version, "entry-0", "entry-1", "entry-2")
	c.cutPlatform(true)
	c.kill("entry-0")
	c.signal("entry-3", syscall.SIGCONT)
	c.startEntry("entry-0")
	c.awaitOwn(version, "entry-0", "entry-3")
	c.cutPlatform(false)
	version = c.apply("entry-0", c.fullConfig())
	c.awaitOwn(version, "entry-0", "entry-1", "entry-2", "entry-3")
	w.check(t)
}

// awaitOwn waits until these entry instances run the version, within the bound.
func (c *cluster) awaitOwn(version uint64, entries ...string) {
	c.t.Helper()
	began := time.Now()
	c.await(fmt.Sprintf("version %d in force at %v", version, entries), func() bool {
		for _, entry := range entries {
			if own, found := c.versionOf(entry); !found || own < version {
				return false
			}
		}
		return true
	})
	assert.Assert(c.t, time.Since(began) < inForceBound)
	c.t.Logf("version %d in force at %d entry instances after %s", version, len(entries), time.Since(began))
}
