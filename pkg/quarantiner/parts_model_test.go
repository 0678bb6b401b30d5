package quarantiner

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The bounds of the users' documentation: at most allowedRequests requests with a part
// that crashes servers are sent to servers later than crashAllowance after the fifth
// crash. From twice that time on, sound requests with the same first part begin at the
// first attempt at least half as often as before.
const (
	countedCrashes  = 5
	crashAllowance  = 3 * time.Second
	allowedRequests = 3
	soundShare      = 0.5
)

// Times and rates of the model.
const (
	modelEnd         = 40 * time.Second
	crashingFrom     = 10 * time.Second
	rackFailureAt    = 6 * time.Second
	rackSites        = 5
	seriesFrom       = 2 * time.Second
	seriesInterval   = 400 * time.Millisecond
	seriesSites      = 8
	modelTick        = 50 * time.Millisecond
	prefillTime      = 200 * time.Millisecond
	crashDelay       = 100 * time.Millisecond
	runTime          = 2 * time.Second
	respawnTime      = 3 * time.Second
	soundRunTime     = time.Second
	crashingInterval = 160 * time.Millisecond
	soundInterval    = 20 * time.Millisecond
	modelSites       = 20
	modelAttempts    = 2
	callerCount      = 4
	middleCount      = 30
	crashing         = Part(666)
)

var modelLimits = PartLimits{
	Sites: 3, Requests: 3, Span: 300 * time.Millisecond, Share: 0.5, ShareMargin: time.Second, ClearedSites: 5, ClearedSpan: time.Second, ClearedExpiry: 20 * time.Second,
	Trust: 2 * time.Second, Settling: 250 * time.Millisecond, Expiry: 5 * time.Minute,
	SiteCapacity: 128, PartCapacity: 4096, PartsPerSite: 256, PartsPerRequest: 32,
}

// model is a set of entry instances that send requests to sites, some of which crash.
type model struct {
	random  *rand.Rand
	now     time.Duration
	events  eventQueue
	entries []*PartQuarantine
	sites   []*modelSite
	nextRun Fingerprint
	// crashes are the times at which a request with the crashing part ended a site.
	crashes []time.Duration
	// sent are the times at which such requests reached sites.
	sent []time.Duration
	// sound counts the sound requests of the caller of the crashing ones, and refused
	// those of them that were refused, from 2 x crashAllowance after the fifth crash.
	sound, refused int
	// arrived counts all sound requests, and refusedEver those that were refused.
	arrived, refusedEver int
}

type modelSite struct {
	name        string
	incarnation int
	down        bool
	running     []*modelRun
}

// modelRun is one attempt of a request at a site.
type modelRun struct {
	request  *modelRequest
	site     *modelSite
	attempt  int
	began    time.Duration
	writing  bool
	sound    bool
	finished bool
}

type modelRequest struct {
	id       Fingerprint
	entry    int
	parts    []Part
	crashing bool
}

type modelEvent struct {
	at time.Duration
	do func()
}

