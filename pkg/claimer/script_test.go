package claimer

import (
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestScripts runs the script testdata/classify, which classifies requests whose
// key is already claimed.
func TestScripts(t *testing.T) {
	datadriven.RunTest(t, "testdata/classify", func(t *testing.T, d *datadriven.TestData) string {
		r := Record{Digest: "same", Oversized: d.HasArg("oversized")}
		state := ""
		d.ScanArgs(t, "state", &state)
		for s := Claimed; s <= Unknown; s++ {
			if s.String() == state {
				r.State = s
			}
		}
		digest := "same"
		if d.HasArg("other_request") {
			digest = "other"
		}
		return Classify(r, digest, d.HasArg("holder_alive")).String() + "\n"
	})
}
