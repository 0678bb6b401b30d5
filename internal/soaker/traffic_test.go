package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/waxwingmount/waxwingmount/platform/emulator"
)

const (
	callers = 12
	// pace is the mean pause of a caller between two requests.
	pace = 60 * time.Millisecond
	// patience is how long callers wait.
	patience    = 4 * time.Second
	askInterval = time.Second
	finalAsked  = 20
	finalServed = 0.25
	mostEvents  = 30
)

// traffic is the callers of a day.
type traffic struct {
	world *world
	seed  uint64

	mu sync.Mutex
	// open are the entry instances that the directory names.
	open []int
}

// run calls until ctx ends and the last answers are in.
func (f *traffic) run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { f.runDirectory(ctx) })
	for n := range callers {
		group.Go(func() { f.runCaller(ctx, n) })
	}
	group.Wait()
}

// runDirectory asks where to connect, as callers do.
func (f *traffic) runDirectory(ctx context.Context) {
	random := rand.New(rand.NewPCG(f.seed, 0))
	caller := emulator.NewCaller()
	ticker := time.NewTicker(askInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		for range entries {
			if found := f.ask(ctx, caller, random.IntN(entries)); len(found) > 0 {
				f.mu.Lock()
				f.open = found
				f.mu.Unlock()
				break
			}
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// ask asks one entry instance which of all to use.
func (f *traffic) ask(ctx context.Context, caller *emulator.Caller, entry int) []int {
	// Who gets no answer asks another.
	addresses, _ := caller.Resolve(ctx, f.world.address(blockEntry, entry, portDirectory), host, dataCentre(entry))
	var open []int
	for i := range entries {
		if slices.Contains(addresses, f.world.address(blockEntry, i, portCaller)) {
			open = append(open, i)
		}
	}
	return open
}

func (f *traffic) pick(random *rand.Rand) (int, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.open) == 0 {
		return 0, false
	}
	return f.open[random.IntN(len(f.open))], true
}

func (f *traffic) runCaller(ctx context.Context, n int) {
	random := rand.New(rand.NewPCG(f.seed, uint64(n+1)))
	caller := emulator.NewCaller()
	for i := 0; ctx.Err() == nil; i++ {
		entry, known := f.pick(random)
		if known {
			f.send(caller, entry, draw(random, fmt.Sprintf("%d-%d", n, i)))
		}
		time.Sleep(time.Duration(random.Int64N(2 * int64(pace))))
	}
}

// draw makes a request of a random kind.
func draw(random *rand.Rand, id string) emulator.Request {
	path := []string{pathRepeat, pathOnce, pathStream, pathStream, pathExtra}[random.IntN(5)]
	keys := append([]string{keeping + "-1"}, shrinkingKeys...)
	return shape(random, id, path, keys[random.IntN(len(keys))])
}

func shape(random *rand.Rand, id, path, key string) emulator.Request {
	r := emulator.Request{ID: id, Host: host, Path: path, Key: key, Body: "body of " + id, Timeout: patience}
	if path == pathStream {
		r.Model, r.Events = fmt.Sprint("m", random.IntN(2)), 1+random.IntN(mostEvents)
	}
	return r
}

// send makes one attempt and hands what came of it to the checker.
func (f *traffic) send(caller *emulator.Caller, entry int, r emulator.Request) attempt {
	a := attempt{Request: r, entry: entry, began: time.Now()}
	a.answer = caller.Do(context.Background(), f.world.address(blockCallerProxy, entry, portCaller), r)
	a.ended = time.Now()
	f.world.checker.sawAnswer(a)
	return a
}

// finish asks each entry instance for each kind of request once calm is back.
func (f *traffic) finish() {
	random := rand.New(rand.NewPCG(f.seed, 0))
	for _, path := range []string{pathRepeat, pathOnce, pathStream} {
		var group sync.WaitGroup
		var mu sync.Mutex
		served := 0
		for i := range finalAsked {
			r := shape(random, fmt.Sprintf("last-%s-%d", path[1:len(path)-1], i), path, keeping+"-1")
			group.Go(func() {
				if f.send(emulator.NewCaller(), i%entries, r).whole() {
					mu.Lock()
					defer mu.Unlock()
					served++
				}
			})
		}
		group.Wait()
		if float64(served) < finalServed*finalAsked {
			f.world.checker.mu.Lock()
			f.world.checker.failf("recover: %d of %d served on %s", served, finalAsked, path)
			f.world.checker.mu.Unlock()
		}
	}
}
