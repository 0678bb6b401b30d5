package enumerator

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestScripts guards against parts of an allowance that grow because peers that may go on using
// theirs are not seen. Times are in milliseconds; silent instances count for 60 s, and those
// that leave for 10 s. Commands:
//
//	new [forget]                     a process starts; forget: leaving ones do not count once silent
//	live at=T [fewest=F] ENTRY...    the live entry instances; ENTRY! shuts down
func TestScripts(t *testing.T) {
	start := time.Unix(1000, 0)
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var e *Enumerator
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "new" {
				settings := Settings{Retention: time.Minute, LeavingRetention: 10 * time.Second}
				if d.HasArg("forget") {
					settings.LeavingRetention = 0
				}
				e = New("self", settings)
				return ""
			}
			at, fewest := 0, 1
			d.ScanArgs(t, "at", &at)
			d.MaybeScanArgs(t, "fewest", &fewest)
			var live []Entry
			for _, argument := range d.CmdArgs {
				if len(argument.Vals) == 0 {
					id, leaving := strings.CutSuffix(argument.Key, "!")
					live = append(live, Entry{ID: id, Leaving: leaving})
				}
			}
			changed := e.Update(start.Add(time.Duration(at)*time.Millisecond), live, fewest)
			known := slices.Sorted(e.IDs())
			return fmt.Sprintf("size=%d complete=%t changed=%t known=%s\n", e.Size(), e.Complete(), changed, strings.Join(known, ","))
		})
	})
}
