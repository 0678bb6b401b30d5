package commander

import (
	"fmt"
	"strconv"
	"time"

	"github.com/integrii/flaggy"

	"github.com/waxwingmount/waxwingmount/internal/explainer"
	"github.com/waxwingmount/waxwingmount/pkg/faulter"
)

func init() {
	register(command{name: "summarize", help: "Summarize from logs which requests missed their objectives, when, and why.", setup: summarize})
}

// defaultSummaryWindow is the default length of a window.
const defaultSummaryWindow = 2 * time.Second

func summarize(sub *flaggy.Subcommand) func(*session) error {
	window := defaultSummaryWindow
	files := []string{}
	sub.Duration(&window, "w", "window", "The length of the time windows.")
	sub.StringSlice(&files, "l", "logs", "A log file of an entry instance; may be repeated. By default the standard input is read.")
	return func(s *session) error {
		if window <= 0 {
			return usagef("summarize", "--window must be positive, not %v", window)
		}
		lines, err := readLogs(files)
		if err != nil {
			return err
		}
		summary, err := explainer.New(lines).Summarize(window)
		if err != nil {
			return faulter.New("summarize", KindUsage, err)
		}
		return s.print(summary, func() [][]string { return summaryRows(summary) })
	}
}

func summaryRows(summary explainer.Summary) [][]string {
	rows := [][]string{{"ROUTE OR TIME", "REQUESTS", "MISSED", "REASON", "COUNT", "SHARE"}}
	rows = append(rows, tallyRows("all", summary.Total)...)
	for _, r := range summary.Routes {
		rows = append(rows, tallyRows(r.Route, r.Tally)...)
	}
	for _, w := range summary.Windows {
		rows = append(rows, tallyRows(fmt.Sprintf("%.1f s", w.From.Seconds()), w.Tally)...)
	}
	return rows
}

// tallyRows returns one row for each cause. Shares are of the tally's requests.
func tallyRows(name string, t explainer.Tally) [][]string {
	share := func(n int) string { return fmt.Sprintf("%.3f", float64(n)/float64(t.Requests)) }
	rows := [][]string{{name, strconv.Itoa(t.Requests), strconv.Itoa(t.Missed()), "", "", share(t.Missed())}}
	for _, c := range t.CausesByCount() {
		rows = append(rows, []string{"", "", "", c.String(), strconv.Itoa(t.Causes[c]), share(t.Causes[c])})
	}
	return rows
}
