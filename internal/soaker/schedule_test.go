package soaker

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/gossiper"
	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/platform/emulator"
)

// The phases of a scenario: a warm-up, overlapping faults, then a recovery
// without faults.
const (
	warmUp       = 4 * time.Second
	faultPhase   = 12 * time.Second
	recoveryTime = 6 * time.Second
	minSteps     = 8
	maxSteps     = 18
	minDuration  = 300 * time.Millisecond
	maxDuration  = 3 * time.Second
	// drainTime is how long a draining server keeps serving before it is killed.
	drainTime = 2 * time.Second
)

// step is one scheduled fault or operation of a scenario.
type step struct {
	name       string
	startAfter time.Duration
	duration   time.Duration
	// planned marks regular operations, during which no request may be lost.
	planned bool
	// entry is one more than the index of the only entry instance that the step
	// disturbs, or zero.
	entry int
	// stops is the name of the entry instance that the step stops in a planned way.
	stops string
	run   func(duration time.Duration)
}

// stepGenerator creates a random step of one kind.
type stepGenerator func(f *fixture, random *rand.Rand) step

// stepGenerators holds the kinds of steps; a kind that is listed twice is twice
// as likely.
var stepGenerators = []stepGenerator{
	killEntry, pauseEntry, stopEntry, stopEntry, reloadSettings,
	killServer, pauseServer, drainServer, disruptStore, disruptStore,
	disruptEntryLink, disruptStoreLink, disruptAllStoreLinks, disruptServerLink, disruptServerLink, toggleRoute, revokeKey, revokeKey,
}

// maxReturns is the largest number of times that the store comes back from an
// older copy in a scenario.
const maxReturns = 3

// generateReturns generates steps in which the store comes back from an older copy.
// They come on top of those of generateSteps, which stay the same for each seed.
func generateReturns(f *fixture, seed uint64) []step {
	random := rand.New(rand.NewPCG(seed, ^seed))
	steps := make([]step, random.IntN(maxReturns+1))
	for i := range steps {
		steps[i] = returnOfStore(f, random)
		steps[i].startAfter = time.Duration(random.Int64N(int64(faultPhase)))
		steps[i].duration = minDuration + time.Duration(random.Int64N(int64(maxDuration-minDuration)))
	}
	return steps
}

// maxStatements is the largest number of times that a server refuses requests for a time
// or sends answers without end in a scenario.
const maxStatements = 4

// generateStatements generates steps in which servers say that they want nothing for a
// time, or send answers that do not end. They come on top, like those of
// generateReturns.
func generateStatements(f *fixture, seed uint64) []step {
	random := rand.New(rand.NewPCG(^seed, seed))
	steps := make([]step, random.IntN(maxStatements+1))
	for i := range steps {
		p := f.servers[random.IntN(len(f.servers))]
		command := []string{commandRefuse, commandEndless}[random.IntN(2)]
		steps[i] = step{name: command + " " + p.name, run: func(duration time.Duration) {
			p.writeLine(command + " " + duration.String())
			time.Sleep(duration)
		}}
		steps[i].startAfter = time.Duration(random.Int64N(int64(faultPhase)))
		steps[i].duration = minDuration + time.Duration(random.Int64N(int64(maxDuration-minDuration)))
	}
	return steps
}

// maxLateOrders is the largest number of times that all servers leave orders without a
// response for a time, and carry them out late, in a scenario.
const maxLateOrders = 3

// generateLateOrders generates steps in which servers carry out orders late. They come on
// top, like those of generateReturns.
func generateLateOrders(f *fixture, seed uint64) []step {
	random := rand.New(rand.NewPCG(seed, seed^lateOrdersStream))
	steps := make([]step, random.IntN(maxLateOrders+1))
	for i := range steps {
		steps[i] = step{name: commandDelayOrders, run: func(duration time.Duration) {
			for _, p := range f.servers {
				p.writeLine(commandDelayOrders + " " + duration.String())
			}
			time.Sleep(duration)
		}}
		steps[i].startAfter = time.Duration(random.Int64N(int64(faultPhase)))
		steps[i].duration = minDuration + time.Duration(random.Int64N(int64(maxDuration-minDuration)))
	}
	return steps
}

