package reclaimer

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/pkg/bounder"
	"github.com/waxwingmount/waxwingmount/pkg/faulter"
)

var start = time.Unix(0, 0)

// script runs the commands of a file of testdata.
type script struct {
	reclaimer         *Reclaimer[string]
	conns             map[string]*Conn[string]
	claims            map[string]*Claim[string]
	head, idleTimeout time.Duration
}

// TestScripts runs the scripts of testdata. A line is a command, or with ">" what the command
// before it returns.
func TestScripts(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.txt")
	assert.NilError(t, err)
	assert.Assert(t, len(paths) > 0)
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) { runScript(t, path) })
	}
}

func runScript(t *testing.T, path string) {
	file, err := os.Open(path)
	assert.NilError(t, err)
	defer file.Close()
	s := &script{conns: make(map[string]*Conn[string]), claims: make(map[string]*Claim[string])}
	var got []string
	lines := bufio.NewScanner(file)
	last := ""
	for number := 1; lines.Scan(); number++ {
		line := strings.TrimSpace(lines.Text())
		switch {
		case line == "" || strings.HasPrefix(line, "#"):
		case strings.HasPrefix(line, ">"):
			assert.Assert(t, len(got) > 0, "line %d: nothing more after %q", number, last)
			assert.Equal(t, got[0], strings.TrimSpace(line[1:]), "line %d, after %q", number, last)
			got = got[1:]
		default:
			assert.Equal(t, len(got), 0, "line %d: %q returns also %q", number, last, got)
			got, last = s.run(t, strings.Fields(line)), line
		}
	}
	assert.Equal(t, len(got), 0, "%q returns also %q", last, got)
}

// run runs one command and returns what it returns.
func (s *script) run(t *testing.T, fields []string) []string {
	switch fields[0] {
	case "limits":
		var l Limits
		_, err := fmt.Sscanf(strings.Join(fields[1:2], ""), "memory=%d", &l.Memory)
		assert.NilError(t, err)
		_, err = fmt.Sscanf(fields[2], "connections=%d", &l.Connections)
		assert.NilError(t, err)
		l.Memory <<= 10
		l.Grace = duration(t, strings.TrimPrefix(fields[3], "grace="))
		s.reclaimer = New[string](l)
		return nil
	case "timeouts":
		s.head = duration(t, strings.TrimPrefix(fields[1], "head="))
		s.idleTimeout = duration(t, strings.TrimPrefix(fields[2], "idle="))
		return nil
	}
	now, command := start.Add(duration(t, fields[0])), fields[1]
	switch command {
	case "expire":
		return victims(s.reclaimer.Expire(now, s.head, s.idleTimeout), nil)
	case "used":
		return []string{strconv.FormatInt(s.reclaimer.Used()>>10, 10)}
	case "connections":
		return []string{strconv.Itoa(s.reclaimer.Connections())}
	}
	return s.runOn(t, now, command, fields[2], fields[3:])
}

// runOn runs a command on a connection or its claim.
func (s *script) runOn(t *testing.T, now time.Time, command, name string, arguments []string) []string {
	number := func() int64 {
		n, err := strconv.ParseInt(arguments[0], 10, 64)
		assert.NilError(t, err)
		return n
	}
	switch command {
	case "open":
		conn, given, err := s.reclaimer.Open(now, name)
		s.conns[name] = conn
		return victims(given, err)
	case "begin":
		s.conns[name].BeginHead(now)
	case "serve":
		s.conns[name].Serve(now)
	case "rest":
		s.conns[name].Rest(now)
	case "unread":
		s.conns[name].SetUnread(start.Add(duration(t, arguments[0])))
	case "close":
		s.conns[name].Close()
	case "claim":
		s.claims[name] = s.conns[name].NewClaim(now, name)
	case "advance":
		s.claims[name].Advance(now, number())
	case "resize":
		return victims(s.claims[name].Resize(now, number()<<10))
	case "complete":
		s.claims[name].Complete()
	case "release":
		s.claims[name].Close()
	default:
		t.Fatalf("unknown command %q", command)
	}
	return nil
}

func duration(t *testing.T, text string) time.Duration {
	d, err := time.ParseDuration(text)
	assert.NilError(t, err)
	return d
}

// victims returns each victim and the kind of the error as a text.
func victims(given []Victim[string], err error) []string {
	var texts []string
	for _, v := range given {
		texts = append(texts, v.Reason.String()+" "+v.Owner)
	}
	if kind, found := faulter.KindOf[Kind](err); found {
		texts = append(texts, map[Kind]string{KindNoMemory: "no_memory", KindNoConnection: "no_connection", KindReclaimed: "reclaimed"}[kind])
	}
	return texts
}

// FuzzReclaimer plays random orders of events against what holds in each of them.
func FuzzReclaimer(f *testing.F) {
	for seed := range uint64(50) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		m := &model{
			t: t, random: rand.New(rand.NewPCG(seed, 0)), now: start,
			limits: Limits{Memory: 256 << 10, Connections: 6, Grace: time.Second},
		}
		m.reclaimer = New[any](m.limits)
		for range 2000 {
			m.step()
			m.check()
		}
	})
}

// model repeats what a Reclaimer knows, in the plainest form.
type model struct {
	t         *testing.T
	random    *rand.Rand
	limits    Limits
	reclaimer *Reclaimer[any]
	now       time.Time
	// conns holds the open connections in the order of their opening.
	conns []*modelConn
}

type modelConn struct {
	conn   *Conn[any]
	claims []*modelClaim
}

type modelClaim struct {
	claim    *Claim[any]
	of       *modelConn
	size     int64
	complete bool
	// progressAt is when the last progressBytes had arrived, with fresh bytes since.
	progressAt time.Time
	fresh      int64
	ended      bool
}

