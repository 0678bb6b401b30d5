package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

// TestMisdirectedJoinBreaksGroup guards against a group that waits for a member whose address
// another server has taken.
func TestMisdirectedJoinBreaksGroup(t *testing.T) {
	s := New(0)
	s.groups["m~1"] = &group{name: "m~1"}
	o := Order{Kind: Join, Instance: provider.Instance{ID: "a"}, Group: "m~1"}
	s.HandleOutcome(time.Unix(1000, 0), o, Misdirected)
	assert.Assert(t, !s.groups["m~1"].brokenSince.IsZero())
}
