package screener

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestScripts guards against a request to a server that leaves, wants nothing, or is kept
// out for another reason, and against one reason that hides a stronger one. Times are in
// milliseconds.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		start := time.Unix(1000, 0)
		s := New()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			at, wait, ejected := 0, 0, -1
			server := "a/1"
			d.ScanArgs(t, "at", &at)
			d.MaybeScanArgs(t, "server", &server)
			d.MaybeScanArgs(t, "wait", &wait)
			d.MaybeScanArgs(t, "ejected_until", &ejected)
			now := start.Add(time.Duration(at) * time.Millisecond)
			switch d.Cmd {
			case "defer":
				return fmt.Sprintf("changed=%t\n", s.Defer(now, server, time.Duration(wait)*time.Millisecond))
			case "answer":
				s.NoteAnswer(now, server, d.HasArg("leaving"))
				return ""
			case "answered":
				return fmt.Sprintf("%t\n", s.HasAnswered(now, server, 1500*time.Millisecond))
			case "screen":
				e := Evidence{Lost: d.HasArg("lost"), Leaving: d.HasArg("leaving"), NoPermit: d.HasArg("no_permit"), Cold: d.HasArg("cold")}
				if ejected >= 0 {
					e.EjectedUntil = start.Add(time.Duration(ejected) * time.Millisecond)
				}
				verdict, until := s.Screen(now, server, e)
				if until.IsZero() {
					return verdict.String() + "\n"
				}
				return fmt.Sprintf("%s %d\n", verdict, until.Sub(start).Milliseconds())
			}
			t.Fatalf("unknown command %q", d.Cmd)
			return ""
		})
	})
}
