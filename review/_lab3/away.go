package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"
)

func init() { cases["away"] = awayCase }

const (
	// retryAfter is how long the worker wants nothing, and awayTime how long it is in trouble.
	retryAfter = 15 * time.Second
	awayTime   = 20 * time.Second
)

// awayCase lets one of three workers turn requests away with 503 and Retry-After, and counts the
// requests that reach it from one machine although it wants none.
func awayCase(l *lab) (bool, error) {
	var mu sync.Mutex
	var troubled bool
	// answeredAt is when the worker first turned a request of the machine away in the present
	// span, and reached what has come too early in that span.
	var answeredAt time.Time
	reached, worst := 0, 0
	for i := range 3 {
		worker := fmt.Sprintf("w-%d", i)
		if _, err := l.addWorker(worker, service, 6, func(rw http.ResponseWriter, r *http.Request) {
			id := r.Header.Get("X-Request-Id")
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			rw.Header().Set("X-Request-Id", id)
			mu.Lock()
			away := troubled && worker == "w-0"
			now := time.Now()
			if away {
				if since := now.Sub(answeredAt); answeredAt.IsZero() || since >= retryAfter {
					answeredAt, reached = now, 0
				} else if since > 500*time.Millisecond {
					reached++
					worst = max(worst, reached)
				}
			}
			mu.Unlock()
			if away {
				l.write("%s turns %s away: 503, Retry-After %.0f", worker, id, retryAfter.Seconds())
				rw.Header().Set("Retry-After", fmt.Sprintf("%.0f", retryAfter.Seconds()))
				if os.Getenv("MARKED") == "1" {
					rw.Header().Set("X-Not-Executed", "1")
				}
				http.Error(rw, "busy", http.StatusServiceUnavailable)
				return
			}
			l.write("run %s at %s", id, worker)
			time.Sleep(50 * time.Millisecond)
			rw.Header().Set("X-Server-Stamp", worker+"."+id)
			rw.Write(body)
		}); err != nil {
			return false, err
		}
	}
	if err := l.writeConfig(nothing); err != nil {
		return false, err
	}
	if err := l.addEntries(1, memoryMB, descriptors); err != nil {
		return false, err
	}
	e := l.entries[0]
	if err := e.start(); err != nil {
		return false, err
	}
	if err := l.awaitService("/again/x", nil); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	mu.Lock()
	troubled = l.trouble
	mu.Unlock()
	c := newConsumer()
	var group sync.WaitGroup
	for n := range int(awayTime.Seconds()) * 30 {
		time.Sleep(time.Second / 30)
		group.Go(func() {
			path := "/again/x"
			if n%2 == 0 {
				path = "/once/x"
			}
			id := fmt.Sprintf("q-%d", n)
			a := c.do(e, call{id: id, path: path, body: "x", key: key, timeout: 3 * time.Second})
			l.write("sent %s: status %d", id, a.status)
		})
	}
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	l.conclude("in one span of Retry-After, %d requests reached the worker from half a second after its answer on; 2 are allowed", worst)
	return worst <= 2, nil
}