// lateOrdersStream keeps the random numbers of generateLateOrders apart from those of the
// other generators.
const lateOrdersStream = 1 << 40

// The changes of the configuration in a scenario of its own, and the disturbances of
// single entry instances meanwhile.
const (
	// configChanges come evenly over the time, further apart than a change may take, so
	// that each of them is checked; configStorm changes nothing that requests can see.
	configChanges = 4
	configStorm   = 10
	configFaults  = 3
	readerCount   = 3
)

// configFaultGenerators holds the kinds of disturbances of a scenario of the
// configuration. Each of them excuses only the entry instance that it names.
var configFaultGenerators = []func(*fixture, int) step{pauseOneEntry, pauseOneEntry, killOneEntry, silenceStoreLink}

// generateConfigSteps generates the steps of a scenario in which the configuration
// changes often while single entry instances are disturbed.
func generateConfigSteps(f *fixture, seed uint64) []step {
	random := rand.New(rand.NewPCG(seed, seed+1))
	var steps []step
	for range configFaults {
		generate := configFaultGenerators[random.IntN(len(configFaultGenerators))]
		steps = append(steps, generate(f, random.IntN(len(f.daemons))))
	}
	for range configStorm {
		steps = append(steps, rewriteVersion(f))
	}
	for i := range steps {
		steps[i].startAfter = time.Duration(random.Int64N(int64(faultPhase)))
		steps[i].duration = minDuration + time.Duration(random.Int64N(int64(maxDuration-minDuration)))
	}
	readers := f.readers()
	for i := range configChanges {
		at := time.Duration(i) * faultPhase / configChanges
		// A reader that the store does not answer from just before a change on goes on
		// answering its peers.
		cut := silenceStoreLink(f, readers[random.IntN(len(readers))])
		cut.startAfter, cut.duration = at, maxDuration
		change := toggleRoute(f, random)
		change.startAfter = at + cutLead
		steps = append(steps, cut, change)
	}
	return steps
}

// cutLead is how long before a change of the configuration a reader is cut off from the
// store.
const cutLead = 30 * time.Millisecond

// readers returns the indices of the entry instances that read the store for the others.
func (f *fixture) readers() []int {
	var members []gossiper.Member
	for _, p := range f.daemons {
		members = append(members, gossiper.Member{ID: p.name})
	}
	var readers []int
	for i, p := range f.daemons {
		if _, chosen := gossiper.Without(gossiper.Lowest(members, readerCount), p.name); chosen {
			readers = append(readers, i)
		}
	}
	return readers
}

// rewriteVersion writes the same configuration under a new version.
func rewriteVersion(f *fixture) step {
	return step{name: "write another version", planned: true, run: func(time.Duration) {
		if f.writeConfig(func(*emulator.Config) {}) != nil {
			f.checker.recordFault()
		}
	}}
}

func pauseOneEntry(f *fixture, n int) step {
	p := f.daemons[n]
	return step{name: "pause " + p.name, entry: n + 1, run: func(duration time.Duration) { pause(p, duration) }}
}

func killOneEntry(f *fixture, n int) step {
	p := f.daemons[n]
	return step{name: "kill " + p.name, entry: n + 1, run: func(duration time.Duration) { f.restart(p, duration) }}
}

func silenceStoreLink(f *fixture, n int) step {
	return step{name: fmt.Sprintf("store silent for entry %d", n), entry: n + 1, run: func(duration time.Duration) {
		f.storeProxies[n].setFault(linkDropAll)
		time.Sleep(duration)
		f.storeProxies[n].setFault(linkHealthy)
	}}
}

// maxCopyAge is the largest age of the copy from which the store comes back, and
// rewriteTime how long the operator then takes to write its configuration again.
const (
	maxCopyAge  = 5 * time.Second
	rewriteTime = time.Second
	retryTime   = 50 * time.Millisecond
)

