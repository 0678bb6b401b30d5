package soaker

import (
	"context"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/waxwingmount/waxwingmount/platform/emulator"
)

const (
	// dataCentres is the number of data centres of the fixture, each of which is evacuated
	// once, for between minEvacuation and maxEvacuation. The next begins betweenEvacuations
	// after one at the earliest.
	dataCentres        = 2
	minEvacuation      = 5 * time.Second
	maxEvacuation      = 8 * time.Second
	betweenEvacuations = 3500 * time.Millisecond
	// evacuationSlack is how much later than the bound a server may report a request that
	// was sent in time.
	evacuationSlack = 150 * time.Millisecond
	// evacuationSoakRun keeps the addresses apart from those of other tests.
	evacuationSoakRun = 96
)

// evacuation is a data centre's evacuation: from the store's acknowledgement of the row until
// just before its removal.
type evacuation struct {
	interval
	dataCentre string
}

// generateEvacuations generates one evacuation of each data centre, which begin a while after
// each other and may overlap.
func generateEvacuations(f *fixture, seed uint64) []step {
	random := rand.New(rand.NewPCG(seed+2, seed))
	var steps []step
	startAfter := time.Duration(random.Int64N(int64(time.Second)))
	for _, i := range random.Perm(dataCentres) {
		s := evacuate(f, dataCentre(i))
		s.startAfter = startAfter
		s.duration = minEvacuation + time.Duration(random.Int64N(int64(maxEvacuation-minEvacuation)))
		steps = append(steps, s)
		startAfter += betweenEvacuations + time.Duration(random.Int64N(int64(minEvacuation-betweenEvacuations)))
	}
	return steps
}

// evacuate evacuates a data centre for a while.
func evacuate(f *fixture, dataCentre string) step {
	return step{name: "evacuate " + dataCentre, planned: true, run: func(duration time.Duration) {
		operator := emulator.Operator{Store: f.address(blockStore, 0, portOther)}
		if operator.Evacuate(context.Background(), dataCentre) != nil {
			f.checker.recordFault()
			return
		}
		e := evacuation{interval{from: time.Now()}, dataCentre}
		time.Sleep(duration)
		e.to = time.Now()
		f.checker.recordEvacuation(e)
		for operator.EndEvacuation(context.Background(), dataCentre) != nil && !f.stopping.Load() {
			time.Sleep(retryTime)
		}
	}}
}

// recordEvacuation records an evacuation that is about to end.
func (c *checker) recordEvacuation(e evacuation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evacuations = append(c.evacuations, e)
}

// checkEvacuations reports requests that reached servers in an evacuated data centre later
// than allowed, from entry instances that were in touch and have run the built daemon alone:
// a daemon of another build (-beside) may not know of evacuations.
func (c *checker) checkEvacuations() {
	for _, e := range c.evacuations {
		bound := interval{e.from.Add(c.limits.apply + evacuationSlack), e.to}
		for id := range c.runs {
			r, finished := c.results[id]
			for _, run := range c.startedRuns(id) {
				if !finished || c.otherBuild[r.entry] || run.Time.Before(bound.from) || !run.Time.Before(bound.to) || !c.inTouch(r.entry, interval{r.sentAt, run.Time}) {
					continue
				}
				c.checkedEvacuations++
				if c.places[run.Instance] == e.dataCentre {
					c.failf("evacuation: %s ran on %s from entry %d, %v after %s was evacuated", id, run.Instance, r.entry, run.Time.Sub(e.from).Round(time.Millisecond), e.dataCentre)
				}
			}
		}
	}
}

// TestEvacuationSoak guards against requests to servers in an evacuated data centre while
// single entry instances are stopped, killed or cut from the store, readers among them, and
// the configuration changes. It runs before the other scenarios, not beside them, since they
// need the processor.
func TestEvacuationSoak(t *testing.T) {
	var scenarios []scenario
	for i := range max(1, *seeds) {
		scenarios = append(scenarios, scenario{seed: max(*first, defaultFirstSeed) + uint64(i), config: true, evacuations: true})
	}
	runScenarios(t, byte(os.Getpid()+evacuationSoakRun), buildDaemon(t), scenarios)
}
