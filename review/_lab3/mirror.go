package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/platform/emulator"
)

func init() { cases["mirror"] = mirrorCase }

const (
	chat = "assist"
	// foreignService is named by no configuration.
	foreignService = "assist-mirror"
	// recovery is recovery_s.
	recovery = 12 * time.Second
	// recovered is how long requests are judged after it.
	recovered = 15 * time.Second
)

// storedRow is a row of the store as the pages spell it.
type storedRow struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	Ver   uint64 `json:"ver,omitempty"`
}

// readServers reads the entries of the workers.
func (l *lab) readServers() ([]storedRow, error) {
	response, err := http.Get("http://" + l.address.String() + "/waxwingmount/rows-get?table=servers&part=")
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var page struct {
		Rows []storedRow `json:"rows"`
	}
	return page.Rows, json.NewDecoder(response.Body).Decode(&page)
}

// mirror writes rows of another writer: the entry of the head of each group under another key and
// another service. It returns how many it has written.
func (l *lab) mirror() (int, error) {
	rows, err := l.readServers()
	if err != nil {
		return 0, err
	}
	var copies []storedRow
	for _, row := range rows {
		var entry map[string]any
		if json.Unmarshal(row.Value, &entry) != nil || entry["service"] != chat {
			continue
		}
		group, _ := entry["group"].(map[string]any)
		if group == nil || group["rank"] != float64(0) {
			continue
		}
		entry["service"] = foreignService
		value, err := json.Marshal(entry)
		if err != nil {
			return 0, err
		}
		copies = append(copies, storedRow{Table: "servers", Key: "mirror-of-" + row.Key, Value: value})
	}
	if len(copies) == 0 {
		return 0, nil
	}
	body, err := json.Marshal(map[string]any{"expected": []any{}, "upserts": copies, "remove": []any{}})
	if err != nil {
		return 0, err
	}
	// The emulated store takes writes to this table on a path of its own.
	response, err := http.Post("http://"+l.address.String()+"/emulator/rows-tx", "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	if response.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("status %d: %s", response.StatusCode, text)
	}
	return len(copies), nil
}

// mirrorCase kills all processes, while another writer begins to write rows beside those of the
// workers, and counts what is served after the recovery.
func mirrorCase(l *lab) (bool, error) {
	const workers = 6
	addresses, err := freeAddresses(workers)
	if err != nil {
		return false, err
	}
	for i, address := range addresses {
		if err := l.addModelWorker(fmt.Sprintf("m-%d", i), chat, address, addresses); err != nil {
			return false, err
		}
	}
	if err := l.writeConfig(func(c *emulator.Config) {
		c.Routes = append(c.Routes, emulator.Route{Prefix: "/chat/", Repeat: mapper.Streaming, Service: chat, Timeout: 6 * time.Second})
		c.Engines = map[string][]emulator.Model{chat: {{Name: "m0", Size: 2, LoadTime: time.Second, WarmLoadTime: 300 * time.Millisecond}}}
		c.Slots = 17
	}); err != nil {
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
	sound := map[string]string{"X-Model": "m0", "X-Token-Count": "10,5"}
	if err := l.awaitService("/chat/x", sound); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var backAt time.Time
	before, servedBefore, after, servedAfter := 0, 0, 0, 0
	began := time.Now()
	var end time.Time
	var group sync.WaitGroup
	c := newConsumer()
	send := func(n int) {
		id := fmt.Sprintf("s-%d", n)
		sent := time.Now()
		a := c.do(l.entries[n%len(l.entries)], call{id: id, path: "/chat/x", body: "x", key: key, header: sound, timeout: 4 * time.Second})
		l.write("sent %s: status %d, %v", id, a.status, a.err)
		mu.Lock()
		defer mu.Unlock()
		served := a.status == http.StatusOK && a.err == nil
		switch {
		case backAt.IsZero() && sent.Sub(began) < 8*time.Second:
			before++
			if served {
				servedBefore++
			}
		case !backAt.IsZero() && sent.Sub(backAt) > recovery:
			after++
			if served {
				servedAfter++
			}
		}
	}
	go func() {
		time.Sleep(10 * time.Second)
		l.write("all processes are killed")
		for _, e := range l.entries {
			e.signal(syscall.SIGKILL)
		}
		if l.trouble {
			l.write("another writer begins to write")
			go func() {
				for l.ctx.Err() == nil {
					n, err := l.mirror()
					l.write("another writer has written %d rows, %v", n, err)
					time.Sleep(heartbeat)
				}
			}()
		}
		time.Sleep(time.Second)
		for _, e := range l.entries {
			e.start()
		}
		mu.Lock()
		backAt = time.Now()
		mu.Unlock()
		l.write("all processes are back")
	}()
	end = began.Add(11*time.Second + recovery + recovered)
	for n := 0; time.Now().Before(end); n++ {
		group.Go(func() { send(n) })
		time.Sleep(50 * time.Millisecond)
	}
	group.Wait()
	l.conclude("%d of %d requests were served before the fault; %d of %d later than %.0f s after the processes were back", servedBefore, before, servedAfter, after, recovery.Seconds())
	return servedAfter*4 >= after, nil
}
