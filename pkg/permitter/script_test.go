package permitter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

const (
	testTick = 5 * time.Millisecond
	// testLatency is the time from a message or a request to its reply.
	testLatency = 2 * testTick
	// ruleWindow and the figures below are the users' rule: in no ruleWindow may the
	// entry instances that were told of a limit at least toldFor before send more
	// than ruleFactor times what it allows and ruleSlack more.
	ruleWindow = 4 * time.Second
	ruleFactor = 1.5
	ruleSlack  = 5
	toldFor    = 500 * time.Millisecond
	// gossipInterval and gossipPeers say how often an entry instance tells how many
	// others of the limits that it knows.
	gossipInterval = 300 * time.Millisecond
	gossipPeers    = 12
)

// world is one backend server and the entry instances that send requests to it.
type world struct {
	now    time.Time
	random *rand.Rand
	server RateLimit
	// entries are the entry instances, issuers the permit owners; entry i asks
	// issuers[owner(i)].
	entries []*entry
	issuers []*Issuer
	owner   func(entry int) int
	events  map[time.Time][]func()
	// counted holds when told entry instances sent requests.
	counted []time.Time
	sent    int
}

// entry is an entry instance.
type entry struct {
	limits *ServerLimits
	told   time.Time
	// cut says that its requests to permit owners fail.
	cut bool
}

func newWorld(entries int) *world {
	w := &world{
		now: time.Unix(0, 0), random: rand.New(rand.NewPCG(1, 2)),
		owner: func(int) int { return 0 }, events: make(map[time.Time][]func()),
	}
	for range entries {
		w.entries = append(w.entries, &entry{limits: NewServerLimits()})
	}
	w.addIssuer()
	return w
}

func (w *world) addIssuer() { w.issuers = append(w.issuers, NewIssuer(w.random.Float64)) }

// later calls do after the latency of a message.
func (w *world) later(do func()) {
	at := w.now.Add(testLatency)
	w.events[at] = append(w.events[at], do)
}

// run lets each entry instance have perSecond requests a second, which other
// servers can take as well.
func (w *world) run(duration time.Duration, perSecond float64) {
	w.counted, w.sent = nil, 0
	for range int(duration / testTick) {
		w.now = w.now.Add(testTick)
		for _, do := range w.events[w.now] {
			do()
		}
		delete(w.events, w.now)
		if w.now.UnixNano()%int64(gossipInterval) == 0 {
			w.gossip()
		}
		for i, e := range w.entries {
			if w.random.Float64() < perSecond*testTick.Seconds() {
				w.offer(e)
			}
			w.requestPermits(i, e)
		}
	}
}

// gossip makes each entry instance tell some others of the limits that it knows.
func (w *world) gossip() {
	for _, e := range w.entries {
		statements := e.limits.Statements(w.now)
		for _, i := range w.random.Perm(len(w.entries))[:min(gossipPeers, len(w.entries))] {
			peer := w.entries[i]
			w.later(func() { peer.limits.Merge(w.now, statements) })
		}
	}
}

// offer sends a request to the server if the entry instance may, and asks for a
// permit otherwise.
func (w *world) offer(e *entry) {
	if !e.limits.Usable(w.now, "s") {
		e.limits.Want(w.now, "s")
		return
	}
	e.limits.Use("s")
	w.sent++
	if !e.told.IsZero() && w.now.Sub(e.told) >= toldFor {
		w.counted = append(w.counted, w.now)
	}
	sentAt, limit := w.now, w.server
	w.later(func() {
		if limit.Limited && e.told.IsZero() {
			e.told = w.now
		}
		e.limits.Observe(w.now, sentAt, "s", limit)
	})
}

func (w *world) requestPermits(i int, e *entry) {
	for _, request := range e.limits.Requests(w.now) {
		sentAt := w.now
		if e.cut {
			w.later(func() { e.limits.Fail(w.now, request.Server) })
			continue
		}
		reply := w.issuers[w.owner(i)].Issue(w.now, request)
		w.later(func() { e.limits.Complete(w.now, sentAt, request.Server, reply) })
	}
}

// most returns the largest number of counted requests in any ruleWindow.
func (w *world) most() int {
	most := 0
	for i := range w.counted {
		n := 0
		for _, at := range w.counted[i:] {
			if at.Sub(w.counted[i]) < ruleWindow {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// TestPermitScripts guards against a server with a limit getting more requests, from
// all entry instances together, than the users' rule allows, and against it getting
// hardly any. It runs the scripts in testdata. Commands:
//
//	entries n=N             creates entry instances, none of which knows a limit
//	server [limit=L]        makes the server state a limit, or none
//	run ms=T demand=D       lets each entry instance have D requests a second
//	new_owner [from=I]      makes a new instance the permit owner for all entry
//	                        instances from number I on
//	cut entry=I / heal entry=I   its requests to permit owners fail
func TestPermitScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var w *world
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			number := func(key string) int {
				value := 0
				d.MaybeScanArgs(t, key, &value)
				return value
			}
			switch d.Cmd {
			case "entries":
				w = newWorld(number("n"))
			case "server":
				w.server = RateLimit{Limited: d.HasArg("limit")}
				for _, e := range w.entries {
					e.told = time.Time{}
				}
				if d.HasArg("limit") {
					text := ""
					d.ScanArgs(t, "limit", &text)
					if _, err := fmt.Sscan(text, &w.server.PerSecond); err != nil {
						t.Fatal(err)
					}
				}
			case "run":
				w.run(time.Duration(number("ms"))*time.Millisecond, float64(number("demand")))
				return w.report()
			case "new_owner":
				w.addIssuer()
				newest, from, previous := len(w.issuers)-1, number("from"), w.owner
				w.owner = func(i int) int {
					if i >= from {
						return newest
					}
					return previous(i)
				}
			case "cut", "heal":
				w.entries[number("entry")].cut = d.Cmd == "cut"
			default:
				t.Fatalf("unknown command %s", d.Cmd)
			}
			return ""
		})
	})
}

// report says whether the rule was kept, and how much of the limit was used.
func (w *world) report() string {
	if !w.server.Limited {
		return fmt.Sprintf("%d sent\n", w.sent)
	}
	allowed := ruleFactor*w.server.PerSecond*ruleWindow.Seconds() + ruleSlack
	verdict := "kept"
	if float64(w.most()) > allowed {
		verdict = "broken"
	}
	return fmt.Sprintf("%s: at most %d of %.1f in 4 s; %d sent\n", verdict, w.most(), allowed, w.sent)
}
