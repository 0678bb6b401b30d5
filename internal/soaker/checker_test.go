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

// The path prefixes of the routes, one for each kind of route.
const (
	pathIdempotent = "/repeat/"
	pathOnce       = "/once/"
	pathStream     = "/stream/"
	pathExtra      = "/extra/"
)

// result is a request with its response as its caller saw it.
type result struct {
	emulator.Request
	entry              int
	sentAt, finishedAt time.Time
	response           emulator.Response
}

// succeeded reports whether the response is complete and has status 200.
func (r result) succeeded() bool { return r.response.Err == nil && r.response.Status == http.StatusOK }

// refused reports whether the status guarantees that the request never runs.
func (r result) refused() bool {
	switch r.response.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// interval is a time interval.
type interval struct{ from, to time.Time }

func (i interval) overlaps(o interval) bool { return i.from.Before(o.to) && o.from.Before(i.to) }

// checker checks the guarantees of the system against what callers and backend
// servers observed. Each violation begins with the name of a guarantee: twice,
// refused, mixed, order and so on.
type checker struct {
	limits limits

	mu          sync.Mutex
	results     map[string]result
	runs        map[string][]emulator.ServerEvent
	groupEvents []emulator.ServerEvent
	// refusals are the requests that servers refused because they want none for a time.
	refusals []emulator.ServerEvent
	// revokedAt holds the time at which the store confirmed the revocation of a key.
	revokedAt map[string]time.Time
	// routeChanges are the confirmed changes of the route pathExtra, in order.
	routeChanges []routeChange
	// faults are the intervals of unplanned faults.
	faults []interval
	// entryFaults are those of single entry instances, by one more than its index, and of
	// everything under zero. They last until the instance counts as in touch again.
	entryFaults map[int][]interval
	// cuts are the times during which entry instances were cut from servers, and restarts
	// those of planned restarts, until the instance counts as in touch again.
	cuts       map[int][]cutSpan
	restarts   map[int][]interval
	violations []string
	// evacuations are those of data centres, and places holds the data centres of the servers.
	evacuations []evacuation
	places      map[string]string
	// otherBuild holds the entry instances that have run a daemon of another build.
	otherBuild map[int]bool
	// checkedEvacuations counts the requests that ran while a data centre was evacuated.
	checkedEvacuations int
	// checkedRoutes counts the requests whose handling shows which configuration is in
	// force.
	checkedRoutes int
}

// routeChange is a confirmed addition or removal of the route pathExtra.
type routeChange struct {
	at      time.Time
	present bool
}

// limits are the guaranteed times, attempts and retry budget. faultMargin is the
// time after a fault during which requests may still be affected by it.
type limits struct {
	keyTTL, faultMargin, apply time.Duration
	// evacuate is the bound of evacuations in the settings. They are checked by apply, which
	// bounds the age of what entry instances act upon.
	evacuate time.Duration
	// contact is how long an entry instance must have been undisturbed to count as in
	// touch.
	contact                time.Duration
	retryRatio, retrySlack float64
	maxAttempts            int
}

func newChecker(l limits) *checker {
	return &checker{
		limits: l, results: map[string]result{}, runs: map[string][]emulator.ServerEvent{}, revokedAt: map[string]time.Time{},
		entryFaults: map[int][]interval{}, cuts: map[int][]cutSpan{}, restarts: map[int][]interval{}, places: map[string]string{}, otherBuild: map[int]bool{},
	}
}

func (c *checker) failf(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// recordRun records a report of a backend server.
func (c *checker) recordRun(r emulator.ServerEvent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Kind == emulator.Began || r.Kind == emulator.Ended {
		c.runs[r.Request] = append(c.runs[r.Request], r)
	}
	if r.Kind == emulator.Deferred {
		c.refusals = append(c.refusals, r)
		return
	}
	if r.Request == "" || r.Kind == emulator.Began && r.Group != "" {
		c.groupEvents = append(c.groupEvents, r)
	}
	if r.Kind == emulator.Began {
		c.checkRuns(r.Request)
	}
}

// recordResult records the response to a request.
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
		c.failf("mixed: %s got the response to %s", r.ID, r.response.ID)
	}
}

