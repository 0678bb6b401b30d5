package permitter

import "time"

// limitTable holds the newest stated limit of each backend server. A server is
// named by its ID and incarnation, since a restart ends its limit.
type limitTable struct {
	limits map[string]statedLimit
}

func newLimitTable() limitTable { return limitTable{limits: make(map[string]statedLimit)} }

// statedLimit is a limit and when the server stated it.
type statedLimit struct {
	limit RateLimit
	at    time.Time
}

// statementTTL is how long a server's limit is remembered after its last
// statement. A server that is sent requests repeats it in each response.
const statementTTL = 10 * time.Minute

// update stores a limit unless a newer one is known. It returns the previous limit
// and whether the limit has changed.
func (t *limitTable) update(server string, stated statedLimit) (previous RateLimit, changed bool) {
	known := t.limits[server]
	if !stated.at.After(known.at) || (!stated.limit.Limited && !known.limit.Limited) {
		return known.limit, false
	}
	t.limits[server] = stated
	return known.limit, known.limit != stated.limit
}

// limit returns the limit of a server.
func (t *limitTable) limit(server string) RateLimit { return t.limits[server].limit }

// statement returns what is known of a server's limit.
func (t *limitTable) statement(now time.Time, server string) Statement {
	known, found := t.limits[server]
	if !found {
		return Statement{Age: statementTTL}
	}
	return Statement{Limit: known.limit, Age: now.Sub(known.at)}
}

// prune forgets limits that were stated too long ago.
func (t *limitTable) prune(now time.Time) {
	for server, known := range t.limits {
		if now.Sub(known.at) > statementTTL {
			delete(t.limits, server)
		}
	}
}
