package forwarder

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// countArrivals returns a handler that states a limit, as long as it is positive,
// and records when each request arrives.
func countArrivals(limit *atomic.Int64, arrivals *arrivalLog) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		arrivals.add()
		if perSecond := limit.Load(); perSecond > 0 {
			w.Header().Set("Limit", strconv.FormatInt(perSecond, 10))
		}
		writeHeader(w, r, "text/plain")
		_, _ = io.WriteString(w, "done")
	}
}

// arrivalLog records the times of arrivals.
type arrivalLog struct {
	mu    sync.Mutex
	times []time.Time
}

func (l *arrivalLog) add() { l.mu.Lock(); defer l.mu.Unlock(); l.times = append(l.times, time.Now()) }

// since returns the number of arrivals after a time.
func (l *arrivalLog) since(after time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, at := range l.times {
		if at.After(after) {
			count++
		}
	}
	return count
}

// callEvery sends a request at each interval for a duration, and returns how many
// were served.
func (f *fixture) callEvery(interval, duration time.Duration) int {
	var served atomic.Int64
	var calls sync.WaitGroup
	for i := range int(duration / interval) {
		calls.Go(func() {
			if status, _, _ := f.call("GET", "/safe/", "limit"+strconv.Itoa(i)); status == http.StatusOK {
				served.Add(1)
			}
		})
		time.Sleep(interval)
	}
	calls.Wait()
	return int(served.Load())
}

// TestServerLimitIsKept guards against a server that states a limit getting
// requests at the rate of before. The rest go to the other server, and the limit
// ends with the first response that does not state it.
func TestServerLimitIsKept(t *testing.T) {
	const perSecond = 3
	f := newFixture(t)
	var limit, none atomic.Int64
	limit.Store(perSecond)
	var limited, free arrivalLog
	f.addServer("limited", "plain", countArrivals(&limit, &limited))
	f.addServer("free", "plain", countArrivals(&none, &free))
	f.applyConfig()
	f.callEvery(20*time.Millisecond, 400*time.Millisecond)
	told := time.Now()
	served := f.callEvery(20*time.Millisecond, 4*time.Second)
	assert.Equal(t, served, 200)
	// The users' rule: one and a half times the limit, and five more.
	count := limited.since(told)
	assert.Assert(t, count <= perSecond*4*3/2+5, "%d requests in 4 s", count)
	assert.Assert(t, count > perSecond, "%d requests in 4 s: the server is not used", count)
	limit.Store(0)
	f.callEvery(20*time.Millisecond, 2*time.Second)
	ended := time.Now()
	f.callEvery(20*time.Millisecond, time.Second)
	assert.Assert(t, limited.since(ended) > 2*perSecond, "%d requests a second without a limit", limited.since(ended))
}