// checkRuns checks the runs of a request. It is called after each run and after
// the response, as either may come first.
func (c *checker) checkRuns(id string) {
	runs := c.startedRuns(id)
	if len(runs) == 0 {
		return
	}
	once := runs[0].Path == pathOnce
	if once && len(runs) > 1 {
		c.failf("twice: %s ran on %s and on %s", id, runs[0].Instance, runs[1].Instance)
	}
	r, finished := c.results[id]
	if !finished {
		return
	}
	if once && r.refused() {
		c.failf("refused: %s got status %d but ran on %s", id, r.response.Status, runs[0].Instance)
	}
	if len(runs) > c.limits.maxAttempts {
		c.failf("attempts: %s ran %d times", id, len(runs))
	}
	if r.Path != runs[0].Path {
		c.failf("path: %s was sent to %s but ran as %s", id, r.Path, runs[0].Path)
	}
	if want, _, _ := strings.Cut(r.Key, "-"); runs[0].Organisation != want {
		c.failf("organisation: request %s of %s ran for %q", id, want, runs[0].Organisation)
	}
	if at, revoked := c.revokedAt[r.Key]; revoked && r.sentAt.After(at.Add(c.limits.keyTTL)) {
		c.failf("key: %s was sent %v after its key was revoked but ran", id, r.sentAt.Sub(at).Round(time.Millisecond))
	}
}

// startedRuns returns the runs of a request that began.
func (c *checker) startedRuns(id string) []emulator.ServerEvent {
	var started []emulator.ServerEvent
	for _, r := range c.runs[id] {
		if r.Kind == emulator.Began {
			started = append(started, r)
		}
	}
	return started
}

// checkContent compares a complete response with what backend servers write.
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
		c.failf("mixed: %s got %q, want %q", r.ID, r.response.Body, want)
	}
	if !r.response.Verified {
		c.failf("mixed: %s got a success that no backend server sent", r.ID)
	}
}

// checkEventOrder checks that the events of a complete or interrupted stream are
// in order.
func (c *checker) checkEventOrder(r result) {
	events := strings.SplitAfter(r.response.Body, "\n\n")
	for i, event := range events[:len(events)-1] {
		if event != emulator.EventText(i+1) {
			c.failf("order: %s has %q as event %d", r.ID, event, i+1)
			return
		}
	}
}

// undisturbed reports whether no unplanned fault can have affected the interval.
func (c *checker) undisturbed(i interval) bool {
	i.from = i.from.Add(-c.limits.faultMargin)
	return !slices.ContainsFunc(c.faults, i.overlaps)
}

// inTouch reports whether an entry instance was disturbed neither in the interval nor for
// so long before it that it might lack the newest state.
func (c *checker) inTouch(entry int, i interval) bool {
	return !slices.ContainsFunc(c.entryFaults[0], i.overlaps) && !slices.ContainsFunc(c.entryFaults[entry+1], i.overlaps)
}

// finish runs the checks that need the whole scenario and returns all violations. The
// argument is the number of times that an entry instance was started.
func (c *checker) finish(entryStarts int) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.results {
		c.checkLost(r)
		c.checkRoute(r)
	}
	c.checkRetryBudget()
	c.checkRefusals(entryStarts)
	c.checkGroups()
	c.checkCuts()
	c.checkEvacuations()
	slices.Sort(c.violations)
	return slices.Compact(c.violations)
}

// checkLost reports a request that ran and got no complete response although no
// unplanned fault can have affected it. An error close to the timeout of
// the caller doesn't count.
func (c *checker) checkLost(r result) {
	interrupted := r.response.Err != nil && r.finishedAt.Sub(r.sentAt) < r.Timeout-r.Timeout/10
	if interrupted && len(c.startedRuns(r.ID)) > 0 && c.undisturbed(interval{r.sentAt, r.finishedAt}) {
		c.failf("lost: %s to %s at entry %d ran but got no complete response: %v", r.ID, r.Path, r.entry, r.response.Err)
	}
}

