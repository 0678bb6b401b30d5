package observer

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/pkg/provider"
	"github.com/waxwingmount/waxwingmount/pkg/tracker"
)

const (
	// beliefDelay is the time after which what the entry instances believe must be true.
	beliefDelay = 2 * time.Second
	// lossDelay is the time after which all must know of a crash.
	lossDelay = time.Second
)

// sendable returns the IDs of the servers that an entry instance would send requests to.
func (n *network) sendable(entry int) []string {
	var ids []string
	for _, g := range n.observers[entry].Groups("engines", "m") {
		ids = append(ids, g.Head().ID)
	}
	for _, in := range n.observers[entry].Servers("plain") {
		ids = append(ids, in.ID)
	}
	slices.Sort(ids)
	return ids
}

// reachable returns the IDs of the servers that requests can be sent to from an entry
// instance: heads and plain servers.
func (n *network) reachable(entry int) []string {
	var ids []string
	for _, in := range n.instances {
		if in.Membership.Rank == 0 && n.failure(entry, in.ID) == nil {
			ids = append(ids, in.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// shuffled returns the network's servers in random order.
func (n *network) shuffled() []provider.Instance {
	servers := slices.Clone(n.instances)
	rand.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	return servers
}

// checkBeliefs checks that an entry instance would send requests to the servers it reaches,
// and to no others, and knows what only peers reach.
func (n *network) checkBeliefs(t *testing.T, entry int) {
	t.Helper()
	assert.DeepEqual(t, n.sendable(entry), n.reachable(entry))
	heads, plain := 0, 0
	for _, id := range n.reachable(entry) {
		if id[0] == 'g' {
			heads++
		} else {
			plain++
		}
	}
	o := n.observers[entry]
	assert.Equal(t, o.ReachableByPeers("engines", "m"), heads < smallNetwork.groups)
	assert.Equal(t, o.ReachableByPeers("plain", ""), plain < smallNetwork.plain)
}

// TestCutInstancesBelieveTheirPairs guards against entry instances that lose the path to all
// servers but a few going on sending to those they don't reach, taking them for lost for all,
// or not finding back when the path is whole again.
func TestCutInstancesBelieveTheirPairs(t *testing.T) {
	for name, failure := range map[string]error{"silent": errNoResponse, "refused": syscall.ECONNREFUSED, "reset": syscall.ECONNRESET} {
		for _, cut := range []int{1, 3, 6} {
			for _, reached := range []int{0, 2} {
				t.Run(name+" "+strconv.Itoa(cut)+" cut but "+strconv.Itoa(reached), func(t *testing.T) {
					t.Parallel()
					n := newNetwork(t, smallNetwork)
					time.Sleep(100 * time.Millisecond)
					n.cut(upTo(cut), n.shuffled()[reached:], failure)
					time.Sleep(beliefDelay)
					for e, o := range n.observers {
						n.checkBeliefs(t, e)
						assert.Equal(t, o.PathCut(), e < cut, "instance %d", e)
					}
					assert.Equal(t, len(n.heldLost(upTo(smallNetwork.entries)[cut:])), 0)
					n.heal()
					time.Sleep(beliefDelay)
					assert.Equal(t, len(n.heldLost(upTo(smallNetwork.entries))), 0)
					for e, o := range n.observers {
						n.checkBeliefs(t, e)
						assert.Assert(t, !o.PathCut(), "instance %d", e)
					}
				})
			}
		}
	}
}

// knowsAll reports whether an entry instance holds all of the servers for lost for all.
func (n *network) knowsAll(entry int, servers []provider.Instance) bool {
	known := true
	n.observers[entry].WithTracker(func(t *tracker.Tracker) {
		for _, in := range servers {
			known = known && t.LostForAll(in.ID)
		}
	})
	return known
}

// TestCrashIsKnownToAll guards against a crash being taken for a path that fails, or being
// found late, alone or beside the failing paths of many entry instances.
func TestCrashIsKnownToAll(t *testing.T) {
	for name, failure := range map[string]error{"silent": errNoResponse, "refused": syscall.ECONNREFUSED} {
		for _, count := range []int{1, 12} {
			for _, cut := range []int{0, 3} {
				t.Run(name+" "+strconv.Itoa(count)+" beside "+strconv.Itoa(cut), func(t *testing.T) {
					t.Parallel()
					n := newNetwork(t, smallNetwork)
					time.Sleep(100 * time.Millisecond)
					servers := n.shuffled()
					crashed := servers[:count]
					n.cut(upTo(cut), servers[count:], errNoResponse)
					n.crash(crashed, failure)
					sound := upTo(smallNetwork.entries)[cut:]
					began := time.Now()
					for !n.knowAll(sound, crashed) && time.Since(began) < beliefDelay {
						time.Sleep(5 * time.Millisecond)
					}
					took := time.Since(began)
					t.Logf("known to all after %s", took)
					assert.Assert(t, took < lossDelay, "known to all after %s but %v", took, n.unknown(sound, crashed))
					assert.Equal(t, len(n.heldLost(sound)), len(sound)*count)
					for _, e := range sound {
						assert.Assert(t, !n.observers[e].PathCut(), "instance %d", e)
					}
				})
			}
		}
	}
}

func (n *network) knowAll(entries []int, servers []provider.Instance) bool {
	return !slices.ContainsFunc(entries, func(e int) bool { return !n.knowsAll(e, servers) })
}

// unknown returns the pairs of entry instances with crashed servers that they don't hold for
// lost for all.
func (n *network) unknown(entries []int, crashed []provider.Instance) []pair {
	var missing []pair
	for _, e := range entries {
		for _, in := range crashed {
			if !n.knowsAll(e, []provider.Instance{in}) {
				missing = append(missing, pair{e, in.ID})
			}
		}
	}
	return missing
}

// upTo returns the numbers below n.
func upTo(n int) []int {
	var all []int
	for i := range n {
		all = append(all, i)
	}
	return all
}
