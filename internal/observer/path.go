package observer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
	"github.com/waxwingmount/waxwingmount/pkg/tracker"
)

const (
	// pathReferences is the number of instances that are probed to check the own path.
	pathReferences = 3
	// promptResponse is the time within which an instance responds to a probe while the
	// path to it is free: a new connection takes two round trips, so that a slower path
	// makes a probe of a live instance fail.
	promptResponse = probeTimeout / 2
	// pathMemory is how long the path counts as disturbed after probes without any
	// response: until the next check of a silent instance.
	pathMemory = 2 * checkInterval
)

// pathCheck probes a few instances beside a suspect. If none of them responds promptly, the
// fault is likely to be on this entry instance's own path, so that a probe without a
// response says nothing about the suspect.
type pathCheck struct {
	done    chan struct{}
	began   time.Time
	targets []provider.Instance

	mu     sync.Mutex
	prompt int
}

// checkPath returns a check of the own path that runs beside a probe of an instance.
// Checks that begin within probeTimeout of each other share the probes.
func (o *Observer) checkPath(ctx context.Context, suspect provider.Instance) *pathCheck {
	now := clocker.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if c := o.path; c != nil && now.Sub(c.began) < probeTimeout && !c.includes(suspect.ID) {
		return c
	}
	c := &pathCheck{done: make(chan struct{}), began: now, targets: o.references(now, suspect)}
	o.path = c
	go o.runPathCheck(ctx, c)
	return c
}

// references returns random instances to probe beside a suspect, of as many places as there
// are, so that one failure hits few of them. Instances in another place than the suspect's,
// and those that are not under suspicion themselves, go first; but where all are suspected,
// as when the own path fails, a response of any of them counts. The caller holds o.mu.
func (o *Observer) references(now time.Time, suspect provider.Instance) []provider.Instance {
	all := o.tracker.Instances()
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	taken := map[tracker.Place]bool{tracker.PlaceOf(suspect): true}
	var apart, suspected, rest []provider.Instance
	for _, in := range all {
		switch {
		case in.ID == suspect.ID || in.Leaving || o.tracker.LostForAll(in.ID):
		case taken[tracker.PlaceOf(in)]:
			rest = append(rest, in)
		case o.tracker.IsLost(in.ID) || now.Sub(o.checkedAt[in.ID]) < checkInterval:
			suspected = append(suspected, in)
		default:
			taken[tracker.PlaceOf(in)] = true
			apart = append(apart, in)
		}
	}
	chosen := slices.Concat(apart, suspected, rest)
	return chosen[:min(len(chosen), pathReferences)]
}

func (o *Observer) runPathCheck(ctx context.Context, c *pathCheck) {
	defer close(c.done)
	var probes sync.WaitGroup
	for _, in := range c.targets {
		probes.Go(func() {
			if o.Prober.Probe(ctx, in, promptResponse) == nil {
				c.mu.Lock()
				c.prompt++
				c.mu.Unlock()
			}
		})
	}
	probes.Wait()
}

// result waits for the probes and returns what they say about the path.
func (c *pathCheck) result() tracker.PathEvidence {
	<-c.done
	return tracker.PathEvidence{References: len(c.targets), Prompt: c.prompt}
}

func (c *pathCheck) includes(id string) bool {
	for _, in := range c.targets {
		if in.ID == id {
			return true
		}
	}
	return false
}
