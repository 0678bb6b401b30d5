package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// call is one attempt of a client.
type call struct {
	id, target string
	sentAt     time.Time
	status     int
	stamp      string
	body       string
	err        error
}

var lastID atomic.Uint64

// newCall returns a request to an entry instance with its own id.
func newCall(e *entry, method, target, key string) (*call, *http.Request) {
	k := &call{id: fmt.Sprintf("%016x", 0x9c41d07b00000000+lastID.Add(1)), target: target}
	r, err := http.NewRequest(method, "http://"+e.caller+target, nil)
	if err != nil {
		fail("%v", err)
	}
	r.Host = host
	r.Header.Set("X-Request-Id", k.id)
	r.Header.Set("X-Deadline-Ms", "3000")
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	return k, r
}

// do sends a request and records its answer.
func (c *cluster) do(e *entry, client *http.Client, k *call, r *http.Request) {
	k.sentAt = time.Now()
	c.record.printf("sent %s to %s: %s %s", k.id, e.name, r.Method, k.target)
	response, err := client.Do(r)
	if err != nil {
		k.err = err
	} else {
		k.status, k.stamp = response.StatusCode, response.Header.Get("X-Server-Stamp")
		data, err := io.ReadAll(response.Body)
		response.Body.Close()
		k.body, k.err = string(data), err
	}
	c.record.printf("answer to %s: status %d, stamp %q, body %.60q, error %v", k.id, k.status, k.stamp, k.body, k.err)
}

// traffic sends requests, each client one after the other with a pause, until the end.
func (c *cluster) traffic(clients int, pause time.Duration, end time.Time, make func() (method, target, key string)) []*call {
	var mu sync.Mutex
	var all []*call
	var group sync.WaitGroup
	for n := range clients {
		e := c.entries[n%len(c.entries)]
		group.Go(func() {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: 4 * time.Second}
			for time.Now().Before(end) {
				method, target, key := make()
				k, r := newCall(e, method, target, key)
				c.do(e, client, k, r)
				mu.Lock()
				all = append(all, k)
				mu.Unlock()
				time.Sleep(pause)
			}
		})
	}
	group.Wait()
	return all
}
