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
	pathRepeat = "/repeat/"
	pathOnce   = "/once/"
	pathStream = "/stream/"
	pathExtra  = "/extra/"
)

// attempt is one request as its caller saw it.
type attempt struct {
	emulator.Request
	entry        int
	began, ended time.Time
	answer       emulator.Response
}

// whole tells whether the answer is complete and a success.
func (a attempt) whole() bool { return a.answer.Err == nil && a.answer.Status == http.StatusOK }

// refused tells whether the answer promises that the request never runs.
func (a attempt) refused() bool {
	switch a.answer.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// span is a stretch of time.
type span struct{ from, to time.Time }

func (s span) meets(o span) bool { return s.from.Before(o.to) && o.from.Before(s.to) }

// checker holds the promises against what callers and servers saw.
type checker struct {
	bounds bounds

	mu       sync.Mutex
	attempts map[string]attempt
	runs     map[string][]emulator.ServerEvent
	groups   []emulator.ServerEvent
	// revoked says when the store confirmed the end of a key.
	revoked map[string]time.Time
	// added and dropped say since when the extra route is there or not.
	routes []routeChange
	// faults are the unplanned disturbances of the day.
	faults []span
	found  []string
}

// routeChange is a confirmed change of the extra route.
type routeChange struct {
	at    time.Time
	there bool
}

// bounds are the promised times and shares.
type bounds struct {
	keyTTL, contact, apply time.Duration
	retryRatio, retrySlack float64
	maxAttempts            int
}

func newChecker(b bounds) *checker {
	return &checker{bounds: b, attempts: map[string]attempt{}, runs: map[string][]emulator.ServerEvent{}, revoked: map[string]time.Time{}}
}

func (c *checker) failf(format string, args ...any) {
	c.found = append(c.found, fmt.Sprintf(format, args...))
}

// sawRun takes what a server reports.
func (c *checker) sawRun(r emulator.ServerEvent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Kind == emulator.Began || r.Kind == emulator.Ended {
		c.runs[r.Request] = append(c.runs[r.Request], r)
	}
	if r.Request == "" || r.Kind == emulator.Began && r.Group != "" {
		c.groups = append(c.groups, r)
	}
	if r.Kind == emulator.Began {
		c.checkRuns(r.Request)
	}
}

// sawAnswer takes what a caller got.
func (c *checker) sawAnswer(a attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts[a.ID] = a
	c.checkRuns(a.ID)
	if a.whole() {
		c.checkContent(a)
	}
	if a.Path == pathStream && a.answer.Status == http.StatusOK {
		c.checkOrder(a)
	}
	if a.answer.Status != 0 && a.answer.ID != "" && a.answer.ID != a.ID {
		c.failf("mixed: %s got the answer of %s", a.ID, a.answer.ID)
	}
}

// checkRuns holds what promises say of one request's runs.
func (c *checker) checkRuns(id string) {
	began := c.began(id)
	if len(began) == 0 {
		return
	}
	once := began[0].Path == pathOnce
	if once && len(began) > 1 {
		c.failf("twice: %s ran at %s and %s", id, began[0].Instance, began[1].Instance)
	}
	a, answered := c.attempts[id]
	if !answered {
		return
	}
	if once && a.refused() {
		c.failf("refused: %s got %d and ran at %s", id, a.answer.Status, began[0].Instance)
	}
	if len(began) > c.bounds.maxAttempts {
		c.failf("attempts: %s ran %d times", id, len(began))
	}
	if a.Path != began[0].Path {
		c.failf("unasked: %s went to %s, ran as %s", id, a.Path, began[0].Path)
	}
	if want, _, _ := strings.Cut(a.Key, "-"); began[0].Organisation != want {
		c.failf("organisation: %s of %s ran for %q", id, want, began[0].Organisation)
	}
	if at, gone := c.revoked[a.Key]; gone && a.began.After(at.Add(c.bounds.keyTTL)) {
		c.failf("key: %s was sent %v after the end of its key and ran", id, a.began.Sub(at).Round(time.Millisecond))
	}
}

func (c *checker) began(id string) []emulator.ServerEvent {
	var began []emulator.ServerEvent
	for _, r := range c.runs[id] {
		if r.Kind == emulator.Began {
			began = append(began, r)
		}
	}
	return began
}

// checkContent holds a whole answer against what servers write.
func (c *checker) checkContent(a attempt) {
	want := fmt.Sprintf("%s %s %s", http.MethodPost, a.Path, a.Body)
	if a.Path == pathStream {
		var text strings.Builder
		for event := 1; event <= a.Events; event++ {
			text.WriteString(emulator.EventText(event))
		}
		want = text.String()
	}
	if a.answer.Body != want {
		c.failf("mixed: %s got %q for %q", a.ID, a.answer.Body, want)
	}
	if !a.answer.Verified {
		c.failf("mixed: %s got a success without a server's mark", a.ID)
	}
}

// checkOrder holds the events of a stream, whole or broken off, in order.
func (c *checker) checkOrder(a attempt) {
	events := strings.SplitAfter(a.answer.Body, "\n\n")
	for i, event := range events[:len(events)-1] {
		if event != emulator.EventText(i+1) {
			c.failf("order: %s has %q as event %d", a.ID, event, i+1)
			return
		}
	}
}

// calm tells whether no unplanned fault came near the span.
func (c *checker) calm(s span) bool {
	s.from = s.from.Add(-c.bounds.contact)
	return !slices.ContainsFunc(c.faults, s.meets)
}

// finish makes the checks that need the whole day.
func (c *checker) finish() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.attempts {
		c.checkLost(a)
		c.checkRoute(a)
	}
	c.checkBudget()
	c.checkGroups()
	slices.Sort(c.found)
	return slices.Compact(c.found)
}