func (m *model) step() {
	m.now = m.now.Add(time.Duration(m.random.IntN(300)) * time.Millisecond)
	if len(m.conns) == 0 || m.random.IntN(4) == 0 {
		c := &modelConn{}
		full := len(m.conns) >= m.limits.Connections
		conn, given, err := m.reclaimer.Open(m.now, c)
		assert.Assert(m.t, full || (err == nil && len(given) == 0), "a connection gave way without need")
		m.bury(given)
		if c.conn = conn; err == nil {
			m.conns = append(m.conns, c)
		}
		return
	}
	c := m.conns[m.random.IntN(len(m.conns))]
	switch m.random.IntN(10) {
	case 0:
		c.conn.Close()
		for _, claim := range c.claims {
			claim.claim.Close()
			claim.ended = true
		}
		m.forget(c)
	case 1:
		c.conn.Rest(m.now)
	case 2:
		c.conn.Serve(m.now)
	case 3:
		claim := &modelClaim{of: c, progressAt: m.now}
		claim.claim = c.conn.NewClaim(m.now, claim)
		c.claims = append(c.claims, claim)
	case 4:
		m.bury(m.reclaimer.Expire(m.now, time.Minute, time.Minute))
	default:
		if len(c.claims) > 0 {
			m.stepClaim(c.claims[m.random.IntN(len(c.claims))])
		}
	}
}

// forget removes a connection and reports whether it was open.
func (m *model) forget(c *modelConn) bool {
	i := slices.Index(m.conns, c)
	if i < 0 {
		return false
	}
	m.conns = slices.Delete(m.conns, i, i+1)
	return true
}

func (m *model) stepClaim(c *modelClaim) {
	switch m.random.IntN(6) {
	case 0:
		c.claim.Complete()
		c.complete = true
	case 1:
		c.claim.Close()
		c.ended, c.size = true, 0
	default:
		arrived := m.random.Int64N(40 << 10)
		c.claim.Advance(m.now, arrived)
		if c.fresh += arrived; c.fresh >= progressBytes {
			c.progressAt, c.fresh = m.now, 0
		}
		size := c.size + arrived
		short := m.used()+arrived > m.limits.Memory-m.limits.Memory/reserveDivisor
		given, err := c.claim.Resize(m.now, size)
		assert.Assert(m.t, short || len(given) == 0, "a request gave way without need")
		assert.Assert(m.t, err == nil || len(given) == 0, "a request gave way in vain")
		assert.Assert(m.t, err == nil || short || c.ended, "memory was refused without need: %v", err)
		m.bury(given)
		if err == nil {
			c.size = size
		}
	}
}

// bury removes victims, and checks that they were ones that may be chosen.
func (m *model) bury(given []Victim[any]) {
	for _, v := range given {
		switch owner := v.Owner.(type) {
		case *modelClaim:
			assert.Assert(m.t, !owner.complete, "a whole request gave way")
			assert.Assert(m.t, !owner.ended, "a request gave way twice")
			assert.Assert(m.t, m.now.Sub(owner.progressAt) >= m.limits.Grace, "a request gave way that made progress")
			owner.ended, owner.size = true, 0
		case *modelConn:
			assert.Assert(m.t, m.forget(owner), "a connection gave way twice")
			for _, claim := range owner.claims {
				claim.claim.Close()
				claim.ended, claim.size = true, 0
			}
		}
	}
}

func (m *model) used() int64 {
	var sum int64
	for _, c := range m.conns {
		for _, claim := range c.claims {
			sum += claim.size
		}
	}
	return sum
}

// check compares the sums, and that they are within the limits.
func (m *model) check() {
	assert.Equal(m.t, m.reclaimer.Used(), m.used())
	assert.Equal(m.t, m.reclaimer.Connections(), len(m.conns))
	assert.Assert(m.t, m.reclaimer.Used() <= m.limits.Memory)
	assert.Assert(m.t, m.reclaimer.Connections() <= m.limits.Connections)
}

// TestSharedMemory guards against requests that take what is guaranteed to others, and against
// stalled ones that keep what others need.
func TestSharedMemory(t *testing.T) {
	pool := bounder.NewPool(1 << 20)
	responses := pool.NewPart(256<<10, 512<<10)
	r := New[string](Limits{Part: pool.NewPart(0, 1<<20), Grace: time.Second})
	conn, _, err := r.Open(start, "conn")
	assert.NilError(t, err)
	stalled, large := conn.NewClaim(start, "stalled"), conn.NewClaim(start, "large")
	_, err = stalled.Resize(start, 400<<10)
	assert.NilError(t, err)
	_, err = large.Resize(start, 300<<10)
	assert.Assert(t, err != nil)
	responses.Use(512 << 10)
	given, err := large.Resize(start.Add(time.Second), 300<<10)
	assert.NilError(t, err)
	assert.DeepEqual(t, given, []Victim[string]{{Owner: "stalled", Reason: ReasonStalled}})
	assert.Equal(t, responses.Room(), int64(0))
	large.Close()
	assert.Equal(t, pool.NewPart(0, 1<<20).Room(), int64(512<<10))
}

// BenchmarkRequest measures what one request with a body costs.
func BenchmarkRequest(b *testing.B) {
	r := New[int](Limits{Memory: 16 << 20, Connections: 1000, Grace: time.Second})
	conn, _, err := r.Open(start, 0)
	assert.NilError(b, err)
	for b.Loop() {
		conn.Serve(start)
		claim := conn.NewClaim(start, 0)
		claim.Advance(start, 4096)
		if _, err := claim.Resize(start, 8192); err != nil {
			b.Fatal(err)
		}
		claim.Complete()
		claim.Close()
		conn.Rest(start)
	}
}
