package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["path"] = pathCase }

// pathCase sends requests whose paths have bytes that a client need not escape for itself, and
// compares what the worker got with what was sent.
func pathCase(l *lab) (bool, error) {
	var mu sync.Mutex
	got := map[string]string{}
	if _, err := l.addWorker("w-0", service, 6, func(rw http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Request-Id")
		body, _ := io.ReadAll(r.Body)
		mu.Lock()
		got[id] = r.RequestURI
		mu.Unlock()
		l.write("run %s: %s %q", id, r.Method, r.RequestURI)
		rw.Header().Set("X-Request-Id", id)
		rw.Header().Set("X-Server-Stamp", "w-0."+id)
		rw.Write(body)
	}); err != nil {
		return false, err
	}
	if err := l.writeConfig(nothing); err != nil {
		return false, err
	}
	if err := l.addEntries(1, memoryMB, descriptors); err != nil {
		return false, err
	}
	if err := l.entries[0].start(); err != nil {
		return false, err
	}
	if err := l.awaitService("/once/x", nil); err != nil {
		return false, err
	}
	targets := []string{"/once/2f", "/once/a%7Cb?q=a|b", "/once/caf%C3%A9", "/once/a;b,c"}
	if l.trouble {
		targets = append(targets, "/once/a|b", "/once/{id}/x", "/once/café", "/once/a^b?q=1", "/once/\"a\"")
	}
	changed := 0
	for i, target := range targets {
		id := fmt.Sprintf("p-%d", i)
		status, err := l.entries[0].sendTarget(id, target)
		mu.Lock()
		received, run := got[id]
		mu.Unlock()
		l.write("sent %s: POST %q; status %d, %v; the worker got %q", id, target, status, err, received)
		if run && received != target {
			changed++
		}
	}
	l.conclude("%d of %d requests were run with a path that nobody sent", changed, len(targets))
	return changed == 0, nil
}

// sendTarget sends a request with a target as it is, and returns the status of the response.
func (e *entry) sendTarget(id, target string) (int, error) {
	conn, err := net.DialTimeout("tcp", e.settings.CallerAddress.String(), time.Second)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 3000\r\nAuthorization: Bearer %s\r\nContent-Length: 1\r\n\r\nx", target, host, id, key)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	response.Body.Close()
	return response.StatusCode, nil
}
