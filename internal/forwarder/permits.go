package forwarder

import (
	"context"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/uber-go/tally/v4"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/internal/logger"
	"github.com/waxwingmount/waxwingmount/pkg/permitter"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

// permits holds what an entry instance knows of the backend servers that limit
// the rate of their requests.
type permits struct {
	mu     sync.Mutex
	limits *permitter.ServerLimits
	// issuer issues the permits of the servers whose owner this instance is.
	issuer *permitter.Issuer
	scope  tally.Scope
}

func newPermits(scope tally.Scope) *permits {
	return &permits{limits: permitter.NewServerLimits(), issuer: permitter.NewIssuer(rand.Float64), scope: scope}
}

// limitKey returns the name under which a server's limit is known. A restarted
// server has a new one.
func limitKey(in provider.Instance) string { return in.ID + "/" + in.Incarnation }

// observe records the limit that a server states, or omits, in a response to a
// request that was sent at that time.
func (p *permits) observe(in provider.Instance, sentAt time.Time, metadata ResponseMetadata) {
	if metadata.LimitErr != nil {
		log.WithField(logger.FieldInstance, in.ID).WithError(metadata.LimitErr).Warn("server limit ignored")
		return
	}
	p.mu.Lock()
	previous, changed := p.limits.Observe(clocker.Now(), sentAt, limitKey(in), metadata.Limit)
	p.mu.Unlock()
	if changed {
		logServerLimit(limitKey(in), metadata.Limit, log.Fields{"source": "response", "was_limited": previous.Limited, "was_per_second": previous.PerSecond})
	}
}

// lacks reports whether a server has a limit for which no permit is held.
func (p *permits) lacks(now time.Time, in provider.Instance) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.limits.Empty() && !p.limits.Usable(now, limitKey(in))
}

// isLimited reports whether a server limits the rate of its requests.
func (p *permits) isLimited(in provider.Instance) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.limits.Empty() && p.limits.Limited(limitKey(in))
}

// want records that requests could use permits for the heads of the upstreams. It
// reports whether there are new requests for permits to send.
func (p *permits) want(now time.Time, upstreams []*upstream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	due := false
	for _, u := range upstreams {
		due = p.limits.Want(now, limitKey(u.head())) || due
	}
	return due
}

// use consumes the permit for a server, if it has a limit.
func (p *permits) use(in provider.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.limits.Empty() {
		p.limits.Use(limitKey(in))
	}
}

// ServerLimits returns the limits of backend servers to tell peers.
func (f *Forwarder) ServerLimits() map[string]permitter.Statement {
	f.permits.mu.Lock()
	defer f.permits.mu.Unlock()
	return f.permits.limits.Statements(clocker.Now())
}

// MergeServerLimits records the limits of backend servers that a peer has told.
func (f *Forwarder) MergeServerLimits(statements map[string]permitter.Statement) {
	if len(statements) == 0 {
		return
	}
	f.permits.mu.Lock()
	changed := f.permits.limits.Merge(clocker.Now(), statements)
	f.permits.mu.Unlock()
	for _, server := range changed {
		statement := statements[server]
		logServerLimit(server, statement.Limit, log.Fields{"source": "peer", "age_ms": statement.Age.Milliseconds()})
	}
}

// logServerLimit logs a changed limit of a server.
func logServerLimit(server string, limit permitter.RateLimit, details log.Fields) {
	id, _, _ := strings.Cut(server, "/")
	log.WithFields(log.Fields{logger.FieldInstance: id, "limited": limit.Limited, "per_second": limit.PerSecond}).
		WithFields(details).Info(logger.LineServerLimit)
}

// IssuePermit decides on a peer's request for a permit.
func (f *Forwarder) IssuePermit(request permitter.Request) permitter.Reply {
	f.permits.mu.Lock()
	reply := f.permits.issuer.Issue(clocker.Now(), request)
	f.permits.mu.Unlock()
	if request.Wanted {
		f.permits.scope.Tagged(map[string]string{"granted": strconv.FormatBool(reply.Granted)}).Counter("server_permits").Inc(1)
	}
	return reply
}

// requestPermits sends the requests for permits that are due.
func (f *Forwarder) requestPermits(ctx context.Context) {
	f.permits.mu.Lock()
	requests := f.permits.limits.Requests(clocker.Now())
	f.permits.mu.Unlock()
	for _, request := range requests {
		go f.runPermitRequest(ctx, request)
	}
}

func (f *Forwarder) runPermitRequest(ctx context.Context, request permitter.Request) {
	sentAt := clocker.Now()
	reply, err := f.Peers.RequestPermit(ctx, request)
	f.permits.mu.Lock()
	if err != nil {
		f.permits.limits.Fail(clocker.Now(), request.Server)
	} else {
		f.permits.limits.Complete(clocker.Now(), sentAt, request.Server, reply)
	}
	f.permits.mu.Unlock()
	if err != nil {
		log.WithField("server", request.Server).WithError(err).Debug("request for a permit failed")
		return
	}
	if reply.Granted || !reply.Statement.Limit.Limited {
		f.wakeQueues()
	}
}
