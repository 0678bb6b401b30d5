package observer

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/internal/messenger"
	"github.com/waxwingmount/waxwingmount/pkg/assigner"
	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
	"github.com/waxwingmount/waxwingmount/pkg/tracker"
)

const (
	// messageDelay is the time that a message takes from one entry instance to another, and
	// probeDelay the time in which a server that is reached responds.
	messageDelay = 2 * time.Millisecond
	probeDelay   = 3 * time.Millisecond
	// noticeDelay is how long a request makes no progress before its servers are suspected.
	noticeDelay = 170 * time.Millisecond
)

// network is a platform with several entry instances, each of which may be cut off from any
// of the backend servers.
type network struct {
	size      networkSize
	entries   []*entry
	observers []*Observer
	instances []provider.Instance
	config    *mapper.RouteTable

	mu sync.Mutex
	// failures holds the error of a probe, or nil for none, of pairs that are cut.
	failures map[pair]error
	// crashed holds the error of a probe of a server that has crashed.
	crashed map[string]error

	probes, announcements, inquiries, rumors atomic.Int64
}

// pair is an entry instance and a backend server.
type pair struct {
	entry  int
	server string
}

// networkSize is the size of a network.
type networkSize struct {
	entries, groups, plain, domains int
	// degree is the number of peers to which an announcement is sent, which pass it on, or
	// zero for all.
	degree int
}

const groupMembers = 4

var smallNetwork = networkSize{entries: 7, groups: 12, plain: 12, domains: 6}

func newNetwork(t *testing.T, size networkSize) *network {
	t.Helper()
	n := &network{size: size, failures: make(map[pair]error), crashed: make(map[string]error)}
	for g := range size.groups {
		for rank := range groupMembers {
			state := provider.MemberReady
			if rank == 0 {
				state = provider.Serving
			}
			n.instances = append(n.instances, provider.Instance{
				ID: "g" + strconv.Itoa(g) + "-" + strconv.Itoa(rank), Incarnation: "1", Service: "engines", FabricDomain: strconv.Itoa(g % size.domains),
				Membership: provider.Membership{Group: "m~" + strconv.Itoa(g), Epoch: 1, Rank: rank, State: state},
			})
		}
	}
	for i := range size.plain {
		n.instances = append(n.instances, provider.Instance{ID: "p" + strconv.Itoa(i), Incarnation: "1", Service: "plain"})
	}
	n.config = mapper.New(mapper.Config{Version: 1, Services: []mapper.Service{
		{Name: "engines", Engine: &mapper.Engine{Models: []mapper.Model{{Name: "m", Size: groupMembers, Pace: 1, Share: 1}}}}, {Name: "plain"},
	}})
	for i := range size.entries {
		e := &entry{network: n, index: i}
		n.entries = append(n.entries, e)
		n.observers = append(n.observers, New(Dependencies{Source: e, Prober: e, Announcer: e, Scope: tally.NoopScope}))
	}
	for _, o := range n.observers {
		o.poll(t.Context())
		o.Start(t.Context())
	}
	for i := range n.observers {
		go n.trafficLoop(t.Context(), i)
	}
	return n
}

// entry is the platform and the peers of one of the network's entry instances.
type entry struct {
	network *network
	index   int
	// seen holds the announcements that it has sent or received.
	seen sync.Map
}

func (*entry) Interval() time.Duration { return 0 }

func (e *entry) Fetch(context.Context, bool) (Snapshot, error) {
	now := clocker.Now()
	return Snapshot{ListedAt: now, Instances: e.network.instances, Config: e.network.config, ConfirmedAt: now}, nil
}

func (e *entry) Probe(ctx context.Context, in provider.Instance, timeout time.Duration) error {
	e.network.probes.Add(1)
	err := e.network.failure(e.index, in.ID)
	delay := probeDelay
	if err == errNoResponse {
		delay = timeout
	}
	if !sleep(ctx, delay) {
		return ctx.Err()
	}
	return err
}

func (e *entry) Count() int { return len(e.network.observers) }

func (e *entry) Announce(_ context.Context, message messenger.LossesMessage) {
	message.Rumor = strconv.FormatInt(e.network.rumors.Add(1), 10)
	e.seen.Store(message.Rumor, true)
	e.spread(message)
}

func (e *entry) spread(message messenger.LossesMessage) {
	n := e.network
	recipients := slices.Delete(upTo(len(n.entries)), e.index, e.index+1)
	if n.size.degree > 0 {
		rand.Shuffle(len(recipients), func(i, j int) { recipients[i], recipients[j] = recipients[j], recipients[i] })
		recipients = recipients[:n.size.degree]
	}
	for _, i := range recipients {
		n.announcements.Add(1)
		time.AfterFunc(messageDelay, func() { n.entries[i].receive(message) })
	}
}