// checkRoute reports a request that was handled under an outdated configuration.
func (c *checker) checkRoute(r result) {
	if r.Path != pathExtra || !c.inTouch(r.entry, interval{r.sentAt, r.finishedAt}) {
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
	c.checkedRoutes++
	if present && r.response.Status == http.StatusNotFound {
		c.failf("config: %s got status 404 at entry %d %v after its route was added", r.ID, r.entry, r.sentAt.Sub(since))
	}
	if !present && len(c.startedRuns(r.ID)) > 0 {
		c.failf("config: %s ran from entry %d %v after its route was removed", r.ID, r.entry, r.sentAt.Sub(since))
	}
}

// Of the requests that reach a server while it wants none, those within refusalGrace of
// its first statement may have been on their way, and each entry instance may send
// maxRefused more.
const (
	refusalGrace = 500 * time.Millisecond
	maxRefused   = 2
)

// checkRefusals reports a server that got requests although it had said that it wants
// none.
func (c *checker) checkRefusals(entryStarts int) {
	for _, first := range c.refusals {
		count := 0
		for _, r := range c.refusals {
			if r.Instance == first.Instance && r.Time.After(first.Time.Add(refusalGrace)) && r.Time.Before(first.Until) {
				count++
			}
		}
		if count > maxRefused*entryStarts {
			c.failf("refusals: %s got %d requests while it wanted none", first.Instance, count)
			return
		}
	}
}

// checkRetryBudget compares the retries of the whole scenario with the shared
// retry budget.
func (c *checker) checkRetryBudget() {
	retries := 0
	for id := range c.runs {
		retries += max(0, len(c.startedRuns(id))-1)
	}
	allowed := c.limits.retryRatio*float64(len(c.results)) + c.limits.retrySlack
	if float64(retries) > allowed {
		c.failf("budget: %d retries of %d requests", retries, len(c.results))
	}
}

// checkGroups replays the group events in the order of their times. A request may
// run in a group only when all members are ready, and a member may join a group
// only when its previous group no longer serves.
func (c *checker) checkGroups() {
	slices.SortStableFunc(c.groupEvents, func(a, b emulator.ServerEvent) int { return a.Time.Compare(b.Time) })
	ready := map[string]bool{}
	serving := map[string]bool{}
	membership := map[string]emulator.ServerEvent{}
	key := func(r emulator.ServerEvent, member string) string {
		return fmt.Sprint(member, r.Group, r.Epoch, r.Members)
	}
	for _, r := range c.groupEvents {
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
					c.failf("partial: %s ran in %s while %s was not ready", r.Request, r.Group, member)
				}
			}
		}
	}
}

// recordExit records the exit of a process: a backend server leaves its group.
func (c *checker) recordExit(instance string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := len(c.groupEvents) - 1; i >= 0; i-- {
		r := c.groupEvents[i]
		if r.Instance == instance && r.Kind == emulator.Joined {
			c.groupEvents = append(c.groupEvents, emulator.ServerEvent{Kind: emulator.Left, Time: at, Instance: instance, Group: r.Group, Epoch: r.Epoch, Members: r.Members})
			return
		}
	}
}

// recordRouteChange records a change of the route pathExtra, unless err says that
// the store hasn't confirmed it.
func (c *checker) recordRouteChange(present bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.routeChanges = append(c.routeChanges, routeChange{at: time.Now(), present: present})
	}
}

// recordRevocation records the confirmed revocation of a key.
func (c *checker) recordRevocation(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.revokedAt[key]; !known {
		c.revokedAt[key] = time.Now()
	}
}

// recordFault records an unplanned fault at the current time.
func (c *checker) recordFault() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = append(c.faults, interval{time.Now(), time.Now()})
}

// summary counts the requests, the runs and the statuses of the scenario.
func (c *checker) summary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	statuses := map[string]int{}
	for _, r := range c.results {
		statuses[fmt.Sprint(r.Path, " ", r.response.Status)]++
	}
	cut, others := c.countCut()
	return fmt.Sprintf("%d requests, %d ran, %d showed the configuration, %d showed an evacuation, cut instances served %v, the others %v: %v",
		len(c.results), len(c.runs), c.checkedRoutes, c.checkedEvacuations, cut, others, statuses)
}
