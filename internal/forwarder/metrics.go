package forwarder

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/internal/observer"
	"github.com/waxwingmount/waxwingmount/pkg/estimator"
	"github.com/waxwingmount/waxwingmount/pkg/pathfinder"
)

// latencyBuckets range from the response time of a plain server to the longest
// timeout.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(10*time.Millisecond, 2, 11)

// hopTimeBuckets range from the time of a hop on an idle machine to the silence after which
// a hop is given up.
var hopTimeBuckets = tally.MustMakeExponentialDurationBuckets(500*time.Microsecond, 2, 11)

// metrics holds the request metrics.
type metrics struct {
	scope    tally.Scope
	attempts tally.Counter
	// retries counts the attempts of a request after its first.
	retries tally.Counter
	// deferrals counts the servers that said that they want nothing for a time.
	deferrals tally.Counter
	// coldServers is the number of cold servers, and coldRefusals counts how often one was
	// left out of a choice because of it.
	coldServers  tally.Gauge
	coldRefusals tally.Counter
	// strikes and peerStrikes count the strikes of requests of this entry instance and
	// those that peers reported.
	strikes     tally.Counter
	peerStrikes tally.Counter
	// blockedParts is the number of parts of prompts that are blocked, and partRefusals
	// counts the requests that were refused for one.
	blockedParts tally.Gauge
	partRefusals tally.Counter
	// savedTokens counts the prompt tokens that servers need not read again, as predicted.
	savedTokens tally.Counter
	queueTime   tally.Histogram
	// hopTime is the time to the head of a response that a hop by a peer adds.
	hopTime tally.Histogram
	// firstEventTime and requestTime run from a request's arrival to its first
	// event and to its end.
	firstEventTime tally.Histogram
	requestTime    tally.Histogram
}

func newMetrics(scope tally.Scope) *metrics {
	return &metrics{
		scope:          scope,
		attempts:       scope.Counter("tries"),
		retries:        scope.Counter("moves"),
		deferrals:      scope.Counter("server_deferrals"),
		coldServers:    scope.Gauge("cold_servers"),
		coldRefusals:   scope.Counter("cold_refusals"),
		strikes:        scope.Tagged(map[string]string{"source": "own"}).Counter("strikes"),
		peerStrikes:    scope.Tagged(map[string]string{"source": "peer"}).Counter("strikes"),
		blockedParts:   scope.Gauge("blocked_parts"),
		partRefusals:   scope.Counter("part_refusals"),
		savedTokens:    scope.Counter("predicted_saved_tokens"),
		queueTime:      scope.Histogram("queue_time", latencyBuckets),
		hopTime:        scope.Histogram("hop_time", hopTimeBuckets),
		firstEventTime: scope.Histogram("first_event_time", latencyBuckets),
		requestTime:    scope.Histogram("request_time", latencyBuckets),
	}
}

// recordResponse counts a request that received a response.
func (m *metrics) recordResponse(x *exchange, status int, complete bool, now time.Time) {
	m.scope.Tagged(map[string]string{
		"repeat": x.route.Repeat.String(), "status": strconv.Itoa(status), "complete": strconv.FormatBool(complete),
	}).Counter("requests").Inc(1)
	m.requestTime.RecordDuration(now.Sub(x.request.Arrived))
	if !x.firstEventAt.IsZero() {
		m.firstEventTime.RecordDuration(x.firstEventAt.Sub(x.request.Arrived))
	}
}

// recordRefusal counts a request that was refused.
func (m *metrics) recordRefusal(r *Refusal) {
	m.scope.Tagged(map[string]string{"kind": r.Kind.String(), "outcome": r.Outcome.String()}).Counter("refusals").Inc(1)
}

// recordHop counts a request that was handed to a peer.
func (m *metrics) recordHop(outcome pathfinder.Outcome) {
	m.scope.Tagged(map[string]string{"outcome": outcome.String()}).Counter("hops").Inc(1)
}

// recordHopTaken counts a request that a peer has handed over.
func (m *metrics) recordHopTaken(served bool) {
	m.scope.Tagged(map[string]string{"served": strconv.FormatBool(served)}).Counter("hops_taken").Inc(1)
}

// recordExcuse counts an attempt that does not count against its route's maximum, or one of
// which the server turned out to go on.
func (m *metrics) recordExcuse(counter string, evidence observer.EndKind) {
	m.scope.Tagged(map[string]string{"evidence": evidence.String()}).Counter(counter).Inc(1)
}

// recordRetryDenied counts a retry that the retry budget does not allow.
func (m *metrics) recordRetryDenied(service string) {
	m.scope.Tagged(map[string]string{"service": service}).Counter("retries_denied").Inc(1)
}

// UpdatePoolGauges updates the gauges of what the fleet knows of the requests to each pool.
func (f *Forwarder) UpdatePoolGauges() {
	config, now := f.Observer.Config(), clocker.Now()
	if config == nil {
		return
	}
	for _, service := range config.Services {
		models := []string{""}
		if service.Engine != nil {
			models = models[:0]
			for _, m := range service.Engine.Models {
				models = append(models, m.Name)
			}
		}
		for _, model := range models {
			f.mu.Lock()
			report := f.fleetPool(now, config, poolKey{service: service.Name, model: model})
			f.mu.Unlock()
			scope := f.metrics.scope.Tagged(map[string]string{"service": service.Name, "model": model})
			scope.Gauge("pool_offered").Update(report.Offered.Seconds() / demandWindow.Seconds())
			scope.Gauge("pool_arrived").Update(float64(report.Arrived) / estimator.Milli / demandWindow.Seconds())
			scope.Gauge("pool_missed").Update(report.MissedShare())
			for rank := range estimator.Ranks {
				scope := scope.Tagged(map[string]string{"rank": strconv.Itoa(rank)})
				scope.Gauge("pool_waiting").Update(float64(report.Waiting[rank]))
				scope.Gauge("pool_late").Update(float64(report.Late[rank]))
			}
		}
	}
	f.mu.Lock()
	f.metrics.scope.Gauge("pool_reporters").Update(float64(f.reporters(now)))
	f.mu.Unlock()
}
