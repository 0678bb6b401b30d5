package forwarder

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/internal/detourer"
	"github.com/waxwingmount/waxwingmount/internal/logger"
	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/pkg/pathfinder"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
	"github.com/waxwingmount/waxwingmount/pkg/retrier"
)

// Detours hands requests to peers that reach backend servers.
type Detours interface {
	// Do hands a request to the peer at an address, and returns once the head of the
	// server's response has arrived. Its errors are those of [detourer.Client].
	Do(ctx context.Context, peer netip.AddrPort, e *detourer.Envelope) (*http.Response, detourer.Head, error)
}

// DetourPeer is a peer to which requests may be handed.
type DetourPeer struct {
	pathfinder.Peer
	Address netip.AddrPort
}

const (
	// maxAskedPeers is the number of peers that may decline a request before its caller is
	// told to come back.
	maxAskedPeers = 3
	// hopMargin is how much sooner a peer gives a request up, so that its word of it
	// arrives in time.
	hopMargin = 50 * time.Millisecond
	// staleConnTime is the time within which it shows that an idle connection was closed.
	staleConnTime = 100 * time.Millisecond
	// peerUpstreamPrefix precedes the ID of a peer in the names of the upstreams of a
	// request.
	peerUpstreamPrefix = "peer/"
)

// hop is the part of an attempt that goes by a peer.
type hop struct {
	peer DetourPeer
	// pool names the pool of the request.
	pool    string
	beganAt time.Time
	ended   bool
}

// path returns the way that a request of a pool takes. detoured says that it came from a
// peer, free returns the number of requests that the pool can run at once from here, failed
// names the upstreams that have failed the request, and asked the peers that were asked.
func (f *Forwarder) path(config *mapper.RouteTable, key poolKey, detoured bool, free func() int, failed, asked map[string]bool) pathfinder.Path {
	s := pathfinder.Situation{Detoured: detoured, ByPeers: f.Detours != nil && f.reachableByPeers(config, key)}
	if s.ByPeers && !s.Detoured {
		for _, d := range f.destinations(config, key) {
			s.Here = s.Here || !failed[d.name]
		}
		s.Room, s.Cut = free() > 0, f.Observer.PathCut()
		_, s.Askable = f.findPeer(key, asked)
	}
	return pathfinder.Decide(s)
}

// reachableByPeers reports whether a pool has servers that can't be reached from here,
// though peers are believed to reach them.
func (f *Forwarder) reachableByPeers(config *mapper.RouteTable, key poolKey) bool {
	service, found := config.Service(key.service)
	if !found {
		return false
	}
	model := key.model
	if service.Engine == nil {
		model = ""
	}
	return f.Observer.ReachableByPeers(key.service, model)
}

// nextPath returns the way that the next attempt at the request takes.
func (x *exchange) nextPath(config *mapper.RouteTable, free func() int) pathfinder.Path {
	return x.f.path(config, x.pool, x.request.Detour != nil, free, x.failedUpstreams, x.askedPeers)
}

// startDetour has a peer send the request once. It returns the response, or the event for
// the retry machine.
func (x *exchange) startDetour() (*Response, retrier.Event) {
	peer, found := x.choosePeer()
	if !found {
		return nil, retrier.Event{Kind: retrier.Declined}
	}
	a := x.newAttempt()
	a.hop = &hop{peer: peer, pool: x.pool.String(), beganAt: clocker.Now()}
	x.f.mu.Lock()
	x.f.detourPeers.Begin(peer.ID)
	x.f.registerAttempt(a.hop.beganAt, newPeerUpstream(peer), a.active)
	x.f.mu.Unlock()
	x.triedUpstreams = append(x.triedUpstreams, a.active.upstream.name)
	x.logDetour(peer)
	if err := x.f.handOver(x, a); err != nil {
		event, outcome, retryAfter := x.classifyHopError(a, err)
		if event.Kind == retrier.Interrupted || event.Kind == retrier.NotSent && !event.NothingSent {
			x.reached++
		}
		x.f.endHop(a, outcome, retryAfter)
		x.f.finishAttempt(a, true)
		return nil, event
	}
	return x.receive(a)
}

// choosePeer returns the peer that is asked next. If there is none for the moment, peers
// that have declined the request may be asked again later.
func (x *exchange) choosePeer() (DetourPeer, bool) {
	chosen, found := x.f.findPeer(x.pool, x.askedPeers)
	if !found {
		clear(x.askedPeers)
		return DetourPeer{}, false
	}
	x.askedPeers[chosen.ID] = true
	return chosen, true
}

