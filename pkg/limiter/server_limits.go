package limiter

import "time"

// RateLimit is the rate of requests that a backend server takes from all entry
// instances together.
type RateLimit struct {
	// Limited is false if the server takes requests at any rate.
	Limited   bool
	PerSecond float64
}

// Statement is the newest limit that is known of a backend server. It is sent
// between entry instances and therefore carries an age instead of a time.
type Statement struct {
	Limit RateLimit
	Age   time.Duration
}

// limitTable holds the newest stated limit of each backend server. A server is
// named by its ID and incarnation, since a restart ends its limit.
type limitTable struct {
	limits map[string]statedLimit
}

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

// ServerLimits holds the limits of the backend servers to which one entry
// instance sends requests. It does no I/O and is not safe for concurrent use.
type ServerLimits struct {
	table limitTable
}

// NewServerLimits returns a ServerLimits that knows no limit.
func NewServerLimits() *ServerLimits {
	return &ServerLimits{table: limitTable{limits: make(map[string]statedLimit)}}
}

// Observe records the limit in a response to a request that was sent at sentAt. A
// response without a limit ends only a limit that was stated before its request
// was sent, because responses of one server may overtake each other. Observe
// returns the previous limit and whether it has changed.
func (s *ServerLimits) Observe(now, sentAt time.Time, server string, limit RateLimit) (previous RateLimit, changed bool) {
	s.table.prune(now)
	at := now
	if !limit.Limited {
		at = sentAt
	}
	return s.table.update(server, statedLimit{limit: limit, at: at})
}
