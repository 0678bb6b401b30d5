package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"time"
)

func init() { cases["asterisk"], cases["path"] = asterisk, path }

// rawTimeout bounds a request that is written byte by byte.
const rawTimeout = 4 * time.Second

// raw sends a request with a method and a target as they are, on a connection of its own.
func (c *cluster) raw(e *entry, method, target string) *call {
	k, _ := newCall(e, "GET", "/", key)
	k.target, k.sentAt = target, time.Now()
	conn, err := net.DialTimeout("tcp", e.caller, time.Second)
	if err != nil {
		k.err = err
		return k
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(rawTimeout))
	c.record.printf("sent %s to %s: %q", k.id, e.name, method+" "+target)
	_, k.err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 3000\r\nAuthorization: Bearer %s\r\nContent-Length: 0\r\n\r\n", method, target, host, k.id, key)
	if k.err == nil {
		var response *http.Response
		if response, k.err = http.ReadResponse(bufio.NewReader(conn), nil); k.err == nil {
			k.status, k.stamp = response.StatusCode, response.Header.Get("X-Server-Stamp")
			response.Body.Close()
		}
	}
	c.record.printf("answer to %s: status %d, stamp %q, error %v", k.id, k.status, k.stamp, k.err)
	return k
}

// rawRequests is how many requests a case sends to each entry instance.
const rawRequests = 5

// startPlain starts a deployment with one plain service.
func startPlain(record string) (*cluster, *runs) {
	c := newCluster(record, 3)
	all := c.addWorkers("portal", 3)
	_ = c.put("op", "config", config(1, []map[string]any{route("/doc/", "idempotent", "portal", 1500*time.Millisecond)}, "portal"))
	c.startAll()
	time.Sleep(4 * time.Second)
	return c, all
}

// asterisk sends requests that no route matches, and looks whether one is answered with a
// success.
func asterisk(record string, disturbed bool) []string {
	c, all := startPlain(record)
	target := "/none/page"
	if disturbed {
		target = "*"
	}
	var broken []string
	for range rawRequests {
		for _, e := range c.entries {
			k := c.raw(e, "OPTIONS", target)
			if k.status >= 200 && k.status < 300 && (k.stamp == "" || len(all.of(k.id)) == 0) {
				broken = append(broken, fmt.Sprintf("MIXED: %s got %d without a worker's stamp; no worker has run it", k.id, k.status))
			}
		}
	}
	return broken
}

// path sends requests to paths with characters that some clients do not encode, and looks
// whether a worker runs another path.
func path(record string, disturbed bool) []string {
	c, all := startPlain(record)
	targets := []string{"/doc/G%C3%A0idhlig", "/doc/%7B7%7D", "/doc/a%7Cb", "/doc/%22a%22", "/doc/a%5Eb"}
	if disturbed {
		targets = []string{"/doc/G\xc3\xa0idhlig", "/doc/{7}", "/doc/a|b", "/doc/\"a\"", "/doc/a^b"}
	}
	var broken []string
	for _, target := range targets {
		for _, e := range c.entries {
			k := c.raw(e, "GET", target)
			for _, r := range all.of(k.id) {
				if r.target != target {
					broken = append(broken, fmt.Sprintf("UNASKED: %s was sent to %q and run as %q", k.id, target, r.target))
				}
			}
		}
	}
	return broken
}
