package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"sync"
	"time"
)

const (
	// closingDown is how long the processes are down in the final fault (site file: closing
	// kill_all, down_s 1.3), and recovery is the bound recovery_s.
	closingDown = 1300 * time.Millisecond
	recovery    = 12 * time.Second
)

// settingsCase holds the state of the case "a bound that is written as a fraction".
type settingsCase struct {
	poisonCase

	counts struct {
		sync.Mutex
		asked, served map[string]int
	}
	ends sync.Map
}

func runSettings(dir, daemon, recordPath string, trouble bool) int {
	r, err := newRecord(recordPath)
	if err != nil {
		return fail(err)
	}
	c := &settingsCase{}
	c.harmless = true
	c.counts.asked, c.counts.served = make(map[string]int), make(map[string]int)
	if c.plant, err = newPlant(r, 1200*time.Millisecond); err != nil {
		return fail(err)
	}
	if err := c.writeConfig(poisonConfig()); err != nil {
		return fail(err)
	}
	for i := range 3 {
		address, err := freePort(netip.MustParseAddr("127.0.0.1"))
		if err != nil {
			return fail(err)
		}
		if err := (&crashingWorker{plant: &c.poisonCase, number: i, address: address}).start(); err != nil {
			return fail(err)
		}
	}
	if c.entries, err = newEntries(dir, daemon, c.store, 3, []string{"hall-a", "hall-b", "hall-c"}, memoryMB, standardBounds()); err != nil {
		return fail(err)
	}
	defer func() {
		for _, e := range c.entries {
			e.stop()
		}
	}()
	for _, e := range c.entries {
		if err := e.start(); err != nil {
			return fail(err)
		}
	}
	time.Sleep(6 * time.Second)
	if status := c.send("first", 0, "an innocent request"); status != http.StatusOK {
		return fail(fmt.Errorf("the first request is answered %d", status))
	}
	bounds := maps.Clone(standardBounds())
	written := "2000.5"
	if os.Getenv("WRITTEN") != "" {
		written = os.Getenv("WRITTEN")
	}
	bounds["drain_ms"] = json.RawMessage(written)
	if err := afterBootstrap(c.entries, c.store, memoryMB, bounds); err != nil {
		return fail(err)
	}
	r.write("the platform has written the settings files anew, with drain_ms as %s", written)
	c.traffic("before the fault", 6*time.Second)
	if trouble {
		r.write("TROUBLE: the final fault, all processes are killed")
		var all sync.WaitGroup
		for _, e := range c.entries {
			all.Go(func() { e.kill(closingDown) })
		}
		all.Wait()
		r.write("all processes are started again")
	}
	stop := make(chan struct{})
	for _, e := range c.entries {
		go c.restart(e, stop)
	}
	time.Sleep(recovery)
	c.traffic("after the recovery", 6*time.Second)
	close(stop)
	return c.judgeRecovery()
}

// restart does what the platform does: it starts a process that has ended again.
func (c *settingsCase) restart(e *entry, stop chan struct{}) {
	for ends := 0; ; {
		select {
		case <-stop:
			return
		case <-time.After(restartDelay):
		}
		if e.pid() != 0 {
			continue
		}
		ends++
		c.ends.Store(e.name, ends)
		c.record.write("platform: the process of %s has ended by itself (%d) and is started again", e.name, ends)
		if err := e.start(); err != nil {
			c.record.write("platform: %v", err)
		}
	}
}

// traffic sends requests for a time and counts those that are served.
func (c *settingsCase) traffic(phase string, length time.Duration) {
	var all sync.WaitGroup
	until := time.Now().Add(length)
	for k := 0; time.Now().Before(until); k++ {
		all.Go(func() {
			id := phase[:1] + strconv.Itoa(k)
			status := c.send(id, k%len(c.entries), "an innocent request")
			c.record.write("consumer: %s (%s) answered %d", id, phase, status)
			c.counts.Lock()
			defer c.counts.Unlock()
			c.counts.asked[phase]++
			if status == http.StatusOK {
				c.counts.served[phase]++
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	all.Wait()
}

func (c *settingsCase) judgeRecovery() int {
	c.counts.Lock()
	defer c.counts.Unlock()
	status := 0
	for _, phase := range []string{"before the fault", "after the recovery"} {
		line := fmt.Sprintf("%s: %d of %d requests served", phase, c.counts.served[phase], c.counts.asked[phase])
		fmt.Println(line)
		c.record.write("%s", line)
	}
	if 4*c.counts.served["before the fault"] < c.counts.asked["before the fault"] {
		return 2
	}
	if 4*c.counts.served["after the recovery"] < c.counts.asked["after the recovery"] {
		status = 1
	}
	for _, e := range c.entries {
		ends, _ := c.ends.LoadOrStore(e.name, 0)
		line := fmt.Sprintf("%s: ended by itself %d times", e.name, ends)
		fmt.Println(line)
		c.record.write("%s", line)
		if data, err := os.ReadFile(e.logPath); err == nil && ends != 0 {
			lines := lastLine(string(data))
			c.record.write("%s says: %s", e.name, lines)
		}
	}
	line := "rule RECOVER " + []string{"held", "broken"}[status]
	fmt.Println(line)
	c.record.write("%s", line)
	return status
}

// lastLine returns the last line of a text that is not empty.
func lastLine(text string) string {
	last := ""
	for start := 0; start < len(text); {
		end := start
		for end < len(text) && text[end] != '\n' {
			end++
		}
		if end > start {
			last = text[start:end]
		}
		start = end + 1
	}
	return last
}
