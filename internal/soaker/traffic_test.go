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
	// callerTimeout is how long callers wait for a response.
	callerTimeout    = 4 * time.Second
	resolveInterval  = time.Second
	recoveryRequests = 20
	minRecoveryShare = 0.25
	maxEvents        = 30
)

// traffic runs the callers of a scenario.
type traffic struct {
	fixture *fixture
	seed    uint64
	// fixedCallers is the number of callers that stay at each entry instance, in addition
	// to those that follow the directory.
	fixedCallers int

	mu sync.Mutex
	// available are the indices of the entry instances that the directory returned
	// last.
	available []int
}

// run sends requests until ctx ends, and returns after the last response.
func (t *traffic) run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { t.runResolver(ctx) })
	for n := range callers {
		group.Go(func() { t.runCaller(ctx, n) })
	}
	for entry := range t.fixture.daemons {
		for n := range t.fixedCallers {
			group.Go(func() { t.runFixedCaller(ctx, entry, n) })
		}
	}
	group.Wait()
}

// runResolver refreshes the list of entry instances from the directory.
func (t *traffic) runResolver(ctx context.Context) {
	random := rand.New(rand.NewPCG(t.seed, 0))
	caller := emulator.NewCaller()
	ticker := time.NewTicker(resolveInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		for range t.fixture.daemons {
			if available := t.resolve(ctx, caller, random.IntN(len(t.fixture.daemons))); len(available) > 0 {
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

// resolve asks the directory of one entry instance which entry instances to use.
func (t *traffic) resolve(ctx context.Context, caller *emulator.Caller, entry int) []int {
	// After an error the list is empty, and runResolver asks again.
	addresses, _ := caller.Resolve(ctx, t.fixture.address(blockEntry, entry, portDirectory), host, dataCentre(entry))
	var available []int
	for i := range t.fixture.daemons {
		if slices.Contains(addresses, t.fixture.address(blockEntry, i, portCaller)) {
			available = append(available, i)
		}
	}
	return available
}

// pickEntry returns a random available entry instance.
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

// randomRequest returns a request with a random path and key.
func randomRequest(random *rand.Rand, id string) emulator.Request {
	path := []string{pathIdempotent, pathOnce, pathStream, pathStream, pathExtra}[random.IntN(5)]
	keys := append([]string{stableOrganisation + "-1"}, revocableKeys...)
	return newRequest(random, id, path, keys[random.IntN(len(keys))])
}

func newRequest(random *rand.Rand, id, path, key string) emulator.Request {
	r := emulator.Request{ID: id, Host: host, Path: path, Key: key, Body: "body of " + id, Timeout: callerTimeout}
	if path == pathStream {
		r.Model, r.Events = fmt.Sprint("m", random.IntN(2)), 1+random.IntN(maxEvents)
	}
	return r
}

// send sends a request once and records the result.
func (t *traffic) send(caller *emulator.Caller, entry int, request emulator.Request) result {
	r := result{Request: request, entry: entry, sentAt: time.Now()}
	r.response = caller.Do(context.Background(), t.fixture.address(blockCallerProxy, entry, portCaller), request)
	r.finishedAt = time.Now()
	t.fixture.checker.recordResult(r)
	return r
}

// checkRecovery sends requests of each kind through all entry instances after the
// faults have ended, and reports a violation when too few succeed.
func (t *traffic) checkRecovery() {
	random := rand.New(rand.NewPCG(t.seed, 0))
	for _, path := range []string{pathIdempotent, pathOnce, pathStream} {
		var group sync.WaitGroup
		var mu sync.Mutex
		succeeded := 0
		for i := range recoveryRequests {
			r := newRequest(random, fmt.Sprintf("last-%s-%d", path[1:len(path)-1], i), path, stableOrganisation+"-1")
			group.Go(func() {
				if t.send(emulator.NewCaller(), i%len(t.fixture.daemons), r).succeeded() {
					mu.Lock()
					defer mu.Unlock()
					succeeded++
				}
			})
		}
		group.Wait()
		if float64(succeeded) < minRecoveryShare*recoveryRequests {
			t.fixture.checker.mu.Lock()
			t.fixture.checker.failf("recovery: %d of %d requests succeeded on %s", succeeded, recoveryRequests, path)
			t.fixture.checker.mu.Unlock()
		}
	}
}
