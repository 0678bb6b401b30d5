package retrier

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestScripts runs the scripts in testdata against the state machines of one
// request and of one attempt. Times are in milliseconds; QueueUntil is 1000 and the
// deadline 5000.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		start := time.Now()
		var machine *Machine
		var replacer Replacer
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "attempt" {
				replacer = Replacer{}
				return ""
			}
			if event, found := replacerEventNamed(d.Cmd); found {
				return replacer.Step(event, !d.HasArg("last")).String() + "\n"
			}
			if d.Cmd == "request" {
				reserve := 10
				resume, attempts, verdict := 0, 0, 0
				d.MaybeScanArgs(t, "verdict", &verdict)
				d.MaybeScanArgs(t, "reserve", &reserve)
				d.MaybeScanArgs(t, "resume", &resume)
				d.MaybeScanArgs(t, "attempts", &attempts)
				machine = New(RequestInfo{
					Idempotent:  !d.HasArg("once"),
					Buffered:    d.HasArg("buffered"),
					QueueUntil:  start.Add(time.Second),
					Deadline:    start.Add(5 * time.Second),
					ResumeWait:  time.Duration(resume) * time.Millisecond,
					VerdictWait: time.Duration(verdict) * time.Millisecond,
					MaxAttempts: attempts,
				}, NewBudget(Limits{Reserve: float64(reserve)}, time.Time{}))
				return ""
			}
			if d.Cmd == "revert" {
				attempts := 0
				d.ScanArgs(t, "attempts", &attempts)
				machine.RevertRetry(attempts)
				return ""
			}
			event := Event{Kind: eventNamed(d.Cmd)}
			ms := 0
			event.NothingSent, event.RefundAttempt = d.HasArg("nothing_sent"), d.HasArg("refund_attempt")
			event.VerdictPending = d.HasArg("pending")
			d.MaybeScanArgs(t, "delivered", &event.Delivered)
			d.MaybeScanArgs(t, "at", &ms)
			if d.HasArg("available_at") {
				var available int
				d.ScanArgs(t, "available_at", &available)
				event.AvailableAt = start.Add(time.Duration(available) * time.Millisecond)
			}
			return show(machine.Step(start.Add(time.Duration(ms)*time.Millisecond), event))
		})
	})
}

func eventNamed(name string) EventKind {
	for kind := Started; kind <= Expired; kind++ {
		if kind.String() == name {
			return kind
		}
	}
	panic("no event " + name)
}

func replacerEventNamed(name string) (ReplacerEvent, bool) {
	for event := Suspected; event <= ReplacementFailed; event++ {
		if event.String() == name {
			return event, true
		}
	}
	return 0, false
}

func show(a Action) string {
	switch a.Kind {
	case Attempt:
		return fmt.Sprintf("try resume_from=%d\n", a.ResumeFrom)
	case Wait:
		return fmt.Sprintf("wait %s\n", a.Delay)
	default:
		return fmt.Sprintf("answer %s final=%t expired=%t\n", a.Outcome, a.Final, a.Expired)
	}
}
