package forwarder

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

// TestDemandCountsWholeGroups checks two models with equal shares of the work in
// domains of 10 instances: groups of 4 leave two of ten over, groups of 2 none,
// so that the model with the larger groups needs more instances.
func TestDemandCountsWholeGroups(t *testing.T) {
	f := newFixture(t)
	config := testConfig(1)
	engine := *testEngine
	engine.Models = []mapper.Model{{Name: "m", Size: 4, Share: 0.5}, {Name: "n", Size: 2, Share: 0.5}}
	config.Services[0].Engine = &engine
	f.platform.set(func(p *platformStub) {
		for i := range 20 {
			p.instances = append(p.instances, provider.Instance{
				ID: string(rune('a' + i)), Incarnation: "1", Service: "engines", FabricDomain: string(rune('0' + i/10)),
			})
		}
	})
	f.platform.configure(config)
	f.eventually(func() bool { return len(f.forwarder.Demand("engines")) == 2 && f.forwarder.domainSize("engines") == 10 })
	demand := f.forwarder.Demand("engines")
	assert.Assert(t, demand["m"] > 0.51, "%v", demand)
	assert.Assert(t, math.Abs(demand["m"]+demand["n"]-1) < 1e-9)
}
