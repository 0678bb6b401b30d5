package quarantiner

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

var scriptLimits = PartLimits{
	Sites: 3, Requests: 3, Span: 500 * time.Millisecond, Share: 0.5, ShareMargin: time.Second, ClearedSites: 5, ClearedSpan: time.Second, ClearedExpiry: 20 * time.Second,
	Trust: 2 * time.Second, Settling: 250 * time.Millisecond, Expiry: time.Minute,
	SiteCapacity: 8, PartCapacity: 8, PartsPerSite: 6, PartsPerRequest: 4,
}

// TestPartScripts runs the scripts in testdata/parts against quarantines of the entry
// instances that they name. Times and ages are in milliseconds, parts in decimal digits.
func TestPartScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/parts", func(t *testing.T, path string) {
		start := time.Unix(1_000_000, 0)
		entries := map[string]*PartQuarantine{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			name, site := "", ""
			d.MaybeScanArgs(t, "entry", &name)
			d.MaybeScanArgs(t, "site", &site)
			if entries[name] == nil {
				entries[name] = NewPartQuarantine(scriptLimits)
			}
			q := entries[name]
			now := start.Add(scriptDuration(t, d, "at"))
			switch d.Cmd {
			case "strike":
				var request uint64
				d.ScanArgs(t, "request", &request)
				q.RecordStrike(now, Strike{Fingerprint: Fingerprint(request), Site: site, Parts: scriptParts(t, d), Age: scriptDuration(t, d, "age")})
				return ""
			case "clear":
				q.Clear(now, now.Add(-scriptDuration(t, d, "age")), scriptParts(t, d))
				return ""
			case "suspects":
				return fmt.Sprintln(q.Suspects(now, scriptParts(t, d)))
			case "report":
				for _, part := range scriptParts(t, d) {
					q.RecordClearance(now, Clearance{Part: part, Age: scriptDuration(t, d, "age")})
				}
				return ""
			case "fetch":
				from := ""
				d.ScanArgs(t, "from", &from)
				for _, s := range entries[from].AllStrikes(now) {
					q.RecordStrike(now, s)
				}
				for _, c := range entries[from].AllClearances(now) {
					q.RecordClearance(now, c)
				}
				return ""
			}
			return advance(q, now)
		})
	})
}

// advance judges the evidence and describes the changes.
func advance(q *PartQuarantine, now time.Time) string {
	changes := q.Advance(now)
	var text strings.Builder
	for _, b := range changes.Blocked {
		fmt.Fprintf(&text, "blocked: %s, %d crashes\n", b.Part, b.Sites)
	}
	for _, part := range changes.Released {
		fmt.Fprintf(&text, "released: %s\n", part)
	}
	for _, c := range changes.Clearances {
		fmt.Fprintf(&text, "cleared: %s, %s ago\n", c.Part, c.Age)
	}
	if text.Len() == 0 {
		return fmt.Sprintf("no change, %d blocked\n", q.BlockedCount())
	}
	return text.String()
}

func scriptDuration(t *testing.T, d *datadriven.TestData, name string) time.Duration {
	ms := 0
	d.MaybeScanArgs(t, name, &ms)
	return time.Duration(ms) * time.Millisecond
}

func scriptParts(t *testing.T, d *datadriven.TestData) []Part {
	var ids []uint64
	for i := range d.CmdArgs {
		if d.CmdArgs[i].Key != "parts" {
			continue
		}
		for _, text := range d.CmdArgs[i].Vals {
			var id uint64
			if _, err := fmt.Sscan(text, &id); err != nil {
				d.Fatalf(t, "part %q: %v", text, err)
			}
			ids = append(ids, id)
		}
	}
	parts := make([]Part, len(ids))
	for i, id := range ids {
		parts[i] = Part(id)
	}
	return parts
}
