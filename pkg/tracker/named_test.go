package tracker

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

// TestOtherServicesNameNothing guards against an entry of a service that is not configured passing
// for an instance in any answer of the tracker.
func TestOtherServicesNameNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	foreign := provider.Instance{ID: "x", Incarnation: "1", Service: "other", DataCentre: "c"}
	tracker := New()
	tracker.Update(now, 0, []provider.Instance{foreign, {ID: "a", Incarnation: "1", Service: "s", DataCentre: "c"}})
	assert.Assert(t, tracker.InstanceAvailable(foreign))
	tracker.SetServices(map[string]map[string]int{"s": {}})
	tracker.SetEvacuated(map[string]bool{"d": true})
	tracker.MarkLost(now, "x", "1")
	_, known := tracker.Instance("x")
	assert.Assert(t, !known)
	assert.Assert(t, !tracker.InstanceAvailable(foreign))
	assert.Equal(t, len(tracker.LostInstances()), 0)
	tracker.ClearLoss("x")
	assert.Assert(t, !tracker.InstanceAvailable(foreign))
	tracker.SetEvacuated(map[string]bool{"c": true})
	assert.Assert(t, !tracker.AllEvacuated("other"))
}
