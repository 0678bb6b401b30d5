package explainer

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// TestSummarize counts the requests of a log by route, window and cause.
func TestSummarize(t *testing.T) {
	file, err := os.Open("testdata/summary.txt")
	assert.NilError(t, err)
	defer file.Close()
	lines, skipped, err := Read(file)
	assert.NilError(t, err)
	assert.Equal(t, skipped, 0)
	summary, err := New(lines).Summarize(2 * time.Second)
	assert.NilError(t, err)
	var text strings.Builder
	describe := func(name string, tally Tally) {
		fmt.Fprintf(&text, "%s: %d requests, %d missed\n", name, tally.Requests, tally.Missed())
		for _, c := range tally.CausesByCount() {
			fmt.Fprintf(&text, "  %v %d\n", c, tally.Causes[c])
		}
	}
	describe("all", summary.Total)
	for _, r := range summary.Routes {
		describe(r.Route, r.Tally)
	}
	for _, w := range summary.Windows {
		describe(w.From.String(), w.Tally)
	}
	golden.Assert(t, text.String(), "summary.golden")
}

// TestSummarizeNothing rejects logs in which no request ends.
func TestSummarizeNothing(t *testing.T) {
	_, err := New(nil).Summarize(time.Second)
	assert.ErrorContains(t, err, "no line tells of the end of a request")
}
