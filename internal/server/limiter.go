package server

import (
	"math"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/uber-go/tally/v4"

	"github.com/waxwingmount/waxwingmount/internal/logger"
	"github.com/waxwingmount/waxwingmount/pkg/bounder"
	"github.com/waxwingmount/waxwingmount/pkg/faulter"
	"github.com/waxwingmount/waxwingmount/pkg/reclaimer"
)

//go:generate stringer -type=Kind -trimprefix=Kind -output=kind_string.go

// Kind classifies the errors of this package.
type Kind int

// Kinds of errors.
const (
	// KindTooSlow means that a request did not arrive in time, or made no progress while
	// memory was short.
	KindTooSlow Kind = iota
	// KindNoMemory means that the memory for requests is in use.
	KindNoMemory
	// KindTooLarge means that a body is longer than its limit.
	KindTooLarge
)

// Error is the error type of this package.
type Error = faulter.Error[Kind]

const (
	// stallGrace is the time without progress after which a client that misbehaves gives way
	// to others, if memory or connections are short.
	stallGrace = time.Second
	// limiterInterval is the time between two checks of the timeouts of connections.
	limiterInterval = time.Second
	// reportInterval is the least time between two log lines about clients that gave way.
	reportInterval = 5 * time.Second

	// defaultHeaderBytes, defaultHeadTimeout and defaultIdleTimeout are in force while Bounds
	// has none.
	defaultHeaderBytes = 64 << 10
	defaultHeadTimeout = 5 * time.Second
	defaultIdleTimeout = time.Minute
)

// Bounds are limits that may change while a server runs. Zero means the default.
type Bounds struct {
	// HeaderBytes bounds the head of a request.
	HeaderBytes int
	// HeadTimeout is the time within which the head of a request must arrive, and IdleTimeout
	// that for which a connection without a request is kept.
	HeadTimeout, IdleTimeout time.Duration
}

// LimiterSettings configure a Limiter.
type LimiterSettings struct {
	// Name is the name of the listener in metrics and logs.
	Name string
	// Connections bounds the open connections, and Memory the bytes that all requests may
	// take together. Zero means no bound.
	Connections int
	Memory      int64
	// SharedMemory is the part of a memory from which requests take theirs. It may be nil.
	SharedMemory *bounder.Part
	// BodyCopies is how many times the handlers keep a body in memory; zero means once.
	BodyCopies int64
	// Bounds may be nil.
	Bounds func() Bounds
	// Scope may be nil.
	Scope tally.Scope
}

// Limiter keeps what the clients of one listener take within limits. It connects
// [reclaimer.Reclaimer] to connections and requests.
type Limiter struct {
	LimiterSettings
	reclaimer *reclaimer.Reclaimer[evictee]

	mu sync.Mutex
	// running says that the loop runs.
	running bool
	// given counts the clients that gave way or were turned away since the last log line, by
	// reason.
	given      map[string]int
	reportedAt time.Time
}

// evictee is what can give way.
type evictee interface{ evict() }

// NewLimiter returns a Limiter without connections.
func NewLimiter(s LimiterSettings) *Limiter {
	if s.Scope == nil {
		s.Scope = tally.NoopScope
	}
	if s.Bounds == nil {
		s.Bounds = func() Bounds { return Bounds{} }
	}
	s.Scope = s.Scope.Tagged(map[string]string{"listener": s.Name})
	s.BodyCopies = max(1, s.BodyCopies)
	return &Limiter{
		LimiterSettings: s,
		reclaimer:       reclaimer.New[evictee](reclaimer.Limits{Memory: s.Memory, Part: s.SharedMemory, Connections: s.Connections, Grace: stallGrace}),
		given:           make(map[string]int),
	}
}

// bounds returns the limits in force.
func (l *Limiter) bounds() Bounds {
	b := l.Bounds()
	if b.HeaderBytes <= 0 {
		b.HeaderBytes = defaultHeaderBytes
	}
	if b.HeadTimeout <= 0 {
		b.HeadTimeout = defaultHeadTimeout
	}
	if b.IdleTimeout <= 0 {
		b.IdleTimeout = defaultIdleTimeout
	}
	b.HeaderBytes = min(b.HeaderBytes, MaxHeaderBytes)
	b.HeadTimeout, b.IdleTimeout = min(b.HeadTimeout, MaxHeadTimeout), min(b.IdleTimeout, MaxIdleTimeout)
	return b
}

