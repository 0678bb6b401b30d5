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

	"github.com/waxwingmount/waxwingmount/internal/engineemulator"
	"github.com/waxwingmount/waxwingmount/internal/operator"
)

// TestNoInstanceInTwoGroups lets two operators form groups from overlapping
// instances through different entry instances, again and again, while replies
// of the table are lost.
func TestNoInstanceInTwoGroups(t *testing.T) {
	c := start(t, plan{
		entries: 3,
		domains: map[string]int{"fabric-a": 6},
		config:  "\n[capacity]\ncontrol = false\n" + fmt.Sprintf(assistModel, 0),
	})
	c.await("instances are listed", func() bool {
		var status operator.Status
		return c.operate("entry-1", http.MethodGet, "/operator/status", nil, &status) == nil && len(status.Instances) == 6
	})
	c.addToxic(c.links["entry-1"], `{"name":"lost","type":"reset_peer","stream":"downstream","toxicity":0.3,"attributes":{"timeout":0}}`)
	for round := range 6 {
		first := []string{"fabric-a-0", "fabric-a-1", "fabric-a-2", "fabric-a-3"}
		second := []string{"fabric-a-2", "fabric-a-3", "fabric-a-4", "fabric-a-5"}
		var racing sync.WaitGroup
		results := make([]error, 2)
		for i, instances := range [][]string{first, second} {
			racing.Go(func() {
				call := operator.GroupCall{ID: fmt.Sprintf("round-%d-%d", round, i), Model: "assist", ModelVersion: "1", Instances: instances}
				results[i] = c.operate(fmt.Sprintf("entry-%d", i), http.MethodPost, "/operator/groups", call, &operator.GroupStatus{})
			})
		}
		racing.Wait()
		c.checkNoOverlap()
		assert.Assert(t, results[0] != nil || results[1] != nil, "both operators were told that their group was made")
		for _, g := range c.groups("entry-2") {
			c.await("group is gone", func() bool {
				c.operate("entry-2", http.MethodPost, "/operator/groups/drain", operator.GroupCall{ID: g.ID}, &operator.Nothing{})
				c.operate("entry-2", http.MethodPost, "/operator/groups/delete", operator.GroupCall{ID: g.ID}, &operator.Nothing{})
				return len(c.groups("entry-2")) == 0
			})
		}
	}
}

// checkNoOverlap demands that no entry instance sees an instance in two groups.
func (c *cluster) checkNoOverlap() {
	c.t.Helper()
	for entry := range c.operators {
		holder := make(map[string]string)
		for _, g := range c.groups(entry) {
			for _, m := range g.Members {
				assert.Assert(c.t, holder[m.Instance] == "", "%s is in %s and %s", m.Instance, holder[m.Instance], g.ID)
				holder[m.Instance] = g.ID
			}
		}
	}
}

// TestFrozenOrdererWakes freezes the holder of the control lease until another
// one has taken over and changed the groups, and then wakes it. No engine may
// obey an order with a lower fence after one with a higher fence, whether or
// not engines check.
func TestFrozenOrdererWakes(t *testing.T) {
	for name, args := range map[string][]string{
		"fencing enforced": nil,
		"fencing ignored":  {"--ignore-fence"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := start(t, plan{
				entries:    3,
				domains:    map[string]int{"fabric-a": 6},
				engineArgs: args,
				config:     fmt.Sprintf(assistModel, 1),
			})
			group := c.awaitOpen("entry-0", 1)[0]
			holder := c.leader()
			c.signal(holder, syscall.SIGSTOP)
			other := "entry-0"
			if holder == other {
				other = "entry-1"
			}
			c.kill(group.Members[3].Instance)
			c.await("another instance repairs the group", func() bool {
				groups := c.groups(other)
				return len(groups) == 1 && groups[0].Fence > group.Fence && groups[0].Verdict == "open"
			})
			c.signal(holder, syscall.SIGCONT)
			time.Sleep(2 * time.Second)
			c.checkNoOverlap()
			c.checkFencesRise()
			c.awaitOpen(holder, 1)
		})
	}
}

// leader returns the entry instance that holds the control lease.
func (c *cluster) leader() string {
	var status operator.Status
	c.await("a holder of the control lease", func() bool {
		return c.operate("entry-0", http.MethodGet, "/operator/status", nil, &status) == nil && status.Leader != ""
	})
	name, _, _ := strings.Cut(status.Leader, "/")
	return name
}

// checkFencesRise demands that the orders that each engine obeyed have fences
// that never fall.
func (c *cluster) checkFencesRise() {
	c.t.Helper()
	highest := make(map[string]uint64)
	for _, r := range c.records() {
		if r.Kind != engineemulator.EventOrder || r.Refused {
			continue
		}
		run := r.Instance + "/" + r.Incarnation
		assert.Assert(c.t, r.Fence >= highest[run], "%s obeyed fence %d after %d", run, r.Fence, highest[run])
		highest[run] = r.Fence
	}
	assert.Assert(c.t, len(highest) > 0, "no order was obeyed")
}

// TestTableOutage takes the table away for long: groups go on serving, and a
// lost member still closes its group.
func TestTableOutage(t *testing.T) {
	const outage = 8 * time.Second
	c := start(t, plan{entries: 3, domains: map[string]int{"fabric-a": 4, "fabric-b": 4}, config: fmt.Sprintf(assistModel, 2)})
	c.awaitOpen("entry-0", 2)
	c.awaitOpen("entry-1", 2)
	c.awaitOpen("entry-2", 2)
	l := c.startLoad(8, 10)
	c.cutPlatform(true)
	time.Sleep(outage)
	before := l.count()
	c.await("load goes on without the table", func() bool { return l.count() > before+100 })
	assert.Equal(t, len(c.awaitOpen("entry-1", 2)), 2)
	c.cutPlatform(false)
	checkAllComplete(t, l.stop())
}

// TestVersionChangeUnderLoad changes the model's version: groups are drained
// and formed anew one at a time, and no request is cut off.
func TestVersionChangeUnderLoad(t *testing.T) {
	c := start(t, plan{
		entries: 3,
		domains: map[string]int{"fabric-a": 4, "fabric-b": 4},
		// Engines that cannot resume show each request that is cut off.
		engineArgs: []string{"--cannot-resume", "--token-interval", "5ms"},
		config:     fmt.Sprintf(assistModel, 2),
	})
	c.awaitOpen("entry-0", 2)
	l := c.startLoad(8, 300)
	c.await("load", func() bool { return l.count() > loadBefore })
	c.apply("entry-0", strings.Replace(c.fullConfig(), "version = 1", "version = 2", 1))
	c.await("both groups carry the new version", func() bool {
		open := 0
		for _, g := range c.groups("entry-1") {
			if g.ModelVersion == "2" && g.Verdict == "open" {
				open++
			}
		}
		return open == 2
	})
	before := l.count()
	c.await("load goes on", func() bool { return l.count() > before+loadBefore })
	checkAllComplete(t, l.stop())
}
