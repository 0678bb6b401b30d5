package quarantiner

import (
	"slices"
	"time"
)

// crash is what is known of one site that crashed.
type crash struct {
	at time.Time
	// heardAt is when the first strike that names the site was recorded here.
	heardAt  time.Time
	suspects map[Part]*suspect
}

// suspect is a part of requests that were running on a site when it crashed.
type suspect struct {
	// requests are the requests with the part, up to PartLimits.Requests.
	requests []Fingerprint
	// position is the last position of the part in a prompt.
	position int
}

// add records the parts of a request that may have caused the crash, and returns those that
// are news.
func (c *crash) add(limits PartLimits, request Fingerprint, parts []Part) []Part {
	var news []Part
	for i, part := range parts[:min(len(parts), limits.PartsPerRequest)] {
		s, found := c.suspects[part]
		if !found {
			if len(c.suspects) >= limits.PartsPerSite {
				return news
			}
			s = &suspect{}
			c.suspects[part] = s
		}
		s.position = max(s.position, i)
		if len(s.requests) < limits.Requests && !slices.Contains(s.requests, request) {
			s.requests = append(s.requests, request)
			news = append(news, part)
		}
	}
	return news
}

// strikes returns the strikes from which the crash can be recorded elsewhere.
func (c *crash) strikes(now time.Time, site string) []Strike {
	byRequest := make(map[Fingerprint][]Part)
	for part, s := range c.suspects {
		for _, request := range s.requests {
			byRequest[request] = append(byRequest[request], part)
		}
	}
	var strikes []Strike
	for request, parts := range byRequest {
		slices.SortFunc(parts, func(a, b Part) int { return c.suspects[a].position - c.suspects[b].position })
		strikes = append(strikes, Strike{Fingerprint: request, Site: site, Parts: parts, Age: now.Sub(c.at)})
	}
	return strikes
}

// charge sums up the crashes that name a part.
type charge struct {
	part        Part
	sites       int
	first, last time.Time
	requests    []Fingerprint
	position    int
	cleared     bool
}

func (c *charge) add(limits PartLimits, at time.Time, s *suspect) {
	if c.sites == 0 || at.Before(c.first) {
		c.first = at
	}
	if c.sites == 0 || at.After(c.last) {
		c.last = at
	}
	c.sites++
	c.position = max(c.position, s.position)
	for _, request := range s.requests {
		if len(c.requests) < limits.Requests && !slices.Contains(c.requests, request) {
			c.requests = append(c.requests, request)
		}
	}
}

// suffices reports whether the charge is enough to block the part, given all crashes that
// are not explained.
func (c *charge) suffices(limits PartLimits, crashes []*crash) bool {
	sites, span := limits.Sites, limits.Span
	if c.cleared {
		sites, span = limits.ClearedSites, limits.ClearedSpan
	}
	if c.sites < sites || c.last.Sub(c.first) < span || len(c.requests) < limits.Requests {
		return false
	}
	since, until := c.first.Add(-limits.ShareMargin), c.last.Add(limits.ShareMargin)
	meanwhile := 0
	for _, other := range crashes {
		if !other.at.Before(since) && !other.at.After(until) {
			meanwhile++
		}
	}
	return float64(c.sites) >= limits.Share*float64(meanwhile)
}

// outweighs reports whether a part is the more likely cause of the crashes than another
// one: a part that never ran without a crash, that explains more crashes, or that is the
// more specific one of two that always occur together.
func (c *charge) outweighs(other *charge) bool {
	switch {
	case c.cleared != other.cleared:
		return other.cleared
	case c.sites != other.sites:
		return c.sites > other.sites
	case c.position != other.position:
		return c.position > other.position
	}
	return c.part > other.part
}
