package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/waxwingmount/waxwingmount/platform/emulator"
)

func init() { cases["grace"] = graceCase }

const (
	firstGrace = 8 * time.Second
	// newGrace is what the changed settings give.
	newGrace = 3 * time.Second
	// lossSlack is loss_slack_ms.
	lossSlack = 200 * time.Millisecond
	graceWork = time.Second
	// perSecond is the rate of the requests: 3 workers with 6 slots each take 18 a second.
	perSecond = 30
)

// graceCase changes grace_s in the settings with a SIGHUP, and stops the process some seconds later
// as the platform does: SIGTERM, and SIGKILL after grace_s.
func graceCase(l *lab) (bool, error) {
	var mu sync.Mutex
	ran := map[string]bool{}
	for i := range 3 {
		id := fmt.Sprintf("w-%d", i)
		slots := make(chan struct{}, 6)
		if _, err := l.addWorker(id, service, 6, func(rw http.ResponseWriter, r *http.Request) {
			request := r.Header.Get("X-Request-Id")
			rw.Header().Set("X-Request-Id", request)
			select {
			case slots <- struct{}{}:
				defer func() { <-slots }()
			default:
				rw.Header().Set("X-Not-Executed", "1")
				http.Error(rw, "full", http.StatusServiceUnavailable)
				return
			}
			mu.Lock()
			ran[request] = true
			mu.Unlock()
			l.write("run %s at %s", request, id)
			time.Sleep(graceWork)
			rw.Header().Set("X-Server-Stamp", id+"."+request)
			rw.Write([]byte("done"))
		}); err != nil {
			return false, err
		}
	}
	if err := l.writeConfig(func(*emulator.Config) {}); err != nil {
		return false, err
	}
	if err := l.addEntries(4, memoryMB, descriptors); err != nil {
		return false, err
	}
	// With FROM_START=1 the settings say so from the start, and there is no SIGHUP.
	fromStart := os.Getenv("FROM_START") == "1"
	for _, e := range l.entries {
		e.settings.StopTimeout = firstGrace
		if fromStart {
			e.settings.StopTimeout = newGrace
		}
		if err := e.start(); err != nil {
			return false, err
		}
	}
	if err := l.awaitService("/once/x", nil); err != nil {
		return false, err
	}
	e, grace := l.entries[0], firstGrace
	switch {
	case fromStart:
		grace = newGrace
	case l.trouble:
		grace = newGrace
		e.settings.StopTimeout = newGrace
		if err := e.writeSettings(); err != nil {
			return false, err
		}
		e.signal(syscall.SIGHUP)
		l.write("the settings of %s have changed: grace_s is %.0f; SIGHUP", e.settings.ID, newGrace.Seconds())
	}
	// Far longer than any bound of the pages.
	time.Sleep(10 * time.Second)
	began := time.Now()
	stopAt := began.Add(2 * time.Second)
	lost, answered := 0, 0
	var group sync.WaitGroup
	c := newConsumer()
	for n := 0; ; n++ {
		at := began.Add(time.Duration(n) * time.Second / perSecond)
		if at.After(stopAt.Add(newGrace)) {
			break
		}
		time.Sleep(time.Until(at))
		group.Go(func() {
			id := fmt.Sprintf("r-%d", n)
			sent := time.Now()
			a := c.do(e, call{id: id, path: "/once/x", body: "x", key: key, timeout: 6 * time.Second})
			ended := time.Now()
			mu.Lock()
			defer mu.Unlock()
			l.write("sent %s %.3f s after SIGTERM; %.3f s later: status %d, %v; ran: %t", id, sent.Sub(stopAt).Seconds(), ended.Sub(sent).Seconds(), a.status, a.err, ran[id])
			// What was running in the last sixth of the time is excused, and so is what the
			// process can't have read.
			if a.status != 0 {
				answered++
			} else if !ran[id] && ended.Sub(sent) > lossSlack && sent.Before(stopAt.Add(newGrace-lossSlack)) {
				lost++
				l.write("lost: %s", id)
			}
		})
		if n == 2*perSecond {
			go func() {
				l.write("SIGTERM to %s", e.settings.ID)
				e.signal(syscall.SIGTERM)
				select {
				case <-e.ended:
				case <-time.After(grace):
					l.write("SIGKILL to %s after %.0f s", e.settings.ID, grace.Seconds())
					e.signal(syscall.SIGKILL)
				}
			}()
		}
	}
	group.Wait()
	l.conclude("%d requests were answered; %d that the process had read and not passed on ended without an answer", answered, lost)
	return lost == 0, nil
}
