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
	// meanPause is the mean pause of a caller between two requests.
	meanPause = 60 * time.Millisecond
	// callerTimeout is how long callers wait.
	callerTimeout    = 4 * time.Second
	resolveInterval  = time.Second
	recoveryRequests = 20
	minRecoveryShare = 0.25
	maxEvents        = 30
)

// traffic is the callers of a day.
type traffic struct {
	fixture *fixture
	seed    uint64

	mu sync.Mutex
	// available are the entry instances that the directory names.
	available []int
}

// run calls until ctx ends and the last answers are in.
func (t *traffic) run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { t.runResolver(ctx) })
	for n := range callers {
		group.Go(func() { t.runCaller(ctx, n) })
	}
	group.Wait()
}

// runResolver asks where to connect, as callers do.
func (t *traffic) runResolver(ctx context.Context) {
	random := rand.New(rand.NewPCG(t.seed, 0))
	caller := emulator.NewCaller()
	ticker := time.NewTicker(resolveInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		for range entries {
			if available := t.resolve(ctx, caller, random.IntN(entries)); len(available) > 0 {
				t.mu.Lock()
				t.available = available
				t.mu.Unlock()
				break
			}
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// resolve asks one entry instance which of all to use.
func (t *traffic) resolve(ctx context.Context, caller *emulator.Caller, entry int) []int {
	// Who gets no answer asks another.
	addresses, _ := caller.Resolve(ctx, t.fixture.address(blockEntry, entry, portDirectory), host, dataCentre(entry))
	var available []int
	for i := range entries {
		if slices.Contains(addresses, t.fixture.address(blockEntry, i, portCaller)) {
			available = append(available, i)
		}
	}
	return available
}

func (t *traffic) pickEntry(random *rand.Rand) (int, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.available) == 0 {
		return 0, false
	}
	return t.available[random.IntN(len(t.available))], true
}

func (t *traffic) runCaller(ctx context.Context, n int) {
	random := rand.New(rand.NewPCG(t.seed, uint64(n+1)))
	caller := emulator.NewCaller()
	for i := 0; ctx.Err() == nil; i++ {
		entry, known := t.pickEntry(random)
		if known {
			t.send(caller, entry, randomRequest(random, fmt.Sprintf("%d-%d", n, i)))
		}
		time.Sleep(time.Duration(random.Int64N(2 * int64(meanPause))))
	}
}

// randomRequest makes a request of a random kind.
func randomRequest(random *rand.Rand, id string) emulator.Request {
	path := []string{pathIdempotent, pathOnce, pathStream, pathStream, pathExtra}[random.IntN(5)]
	keys := append([]string{stableOrganisation + "-1"}, revocableKeys...)
	return newRequest(random, id, path, keys[random.IntN(len(keys))])
}

func newRequest(random *rand.Rand, id, path, key string) emulator.Request {
	r := emulator.Request{ID: id, Host: host, Path: path, Key: key, Body: "body of " + id, Patience: callerTimeout}
	if path == pathStream {
		r.Model, r.Events = fmt.Sprint("m", random.IntN(2)), 1+random.IntN(maxEvents)
	}
	return r
}

// send makes one attempt and hands what came of it to the checker.
func (t *traffic) send(caller *emulator.Caller, entry int, r emulator.Request) result {
	result := result{Request: r, entry: entry, sentAt: time.Now()}
	result.response = caller.Do(context.Background(), t.fixture.address(blockCallerProxy, entry, portCaller), r)
	result.finishedAt = time.Now()
	t.fixture.checker.recordResult(result)
	return result
}

// checkRecovery asks each entry instance for each kind of request once calm is back.
func (t *traffic) checkRecovery() {
	random := rand.New(rand.NewPCG(t.seed, 0))
	for _, path := range []string{pathIdempotent, pathOnce, pathStream} {
		var group sync.WaitGroup
		var mu sync.Mutex
		served := 0
		for i := range recoveryRequests {
			r := newRequest(random, fmt.Sprintf("last-%s-%d", path[1:len(path)-1], i), path, stableOrganisation+"-1")
			group.Go(func() {
				if t.send(emulator.NewCaller(), i%entries, r).succeeded() {
					mu.Lock()
					defer mu.Unlock()
					served++
				}
			})
		}
		group.Wait()
		if float64(served) < minRecoveryShare*recoveryRequests {
			t.fixture.checker.mu.Lock()
			t.fixture.checker.failf("recover: %d of %d served on %s", served, recoveryRequests, path)
			t.fixture.checker.mu.Unlock()
		}
	}
}
