package permitter

import (
	"maps"
	"slices"
	"time"
)

// ServerLimits decides to which backend servers one entry instance may send its
// next request. To a server with a limit it needs a permit, which one entry
// instance, the server's permit owner, issues with an [Issuer]. It does no I/O and
// is not safe for concurrent use.
type ServerLimits struct {
	table limitTable
	// permits holds the servers for which a permit is held, wanted or requested.
	permits map[string]*permit
}

// permit is the state of one server's permits at one entry instance.
type permit struct {
	// expiry is when the permit that is held expires; zero means that none is held.
	expiry time.Time
	// wanted says that a request could use a permit.
	wanted bool
	// ended says that the limit has ended, and that the owner must be told.
	ended bool
	// requested says that a request to the owner is under way.
	requested bool
	// requestAfter is the earliest time of the next request to the owner.
	requestAfter time.Time
}

const (
	// permitTTL is how long an unused permit is valid after it was requested.
	permitTTL = 500 * time.Millisecond
	// permitRetryInterval is the time until the next request after a failed one.
	permitRetryInterval = 100 * time.Millisecond
)

// NewServerLimits returns a ServerLimits that knows no limit.
func NewServerLimits() *ServerLimits {
	return &ServerLimits{table: newLimitTable(), permits: make(map[string]*permit)}
}

// Observe records the limit in a response to a request that was sent at sentAt. A
// response without a limit ends only a limit that was stated before its request
// was sent, because responses of one server may overtake each other. Observe
// returns the previous limit and whether it has changed.
func (s *ServerLimits) Observe(now, sentAt time.Time, server string, limit RateLimit) (previous RateLimit, changed bool) {
	at := now
	if !limit.Limited {
		at = sentAt
	}
	previous, changed = s.table.update(server, statedLimit{limit: limit, at: at})
	if changed {
		s.prune(now)
		s.permit(server).ended = !limit.Limited
	}
	return previous, changed
}

// endedLimitTTL is how long the end of a limit is told to peers.
const endedLimitTTL = 10 * time.Second

// Statements returns the limits to tell peers, by server: those in force, and
// those that have ended recently.
func (s *ServerLimits) Statements(now time.Time) map[string]Statement {
	if len(s.table.limits) == 0 {
		return nil
	}
	statements := make(map[string]Statement)
	for server, known := range s.table.limits {
		if known.limit.Limited || now.Sub(known.at) < endedLimitTTL {
			statements[server] = s.table.statement(now, server)
		}
	}
	return statements
}

// Merge records the limits that a peer has told. It returns, sorted, the servers
// whose limit has changed.
func (s *ServerLimits) Merge(now time.Time, statements map[string]Statement) []string {
	var servers []string
	for server, statement := range statements {
		if _, changed := s.table.update(server, statedLimit{limit: statement.Limit, at: now.Add(-statement.Age)}); changed {
			servers = append(servers, server)
		}
	}
	slices.Sort(servers)
	return servers
}

// Empty reports whether no limit is known.
func (s *ServerLimits) Empty() bool { return len(s.table.limits) == 0 }

// Limited reports whether a server limits the rate of its requests.
func (s *ServerLimits) Limited(server string) bool { return s.table.limit(server).Limited }

// Usable reports whether a request may be sent to a server now.
func (s *ServerLimits) Usable(now time.Time, server string) bool {
	if !s.Limited(server) {
		return true
	}
	held, found := s.permits[server]
	return found && now.Before(held.expiry)
}

// Want records that a request could use a permit for a server. It reports whether
// Requests has a new request to send for it.
func (s *ServerLimits) Want(now time.Time, server string) bool {
	p := s.permit(server)
	due := !p.wanted && !p.requested && !now.Before(p.requestAfter)
	p.wanted = true
	return due
}

// Use consumes the permit of a server, if the server has a limit.
func (s *ServerLimits) Use(server string) {
	if held, found := s.permits[server]; found {
		held.expiry = time.Time{}
	}
}

// Requests returns the requests to send to permit owners now, sorted by server.
// Each must be followed by Complete or Fail.
func (s *ServerLimits) Requests(now time.Time) []Request {
	var requests []Request
	for _, server := range slices.Sorted(maps.Keys(s.permits)) {
		p := s.permits[server]
		wanted := p.wanted && !s.Usable(now, server)
		if p.requested || now.Before(p.requestAfter) || (!wanted && !p.ended) {
			continue
		}
		p.requested = true
		p.wanted = false
		requests = append(requests, Request{Server: server, Statement: s.table.statement(now, server), Wanted: wanted})
	}
	return requests
}

// Complete records the owner's reply to a request that was sent at sentAt.
func (s *ServerLimits) Complete(now, sentAt time.Time, server string, reply Reply) {
	p := s.permit(server)
	p.requested, p.ended = false, false
	s.table.update(server, statedLimit{limit: reply.Statement.Limit, at: sentAt.Add(-reply.Statement.Age)})
	if reply.Granted {
		p.expiry = sentAt.Add(permitTTL)
		return
	}
	p.requestAfter = now.Add(reply.Wait)
}

// Fail records that a request to an owner got no reply.
func (s *ServerLimits) Fail(now time.Time, server string) {
	p := s.permit(server)
	p.requested = false
	p.requestAfter = now.Add(permitRetryInterval)
}

func (s *ServerLimits) permit(server string) *permit {
	p, found := s.permits[server]
	if !found {
		p = &permit{}
		s.permits[server] = p
	}
	return p
}

// prune forgets servers whose limit is not known any more.
func (s *ServerLimits) prune(now time.Time) {
	s.table.prune(now)
	for server, p := range s.permits {
		if _, known := s.table.limits[server]; !known && !p.requested {
			delete(s.permits, server)
		}
	}
}
