package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["host"] = hostCase }

// hostCase sends proper requests in which the name of the host is written in other ways that name
// the same host, and counts those that the system itself ends with a 4xx.
func hostCase(l *lab) (bool, error) {
	for i := range 3 {
		if _, err := l.addWorker(fmt.Sprintf("w-%d", i), service, 6, nil); err != nil {
			return false, err
		}
	}
	if err := l.writeConfig(nothing); err != nil {
		return false, err
	}
	if err := l.addEntries(3, memoryMB, descriptors); err != nil {
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
	names := []string{host, host + ":80"}
	if l.trouble {
		names = append(names, "Lab.Example", "LAB.EXAMPLE")
	}
	const requests = 100
	denied := 0
	c := newConsumer()
	for i := range requests {
		id, name := fmt.Sprintf("h-%d", i), names[i%len(names)]
		a := c.do(l.entries[i%len(l.entries)], call{id: id, path: "/once/x", host: name, body: "x", key: key, timeout: 3 * time.Second})
		l.write("sent %s: Host %s; status %d, %v, stamp %q", id, name, a.status, a.err, a.header.Get("X-Server-Stamp"))
		if a.status >= http.StatusMultipleChoices && a.status < http.StatusInternalServerError && a.header.Get("X-Server-Stamp") == "" {
			denied++
		}
	}
	allowed := 5 + requests/500
	l.conclude("%d of %d proper requests were ended with a 4xx of the system's own; %d are allowed", denied, requests, allowed)
	return denied <= allowed, nil
}