// findPeer returns the peer that can be asked for a request of a pool, after those that were
// asked already.
func (f *Forwarder) findPeer(key poolKey, asked map[string]bool) (DetourPeer, bool) {
	if len(asked) >= maxAskedPeers {
		return DetourPeer{}, false
	}
	all := f.Peers.DetourPeers()
	byID := make(map[string]DetourPeer, len(all))
	peers := make([]pathfinder.Peer, len(all))
	for i, p := range all {
		byID[p.ID], peers[i] = p, p.Peer
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	chosen, found := f.detourPeers.Choose(clocker.Now(), f.settings.Load().DataCentre, key.String(), peers, asked)
	return byID[chosen.ID], found
}

// newPeerUpstream returns the upstream that stands for a peer in one attempt. It is not
// among the upstreams that are checked for silence; the hop has its own keep-alives.
func newPeerUpstream(peer DetourPeer) *upstream {
	u := &upstream{name: peerUpstreamPrefix + peer.ID, active: make(map[*activeAttempt]struct{})}
	u.current.Store(&upstreamState{members: []provider.Instance{{ID: peer.ID, DataCentre: peer.DataCentre, Address: peer.Address}}})
	return u
}

// handOver hands the request to the attempt's peer and waits for the head of the response.
func (f *Forwarder) handOver(x *exchange, a *attempt) error {
	a.ctx, a.span = f.Tracer.Start(a.ctx, "hop", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		attribute.String("request", x.request.ID), attribute.String("peer", a.hop.peer.ID)))
	now := clocker.Now()
	excluded := make([]string, 0, len(x.failedUpstreams))
	for name := range x.failedUpstreams {
		excluded = append(excluded, name)
	}
	envelope := &detourer.Envelope{
		ID: x.request.ID, Sender: f.Entry, Host: x.request.Host, Method: x.request.Method,
		Target: x.request.Target, Path: x.request.Path, Header: x.request.Header, Body: x.request.Body,
		Remaining: x.deadline.Sub(now) - hopMargin, Elapsed: now.Sub(x.request.Arrived),
		LastEventID: x.lastEventID, Excluded: excluded, Counted: x.observed,
	}
	response, head, err := f.Detours.Do(a.ctx, a.hop.peer.Address, envelope)
	if isUnreachable(err) && clocker.Since(now) < staleConnTime {
		// The peer had closed an idle connection.
		response, head, err = f.Detours.Do(a.ctx, a.hop.peer.Address, envelope)
	}
	if err != nil {
		return err
	}
	a.response = response
	f.metrics.hopTime.RecordDuration(max(0, clocker.Since(a.hop.beganAt)-head.Took))
	return nil
}

// isUnreachable reports whether nothing of a request has reached a peer.
func isUnreachable(err error) bool {
	var hopErr *detourer.Error
	return errors.As(err, &hopErr) && hopErr.Kind == detourer.KindUnreachable
}

// hopOutcomes says what a peer's refusal of a request means for its other requests, by the
// kind of the refusal. Other kinds concern that request alone.
var hopOutcomes = map[string]pathfinder.Outcome{
	KindNoPath.String():       pathfinder.Declined,
	KindShuttingDown.String(): pathfinder.Failed,
}

// classifyHopError returns what a hop without a response, or without the rest of one, means
// for the request and for its peer.
func (x *exchange) classifyHopError(a *attempt, err error) (event retrier.Event, outcome pathfinder.Outcome, retryAfter time.Duration) {
	cause := a.cause(err)
	x.lastErr = cause
	refusal, refused := detourer.RefusalOf(err)
	if refused {
		for _, name := range refusal.Upstreams {
			x.failedUpstreams[name] = true
		}
	}
	var hopErr *detourer.Error
	known := errors.As(err, &hopErr)
	switch {
	case known && (hopErr.Kind == detourer.KindTooLarge || hopErr.Kind == detourer.KindMalformed):
		// No peer can be handed it.
		return retrier.Event{Kind: retrier.Declined}, pathfinder.Answered, 0
	case refused && refusal.Outcome == retrier.NotRun && refusal.Kind == KindQuarantined.String():
		return retrier.Event{Kind: retrier.Blocked}, pathfinder.Answered, 0
	case refused && refusal.Outcome == retrier.NotRun && !refusal.NothingSent:
		// A server refused it; the peer may know another one.
		delete(x.askedPeers, a.hop.peer.ID)
		return retrier.Event{Kind: retrier.NotSent}, pathfinder.Answered, 0
	case refused && refusal.Outcome == retrier.NotRun:
		x.declined = refusal
		return retrier.Event{Kind: retrier.NotSent, NothingSent: true}, hopOutcomes[refusal.Kind], refusal.RetryAfter
	case refused:
		x.logHopBroken(a, cause)
		return retrier.Event{Kind: retrier.Interrupted}, pathfinder.Answered, 0
	case isUnreachable(err):
		return retrier.Event{Kind: retrier.NotSent, NothingSent: true}, pathfinder.Failed, 0
	case x.ctx.Err() != nil:
		return retrier.Event{Kind: retrier.Interrupted}, pathfinder.Answered, 0
	}
	x.logHopBroken(a, cause)
	return retrier.Event{Kind: retrier.Interrupted}, pathfinder.Failed, 0
}

// endHop records what became of an attempt at its peer.
func (f *Forwarder) endHop(a *attempt, outcome pathfinder.Outcome, retryAfter time.Duration) {
	if a.hop == nil || a.hop.ended {
		return
	}
	a.hop.ended = true
	f.metrics.recordHop(outcome)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.detourPeers.End(clocker.Now(), a.hop.peer.ID, a.hop.pool, outcome, retryAfter)
}

func (x *exchange) logDetour(peer DetourPeer) {
	x.f.metrics.attempts.Inc(1)
	if len(x.triedUpstreams) > 1 {
		x.f.metrics.retries.Inc(1)
	}
	log.WithFields(log.Fields{
		logger.FieldRequest: x.request.ID, logger.FieldPeer: peer.ID, "try": len(x.triedUpstreams), "delivered": x.deliveredEvents,
		"config_version": x.config.Version,
	}).Info(logger.LineHopBegun)
}

func (x *exchange) logHopBroken(a *attempt, err error) {
	log.WithFields(log.Fields{
		logger.FieldRequest: x.request.ID, logger.FieldUpstream: a.active.upstream.name, logger.FieldPeer: a.hop.peer.ID, "delivered": x.deliveredEvents,
	}).WithError(err).Info(logger.LineAttemptFailed)
}