type eventQueue []modelEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)        { *q = append(*q, e.(modelEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newModel(seed uint64, entries int) *model {
	m := &model{random: rand.New(rand.NewPCG(seed, 37))}
	for range entries {
		m.entries = append(m.entries, NewPartQuarantine(modelLimits))
	}
	for i := range modelSites {
		m.sites = append(m.sites, &modelSite{name: fmt.Sprint("s", i)})
	}
	return m
}

var modelStart = time.Unix(1_000_000, 0)

func (m *model) clock() time.Time { return modelStart.Add(m.now) }

func (m *model) after(d time.Duration, do func()) {
	heap.Push(&m.events, modelEvent{at: m.now + d, do: do})
}

func (m *model) between(low, high time.Duration) time.Duration {
	return low + time.Duration(m.random.Int64N(int64(high-low)))
}

// every calls do at random times with that mean interval.
func (m *model) every(from, interval time.Duration, do func()) {
	m.after(from, func() { m.repeat(interval, do) })
}

func (m *model) repeat(interval time.Duration, do func()) {
	do()
	m.after(time.Duration(m.random.ExpFloat64()*float64(interval)), func() { m.repeat(interval, do) })
}

func (m *model) run() {
	for len(m.events) > 0 && m.events[0].at < modelEnd {
		e := heap.Pop(&m.events).(modelEvent)
		m.now = e.at
		e.do()
	}
}

// popular returns a number below n; low numbers are the more frequent ones.
func (m *model) popular(n int) int {
	return int(float64(n) * m.random.Float64() * m.random.Float64() * m.random.Float64())
}

func (m *model) middle() Part { return Part(100 + m.popular(middleCount)) }

func (m *model) sendSound() {
	caller := m.popular(callerCount)
	m.arrive([]Part{Part(1 + caller), m.middle()}, false)
}

// sendCrashing sends a request of the first caller with the crashing part before or
// after a shared one.
func (m *model) sendCrashing() {
	parts := []Part{1, crashing, m.middle()}
	if m.random.IntN(2) == 0 {
		parts[1], parts[2] = parts[2], parts[1]
	}
	m.arrive(parts, true)
}

func (m *model) arrive(parts []Part, crashes bool) {
	m.nextRun++
	r := &modelRequest{id: m.nextRun, entry: m.random.IntN(len(m.entries)), parts: parts, crashing: crashes}
	_, blocked := m.entries[r.entry].Blocked(parts)
	if !crashes && parts[0] == 1 && len(m.crashes) >= countedCrashes && m.now > m.crashes[countedCrashes-1]+2*crashAllowance {
		m.sound++
		if blocked {
			m.refused++
		}
	}
	if !crashes {
		m.arrived++
	}
	if !crashes && blocked {
		m.refusedEver++
	}
	if !blocked {
		m.start(r, 1)
	}
}

// start sends a request to a random site.
func (m *model) start(r *modelRequest, attempt int) {
	site := m.sites[m.random.IntN(len(m.sites))]
	for range len(m.sites) {
		if !site.down {
			break
		}
		site = m.sites[m.random.IntN(len(m.sites))]
	}
	if site.down {
		return
	}
	run := &modelRun{request: r, site: site, attempt: attempt}
	site.running = append(site.running, run)
	if r.crashing {
		m.sent = append(m.sent, m.now)
	}
	m.after(m.between(prefillTime/2, 2*prefillTime), func() { m.begin(run) })
}

func (m *model) begin(run *modelRun) {
	if run.finished {
		return
	}
	if run.request.crashing {
		m.after(crashDelay, func() {
			if !run.finished {
				m.crashes = append(m.crashes, m.now)
				m.crash(run.site)
			}
		})
		return
	}
	run.began, run.writing = m.now, true
	m.after(soundRunTime, func() { m.clear(run) })
	m.after(m.between(runTime/2, runTime*3/2), func() { m.finish(run) })
}

func (m *model) clear(run *modelRun) {
	if run.finished {
		return
	}
	run.sound = true
	m.entries[run.request.entry].Clear(m.clock(), modelStart.Add(run.began), run.request.parts)
}

func (m *model) finish(run *modelRun) {
	if !run.finished {
		m.clear(run)
		run.end()
	}
}

// end removes a run from its site.
func (r *modelRun) end() {
	r.finished = true
	r.site.running = slices.DeleteFunc(r.site.running, func(other *modelRun) bool { return other == r })
}

// crash ends a site with all its runs, and brings it back later.
func (m *model) crash(site *modelSite) {
	site.down = true
	name := fmt.Sprint(site.name, "/", site.incarnation)
	crashedAt := m.clock()
	detection := m.between(200*time.Millisecond, 1200*time.Millisecond)
	for _, run := range site.running {
		run.finished = true
		m.after(min(detection, m.between(200*time.Millisecond, 1200*time.Millisecond)), func() { m.strike(run, name, crashedAt) })
		m.after(m.between(time.Millisecond, 10*time.Millisecond), func() { m.retry(run) })
	}
	site.running = nil
	m.after(respawnTime, func() { site.down, site.incarnation = false, site.incarnation+1 })
}

func (m *model) retry(run *modelRun) {
	_, blocked := m.entries[run.request.entry].Blocked(run.request.parts)
	if run.attempt < modelAttempts && !blocked {
		m.start(run.request, run.attempt+1)
	}
}

func (m *model) strike(run *modelRun, site string, crashedAt time.Time) {
	own := m.entries[run.request.entry]
	s := Strike{Fingerprint: run.request.id, Site: site, Age: m.clock().Sub(crashedAt)}
	if !run.sound {
		s.Parts = own.Suspects(crashedAt, run.request.parts)
	}
	own.RecordStrike(m.clock(), s)
	m.broadcast(run.request.entry, func(peer *PartQuarantine) { peer.RecordStrike(m.clock(), s) })
}

// broadcast delivers a message to each peer; one in twenty is lost.
func (m *model) broadcast(from int, deliver func(*PartQuarantine)) {
	for i := range m.entries {
		if i != from && m.random.IntN(20) > 0 {
			m.after(m.between(50*time.Millisecond, 300*time.Millisecond), func() { deliver(m.entries[i]) })
		}
	}
}

// tick judges the evidence at all entry instances, and cancels the runs that a server has
// not begun to write.
func (m *model) tick() {
	for i, e := range m.entries {
		changes := e.Advance(m.clock())
		if len(changes.Clearances) > 0 {
			m.broadcast(i, func(peer *PartQuarantine) {
				for _, c := range changes.Clearances {
					peer.RecordClearance(m.clock(), c)
				}
			})
		}
		if len(changes.Blocked) > 0 {
			m.cancelBlocked(i)
		}
	}
	m.after(modelTick, m.tick)
}

func (m *model) cancelBlocked(entry int) {
	for _, site := range m.sites {
		for _, run := range slices.Clone(site.running) {
			if _, blocked := m.entries[entry].Blocked(run.request.parts); blocked && run.request.entry == entry && !run.writing {
				run.end()
			}
		}
	}
}

// failRack ends several sites at one moment.
func (m *model) failRack() {
	for _, i := range m.random.Perm(len(m.sites))[:rackSites] {
		m.fail(m.sites[i])
	}
}

// failSeries ends several sites one after the other.
func (m *model) failSeries() {
	for n, i := range m.random.Perm(len(m.sites))[:seriesSites] {
		m.after(time.Duration(n)*seriesInterval, func() { m.fail(m.sites[i]) })
	}
}

func (m *model) fail(site *modelSite) {
	if !site.down {
		m.crash(site)
	}
}

// restartEntry replaces an entry instance by a new one that has fetched what a peer
// knows.
func (m *model) restartEntry(i int) {
	peer := m.entries[(i+1)%len(m.entries)]
	fresh := NewPartQuarantine(modelLimits)
	for _, s := range peer.AllStrikes(m.clock()) {
		fresh.RecordStrike(m.clock(), s)
	}
	for _, c := range peer.AllClearances(m.clock()) {
		fresh.RecordClearance(m.clock(), c)
	}
	m.entries[i] = fresh
}

// TestPartsModel guards against more requests with a part that crashes servers being sent
// to servers than the users allow, and against a sound part being blocked because it runs
// beside that part, shares prompts with it, or ran on servers that failed together or one
// after the other. Eight servers fail in a row and five at one moment before the first such
// request, and an entry instance restarts while they come.
func TestPartsModel(t *testing.T) {
	for _, entries := range []int{3, 7, 20} {
		for seed := range uint64(100) {
			t.Run(fmt.Sprintf("%d-%d", entries, seed), func(t *testing.T) {
				m := newModel(seed, entries)
				m.tick()
				m.every(0, soundInterval, m.sendSound)
				m.every(crashingFrom, crashingInterval, m.sendCrashing)
				m.after(seriesFrom, m.failSeries)
				m.after(rackFailureAt, m.failRack)
				m.after(rackFailureAt+crashAllowance, func() { m.checkBlocked(t, false) })
				m.after(crashingFrom+2*crashAllowance, func() { m.restartEntry(int(seed) % entries) })
				m.run()

				late := 0
				for _, at := range m.sent {
					if len(m.crashes) >= countedCrashes && at > m.crashes[countedCrashes-1]+crashAllowance {
						late++
					}
				}
				assert.Assert(t, late <= allowedRequests, "%d requests were sent later than %s after the fifth crash", late, crashAllowance)
				share := float64(m.sound-m.refused) / float64(max(1, m.sound))
				assert.Assert(t, share >= soundShare, "%d of %d sound requests were refused", m.refused, m.sound)
				m.checkBlocked(t, true)
				t.Logf("%d crashes, %d requests late; refused were %d of %d sound requests of the caller, and %d of %d in all", len(m.crashes), late, m.refused, m.sound, m.refusedEver, m.arrived)
			})
		}
	}
}

// checkBlocked checks that all entry instances block the crashing part, or nothing.
func (m *model) checkBlocked(t *testing.T, crashingBlocked bool) {
	t.Helper()
	for i, e := range m.entries {
		_, found := e.Blocked([]Part{crashing})
		assert.Assert(t, found == crashingBlocked, "entry instance %d: crashing part blocked: %t", i, found)
		for part := range e.blocked {
			assert.Assert(t, part == crashing, "entry instance %d blocks the sound part %s", i, part)
		}
	}
}

// BenchmarkAdvance measures a judgement over as many crashes as are held, with the parts
// of 30 requests at each.
func BenchmarkAdvance(b *testing.B) {
	q := NewPartQuarantine(modelLimits)
	random := rand.New(rand.NewPCG(1, 37))
	strike := func(site, request int) {
		parts := []Part{Part(random.IntN(4)), Part(100 + random.IntN(400)), Part(1000 + request)}
		q.RecordStrike(modelStart, Strike{Fingerprint: Fingerprint(request), Site: fmt.Sprint(site), Parts: parts, Age: time.Duration(site) * time.Second})
	}
	for i := range modelLimits.SiteCapacity * 30 {
		strike(i/30, i)
	}
	for i := 0; b.Loop(); i++ {
		strike(0, i)
		q.Advance(modelStart.Add(time.Second))
	}
}