// returnOfStore makes the store unavailable and lets it come back from an older
// copy, after which the operator writes its configuration again.
func returnOfStore(f *fixture, random *rand.Rand) step {
	age := time.Duration(random.Int64N(int64(maxCopyAge)))
	name := fmt.Sprintf("store comes back from a copy %v old", age.Round(time.Millisecond))
	return step{name: name, run: func(duration time.Duration) {
		f.store.writeLine(fmt.Sprint(int(emulator.FaultUnavailable)))
		time.Sleep(duration / 2)
		f.store.writeLine(fmt.Sprint(commandComeBack, " ", age))
		f.store.writeLine(fmt.Sprint(int(emulator.FaultNone)))
		time.Sleep(rewriteTime)
		for f.rewriteConfig() != nil && !f.stopping.Load() {
			time.Sleep(retryTime)
		}
	}}
}

// generateSteps generates the steps of a scenario from its seed.
func generateSteps(f *fixture, seed uint64) []step {
	random := rand.New(rand.NewPCG(seed, seed))
	steps := make([]step, minSteps+random.IntN(maxSteps-minSteps+1))
	for i := range steps {
		steps[i] = stepGenerators[random.IntN(len(stepGenerators))](f, random)
		steps[i].startAfter = time.Duration(random.Int64N(int64(faultPhase)))
		steps[i].duration = minDuration + time.Duration(random.Int64N(int64(maxDuration-minDuration)))
	}
	return steps
}

// runSteps runs the steps concurrently, each at its start time, and returns when
// all have ended.
func (f *fixture) runSteps(steps []step) {
	var group sync.WaitGroup
	for _, s := range steps {
		group.Add(1)
		go func() {
			defer group.Done()
			time.Sleep(s.startAfter)
			from := time.Now()
			s.run(s.duration)
			if !s.planned {
				f.checker.mu.Lock()
				f.checker.faults = append(f.checker.faults, interval{from, time.Now().Add(f.checker.limits.faultMargin)})
				f.checker.entryFaults[s.entry] = append(f.checker.entryFaults[s.entry], interval{from, time.Now().Add(f.checker.limits.contact)})
				f.checker.mu.Unlock()
			}
		}()
	}
	group.Wait()
}

func killEntry(f *fixture, random *rand.Rand) step {
	p := f.daemons[random.IntN(len(f.daemons))]
	return step{name: "kill " + p.name, run: func(duration time.Duration) { f.restart(p, duration) }}
}

// restart kills a process and starts it again after the duration.
func (f *fixture) restart(p *process, duration time.Duration) {
	p.kill()
	f.checker.recordExit(p.name, time.Now())
	time.Sleep(duration)
	if err := p.start(); err != nil {
		f.reportUnexpectedExit(p.name, err)
	}
}

func pauseEntry(f *fixture, random *rand.Rand) step {
	p := f.daemons[random.IntN(len(f.daemons))]
	return step{name: "pause " + p.name, run: func(duration time.Duration) { pause(p, 2*duration) }}
}

func pause(p *process, duration time.Duration) {
	p.signal(syscall.SIGSTOP)
	time.Sleep(duration)
	p.signal(syscall.SIGCONT)
}

func stopEntry(f *fixture, random *rand.Rand) step {
	n := random.IntN(len(f.daemons))
	p := f.daemons[n]
	return step{name: "stop " + p.name, planned: true, stops: p.name, run: func(duration time.Duration) {
		from := time.Now()
		p.signal(syscall.SIGTERM)
		if !p.waitFor(shutdownTimeout) {
			f.checker.mu.Lock()
			// A process that a fault has paused may exceed the timeout.
			if f.checker.undisturbed(interval{time.Now().Add(-shutdownTimeout), time.Now()}) {
				f.checker.failf("stop: %s was still running %v after SIGTERM", p.name, shutdownTimeout)
			}
			f.checker.mu.Unlock()
			f.checker.recordFault()
		}
		f.restart(p, duration)
		f.checker.recordRestart(n, from)
	}}
}

