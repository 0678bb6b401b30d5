package warmer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestScripts guards against an entry instance that takes a warm server for cold or a cold
// one for warm, and against allowances that outlive their time. Times are in milliseconds.
// The limit is 14 requests a second for 10 s. Commands:
//
//	new at=T                             a process starts
//	entries at=T n=N [leaving] [fewest=F]  the live entry instances: this one and e1 to eN-1
//	list at=T SERVER... [idle] [free]    a list; SERVER is ID/INCARNATION[:LEFT[:COUNT]]
//	probe at=T sent=T server=S left=L    a response to a probe
//	return at=T server=S                 its data centre is used again
//	use at=T server=S                    takes an allowance, if there is one
//	confirm at=T server=S given=T        is the allowance that was taken at T still valid
//	state at=T                           the changes, and how many servers are cold
func TestScripts(t *testing.T) {
	start := time.Unix(1000, 0)
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var w *Warmer
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			number := func(key string) int {
				value := 0
				d.MaybeScanArgs(t, key, &value)
				return value
			}
			at := func(key string) time.Time { return start.Add(time.Duration(number(key)) * time.Millisecond) }
			server := "a/1"
			d.MaybeScanArgs(t, "server", &server)
			now := at("at")
			switch d.Cmd {
			case "new":
				w = New(now, "e0")
			case "entries":
				var live []Entry
				for i := range number("n") {
					live = append(live, Entry{ID: fmt.Sprintf("e%d", i), Leaving: d.HasArg("leaving")})
				}
				w.SetEntries(now, live, number("fewest"))
			case "list":
				limit := Limit{WarmUp: 10 * time.Second, PerSecond: 14, Overage: 1.5, Slack: 5}
				if d.HasArg("free") {
					limit = Limit{}
				}
				w.Update(now, parseList(t, d, limit), d.HasArg("idle"))
			case "probe":
				w.ObserveProbe(now, at("sent"), server, time.Duration(number("left"))*time.Millisecond)
			case "return":
				w.NoteReturn(now, server)
			case "use":
				if !w.Allowed(now, server) {
					return "refused\n"
				}
				return fmt.Sprintf("allowed limited=%t\n", w.Use(now, server) != Allowance{})
			case "confirm":
				_, ok := w.Confirm(now, server, Allowance{at: at("given")})
				return fmt.Sprintf("%t\n", ok)
			case "state":
				var text strings.Builder
				for _, c := range w.Changes(now) {
					fmt.Fprintf(&text, "%s cold=%t left=%d\n", c.Server, c.Cold, c.Left.Milliseconds())
				}
				fmt.Fprintf(&text, "%d cold\n", w.Cold(now))
				return text.String()
			default:
				t.Fatalf("unknown command %s", d.Cmd)
			}
			return ""
		})
	})
}

func parseList(t *testing.T, d *datadriven.TestData, limit Limit) []Listed {
	t.Helper()
	var list []Listed
	for _, argument := range d.CmdArgs {
		if !strings.Contains(argument.Key, "/") {
			continue
		}
		name, rest, stated := strings.Cut(argument.Key, ":")
		l := Listed{Server: name, Limit: limit, Statement: Statement{Stated: stated}}
		left := 0
		if stated {
			if _, err := fmt.Sscanf(strings.ReplaceAll(rest+":0", ":", " "), "%d %d", &left, &l.Statement.Count); err != nil {
				t.Fatal(err)
			}
		}
		l.Statement.Left = time.Duration(left) * time.Millisecond
		list = append(list, l)
	}
	return list
}
