package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["foreign"] = foreign }

// foreign lets another writer put one row into servers, which names no worker, and looks
// whether proper requests are answered 404.
func foreign(record string, disturbed bool) []string {
	c := newCluster(record, 3)
	c.addWorkers("portal", 3)
	_ = c.put("op", "config", config(1, []map[string]any{route("/rota/", "non_idempotent", "portal", 1500*time.Millisecond)}, "portal"))
	other := c.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.record.printf("the other program gets %s %s, id %q, tenant %q", r.Method, r.URL.Path, r.Header.Get("X-Request-Id"), r.Header.Get("X-Tenant"))
		http.NotFound(w, r)
	}))
	c.startAll()
	time.Sleep(4 * time.Second)
	if disturbed {
		// version is a number, sequence a text, and warmup_left_ms is missing.
		c.record.printf("another writer puts a row into servers")
		_ = c.put("servers", "backup-agent", map[string]any{
			"service": "portal", "address": other, "zone": "zone-0", "version": 7, "slots": 6, "state": "ready", "sequence": "4",
		})
	}
	calls := c.traffic(12, 30*time.Millisecond, time.Now().Add(8*time.Second), func() (string, string, string) { return "POST", "/rota/7", key })
	denied := 0
	for _, k := range calls {
		if k.stamp == "" && k.status >= 300 && k.status < 500 && k.status != 408 && k.status != 421 && k.status != 429 {
			denied++
		}
	}
	if limit := 5 + len(calls)/500; denied > limit {
		return []string{fmt.Sprintf("DENIED: %d of %d proper requests were ended with a 4xx without a worker's stamp; %d are allowed", denied, len(calls), limit)}
	}
	return nil
}
