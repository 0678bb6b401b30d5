package integration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/internal/engineemulator"
	"github.com/waxwingmount/waxwingmount/internal/operator"
	"github.com/waxwingmount/waxwingmount/pkg/reconciler"
)

// TestLateOrderOfReplacedGroup guards against requests that begin in a group whose member
// has obeyed an order of an earlier fence, which arrives after the group was repaired. An
// engine that enforces fences refuses the order, and the group goes on; one that ignores
// them leaves the group and is ordered back.
func TestLateOrderOfReplacedGroup(t *testing.T) {
	for name, args := range map[string][]string{
		"fencing enforced": nil,
		"fencing ignored":  {"--ignore-fence"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, clusterSpec{
				entries:    2,
				domains:    map[string]int{"fabric-a": 6},
				engineArgs: args,
				config:     fmt.Sprintf(assistModel, 1),
			})
			first := c.awaitOpen("entry-0", 1)[0]
			c.kill(first.Members[3].Instance)
			var repaired operator.GroupStatus
			c.await("the group is repaired", func() bool {
				groups := c.groups("entry-0")
				if len(groups) != 1 || groups[0].Fence <= first.Fence || groups[0].Verdict != "open" {
					return false
				}
				repaired = groups[0]
				return true
			})
			l := c.startLoad(gateTestCallers, 20)
			c.await("load", func() bool { return l.count() > warmUpRequests })

			member := first.Members[1]
			sent := time.Now()
			accepted := c.sendOrder(member.Instance, reconciler.Order{
				Action: reconciler.ActionForm, Instance: member.Instance, Incarnation: member.Incarnation, Fence: first.Fence,
				Group: first.ID, Model: first.Model, ModelVersion: first.ModelVersion, Members: first.Members,
			})
			assert.Equal(t, accepted, args != nil)
			if accepted {
				var back time.Time
				c.await("the engine is ordered back", func() bool {
					back = c.orderObeyedAt(member.Instance, repaired.Fence, sent)
					return !back.IsZero()
				})
				c.checkNoRunsStarted(repaired, sent, back)
			}
			before := l.count()
			c.await("load continues", func() bool { return l.count() > before+warmUpRequests })
			assert.Equal(t, c.awaitOpen("entry-0", 1)[0].Fence, repaired.Fence)
			c.checkNoOverlap()
			checkNoTruncation(t, l.stop())
		})
	}
}

// sendOrder sends an order to an engine and reports whether it obeys.
func (c *cluster) sendOrder(engine string, o reconciler.Order) bool {
	c.t.Helper()
	data, err := json.Marshal(o)
	assert.NilError(c.t, err)
	response, err := http.Post("http://"+c.engineAddresses[engine].String()+"/orders", "application/json", bytes.NewReader(data))
	assert.NilError(c.t, err)
	response.Body.Close()
	return response.StatusCode < http.StatusMultipleChoices
}

// orderObeyedAt returns when an engine first obeyed an order of a fence after a time, or
// zero.
func (c *cluster) orderObeyedAt(engine string, fence uint64, after time.Time) time.Time {
	for _, r := range c.records() {
		if r.Kind == engineemulator.EventOrder && r.Instance == engine && r.Fence == fence && !r.Refused && r.Time.After(after) {
			return r.Time
		}
	}
	return time.Time{}
}
