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

// TestTwoFailuresTwiceInARow pauses a member of one group while an entry
// instance is killed, and lets both come back, twice in a row. Callers may be
// told that a stream was cut, never a short answer as whole; each time both
// groups come back and the load goes on.
func TestTwoFailuresTwiceInARow(t *testing.T) {
	const (
		pause    = 3 * time.Second
		complete = 0.9
	)
	c := start(t, plan{
		entries: 3,
		domains: map[string]int{"fabric-a": 4, "fabric-b": 4},
		config:  fmt.Sprintf(assistModel, 2),
	})
	c.awaitOpen("entry-0", 2)
	c.awaitOpen("entry-1", 2)
	c.awaitOpen("entry-2", 2)
	l := c.startLoad(gateTestLoad, 20)
	c.await("load", func() bool { return l.count() > loadBefore })
	for round, entry := range []string{"entry-1", "entry-2"} {
		group := c.awaitOpen("entry-0", 2)[round]
		paused := group.Members[1].Instance
		c.signal(paused, syscall.SIGSTOP)
		c.kill(entry)
		lost := time.Now()
		time.Sleep(pause)
		c.signal(paused, syscall.SIGCONT)
		c.startEntry(entry)
		c.checkNothingBegan(group, lost, time.Now())
		c.awaitOpen("entry-0", 2)
		c.awaitOpen(entry, 2)
		c.checkNoOverlap()
		before := l.count()
		c.await("load goes on", func() bool { return l.count() > before+loadBefore })
	}
	all := l.stop()
	checkNoneSilentlyShort(t, all)
	whole := 0
	for _, s := range all {
		if s.outcome == caller.OutcomeComplete {
			whole++
		}
	}
	t.Logf("%d of %d requests complete", whole, len(all))
	assert.Assert(t, float64(whole) >= complete*float64(len(all)))
}

// checkNothingBegan demands that nothing began on a formation of a group from
// the bound after a loss until a moment.
func (c *cluster) checkNothingBegan(g operator.GroupStatus, lost, until time.Time) {
	c.t.Helper()
	for _, r := range begunAfter(c.records(), g, lost.Add(gateBound)) {
		assert.Assert(c.t, r.Time.After(until), "a request began %s after the loss", r.Time.Sub(lost))
	}
}