// Adopt takes a place for a new connection and returns the connection to use instead. Another
// one may be closed for it. If all are in use, it closes the connection and returns an error.
func (l *Limiter) Adopt(raw net.Conn) (net.Conn, error) {
	c := &conn{Conn: raw, limiter: l}
	slot, victims, err := l.reclaimer.Open(time.Now(), c)
	l.evict(victims)
	if err != nil {
		l.count(reasonNoConnection)
		// Whatever closing a connection fails by, it is not used.
		_ = raw.Close()
		return nil, err
	}
	c.slot = slot
	l.start()
	return c, nil
}

// MemoryUsed returns the bytes that all requests take.
func (l *Limiter) MemoryUsed() int64 { return l.reclaimer.Used() }

// evict ends what gives way.
func (l *Limiter) evict(victims []reclaimer.Victim[evictee]) {
	for _, v := range victims {
		l.count(v.Reason.String())
		v.Owner.evict()
	}
}

// Reasons for which clients are turned away, beside those of package reclaimer.
const (
	reasonNoConnection = "no_connection"
	reasonNoMemory     = "no_memory"
	reasonHeadTooLong  = "head_too_long"
	reasonBodyTooLong  = "body_too_long"
	reasonBodyTimeout  = "body_timeout"
	reasonWriteTimeout = "write_timeout"
)

// count counts one client that gave way or was turned away.
func (l *Limiter) count(reason string) {
	l.Scope.Tagged(map[string]string{"reason": reason}).Counter("clients_turned_away").Inc(1)
	if reason == reclaimer.ReasonIdleTimeout.String() {
		// Clients that behave keep connections for longer than they use them.
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.given[reason]++
}

// start runs the loop unless it runs already.
func (l *Limiter) start() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.running {
		l.running = true
		go l.loop()
	}
}

// loop checks the timeouts of the connections until there are none.
func (l *Limiter) loop() {
	ticker := time.NewTicker(limiterInterval)
	defer ticker.Stop()
	for range ticker.C {
		b := l.bounds()
		l.evict(l.reclaimer.Expire(time.Now(), b.HeadTimeout, b.IdleTimeout))
		l.Scope.Gauge("client_connections").Update(float64(l.reclaimer.Connections()))
		l.Scope.Gauge("client_memory_bytes").Update(float64(l.reclaimer.Used()))
		if !l.report() {
			return
		}
	}
}

// report logs what has given way, and reports whether the loop is still needed.
func (l *Limiter) report() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	connections := l.reclaimer.Connections()
	l.running = connections > 0 || len(l.given) > 0
	if now := time.Now(); len(l.given) > 0 && now.Sub(l.reportedAt) >= reportInterval {
		fields := log.Fields{"listener": l.Name, "connections": connections, "memory_bytes": l.reclaimer.Used()}
		for reason, n := range l.given {
			fields[reason] = n
		}
		log.WithFields(fields).Warn(logger.LineClientsTurnedAway)
		clear(l.given)
		l.reportedAt = now
	}
	return l.running
}

// Handler returns a handler whose requests take their memory from the limiter. A read of a body
// may return an error of type *[Error]; then the handler refuses the request as not run.
func (l *Limiter) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, found := r.Context().Value(connKey{}).(*conn)
		if !found {
			next.ServeHTTP(w, r)
			return
		}
		head := headSize(r)
		if head > l.bounds().HeaderBytes+headerSlack {
			l.count(reasonHeadTooLong)
			closeAfterResponse(w, r)
			w.WriteHeader(http.StatusRequestHeaderFieldsTooLarge)
			return
		}
		b := newBody(l, c, w, r)
		defer b.finish()
		if r.ProtoMajor > 1 {
			// Streams of a connection are many; each has a goroutine and a head of its own.
			b.fixed = streamBytes + headCopies*int64(head)
			if err := b.Resize(0); err != nil {
				w.Header().Set("Retry-After", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
		}
		if r.Body == nil || r.Body == http.NoBody {
			b.claim.Complete()
			next.ServeHTTP(w, r)
			return
		}
		request := *r
		request.Body = b
		next.ServeHTTP(w, &request)
	})
}

const (
	// headerSlack is what a head may have beyond its limit, as in net/http.
	headerSlack = 4 << 10
	// headCopies is how many times the bytes of a head its buffers and parsed form take.
	headCopies = 2
	// streamBytes is the memory of one HTTP/2 stream with its goroutine.
	streamBytes = 16 << 10
	// lineOverhead is the length of the separators of a header line.
	lineOverhead = 4
)

// headSize returns the length of the head of a request, as far as its parsed form shows it.
func headSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host) + lineOverhead
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + lineOverhead
		}
	}
	return min(size, math.MaxInt32)
}
