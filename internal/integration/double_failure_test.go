package integration

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/internal/operator"
	"github.com/waxwingmount/waxwingmount/pkg/caller"
)

// TestRepeatedDoubleFailure pauses a member of one group, kills an entry instance,
// and restores both, twice in a row. Callers may be told that a stream was
// interrupted, but no truncated response may be reported as complete. Each time both
// groups recover and the load continues.
func TestRepeatedDoubleFailure(t *testing.T) {
	const (
		pauseTime        = 3 * time.Second
		minCompleteShare = 0.9
	)
	c := startCluster(t, clusterSpec{
		entries: 3,
		domains: map[string]int{"fabric-a": 4, "fabric-b": 4},
		config:  fmt.Sprintf(assistModel, 2),
	})
	c.awaitOpen("entry-0", 2)
	c.awaitOpen("entry-1", 2)
	c.awaitOpen("entry-2", 2)
	l := c.startLoad(gateTestCallers, 20)
	c.await("load", func() bool { return l.count() > warmUpRequests })
	for round, entry := range []string{"entry-1", "entry-2"} {
		group := c.awaitOpen("entry-0", 2)[round]
		paused := group.Members[1].Instance
		c.signal(paused, syscall.SIGSTOP)
		c.kill(entry)
		lost := time.Now()
		time.Sleep(pauseTime)
		c.signal(paused, syscall.SIGCONT)
		c.startEntry(entry)
		c.checkNoRunsStarted(group, lost, time.Now())
		c.awaitOpen("entry-0", 2)
		c.awaitOpen(entry, 2)
		c.checkNoOverlap()
		before := l.count()
		c.await("load continues", func() bool { return l.count() > before+warmUpRequests })
	}
	results := l.stop()
	checkNoTruncation(t, results)
	completed := 0
	for _, s := range results {
		if s.outcome == caller.OutcomeComplete {
			completed++
		}
	}
	t.Logf("%d of %d requests complete", completed, len(results))
	assert.Assert(t, float64(completed) >= minCompleteShare*float64(len(results)))
}

// checkNoRunsStarted checks that no completion began in a group under its present
// fence from gateCloseLimit after a loss until a time.
func (c *cluster) checkNoRunsStarted(g operator.GroupStatus, lost, until time.Time) {
	c.t.Helper()
	for _, r := range completionsAfter(c.records(), g, lost.Add(gateCloseLimit)) {
		assert.Assert(c.t, r.Time.After(until), "a request began %s after the loss", r.Time.Sub(lost))
	}
}
