package forwarder

import (
	"math"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/pkg/estimator"
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

// TestDemandOfRefusedRequests guards against demand that only the requests that are sent
// make, and against callers that repeat refused requests and count again.
func TestDemandOfRefusedRequests(t *testing.T) {
	f := newFixture(t)
	f.applyConfig()
	for range 2 {
		status, _, err := f.call("POST", "/stream/", "r")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusServiceUnavailable)
	}
	report := f.forwarder.Pools.Local()["engines/m"]
	assert.Assert(t, report.Offered > 0)
	assert.Assert(t, report.Arrived > estimator.Milli/2 && report.Arrived <= estimator.Milli, "%+v", report)
	assert.Assert(t, report.Missed > estimator.Milli/2 && report.Missed <= estimator.Milli, "%+v", report)
}

// TestDemandOfFleet guards against the demand of the one entry instance that holds the
// control lease: it has no request, and its peers have them for one model only. Two of the
// four live instances report, so that the load is twice what they report.
func TestDemandOfFleet(t *testing.T) {
	f := newFixture(t)
	config := testConfig(1)
	engine := *testEngine
	engine.Models = []mapper.Model{{Name: "m", Size: 2, Share: 0.5}, {Name: "n", Size: 2, Share: 0.5}}
	config.Services[0].Engine = &engine
	f.apply(config)
	f.platform.set(func(p *platformStub) { p.peers = 3 })
	offered := 40 * time.Second
	f.forwarder.Pools.SetPeer("peer", map[string]estimator.PoolReport{
		estimator.AllPools: {Reporters: 1}, "engines/n": {Offered: offered, Arrived: 100 * estimator.Milli, Missed: 25 * estimator.Milli},
	})
	// The fleet needs one model only, the configuration both alike: 100 requests move the share
	// little, as many as the configured share counts for by half of the way, and many wholly.
	assert.Assert(t, math.Abs(f.forwarder.Demand("engines")["n"]-(0.5+0.5*100.0/1800)) < 1e-9)
	assert.DeepEqual(t, f.forwarder.Loads("engines"), map[string]estimator.ModelLoad{
		"m": {}, "n": {Offered: 8, Arrived: 20, Missed: 0.25},
	})
	for arrived, want := range map[int]float64{1700: 0.75, 1e6: 0.999} {
		f.forwarder.Pools.SetPeer("peer", map[string]estimator.PoolReport{
			"engines/n": {Offered: offered, Arrived: arrived * estimator.Milli},
		})
		got := f.forwarder.Demand("engines")["n"]
		assert.Assert(t, math.Abs(got-want) < 0.001, "%d requests: %f", arrived, got)
	}
	f.forwarder.Pools.SetPeer("peer", nil)
	assert.Equal(t, f.forwarder.Demand("engines")["n"], 0.5)
}

// TestDemandOfHandedOverRequest guards against a request that counts twice because it waited
// at one entry instance before it was handed to another.
func TestDemandOfHandedOverRequest(t *testing.T) {
	f := newCutFixture(t, nil, nil)
	f.cutOff()
	for i, observed := range []bool{true, false} {
		x, refusal := f.cut.begin(t.Context(), &Request{
			RequestMetadata: RequestMetadata{ID: strconv.Itoa(i), Key: "k", Model: "m", PromptTokens: 100}, Host: "h", Method: "POST",
			Target: "/stream/", Path: "/stream/", Body: []byte{byte(i)}, Arrived: clocker.Now(),
			Header: http.Header{"Id": {strconv.Itoa(i)}, "Key": {"k"}, "Model": {"m"}},
		})
		assert.Assert(t, refusal == nil)
		f.cut.countActive(1)
		x.observed = observed
		_, _ = x.startDetour()
		x.close()
		arrived := f.forwarder.Pools.Local()["engines/m"].Arrived
		assert.Equal(t, arrived > 0, !observed, "observed %t, arrived %d", observed, arrived)
	}
}
