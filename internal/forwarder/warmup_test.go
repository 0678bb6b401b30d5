package forwarder

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/internal/logger"
	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

// most returns the largest number of arrivals in any second after a time.
func (l *arrivalLog) most(after time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	slices.SortFunc(l.times, time.Time.Compare)
	most := 0
	for i, first := range l.times {
		n := 0
		for _, at := range l.times[i:] {
			if at.After(after) && at.Sub(first) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// applyWarmUp applies a configuration whose cold plain servers tolerate a rate, after the
// time in which the forwarder sends them nothing because it has just started.
func (f *fixture) applyWarmUp(perSecond float64) {
	f.t.Helper()
	time.Sleep(1100 * time.Millisecond)
	config := testConfig(1)
	config.Services[1].WarmUp, config.Services[1].WarmUpRate = time.Minute, perSecond
	f.apply(config)
}

// addPlain adds a plain server that is cold for a time, and records its arrivals.
func (f *fixture) addPlain(id string, left time.Duration) *arrivalLog {
	var none atomic.Int64
	arrivals := &arrivalLog{}
	f.addServer(id, "plain", countArrivals(&none, arrivals))
	f.platform.set(func(p *platformStub) {
		in := &p.instances[len(p.instances)-1]
		in.WarmupStated, in.WarmupLeft, in.Slots = true, left, 50
	})
	return arrivals
}

// TestColdServerSharesPoolWithWarmOne guards against a cold server that gets more requests
// than it tolerates, also if it becomes cold while it is used, and against one that gets
// hardly any, or whose pool refuses what the warm server could take. Once it is warm, its
// rate rises.
func TestColdServerSharesPoolWithWarmOne(t *testing.T) {
	const perSecond = 5
	f := newFixture(t)
	cold, warm := f.addPlain("cold", 0), f.addPlain("warm", 0)
	f.applyWarmUp(perSecond)
	assert.Equal(t, f.callEvery(10*time.Millisecond, time.Second), 100)
	assert.Assert(t, cold.since(time.Time{}) > 4*perSecond, "a warm server is limited")
	f.platform.set(func(p *platformStub) { p.instances[0].WarmupLeft = time.Minute })
	time.Sleep(time.Second)
	told := time.Now()
	served := f.callEvery(20*time.Millisecond, 4*time.Second)
	assert.Equal(t, served, 200)
	most, count := cold.most(told), cold.since(told)
	assert.Assert(t, most <= perSecond, "%d requests in a second", most)
	assert.Assert(t, count >= 4*perSecond*8/10, "%d requests in 4 s: the server is hardly used", count)
	assert.Equal(t, count+warm.since(told), served)
	f.platform.set(func(p *platformStub) { p.instances[0].WarmupLeft = 0 })
	time.Sleep(3 * time.Second)
	ended := time.Now()
	f.callEvery(20*time.Millisecond, time.Second)
	assert.Assert(t, cold.since(ended) > 2*perSecond, "%d requests a second after the warm-up", cold.since(ended))
}

// TestPoolOfColdServersKeepsItsQueue guards against requests that are refused as if there
// were no server although cold ones can take them in time, and against an allowance that is
// shared out like a free slot that all entry instances see.
func TestPoolOfColdServersKeepsItsQueue(t *testing.T) {
	f := newFixture(t)
	f.platform.set(func(p *platformStub) { p.peers = 70 })
	cold := f.addPlain("cold", time.Minute)
	// Each of the 71 entry instances has two of these; this one needs three within 1.5 s.
	f.applyWarmUp(142)
	var calls sync.WaitGroup
	var served atomic.Int64
	for i := range 3 {
		calls.Go(func() {
			if status, _, _ := f.call("GET", "/safe/", strconv.Itoa(i)); status == http.StatusOK {
				served.Add(1)
			}
		})
	}
	calls.Wait()
	assert.Equal(t, served.Load(), int64(3))
	assert.Assert(t, cold.most(time.Time{}) <= 2)
	assert.Equal(t, f.forwarder.verdicts(poolKey{service: "plain"})["cold"]+f.forwarder.verdicts(poolKey{service: "plain"})["eligible"], 1)
}

// TestPausedRequestLosesItsAllowance guards against a request that was paused between the
// choice of a cold server and its first byte, and is sent although others have used its part
// of the rate meanwhile. The server states by a probe that it is cold.
func TestPausedRequestLosesItsAllowance(t *testing.T) {
	f := newFixture(t)
	cold, warm := f.addPlain("cold", 0), f.addPlain("warm", 0)
	f.applyWarmUp(1)
	var in provider.Instance
	f.platform.set(func(p *platformStub) { in = p.instances[0] })
	f.forwarder.HandleWarmup(in, clocker.Now(), time.Minute)
	told := time.Now()
	var paused atomic.Bool
	onLogLine(t, logger.LineSent, func() {
		if paused.CompareAndSwap(false, true) {
			time.Sleep(1200 * time.Millisecond)
		}
	})
	served := f.callEvery(20*time.Millisecond, 3*time.Second)
	assert.Equal(t, served, 150)
	most := cold.most(told)
	assert.Assert(t, most <= 1, "%d requests in a second", most)
	assert.Equal(t, cold.since(told)+warm.since(told), served)
}

// TestColdServerInLog guards against a server whose warm-up the log does not tell, or tells
// more than once.
func TestColdServerInLog(t *testing.T) {
	var began, ended atomic.Int64
	onLogLine(t, logger.LineServerCold, func() { began.Add(1) })
	onLogLine(t, logger.LineServerWarm, func() { ended.Add(1) })
	f := newFixture(t)
	f.addPlain("cold", 1500*time.Millisecond)
	f.applyWarmUp(5)
	f.eventually(func() bool { return ended.Load() > 0 })
	time.Sleep(time.Second)
	assert.Equal(t, began.Load(), int64(1))
	assert.Equal(t, ended.Load(), int64(1))
}

// TestServersOfEvacuatedDataCentreReturnCold guards against all entry instances sending at
// full rate to servers that went cold during the evacuation of their data centre.
func TestServersOfEvacuatedDataCentreReturnCold(t *testing.T) {
	f := newFixture(t)
	arrivals := f.addPlain("p", 0)
	f.place("p", "east")
	f.applyWarmUp(5)
	f.evacuate("east")
	f.eventually(func() bool { return len(f.forwarder.Observer.Servers("plain")) == 0 })
	f.evacuate()
	f.eventually(func() bool { return len(f.forwarder.Observer.Servers("plain")) == 1 })
	var calls sync.WaitGroup
	for i := range 30 {
		calls.Go(func() { _, _, _ = f.call("GET", "/safe/", "r"+strconv.Itoa(i)) })
	}
	calls.Wait()
	most := arrivals.most(time.Time{})
	assert.Assert(t, most >= 1 && most <= 5, "%d in a second", most)
}

// TestServerOfServiceConfiguredLaterIsNotCold guards against a server that has long been listed
// being taken for one that has just started when a later configuration names its service.
func TestServerOfServiceConfiguredLaterIsNotCold(t *testing.T) {
	const perSecond = 5
	f := newFixture(t)
	var none atomic.Int64
	arrivals := &arrivalLog{}
	f.addServer("early", "other", countArrivals(&none, &arrivalLog{}))
	f.addServer("p", "plain", countArrivals(&none, arrivals))
	f.platform.set(func(p *platformStub) {
		p.instances[0].Slots, p.instances[1].Slots = 50, 50
	})
	config := testConfig(1)
	other := config.Services[1]
	other.Name, other.WarmUp, other.WarmUpRate = "other", time.Minute, perSecond
	config.Services = []mapper.Service{other}
	config.Routes = config.Routes[1:2]
	config.Routes[0].Targets[0].Service = "other"
	f.apply(config)
	// With a request the system is not idle any more, so that servers that start are cold.
	status, _, _ := f.call("GET", "/once/", "first")
	assert.Equal(t, status, http.StatusOK)
	time.Sleep(1100 * time.Millisecond)
	config = testConfig(2)
	config.Services[1].WarmUp, config.Services[1].WarmUpRate = time.Minute, perSecond
	config.Services = append(config.Services, other)
	f.apply(config)
	f.callEvery(20*time.Millisecond, time.Second)
	assert.Assert(t, arrivals.since(time.Time{}) > 4*perSecond, "%d requests in a second", arrivals.since(time.Time{}))
}
