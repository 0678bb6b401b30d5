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

// TestNoInstanceInTwoGroups lets two operators repeatedly create groups of
// overlapping instances through different entry instances while responses of the
// table are lost.
func TestNoInstanceInTwoGroups(t *testing.T) {
	c := startCluster(t, clusterSpec{
		entries: 3,
		domains: map[string]int{"fabric-a": 6},
		config:  "\n[capacity]\ncontrol = false\n" + fmt.Sprintf(assistModel, 0),
	})
	c.await("instances are listed", func() bool {
		var status operator.Status
		return c.callOperator("entry-1", http.MethodGet, "/operator/status", nil, &status) == nil && len(status.Instances) == 6
	})
	c.addToxic(c.platformProxies["entry-1"], `{"name":"lost","type":"reset_peer","stream":"downstream","toxicity":0.3,"attributes":{"timeout":0}}`)
	for round := range 6 {
		first := []string{"fabric-a-0", "fabric-a-1", "fabric-a-2", "fabric-a-3"}
		second := []string{"fabric-a-2", "fabric-a-3", "fabric-a-4", "fabric-a-5"}
		var racing sync.WaitGroup
		results := make([]error, 2)
		for i, instances := range [][]string{first, second} {
			racing.Go(func() {
				call := operator.GroupRequest{ID: fmt.Sprintf("round-%d-%d", round, i), Model: "assist", ModelVersion: "1", Instances: instances}
				results[i] = c.callOperator(fmt.Sprintf("entry-%d", i), http.MethodPost, "/operator/groups", call, &operator.GroupStatus{})
			})
		}
		racing.Wait()
		c.checkNoOverlap()
		assert.Assert(t, results[0] != nil || results[1] != nil, "both operators were told that their group was created")
		for _, g := range c.groups("entry-2") {
			c.await("the group is deleted", func() bool {
				c.callOperator("entry-2", http.MethodPost, "/operator/groups/drain", operator.GroupRequest{ID: g.ID}, &operator.Empty{})
				c.callOperator("entry-2", http.MethodPost, "/operator/groups/delete", operator.GroupRequest{ID: g.ID}, &operator.Empty{})
				return len(c.groups("entry-2")) == 0
			})
		}
	}
}

// checkNoOverlap checks that no entry instance reports an instance in two groups.
func (c *cluster) checkNoOverlap() {
	c.t.Helper()
	for entry := range c.operatorAddresses {
		groupOf := make(map[string]string)
		for _, g := range c.groups(entry) {
			for _, m := range g.Members {
				assert.Assert(c.t, groupOf[m.Instance] == "", "%s is in %s and %s", m.Instance, groupOf[m.Instance], g.ID)
				groupOf[m.Instance] = g.ID
			}
		}
	}
}

// TestPausedControlLeaseHolderResumes pauses the holder of the control lease until
// another instance has taken over and repaired a group, and then resumes it. No
// engine may obey an order with a lower fence after one with a higher fence,
// whether or not engines enforce fences.
func TestPausedControlLeaseHolderResumes(t *testing.T) {
	for name, args := range map[string][]string{
		"fencing enforced": nil,
		"fencing ignored":  {"--ignore-fence"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, clusterSpec{
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
			c.checkFencesMonotonic()
			c.awaitOpen(holder, 1)
		})
	}
}

// leader returns the entry instance that holds the control lease.
func (c *cluster) leader() string {
	var status operator.Status
	c.await("a holder of the control lease", func() bool {
		return c.callOperator("entry-0", http.MethodGet, "/operator/status", nil, &status) == nil && status.Leader != ""
	})
	name, _, _ := strings.Cut(status.Leader, "/")
	return name
}

// checkFencesMonotonic checks that the fences of the orders that each engine process
// obeyed never decrease.
func (c *cluster) checkFencesMonotonic() {
	c.t.Helper()
	highest := make(map[string]uint64)
	for _, r := range c.records() {
		if r.Kind != engineemulator.EventOrder || r.Refused {
			continue
		}
		process := r.Instance + "/" + r.Incarnation
		assert.Assert(c.t, r.Fence >= highest[process], "%s obeyed fence %d after %d", process, r.Fence, highest[process])
		highest[process] = r.Fence
	}
	assert.Assert(c.t, len(highest) > 0, "no order was obeyed")
}

// TestTableOutage makes the platform, and with it the table, unavailable for a
// while: groups keep serving.
func TestTableOutage(t *testing.T) {
	const outage = 8 * time.Second
	c := startCluster(t, clusterSpec{entries: 3, domains: map[string]int{"fabric-a": 4, "fabric-b": 4}, config: fmt.Sprintf(assistModel, 2)})
	c.awaitOpen("entry-0", 2)
	c.awaitOpen("entry-1", 2)
	c.awaitOpen("entry-2", 2)
	l := c.startLoad(8, 10)
	c.setPlatformPartition(true)
	time.Sleep(outage)
	before := l.count()
	c.await("load continues without the table", func() bool { return l.count() > before+100 })
	assert.Equal(t, len(c.awaitOpen("entry-1", 2)), 2)
	c.setPlatformPartition(false)
	checkAllComplete(t, l.stop())
}

// TestModelVersionChangeUnderLoad changes the version of the model: groups are
// drained and recreated one at a time, and no request is interrupted.
func TestModelVersionChangeUnderLoad(t *testing.T) {
	c := startCluster(t, clusterSpec{
		entries: 3,
		domains: map[string]int{"fabric-a": 4, "fabric-b": 4},
		// With engines that cannot resume, every interruption shows as a failure.
		engineArgs: []string{"--cannot-resume", "--token-interval", "5ms"},
		config:     fmt.Sprintf(assistModel, 2),
	})
	c.awaitOpen("entry-0", 2)
	l := c.startLoad(8, 300)
	c.await("load", func() bool { return l.count() > warmUpRequests })
	c.apply("entry-0", strings.Replace(c.fullConfig(), "version = 1", "version = 2", 1))
	c.await("both groups serve the new version", func() bool {
		open := 0
		for _, g := range c.groups("entry-1") {
			if g.ModelVersion == "2" && g.Verdict == "open" {
				open++
			}
		}
		return open == 2
	})
	before := l.count()
	c.await("load continues", func() bool { return l.count() > before+warmUpRequests })
	checkAllComplete(t, l.stop())
}
