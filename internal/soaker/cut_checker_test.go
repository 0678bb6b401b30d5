package soaker

import (
	"fmt"
	"slices"
	"time"
)

// Requests at cut entry instances must be served at least cutServedShare times as often as
// those at the others, unless no more than cutFailedSlack and cutFailedShare of all fail
// there.
const (
	cutServedShare = 2.0 / 3
	cutFailedSlack = 10
	cutFailedShare = 1.0 / 50
)

// cutSpan is a time during which an entry instance is cut from servers.
type cutSpan struct {
	interval
	// all says that it is cut from all servers.
	all bool
}

// recordCuts records that entry instances were cut. A cut is no fault: its entry
// instances stay in touch, and it excuses nothing.
func (c *checker) recordCuts(entries []int, s cutSpan) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, entry := range entries {
		c.cuts[entry] = append(c.cuts[entry], s)
	}
}

// recordRestart records the planned restart of an entry instance.
func (c *checker) recordRestart(entry int, from time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.restarts[entry] = append(c.restarts[entry], interval{from, time.Now().Add(c.limits.contact)})
}

// served counts requests and those that were served.
type served struct{ sent, served int }

func (s *served) add(r result) {
	s.sent++
	if r.succeeded() {
		s.served++
	}
}

func (s served) share() float64 { return float64(s.served) / float64(max(1, s.sent)) }

func (s served) String() string { return fmt.Sprintf("%d of %d", s.served, s.sent) }

// judged reports whether the time is one at which an entry instance that is cut from all
// servers must serve its callers.
func (c *checker) judged(s cutSpan, at time.Time) bool {
	return s.all && at.After(s.from.Add(c.limits.contact)) && at.Before(s.to)
}

// countCut counts the requests to entry instances that are cut from all servers, and those
// to the others meanwhile.
func (c *checker) countCut() (cut, others served) {
	for _, r := range c.results {
		during := interval{r.sentAt, r.finishedAt}
		_, revoked := c.revokedAt[r.Key]
		if revoked || r.Path == pathExtra || !c.inTouch(r.entry, during) || slices.ContainsFunc(c.restarts[r.entry], during.overlaps) {
			continue
		}
		isJudged := func(s cutSpan) bool { return c.judged(s, r.sentAt) }
		if slices.ContainsFunc(c.cuts[r.entry], isJudged) {
			cut.add(r)
			continue
		}
		if slices.ContainsFunc(c.cuts[r.entry], func(s cutSpan) bool { return during.overlaps(s.interval) }) {
			continue
		}
		for _, spans := range c.cuts {
			if slices.ContainsFunc(spans, isJudged) {
				others.add(r)
				break
			}
		}
	}
	return cut, others
}

// checkCuts reports that first tries at cut entry instances are served too rarely.
func (c *checker) checkCuts() {
	cut, others := c.countCut()
	failed, allowed := float64(cut.sent-cut.served), cutFailedSlack+cutFailedShare*float64(cut.sent+others.sent)
	if cut.share() < cutServedShare*others.share() && failed > allowed {
		c.failf("cut: cut entry instances served %v first tries, the others %v", cut, others)
	}
}
