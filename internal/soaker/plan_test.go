package soaker

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/platform/emulator"
)

// The shape of a day: faults in a row that overlap, then calm.
const (
	warmUp     = 4 * time.Second
	faultTime  = 12 * time.Second
	calmTime   = 6 * time.Second
	leastSteps = 8
	mostSteps  = 18
	leastHold  = 300 * time.Millisecond
	mostHold   = 3 * time.Second
	// leaveTime is how long a server that leaves still serves.
	leaveTime = 2 * time.Second
)

// step is one disturbance of a day.
type step struct {
	name string
	at   time.Duration
	hold time.Duration
	// planned tells of work that must lose no request.
	planned bool
	play    func(hold time.Duration)
}

// maker draws one kind of step.
type maker func(w *world, random *rand.Rand) step

var makers = []maker{
	killEntry, pauseEntry, stopEntry, stopEntry, hangUp,
	killServer, pauseServer, leaveServer, misbehave, misbehave,
	spoilCaller, spoilStore, spoilStores, spoilServer, spoilServer, changeRoute, endKey, endKey,
}

// plan draws the steps of a day from its seed.
func plan(w *world, seed uint64) []step {
	random := rand.New(rand.NewPCG(seed, seed))
	steps := make([]step, leastSteps+random.IntN(mostSteps-leastSteps+1))
	for i := range steps {
		steps[i] = makers[random.IntN(len(makers))](w, random)
		steps[i].at = time.Duration(random.Int64N(int64(faultTime)))
		steps[i].hold = leastHold + time.Duration(random.Int64N(int64(mostHold-leastHold)))
	}
	return steps
}

// play carries out the steps, each on its own, and returns after the last.
func (w *world) play(steps []step) {
	var group sync.WaitGroup
	for _, s := range steps {
		group.Add(1)
		go func() {
			defer group.Done()
			time.Sleep(s.at)
			from := time.Now()
			s.play(s.hold)
			if !s.planned {
				w.checker.mu.Lock()
				w.checker.faults = append(w.checker.faults, span{from, time.Now().Add(w.checker.bounds.contact)})
				w.checker.mu.Unlock()
			}
		}()
	}
	group.Wait()
}

func killEntry(w *world, random *rand.Rand) step {
	p := w.daemons[random.IntN(entries)]
	return step{name: "kill " + p.name, play: func(hold time.Duration) { w.restart(p, hold) }}
}

// restart kills a process and starts it again.
func (w *world) restart(p *process, hold time.Duration) {
	p.kill()
	w.checker.died(p.name, time.Now())
	time.Sleep(hold)
	if err := p.start(); err != nil {
		w.unexpected(p.name, err)
	}
}

func pauseEntry(w *world, random *rand.Rand) step {
	p := w.daemons[random.IntN(entries)]
	return step{name: "pause " + p.name, play: func(hold time.Duration) { pause(p, 2*hold) }}
}

func pause(p *process, hold time.Duration) {
	p.signal(syscall.SIGSTOP)
	time.Sleep(hold)
	p.signal(syscall.SIGCONT)
}

func stopEntry(w *world, random *rand.Rand) step {
	p := w.daemons[random.IntN(entries)]
	return step{name: "stop " + p.name, planned: true, play: func(hold time.Duration) {
		p.signal(syscall.SIGTERM)
		if !p.wait(grace) {
			w.checker.mu.Lock()
			// A process that a fault has paused may well be late.
			if w.checker.calm(span{time.Now().Add(-grace), time.Now()}) {
				w.checker.failf("stop: %s still ran %v after it was told to end", p.name, grace)
			}
			w.checker.mu.Unlock()
			w.checker.disturbed()
		}
		w.restart(p, hold)
	}}
}

func hangUp(w *world, random *rand.Rand) step {
	p := w.daemons[random.IntN(entries)]
	return step{name: "hang up " + p.name, planned: true, play: func(time.Duration) { p.signal(syscall.SIGHUP) }}
}

func killServer(w *world, random *rand.Rand) step {
	p := w.servers[random.IntN(len(w.servers))]
	return step{name: "kill " + p.name, play: func(hold time.Duration) { w.restart(p, hold) }}
}

func pauseServer(w *world, random *rand.Rand) step {
	p := w.servers[random.IntN(len(w.servers))]
	return step{name: "pause " + p.name, play: func(hold time.Duration) { pause(p, hold) }}
}

func leaveServer(w *world, random *rand.Rand) step {
	p := w.servers[random.IntN(len(w.servers))]
	return step{name: "leave " + p.name, play: func(hold time.Duration) {
		p.tell("drain")
		time.Sleep(leaveTime)
		w.restart(p, hold)
	}}
}

func misbehave(w *world, random *rand.Rand) step {
	fault := emulator.StoreFault(1 + random.IntN(int(emulator.FaultDelayedCommit)))
	return step{name: "store " + fault.String(), play: func(hold time.Duration) {
		w.store.tell(fmt.Sprint(int(fault)))
		time.Sleep(hold)
		w.store.tell(fmt.Sprint(int(emulator.FaultNone)))
	}}
}

func spoilCaller(w *world, random *rand.Rand) step {
	return spoil("callers to entry", w.toEntry, random)
}

func spoilStore(w *world, random *rand.Rand) step {
	return spoil("entry to store", w.toStore, random)
}

// spoilStores cuts all entry instances off the store for longer than keys may
// go unconfirmed.
func spoilStores(w *world, random *rand.Rand) step {
	fault := anyFault(random)
	return step{name: fmt.Sprintf("all entries to store fault %d", fault), play: func(hold time.Duration) {
		for _, link := range w.toStore {
			link.set(fault)
		}
		time.Sleep(dayBounds.keyTTL + hold)
		for _, link := range w.toStore {
			link.set(linkSound)
		}
	}}
}

func spoilServer(w *world, random *rand.Rand) step {
	return spoil("entries to server", w.toServer, random)
}

func spoil(name string, links []*proxy, random *rand.Rand) step {
	n, fault := random.IntN(len(links)), anyFault(random)
	return step{name: fmt.Sprintf("%s %d fault %d", name, n, fault), play: func(hold time.Duration) {
		links[n].set(fault)
		time.Sleep(hold)
		links[n].set(linkSound)
	}}
}

func changeRoute(w *world, _ *rand.Rand) step {
	return step{name: "change a route", planned: true, play: func(time.Duration) {
		there := false
		err := w.write(func(c *emulator.Config) {
			if last := len(c.Routes) - 1; c.Routes[last].Prefix == pathExtra {
				c.Routes = c.Routes[:last]
				return
			}
			there = true
			c.Routes = append(c.Routes, emulator.Route{Prefix: pathExtra, Repeat: mapper.Idempotent, Service: serviceOfPlain, Timeout: routeTimeout})
		})
		w.checker.changed(there, err)
	}}
}

func endKey(w *world, _ *rand.Rand) step {
	return step{name: "end a key", planned: true, play: func(time.Duration) {
		key := ""
		err := w.write(func(c *emulator.Config) {
			// The first key of the organisation stays.
			if left := c.Keys[shrinking]; len(left) > 1 {
				key = left[len(left)-1]
				c.Keys = map[string][]string{keeping: c.Keys[keeping], shrinking: left[:len(left)-1]}
			}
		})
		if err == nil && key != "" {
			w.checker.ended(key)
		}
	}}
}
