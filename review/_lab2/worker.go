package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// run is a request that a worker has begun to work on.
type run struct {
	id, worker, method, target string
	at                         time.Time
}

// runs holds what all workers have run.
type runs struct {
	mu   sync.Mutex
	byID map[string][]run
}

func (r *runs) add(one run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[one.id] = append(r.byID[one.id], one)
}

// of returns the runs of a request.
func (r *runs) of(id string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byID[id]
}

// workTime is how long a worker works on a request.
const workTime = 30 * time.Millisecond

// addWorkers starts sound workers of a plain service and registers them.
func (c *cluster) addWorkers(service string, count int) *runs {
	all := &runs{byID: make(map[string][]run)}
	for i := range count {
		id := fmt.Sprintf("i-%s-%d", service, i)
		handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { c.work(all, id, w, r) })
		c.register(id, service, fmt.Sprintf("zone-%d", i%3), c.serve(handler), 6)
	}
	return all
}

// work answers a request as the pages say.
func (c *cluster) work(all *runs, worker string, w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/waxwingmount/report" {
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, `{"stage":"unified","models":[],"busy":false,"sequence":0,"queued":0,"running":0}`)
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != worker {
		w.Header().Set("X-Not-Executed", "1")
		w.Header().Set("X-Instance-Id", worker)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	all.add(run{id: id, worker: worker, method: r.Method, target: r.RequestURI, at: time.Now()})
	c.record.printf("%s runs %s: %s %s", worker, id, r.Method, r.RequestURI)
	time.Sleep(workTime)
	w.Header().Set("X-Server-Stamp", worker+"."+id)
	_, _ = fmt.Fprintf(w, "answer of %s to %s", worker, id)
}
