package main

import (
	"fmt"
	"time"
)

func init() { cases["revoke"] = revoke }

const (
	// revokeBound is revoke_ms of the sheets.
	revokeBound = 5 * time.Second
	// storeAway is how long the store is away in the drill, copyAge how old the copy is, and
	// operatorDelay how long after the store's return the operator has written again.
	storeAway     = 2 * time.Second
	copyAge       = 3 * time.Second
	operatorDelay = 4 * time.Second
)

// revoke takes a key away just before the store comes back from an older copy, and looks
// whether requests with the key run after revoke_ms.
func revoke(record string, disturbed bool) []string {
	c := newCluster(record, 3)
	all := c.addWorkers("portal", 3)
	version := 0
	write := func(keys ...string) time.Time {
		version++
		cfg := config(version, []map[string]any{route("/doc/", "idempotent", "portal", 1500*time.Millisecond)}, "portal")
		cfg["tenants"] = []any{
			map[string]any{"name": "t1", "api_keys": keys, "priority": 1},
			map[string]any{"name": "t2", "api_keys": []string{"other"}, "priority": 1},
		}
		c.await(fmt.Sprintf("version %d is acknowledged, with the keys %v", version, keys), time.Second, func() bool { return c.put("op", "config", cfg) == nil })
		return time.Now()
	}
	write(key, "k2")
	c.startAll()
	time.Sleep(4 * time.Second)

	var revokedAt time.Time
	done := make(chan struct{})
	go func() {
		defer close(done)
		time.Sleep(3 * time.Second)
		c.front.setAway(disturbed)
		revokedAt = write("k2")
		if !disturbed {
			return
		}
		c.drill(storeAway, copyAge)
		time.Sleep(operatorDelay)
		version--
		write("k2")
	}()
	calls := c.traffic(6, 40*time.Millisecond, time.Now().Add(14*time.Second), func() (string, string, string) { return "GET", "/doc/page", key })
	<-done
	var broken []string
	for _, k := range calls {
		if late := k.sentAt.Sub(revokedAt); late > revokeBound && len(all.of(k.id)) > 0 {
			broken = append(broken, fmt.Sprintf("CONFIG: %s was sent %v after the acknowledgement of the config that took its key away, and ran", k.id, late.Round(time.Millisecond)))
		}
	}
	return broken
}
