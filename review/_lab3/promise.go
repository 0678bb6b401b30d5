package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

func init() { cases["promise"] = promiseCase }

// promiseCase lets workers fail a part of the requests that they have run, with a status that
// promises something to consumers, but without the header that says that a request has not run.
func promiseCase(l *lab) (bool, error) {
	var mu sync.Mutex
	ran := map[string]bool{}
	statuses := []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout}
	for i := range 3 {
		worker := fmt.Sprintf("w-%d", i)
		n := 0
		if _, err := l.addWorker(worker, service, 6, func(rw http.ResponseWriter, r *http.Request) {
			id := r.Header.Get("X-Request-Id")
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			mu.Lock()
			n++
			ran[id] = true
			status := http.StatusOK
			if l.trouble && n%3 == 0 {
				status = statuses[n/3%len(statuses)]
			}
			mu.Unlock()
			time.Sleep(20 * time.Millisecond)
			l.write("run %s at %s; answered with %d", id, worker, status)
			rw.Header().Set("X-Request-Id", id)
			if status != http.StatusOK {
				http.Error(rw, "the application failed", status)
				return
			}
			rw.Header().Set("X-Server-Stamp", worker+"."+id)
			rw.Write(body)
		}); err != nil {
			return false, err
		}
	}
	if err := l.writeConfig(nothing); err != nil {
		return false, err
	}
	if err := l.addEntries(2, memoryMB, descriptors); err != nil {
		return false, err
	}
	for _, e := range l.entries {
		if err := e.start(); err != nil {
			return false, err
		}
	}
	if err := l.awaitService("/once/x", nil); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	broken := 0
	c := newConsumer()
	for i := range 90 {
		id := fmt.Sprintf("q-%d", i)
		a := c.do(l.entries[i%len(l.entries)], call{id: id, path: "/once/x", body: "x", key: key, timeout: 3 * time.Second})
		mu.Lock()
		promised := a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests || a.status == http.StatusRequestTimeout || a.status == http.StatusMisdirectedRequest
		if promised && ran[id] {
			broken++
		}
		l.write("sent %s: status %d, stamp %q; ran: %t", id, a.status, a.header.Get("X-Server-Stamp"), ran[id])
		mu.Unlock()
	}
	l.conclude("%d requests that may run once were answered as not run, and had run", broken)
	return broken == 0, nil
}