// checkLost finds requests that ran and got no answer though nothing but
// planned work went on.
func (c *checker) checkLost(a attempt) {
	cut := a.answer.Err != nil && a.ended.Sub(a.began) < a.Timeout-a.Timeout/10
	if cut && len(c.began(a.ID)) > 0 && c.calm(span{a.began, a.ended}) {
		c.failf("lost: %s ran and got no whole answer: %v", a.ID, a.answer.Err)
	}
}

// checkRoute finds requests that were handled by an older configuration.
func (c *checker) checkRoute(a attempt) {
	if a.Path != pathExtra || !c.calm(span{a.began, a.ended}) {
		return
	}
	there, since := false, time.Time{}
	for _, change := range c.routes {
		if change.at.Before(a.ended) {
			there, since = change.there, change.at
		}
	}
	if since.IsZero() || a.began.Before(since.Add(c.bounds.apply)) {
		return
	}
	if there && a.answer.Status == http.StatusNotFound {
		c.failf("config: %s got 404 %v after its route came", a.ID, a.began.Sub(since))
	}
	if !there && len(c.began(a.ID)) > 0 {
		c.failf("config: %s ran %v after its route went", a.ID, a.began.Sub(since))
	}
}

// checkBudget holds the repeats of the whole day against the shared budget.
func (c *checker) checkBudget() {
	repeats := 0
	for id := range c.runs {
		repeats += max(0, len(c.began(id))-1)
	}
	allowed := c.bounds.retryRatio*float64(len(c.attempts)) + c.bounds.retrySlack
	if float64(repeats) > allowed {
		c.failf("budget: %d repeats of %d requests", repeats, len(c.attempts))
	}
}

// checkGroups replays the lives of the groups in the order of time.
func (c *checker) checkGroups() {
	slices.SortStableFunc(c.groups, func(a, b emulator.ServerEvent) int { return a.Time.Compare(b.Time) })
	ready := map[string]bool{}
	serving := map[string]bool{}
	place := map[string]emulator.ServerEvent{}
	key := func(r emulator.ServerEvent, member string) string {
		return fmt.Sprint(member, r.Group, r.Epoch, r.Members)
	}
	for _, r := range c.groups {
		group := key(r, "")
		switch r.Kind {
		case emulator.Ready:
			ready[key(r, r.Instance)] = true
		case emulator.Opened:
			serving[group] = true
		case emulator.Closed, emulator.GroupBroken, emulator.Left:
			if r.Members[0] == r.Instance {
				serving[group] = false
			}
			if r.Kind == emulator.Left {
				delete(place, r.Instance)
			}
		case emulator.Joined:
			if before, held := place[r.Instance]; held && serving[key(before, "")] {
				c.failf("two: %s left the open group %s for %s", r.Instance, before.Group, r.Group)
				serving[key(before, "")] = before.Members[0] != r.Instance
			}
			place[r.Instance] = r
		case emulator.Began:
			for _, member := range r.Members {
				if !ready[key(r, member)] {
					c.failf("partial: %s ran in %s without %s", r.Request, r.Group, member)
				}
			}
		}
	}
}

// died takes the end of a server's life: what it headed or was part of ends.
func (c *checker) died(instance string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := len(c.groups) - 1; i >= 0; i-- {
		r := c.groups[i]
		if r.Instance == instance && r.Kind == emulator.Joined {
			c.groups = append(c.groups, emulator.ServerEvent{Kind: emulator.Left, Time: at, Instance: instance, Group: r.Group, Epoch: r.Epoch, Members: r.Members})
			return
		}
	}
}

// changed takes a change of the extra route that the operator made.
func (c *checker) changed(there bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.routes = append(c.routes, routeChange{at: time.Now(), there: there})
	}
}

// ended takes the confirmed end of a key.
func (c *checker) ended(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.revoked[key]; !known {
		c.revoked[key] = time.Now()
	}
}

// disturbed makes the moment one of an unplanned fault.
func (c *checker) disturbed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = append(c.faults, span{time.Now(), time.Now()})
}

// summary counts what the day saw.
func (c *checker) summary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	statuses := map[string]int{}
	for _, a := range c.attempts {
		statuses[fmt.Sprint(a.Path, " ", a.answer.Status)]++
	}
	return fmt.Sprintf("%d requests, %d ran: %v", len(c.attempts), len(c.runs), statuses)
}
