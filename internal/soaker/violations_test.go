package soaker

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/platform/emulator"
)

// baseTime is the time to which the event times of these tests are relative.
var baseTime = time.Unix(1_800_000_000, 0)

func startedRun(path, instance string) emulator.ServerEvent {
	return emulator.ServerEvent{Kind: emulator.Began, Request: "r", Path: path, Instance: instance, Organisation: "o", Time: baseTime}
}

func newResult(path string) result {
	return result{
		Request: emulator.Request{ID: "r", Path: path, Key: "o-key", Timeout: time.Minute, Events: 2},
		sentAt:  baseTime, finishedAt: baseTime.Add(time.Second),
	}
}

func respondedResult(path string, status int, body string, err error) result {
	r := newResult(path)
	r.response = emulator.Response{Status: status, ID: r.ID, Verified: true, Body: body, Err: err}
	return r
}

func groupEvent(kind emulator.ServerEventKind, instance, group string, after time.Duration) emulator.ServerEvent {
	return emulator.ServerEvent{Kind: kind, Instance: instance, Group: group, Members: []string{"a", "b"}, Time: baseTime.Add(after)}
}

// TestCheckerReportsViolations checks that a violation of each guarantee is
// reported under its own prefix.
func TestCheckerReportsViolations(t *testing.T) {
	for _, test := range []struct {
		want   string
		events func(c *checker)
	}{
		{"twice", func(c *checker) { c.recordRun(startedRun(pathOnce, "a")); c.recordRun(startedRun(pathOnce, "b")) }},
		{"refused", func(c *checker) {
			c.recordResult(respondedResult(pathOnce, http.StatusServiceUnavailable, "", nil))
			c.recordRun(startedRun(pathOnce, "a"))
		}},
		{"mixed", func(c *checker) { c.recordResult(respondedResult(pathIdempotent, http.StatusOK, "POST /other/ ", nil)) }},
		{"order", func(c *checker) {
			c.recordResult(respondedResult(pathStream, http.StatusOK, emulator.EventText(1)+emulator.EventText(1), http.ErrAbortHandler))
		}},
		{"key", func(c *checker) {
			c.revokedAt["o-key"] = baseTime.Add(-time.Minute)
			c.recordResult(newResult(pathIdempotent))
			c.recordRun(startedRun(pathIdempotent, "a"))
		}},
		{"organisation", func(c *checker) {
			r := newResult(pathIdempotent)
			r.Key = "other-key"
			c.recordResult(r)
			c.recordRun(startedRun(pathIdempotent, "a"))
		}},
		{"lost", func(c *checker) {
			c.recordResult(respondedResult(pathIdempotent, 0, "", http.ErrAbortHandler))
			c.recordRun(startedRun(pathIdempotent, "a"))
		}},
		{"config", func(c *checker) {
			c.routeChanges = []routeChange{{at: baseTime.Add(-time.Minute), present: true}}
			c.recordResult(respondedResult(pathExtra, http.StatusNotFound, "", nil))
		}},
		{"partial", func(c *checker) {
			c.recordRun(groupEvent(emulator.Ready, "a", "g", 0))
			r := groupEvent(emulator.Began, "a", "g", time.Second)
			r.Request = "r"
			c.recordRun(r)
		}},
		{"two", func(c *checker) {
			c.recordRun(groupEvent(emulator.Joined, "b", "g", 0))
			c.recordRun(groupEvent(emulator.Opened, "a", "g", time.Second))
			c.recordRun(groupEvent(emulator.Joined, "b", "h", 2*time.Second))
		}},
		{"budget", func(c *checker) {
			for range 3 {
				c.recordRun(startedRun(pathIdempotent, "a"))
			}
		}},
	} {
		c := newChecker(limits{keyTTL: time.Second, apply: time.Second, retrySlack: 1, maxAttempts: 4})
		test.events(c)
		violations := c.finish(usualEntries)
		assert.Equal(t, len(violations), 1, "%s: %v", test.want, violations)
		assert.Assert(t, strings.HasPrefix(violations[0], test.want+":"), "%v", violations)
	}
}