func (e *entry) receive(message messenger.LossesMessage) {
	if _, known := e.seen.LoadOrStore(message.Rumor, true); known {
		return
	}
	if e.network.observers[e.index].HandleLosses(message) && e.network.size.degree > 0 {
		e.spread(message)
	}
}

// AskWitnesses asks the entry instances to which the server is assigned.
func (e *entry) AskWitnesses(ctx context.Context, in provider.Instance, round int) []tracker.Testimony {
	var ids []string
	for i := range e.network.observers {
		if i != e.index {
			ids = append(ids, strconv.Itoa(i))
		}
	}
	var witnesses []int
	for _, id := range assigner.Round(assigner.Assign(in.ID, ids, len(ids)), 3, round) {
		i, _ := strconv.Atoi(id)
		witnesses = append(witnesses, i)
	}
	answers := make(chan tracker.Testimony, len(witnesses))
	for _, w := range witnesses {
		e.network.inquiries.Add(1)
		go func() {
			sleep(ctx, messageDelay)
			answers <- e.network.observers[w].Testify(ctx, messenger.Loss{Instance: in.ID, Incarnation: in.Incarnation})
		}()
	}
	received := make([]tracker.Testimony, len(witnesses))
	for i := range received {
		if received[i] = <-answers; received[i] == tracker.Reached {
			break
		}
	}
	sleep(ctx, messageDelay)
	return received
}

// failure returns the error of a probe of a server by an entry instance.
func (n *network) failure(entry int, server string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err, crashed := n.crashed[server]; crashed {
		return err
	}
	return n.failures[pair{entry, server}]
}

// cut makes servers unreachable from some entry instances, with that error.
func (n *network) cut(entries []int, servers []provider.Instance, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, e := range entries {
		for _, in := range servers {
			n.failures[pair{e, in.ID}] = err
		}
	}
}

func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.failures)
}

// crash makes servers fail for all, with that error.
func (n *network) crash(servers []provider.Instance, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, in := range servers {
		n.crashed[in.ID] = err
	}
}

// trafficLoop has an entry instance suspect the servers of requests that it would send, some
// time after they have stopped responding.
func (n *network) trafficLoop(ctx context.Context, entry int) {
	o := n.observers[entry]
	for sleep(ctx, 20*time.Millisecond) {
		var members []provider.Instance
		if groups := o.Groups("engines", "m"); len(groups) > 0 {
			members = append(members, groups[rand.IntN(len(groups))].Members...)
		}
		if servers := o.Servers("plain"); len(servers) > 0 {
			members = append(members, servers[rand.IntN(len(servers))])
		}
		if slices.ContainsFunc(members, func(in provider.Instance) bool { return n.failure(entry, in.ID) != nil }) {
			time.AfterFunc(noticeDelay, func() { o.Suspect(ctx, members) })
		}
	}
}

// heldLost returns the pairs of the given entry instances with servers that they hold for lost.
func (n *network) heldLost(entries []int) []pair {
	var held []pair
	for _, e := range entries {
		n.observers[e].WithTracker(func(t *tracker.Tracker) {
			for _, in := range n.instances {
				if t.IsLost(in.ID) {
					held = append(held, pair{e, in.ID})
				}
			}
		})
	}
	return held
}

// TestPartitionedInstancesSpreadNoLosses guards against entry instances that lose the path to
// all servers but a few making the others, whose path is sound, hold sound servers for lost.
func TestPartitionedInstancesSpreadNoLosses(t *testing.T) {
	for name, failure := range map[string]error{"silent": errNoResponse, "refused": syscall.ECONNREFUSED, "reset": syscall.ECONNRESET} {
		for _, reached := range []int{0, 1, 2} {
			t.Run(name+" but "+strconv.Itoa(reached), func(t *testing.T) {
				t.Parallel()
				n := newNetwork(t, smallNetwork)
				time.Sleep(100 * time.Millisecond)
				cut, sound := []int{0, 1}, []int{2, 3, 4, 5, 6}
				servers := slices.Clone(n.instances)
				rand.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
				n.cut(cut, servers[reached:], failure)
				for began := time.Now(); time.Since(began) < 3*time.Second; time.Sleep(20 * time.Millisecond) {
					held := n.heldLost(sound)
					assert.Assert(t, len(held) == 0, "%d sound servers held for lost at instances with a sound path", len(held))
				}
			})
		}
	}
}
