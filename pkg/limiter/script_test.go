package limiter

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestScripts runs the scripts in testdata against a queue with a capacity of
// three. Times are in milliseconds.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		start := time.Now()
		q := NewQueue(3)
		names := make(map[uint64]string)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			ms, free := 0, 0
			d.ScanArgs(t, "at", &ms)
			d.MaybeScanArgs(t, "free", &free)
			now := start.Add(time.Duration(ms) * time.Millisecond)
			switch d.Cmd {
			case "offer":
				ticket := Ticket{ID: uint64(len(names) + 1), Weight: 1, Deadline: now.Add(time.Minute)}
				name := ""
				d.ScanArgs(t, "name", &name)
				d.ScanArgs(t, "organisation", &ticket.Organisation)
				d.MaybeScanArgs(t, "weight", &ticket.Weight)
				d.MaybeScanArgs(t, "priority", &ticket.Priority)
				var deadline int
				if d.HasArg("deadline") {
					d.ScanArgs(t, "deadline", &deadline)
					ticket.Deadline = start.Add(time.Duration(deadline) * time.Millisecond)
				}
				if d.HasArg("objective_start_by") {
					startBy := 0
					d.ScanArgs(t, "objective_start_by", &startBy)
					ticket.ObjectiveStartBy = start.Add(time.Duration(startBy) * time.Millisecond)
				}
				ticket.PreviouslyRefused = d.HasArg("previously_refused")
				names[ticket.ID] = name
				return showDecision(q.Offer(now, ticket, free), names)
			case "record_duration":
				took := 0
				d.ScanArgs(t, "took", &took)
				q.RecordDuration(time.Duration(took) * time.Millisecond)
				return ""
			case "dequeue":
				return showTickets(q.Dequeue(now, free), names)
			default:
				return showTickets(q.Expire(now), names)
			}
		})
	})
}

func showDecision(d Decision, names map[uint64]string) string {
	text := d.Verdict.String()
	if d.Verdict == Refused {
		text += fmt.Sprintf(" retry_after=%s", d.RetryAfter)
	}
	if d.Evicted != nil {
		text += " evicted=" + names[d.Evicted.ID]
	}
	return text + "\n"
}

func showTickets(tickets []Ticket, names map[uint64]string) string {
	var shown []string
	for _, t := range tickets {
		shown = append(shown, names[t.ID])
	}
	return strings.Join(shown, " ") + "\n"
}
