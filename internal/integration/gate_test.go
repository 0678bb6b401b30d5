package integration

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/internal/engineemulator"
	"github.com/waxwingmount/waxwingmount/internal/operator"
)

// gateBound is the longest time after the loss of an instance at which a
// request may begin on its group: evidence_ttl, and the flight of a request
// that was let through at its end.
const (
	evidenceTTL  = time.Second
	sendFlight   = 250 * time.Millisecond
	gateBound    = evidenceTTL + sendFlight
	watchAfter   = 4 * time.Second
	loadBefore   = 50
	gateTestLoad = 8
)

// begunAfter returns the completions that began on a formation of a group
// after a moment.
func begunAfter(runs []engineemulator.ServerEvent, g operator.GroupStatus, moment time.Time) []engineemulator.ServerEvent {
	var late []engineemulator.ServerEvent
	for _, r := range runs {
		if r.Kind == engineemulator.EventCompletion && r.Group == g.ID && r.Fence == g.Fence && r.Time.After(moment) {
			late = append(late, r)
		}
	}
	return late
}

// TestNoGroupServesWithAMemberMissing loses a member that is not the head, in
// several ways and together with other failures. The engines' own fences are
// off, so that the entry instances alone must keep the group closed.
func TestNoGroupServesWithAMemberMissing(t *testing.T) {
	cases := map[string]struct {
		lose func(c *cluster, g operator.GroupStatus)
	}{
		"member killed": {func(c *cluster, g operator.GroupStatus) { c.kill(g.Members[2].Instance) }},
		"member frozen": {func(c *cluster, g operator.GroupStatus) { c.signal(g.Members[2].Instance, syscall.SIGSTOP) }},
		"member reborn at the same address": {func(c *cluster, g operator.GroupStatus) {
			c.kill(g.Members[1].Instance)
			c.startEngine(g.Members[1].Instance, g.FabricDomain)
		}},
		"member killed and table down": {func(c *cluster, g operator.GroupStatus) {
			c.cutPlatform(true)
			c.kill(g.Members[3].Instance)
		}},
		"member frozen and a watcher frozen": {func(c *cluster, g operator.GroupStatus) {
			c.signal("entry-2", syscall.SIGSTOP)
			c.signal(g.Members[1].Instance, syscall.SIGSTOP)
		}},
		"whole fabric domain dark": {func(c *cluster, g operator.GroupStatus) {
			for _, m := range g.Members {
				c.signal(m.Instance, syscall.SIGSTOP)
			}
		}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := start(t, plan{
				entries:    3,
				domains:    map[string]int{"fabric-a": 4, "fabric-b": 4},
				engineArgs: []string{"--ignore-fence"},
				// With one watcher a group, the others live on relayed evidence.
				config: fmt.Sprintf(assistModel, 2) + "\n[gate]\nwatchers = 1\n",
			})
			groups := c.awaitOpen("entry-0", 2)
			c.awaitOpen("entry-1", 2)
			// Without the control loop nobody takes the broken group away.
			c.awaitVersion(c.apply("entry-0", c.fullConfig()+"\n[capacity]\ncontrol = false\n"))
			l := c.startLoad(gateTestLoad, 3)
			c.await("load", func() bool { return l.count() > loadBefore })
			test.lose(c, groups[0])
			lost := time.Now()
			time.Sleep(watchAfter)
			after := l.count()
			c.await("the whole group goes on serving", func() bool { return l.count() > after+loadBefore })
			all := l.stop()
			checkNoneSilentlyShort(t, all)
			late := begunAfter(c.records(), groups[0], lost.Add(gateBound))
			assert.Equal(t, len(late), 0, "requests began on a broken group, the last %s after the loss", lastAfter(late, lost))
		})
	}
}

func lastAfter(runs []engineemulator.ServerEvent, moment time.Time) time.Duration {
	last := time.Duration(0)
	for _, r := range runs {
		last = max(last, r.Time.Sub(moment))
	}
	return last
}

const (
	// modelLoadTime is how long the engines of TestRepairFromASpare load.
	modelLoadTime = time.Second
	// repairBound is the stated time beyond the load from the loss of a member
	// to the open gate of the repaired group: the evidence's time to live, and
	// the default delay before a silent member is replaced, 1 s each, and as
	// much again for the control loop, the orders and the new probes.
	repairBound = 3 * time.Second
)

// TestRepairFromASpare loses a member whose fabric domain has a spare.
func TestRepairFromASpare(t *testing.T) {
	c := start(t, plan{
		entries:    3,
		domains:    map[string]int{"fabric-a": 5},
		engineArgs: []string{"--load-time", modelLoadTime.String()},
		config:     fmt.Sprintf(assistModel, 1),
	})
	group := c.awaitOpen("entry-0", 1)[0]
	l := c.startLoad(4, 20)
	c.await("load", func() bool { return l.count() > loadBefore })
	c.kill(group.Members[1].Instance)
	lost := time.Now()
	c.await("group repaired under a new fence", func() bool {
		open := c.awaitOpen("entry-1", 1)
		return open[0].Fence > group.Fence
	})
	downtime := time.Since(lost)
	t.Logf("the group was down for %s, of which the load took %s", downtime, modelLoadTime)
	assert.Assert(t, downtime < modelLoadTime+repairBound)
	after := l.count()
	c.await("load goes on", func() bool { return l.count() > after+loadBefore })
	checkAllComplete(t, l.stop())
}