// TestRefusalsAreCounted guards against a checker that misses requests to a server which
// has said that it wants none.
func TestRefusalsAreCounted(t *testing.T) {
	c := newChecker(testLimits)
	for i := range 2 + maxRefused*usualEntries {
		c.recordRun(emulator.ServerEvent{
			Kind: emulator.Deferred, Instance: "w-1", Time: baseTime.Add(time.Duration(i) * 400 * time.Millisecond), Until: baseTime.Add(time.Minute),
		})
	}
	assert.Equal(t, len(c.finish(usualEntries)), 0)
	c.recordRun(emulator.ServerEvent{Kind: emulator.Deferred, Instance: "w-1", Time: baseTime.Add(30 * time.Second), Until: baseTime.Add(time.Minute)})
	assert.Assert(t, strings.HasPrefix(c.finish(usualEntries)[0], "refusals:"))
}

// TestCutsAreCounted guards against a checker that misses cut entry instances which serve
// their callers too rarely, or that counts instances which may do so.
func TestCutsAreCounted(t *testing.T) {
	whole := interval{baseTime.Add(-time.Minute), baseTime.Add(time.Minute)}
	for _, test := range []struct {
		name     string
		cut      cutSpan
		faults   map[int][]interval
		failures int
		reported bool
	}{
		{"more failures than allowed", cutSpan{whole, true}, nil, 12, true},
		{"few failures", cutSpan{whole, true}, nil, 10, false},
		{"cut from some servers", cutSpan{whole, false}, nil, 12, false},
		{"cut began just before", cutSpan{interval{baseTime.Add(-time.Second), whole.to}, true}, nil, 12, false},
		{"fault of the instance", cutSpan{whole, true}, map[int][]interval{1: {whole}}, 12, false},
		{"fault of another", cutSpan{whole, true}, map[int][]interval{3: {whole}}, 12, true},
	} {
		c := newChecker(testLimits)
		c.recordCuts([]int{0}, test.cut)
		for entry, faults := range test.faults {
			c.entryFaults[entry] = faults
		}
		for i := range 2 * test.failures {
			r := respondedResult(pathIdempotent, http.StatusServiceUnavailable, "", nil)
			if i%2 == 1 {
				r.response.Status, r.response.Body = http.StatusOK, "POST "+pathIdempotent+" "
			}
			r.ID, r.entry = fmt.Sprint("r-", i), i%2
			r.response.ID = r.ID
			c.recordResult(r)
		}
		violations := c.finish(usualEntries)
		assert.Equal(t, len(violations) == 1, test.reported, "%s: %v", test.name, violations)
		assert.Equal(t, strings.HasPrefix(strings.Join(violations, ""), "cut:"), test.reported, test.name)
	}
}

// TestEvacuationsAreChecked guards against a checker that misses requests which reach an
// evacuated data centre too late, or that counts those that may.
func TestEvacuationsAreChecked(t *testing.T) {
	for _, test := range []struct {
		name     string
		place    string
		after    time.Duration
		fault    int
		reported bool
	}{
		{name: "late", place: "east", after: 4 * time.Second, reported: true},
		{name: "within the bound", place: "east", after: time.Second},
		{name: "after the end", place: "east", after: time.Minute},
		{name: "elsewhere", place: "west", after: 4 * time.Second},
		{name: "fault of the instance", place: "east", after: 4 * time.Second, fault: 1},
		{name: "fault of another", place: "east", after: 4 * time.Second, fault: 2, reported: true},
	} {
		c := newChecker(testLimits)
		c.places["a"] = test.place
		began := baseTime.Add(-test.after)
		c.recordEvacuation(evacuation{interval{began, began.Add(30 * time.Second)}, "east"})
		if test.fault > 0 {
			c.entryFaults[test.fault] = []interval{{baseTime.Add(-time.Minute), baseTime.Add(time.Minute)}}
		}
		r := newResult(pathIdempotent)
		r.sentAt = baseTime.Add(-time.Millisecond)
		c.recordResult(r)
		c.recordRun(startedRun(pathIdempotent, "a"))
		violations := c.finish(usualEntries)
		assert.Equal(t, len(violations) == 1, test.reported, "%s: %v", test.name, violations)
		assert.Equal(t, strings.HasPrefix(strings.Join(violations, ""), "evacuation:"), test.reported, test.name)
	}
}
