package soaker

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/waxwingmount/waxwingmount/platform/emulator"
)

// The kinds of route that the soak uses.
const (
	pathIdempotent = "/repeat/"
	pathOnce       = "/once/"
	pathStream     = "/stream/"
	pathExtra      = "/extra/"
)

// result is one request as its caller saw it.
type result struct {
	emulator.Request
	entry              int
	sentAt, finishedAt time.Time
	response           emulator.Answer
}

// succeeded tells whether the answer is complete and a success.
func (r result) succeeded() bool { return r.response.Err == nil && r.response.Status == http.StatusOK }

// refused tells whether the answer promises that the request never runs.
func (r result) refused() bool {
	switch r.response.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// interval is a stretch of time.
type interval struct{ from, to time.Time }

func (i interval) overlaps(o interval) bool { return i.from.Before(o.to) && o.from.Before(i.to) }

// checker holds the promises against what callers and servers saw.
type checker struct {
	limits limits

	mu          sync.Mutex
	results     map[string]result
	runs        map[string][]emulator.Run
	groupEvents []emulator.Run
	// revokedAt says when the store confirmed the end of a key.
	revokedAt map[string]time.Time
	// added and dropped say since when the extra route is there or not.
	routeChanges []routeChange
	// faults are the unplanned disturbances of the day.
	faults     []interval
	violations []string
}

// routeChange is a confirmed change of the extra route.
type routeChange struct {
	at      time.Time
	present bool
}

// limits are the promised times and shares.
type limits struct {
	keyTTL, faultRecovery, apply time.Duration
	retryRatio, retrySlack       float64
	maxAttempts                  int
}

func newChecker(b limits) *checker {
	return &checker{limits: b, results: map[string]result{}, runs: map[string][]emulator.Run{}, revokedAt: map[string]time.Time{}}
}

func (c *checker) failf(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// recordRun takes what a server reports.
func (c *checker) recordRun(r emulator.Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Kind == emulator.Began || r.Kind == emulator.Ended {
		c.runs[r.Request] = append(c.runs[r.Request], r)
	}
	if r.Request == "" || r.Kind == emulator.Began && r.Group != "" {
		c.groupEvents = append(c.groupEvents, r)
	}
	if r.Kind == emulator.Began {
		c.checkRuns(r.Request)
	}
}

// recordResult takes what a caller got.
func (c *checker) recordResult(r result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results[r.ID] = r
	c.checkRuns(r.ID)
	if r.succeeded() {
		c.checkContent(r)
	}
	if r.Path == pathStream && r.response.Status == http.StatusOK {
		c.checkEventOrder(r)
	}
	if r.response.Status != 0 && r.response.ID != "" && r.response.ID != r.ID {
		c.failf("mixed: %s got the answer of %s", r.ID, r.response.ID)
	}
}

// checkRuns holds what promises say of one request's runs.
func (c *checker) checkRuns(id string) {
	runs := c.startedRuns(id)
	if len(runs) == 0 {
		return
	}
	once := runs[0].Path == pathOnce
	if once && len(runs) > 1 {
		c.failf("twice: %s ran at %s and %s", id, runs[0].Instance, runs[1].Instance)
	}
	r, finished := c.results[id]
	if !finished {
		return
	}
	if once && r.refused() {
		c.failf("refused: %s got %d and ran at %s", id, r.response.Status, runs[0].Instance)
	}
	if len(runs) > c.limits.maxAttempts {
		c.failf("attempts: %s ran %d times", id, len(runs))
	}
	if r.Path != runs[0].Path {
		c.failf("unasked: %s went to %s, ran as %s", id, r.Path, runs[0].Path)
	}
	if want, _, _ := strings.Cut(r.Key, "-"); runs[0].Organisation != want {
		c.failf("organisation: %s of %s ran for %q", id, want, runs[0].Organisation)
	}
	if at, gone := c.revokedAt[r.Key]; gone && r.sentAt.After(at.Add(c.limits.keyTTL)) {
		c.failf("key: %s was sent %v after the end of its key and ran", id, r.sentAt.Sub(at).Round(time.Millisecond))
	}
}

func (c *checker) startedRuns(id string) []emulator.Run {
	var started []emulator.Run
	for _, r := range c.runs[id] {
		if r.Kind == emulator.Began {
			started = append(started, r)
		}
	}
	return started
}

// checkContent holds a whole answer against what servers write.
func (c *checker) checkContent(r result) {
	want := fmt.Sprintf("%s %s %s", http.MethodPost, r.Path, r.Body)
	if r.Path == pathStream {
		var text strings.Builder
		for event := 1; event <= r.Events; event++ {
			text.WriteString(emulator.EventText(event))
		}
		want = text.String()
	}
	if r.response.Body != want {
		c.failf("mixed: %s got %q for %q", r.ID, r.response.Body, want)
	}
	if !r.response.Proved {
		c.failf("mixed: %s got a success without a server's mark", r.ID)
	}
}

// checkEventOrder holds the events of a stream, whole or broken off, in order.
func (c *checker) checkEventOrder(r result) {
	events := strings.SplitAfter(r.response.Body, "\n\n")
	for i, event := range events[:len(events)-1] {
		if event != emulator.EventText(i+1) {
			c.failf("order: %s has %q as event %d", r.ID, event, i+1)
			return
		}
	}
}

// undisturbed tells whether no unplanned fault came near the span.
func (c *checker) undisturbed(i interval) bool {
	i.from = i.from.Add(-c.limits.faultRecovery)
	return !slices.ContainsFunc(c.faults, i.overlaps)
}

// finish makes the checks that need the whole day.
func (c *checker) finish() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.results {
		c.checkLost(a)
		c.checkRoute(a)
	}
	c.checkRetryBudget()
	c.checkGroups()
	slices.Sort(c.violations)
	return slices.Compact(c.violations)
}

// checkLost finds requests that ran and got no answer though nothing but
// planned work went on.
func (c *checker) checkLost(r result) {
	cut := r.response.Err != nil && r.finishedAt.Sub(r.sentAt) < r.Patience-r.Patience/10
	if cut && len(c.startedRuns(r.ID)) > 0 && c.undisturbed(interval{r.sentAt, r.finishedAt}) {
		c.failf("lost: %s ran and got no whole answer: %v", r.ID, r.response.Err)
	}
}

// checkRoute finds requests that were handled by an older configuration.
func (c *checker) checkRoute(r result) {
	if r.Path != pathExtra || !c.undisturbed(interval{r.sentAt, r.finishedAt}) {
		return
	}
	present, since := false, time.Time{}
	for _, change := range c.routeChanges {
		if change.at.Before(r.finishedAt) {
			present, since = change.present, change.at
		}
	}
	if since.IsZero() || r.sentAt.Before(since.Add(c.limits.apply)) {
		return
	}
	if present && r.response.Status == http.StatusNotFound {
		c.failf("config: %s got 404 %v after its route came", r.ID, r.sentAt.Sub(since))
	}
	if !present && len(c.startedRuns(r.ID)) > 0 {
		c.failf("config: %s ran %v after its route went", r.ID, r.sentAt.Sub(since))
	}
}

// checkRetryBudget holds the repeats of the whole day against the shared budget.
func (c *checker) checkRetryBudget() {
	retries := 0
	for id := range c.runs {
		retries += max(0, len(c.startedRuns(id))-1)
	}
	allowed := c.limits.retryRatio*float64(len(c.results)) + c.limits.retrySlack
	if float64(retries) > allowed {
		c.failf("budget: %d repeats of %d requests", retries, len(c.results))
	}
}

// checkGroups replays the lives of the groups in the order of time.
func (c *checker) checkGroups() {
	slices.SortStableFunc(c.groupEvents, func(a, b emulator.Run) int { return a.Time.Compare(b.Time) })
	ready := map[string]bool{}
	serving := map[string]bool{}
	membership := map[string]emulator.Run{}
	key := func(r emulator.Run, member string) string {
		return fmt.Sprint(member, r.Group, r.Epoch, r.Members)
	}
	for _, r := range c.groupEvents {
		group := key(r, "")
		switch r.Kind {
		case emulator.Ready:
			ready[key(r, r.Instance)] = true
		case emulator.Opened:
			serving[group] = true
		case emulator.Closed, emulator.Parted, emulator.Left:
			if r.Members[0] == r.Instance {
				serving[group] = false
			}
			if r.Kind == emulator.Left {
				delete(membership, r.Instance)
			}
		case emulator.Joined:
			if before, joined := membership[r.Instance]; joined && serving[key(before, "")] {
				c.failf("two: %s left the open group %s for %s", r.Instance, before.Group, r.Group)
				serving[key(before, "")] = before.Members[0] != r.Instance
			}
			membership[r.Instance] = r
		case emulator.Began:
			for _, member := range r.Members {
				if !ready[key(r, member)] {
					c.failf("partial: %s ran in %s without %s", r.Request, r.Group, member)
				}
			}
		}
	}
}

// recordExit takes the end of a server's life: what it headed or was part of ends.
func (c *checker) recordExit(instance string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := len(c.groupEvents) - 1; i >= 0; i-- {
		r := c.groupEvents[i]
		if r.Instance == instance && r.Kind == emulator.Joined {
			c.groupEvents = append(c.groupEvents, emulator.Run{Kind: emulator.Left, Time: at, Instance: instance, Group: r.Group, Epoch: r.Epoch, Members: r.Members})
			return
		}
	}
}

// recordRouteChange takes a change of the extra route that the operator made.
func (c *checker) recordRouteChange(present bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.routeChanges = append(c.routeChanges, routeChange{at: time.Now(), present: present})
	}
}

// recordRevocation takes the confirmed end of a key.
func (c *checker) recordRevocation(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.revokedAt[key]; !known {
		c.revokedAt[key] = time.Now()
	}
}

// recordFault makes the moment one of an unplanned fault.
func (c *checker) recordFault() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = append(c.faults, interval{time.Now(), time.Now()})
}

// summary counts what the day saw.
func (c *checker) summary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	statuses := map[string]int{}
	for _, a := range c.results {
		statuses[fmt.Sprint(a.Path, " ", a.response.Status)]++
	}
	return fmt.Sprintf("%d requests, %d ran: %v", len(c.results), len(c.runs), statuses)
}
