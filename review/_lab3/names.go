package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/platform/emulator"
)

func init() { cases["names"] = namesCase }

// The machine of a small site.
const (
	memoryMB    = 284
	descriptors = 4100
)

const (
	// nameBytes keeps the whole head of a request below the limit of 16,384 bytes.
	nameBytes = 15800
	// askers and largeSenders are the connections of the clients that nobody controls: those
	// that ask for models, and those that stop short of the end of a large body.
	askers       = 500
	largeSenders = 30
	// askedPerSecond is the rate of all askers together: 256 Mbit/s of 1,000.
	askedPerSecond = 2000
	namesTime      = 30 * time.Second
)

func namesCase(l *lab) (bool, error) {
	if err := l.addChat(); err != nil {
		return false, err
	}
	if _, err := l.addWorker("w-plain", service, 6, nil); err != nil {
		return false, err
	}
	if err := l.addEntries(1, memoryMB, descriptors); err != nil {
		return false, err
	}
	e := l.entries[0]
	if err := e.start(); err != nil {
		return false, err
	}
	if err := l.awaitService("/once/x", nil); err != nil {
		return false, err
	}
	began := time.Now()
	running := func() bool { return time.Since(began) < namesTime && e.alive() }
	var peak atomic.Int64
	var killed atomic.Bool
	go l.machine(e, running, &peak, &killed)
	var asked, answered, ordinary, served atomic.Int64
	var group sync.WaitGroup
	for i := range askers {
		group.Go(func() {
			c := newConsumer()
			for n := int64(i); running(); n += askers {
				time.Sleep(time.Until(began.Add(time.Duration(n) * time.Second / askedPerSecond)))
				model := strings.Repeat("m", nameBytes)
				if l.trouble {
					model = fmt.Sprintf("%s-%012d", model, n)
				}
				asked.Add(1)
				a := c.do(e, call{id: fmt.Sprintf("a-%d", n), path: "/chat/x", key: key, timeout: time.Second, header: map[string]string{"X-Model": model, "X-Deadline-Ms": "1"}})
				if a.status != 0 {
					answered.Add(1)
				}
			}
		})
	}
	for range largeSenders {
		group.Go(func() {
			for running() {
				e.stopShort(running)
			}
		})
	}
	group.Go(func() {
		c := newConsumer()
		for n := 0; running(); n++ {
			ordinary.Add(1)
			if a := c.do(e, call{id: fmt.Sprintf("o-%d", n), path: "/once/x", body: "x", key: key, timeout: 5 * time.Second}); a.status == http.StatusOK {
				served.Add(1)
			} else {
				l.write("ordinary request o-%d: status %d, %v", n, a.status, a.err)
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
	for running() {
		time.Sleep(time.Second)
		l.write("asked %d, answered %d; ordinary requests %d, served %d; memory at its peak %d MB", asked.Load(), answered.Load(), ordinary.Load(), served.Load(), peak.Load()>>20)
	}
	group.Wait()
	held := !killed.Load() && e.alive()
	l.conclude("asked %d, answered %d; ordinary requests %d, served %d; memory at its peak %d MB of %d; killed by its machine: %t", asked.Load(), answered.Load(), ordinary.Load(), served.Load(), peak.Load()>>20, memoryMB, killed.Load())
	return held, nil
}

// machine stands in for the machine of an entry instance: it kills a process that exceeds its
// memory. Bytes in sockets are left out, so that it is milder than the platform.
func (l *lab) machine(e *entry, running func() bool, peak *atomic.Int64, killed *atomic.Bool) {
	for running() {
		bytes := resident(e.pid())
		if bytes > peak.Load() {
			peak.Store(bytes)
		}
		if bytes > memoryMB<<20 {
			killed.Store(true)
			l.write("the process takes %d MB of %d; its machine kills it", bytes>>20, memoryMB)
			e.kill()
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// resident returns the resident memory of a process.
func resident(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := strings.Fields(string(data))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// stopShort sends all of a large body but its last byte, and waits until the entry instance closes
// the connection or the case ends.
func (e *entry) stopShort(running func() bool) {
	const length = 4 << 20
	conn, err := net.DialTimeout("tcp", e.settings.CallerAddress.String(), time.Second)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(25 * time.Second))
	head := fmt.Sprintf("POST /once/x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: large\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n", host, key, length)
	if _, err := conn.Write([]byte(head + strings.Repeat("x", length-1))); err != nil {
		time.Sleep(100 * time.Millisecond)
		return
	}
	ended := make(chan struct{})
	go func() { defer close(ended); http.ReadResponse(bufio.NewReader(conn), nil) }()
	for running() {
		select {
		case <-ended:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// addChat adds a service of model workers in groups of two, with a route, and writes the
// configuration.
func (l *lab) addChat() error {
	addresses, err := freeAddresses(2)
	if err != nil {
		return err
	}
	for i, address := range addresses {
		if err := l.addModelWorker(fmt.Sprintf("m-%d", i), chat, address, addresses); err != nil {
			return err
		}
	}
	return l.writeConfig(func(c *emulator.Config) {
		c.Routes = append(c.Routes, emulator.Route{Prefix: "/chat/", Repeat: mapper.Streaming, Service: chat, Timeout: 6 * time.Second})
		c.Engines = map[string][]emulator.Model{chat: {{Name: "m0", Size: 2, LoadTime: time.Second, WarmLoadTime: 300 * time.Millisecond}}}
		c.Slots = 17
	})
}