func reloadSettings(f *fixture, random *rand.Rand) step {
	p := f.daemons[random.IntN(len(f.daemons))]
	return step{name: "reload settings of " + p.name, planned: true, run: func(time.Duration) { p.signal(syscall.SIGHUP) }}
}

func killServer(f *fixture, random *rand.Rand) step {
	p := f.servers[random.IntN(len(f.servers))]
	return step{name: "kill " + p.name, run: func(duration time.Duration) { f.restart(p, duration) }}
}

func pauseServer(f *fixture, random *rand.Rand) step {
	p := f.servers[random.IntN(len(f.servers))]
	return step{name: "pause " + p.name, run: func(duration time.Duration) { pause(p, duration) }}
}

func drainServer(f *fixture, random *rand.Rand) step {
	p := f.servers[random.IntN(len(f.servers))]
	return step{name: "drain " + p.name, run: func(duration time.Duration) {
		p.writeLine(commandDrain)
		time.Sleep(drainTime)
		f.restart(p, duration)
	}}
}

func disruptStore(f *fixture, random *rand.Rand) step {
	fault := emulator.StoreFault(1 + random.IntN(int(emulator.FaultDelayedCommit)))
	return step{name: "store " + fault.String(), run: func(duration time.Duration) {
		f.store.writeLine(fmt.Sprint(int(fault)))
		time.Sleep(duration)
		f.store.writeLine(fmt.Sprint(int(emulator.FaultNone)))
	}}
}

func disruptEntryLink(f *fixture, random *rand.Rand) step {
	return disruptLink("callers to entry", f.entryProxies, random)
}

func disruptStoreLink(f *fixture, random *rand.Rand) step {
	return disruptLink("entry to store", f.storeProxies, random)
}

// disruptAllStoreLinks disrupts the links of all entry instances to the store for
// longer than keys may be used without confirmation.
func disruptAllStoreLinks(f *fixture, random *rand.Rand) step {
	fault := randomLinkFault(random)
	return step{name: fmt.Sprintf("all entries to store fault %d", fault), run: func(duration time.Duration) {
		for _, proxy := range f.storeProxies {
			proxy.setFault(fault)
		}
		time.Sleep(testLimits.keyTTL + duration)
		for _, proxy := range f.storeProxies {
			proxy.setFault(linkHealthy)
		}
	}}
}

func disruptServerLink(f *fixture, random *rand.Rand) step {
	return disruptLink("entries to server", f.serverProxies, random)
}

func disruptLink(name string, proxies []*proxy, random *rand.Rand) step {
	n, fault := random.IntN(len(proxies)), randomLinkFault(random)
	return step{name: fmt.Sprintf("%s %d fault %d", name, n, fault), run: func(duration time.Duration) {
		proxies[n].setFault(fault)
		time.Sleep(duration)
		proxies[n].setFault(linkHealthy)
	}}
}

func toggleRoute(f *fixture, _ *rand.Rand) step {
	return step{name: "add or remove a route", planned: true, run: func(time.Duration) {
		present := false
		err := f.writeConfig(func(c *emulator.Config) {
			if last := len(c.Routes) - 1; c.Routes[last].Prefix == pathExtra {
				c.Routes = c.Routes[:last]
				return
			}
			present = true
			c.Routes = append(c.Routes, emulator.Route{Prefix: pathExtra, Repeat: mapper.Idempotent, Service: plainService, Timeout: routeTimeout})
		})
		f.checker.recordRouteChange(present, err)
	}}
}

func revokeKey(f *fixture, _ *rand.Rand) step {
	return step{name: "revoke a key", planned: true, run: func(time.Duration) {
		key := ""
		err := f.writeConfig(func(c *emulator.Config) {
			// The first key of the organisation is never revoked.
			if keys := c.Keys[revocableOrganisation]; len(keys) > 1 {
				key = keys[len(keys)-1]
				c.Keys = map[string][]string{stableOrganisation: c.Keys[stableOrganisation], revocableOrganisation: keys[:len(keys)-1]}
			}
		})
		if err == nil && key != "" {
			f.checker.recordRevocation(key)
		}
	}}
}
