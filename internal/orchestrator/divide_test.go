package orchestrator

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/pkg/estimator"
	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
	"github.com/waxwingmount/waxwingmount/pkg/scheduler"
	"github.com/waxwingmount/waxwingmount/pkg/tracker"
)

// loadsFunc is a [LoadSource].
type loadsFunc func(service string) map[string]estimator.ModelLoad

func (f loadsFunc) Loads(service string) map[string]estimator.ModelLoad { return f(service) }

// TestDivideNeedsLoads guards against a division without a source of loads, before the
// first request or while reports are missing, and against one that counts instances of
// other services or lost ones: two of the ten instances here.
func TestDivideNeedsLoads(t *testing.T) {
	engine := &mapper.Engine{Models: []mapper.Model{
		{Name: "large", Size: 4, Load: 10 * time.Second}, {Name: "small", Size: 2, Load: 10 * time.Second},
	}}
	known := map[string]estimator.ModelLoad{"large": {Offered: 4, Arrived: 8}, "small": {Offered: 2, Arrived: 40}}
	for _, test := range []struct {
		name    string
		source  LoadSource
		loads   map[string]estimator.ModelLoad
		idle    bool
		divided bool
	}{
		{name: "no source", loads: known},
		{name: "idle", source: loadsFunc(nil), loads: known, idle: true},
		{name: "reports missing", source: loadsFunc(nil)},
		{name: "no arrivals", source: loadsFunc(nil), loads: map[string]estimator.ModelLoad{}},
		{name: "loads known", source: loadsFunc(nil), loads: known, divided: true},
	} {
		all := []provider.Instance{{ID: "other", Incarnation: "1", Service: "other", FabricDomain: "d"}}
		for i := range 9 {
			all = append(all, provider.Instance{ID: fmt.Sprint(i), Incarnation: "1", Service: "s", FabricDomain: "d"})
		}
		view := scheduler.View{Tracker: tracker.New(), Engine: engine, Service: "s", Idle: test.idle}
		view.Tracker.Update(clocker.Now(), 0, all)
		view.Tracker.MarkLost(clocker.Now(), "0", "1")
		o := New(Dependencies{Loads: test.source})
		o.divide(scheduler.New(0), &view, test.loads)
		assert.Equal(t, view.Wanted != nil, test.divided, test.name)
		total := view.Wanted["large"] + view.Wanted["small"]
		assert.Assert(t, total <= 8 && (!test.divided || view.Wanted["large"] >= 4 && view.Wanted["small"] >= 2), "%s: %v", test.name, view.Wanted)
		assert.Equal(t, len(view.Moves), 0, test.name)
	}
}
