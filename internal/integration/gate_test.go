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

const (
	evidenceTTL    = time.Second
	requestTransit = 250 * time.Millisecond
	// gateCloseLimit is the longest time after the loss of an instance at which a
	// request may begin in its group: the default evidence_ttl, and the time in
	// transit of a request that was admitted at its end.
	gateCloseLimit  = evidenceTTL + requestTransit
	observationTime = 4 * time.Second
	// warmUpRequests is the number of requests that must finish to show that the load
	// is served.
	warmUpRequests  = 50
	gateTestCallers = 8
)

// completionsAfter returns the completions that began after a time in a group under
// its present fence.
func completionsAfter(runs []engineemulator.ServerEvent, g operator.GroupStatus, after time.Time) []engineemulator.ServerEvent {
	var late []engineemulator.ServerEvent
	for _, r := range runs {
		if r.Kind == engineemulator.EventCompletion && r.Group == g.ID && r.Fence == g.Fence && r.Time.After(after) {
			late = append(late, r)
		}
	}
	return late
}

// TestNoGroupServesWithMissingMember stops a member that is not the head, in several
// ways and together with other failures. The engines ignore fences, so that the
// entry instances alone must keep the group closed.
func TestNoGroupServesWithMissingMember(t *testing.T) {
	cases := map[string]struct {
		lose func(c *cluster, g operator.GroupStatus)
	}{
		"member killed": {func(c *cluster, g operator.GroupStatus) { c.kill(g.Members[2].Instance) }},
		"member paused": {func(c *cluster, g operator.GroupStatus) { c.signal(g.Members[2].Instance, syscall.SIGSTOP) }},
		"member restarted at the same address": {func(c *cluster, g operator.GroupStatus) {
			c.kill(g.Members[1].Instance)
			c.startEngine(g.Members[1].Instance, g.FabricDomain)
		}},
		"member killed and table unavailable": {func(c *cluster, g operator.GroupStatus) {
			c.setPlatformPartition(true)
			c.kill(g.Members[3].Instance)
		}},
		"member paused and a prober paused": {func(c *cluster, g operator.GroupStatus) {
			c.signal("entry-2", syscall.SIGSTOP)
			c.signal(g.Members[1].Instance, syscall.SIGSTOP)
		}},
		"all members of a fabric domain paused": {func(c *cluster, g operator.GroupStatus) {
			for _, m := range g.Members {
				c.signal(m.Instance, syscall.SIGSTOP)
			}
		}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, clusterSpec{
				entries:    3,
				domains:    map[string]int{"fabric-a": 4, "fabric-b": 4},
				engineArgs: []string{"--ignore-fence"},
				// With one prober for each group, the other entry instances rely on
				// relayed evidence.
				config: fmt.Sprintf(assistModel, 2) + "\n[gate]\nwatchers = 1\n",
			})
			groups := c.awaitOpen("entry-0", 2)
			c.awaitOpen("entry-1", 2)
			// Without the control loop the broken group isn't repaired or deleted.
			c.awaitVersion(c.apply("entry-0", c.fullConfig()+"\n[capacity]\ncontrol = false\n"))
			l := c.startLoad(gateTestCallers, 3)
			c.await("load", func() bool { return l.count() > warmUpRequests })
			test.lose(c, groups[0])
			lost := time.Now()
			time.Sleep(observationTime)
			after := l.count()
			c.await("the intact group continues to serve", func() bool { return l.count() > after+warmUpRequests })
			results := l.stop()
			checkNoTruncation(t, results)
			late := completionsAfter(c.records(), groups[0], lost.Add(gateCloseLimit))
			assert.Equal(t, len(late), 0, "requests began in a broken group, the last %s after the loss", latestDelay(late, lost))
		})
	}
}

func latestDelay(runs []engineemulator.ServerEvent, after time.Time) time.Duration {
	last := time.Duration(0)
	for _, r := range runs {
		last = max(last, r.Time.Sub(after))
	}
	return last
}

const (
	// modelLoadTime is how long the engines of TestRepairWithSpare load the model.
	modelLoadTime = time.Second
	// repairOverheadLimit is the longest time, beyond the load time, from the loss of
	// a member until the gate of the repaired group opens: the TTL of the evidence
	// and the default delay before a silent member is replaced, 1 s each, and 1 s
	// for the control loop, the orders and the new probes.
	repairOverheadLimit = 3 * time.Second
)

// TestRepairWithSpare kills a member whose fabric domain has a spare instance.
func TestRepairWithSpare(t *testing.T) {
	c := startCluster(t, clusterSpec{
		entries:    3,
		domains:    map[string]int{"fabric-a": 5},
		engineArgs: []string{"--load-time", modelLoadTime.String()},
		config:     fmt.Sprintf(assistModel, 1),
	})
	group := c.awaitOpen("entry-0", 1)[0]
	l := c.startLoad(4, 20)
	c.await("load", func() bool { return l.count() > warmUpRequests })
	c.kill(group.Members[1].Instance)
	lost := time.Now()
	c.await("the group is repaired under a new fence", func() bool {
		open := c.awaitOpen("entry-1", 1)
		return open[0].Fence > group.Fence
	})
	downtime := time.Since(lost)
	t.Logf("the group was unavailable for %s, of which the model load took %s", downtime, modelLoadTime)
	assert.Assert(t, downtime < modelLoadTime+repairOverheadLimit)
	after := l.count()
	c.await("load continues", func() bool { return l.count() > after+warmUpRequests })
	checkAllComplete(t, l.stop())
}
