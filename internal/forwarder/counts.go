package forwarder

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"
)

// latencyBuckets go from a plain server's answer to the longest time limit.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(10*time.Millisecond, 2, 11)

// metrics are the metrics of the requests.
type metrics struct {
	scope    tally.Scope
	attempts tally.Counter
	// retries counts the tries of a request after its first.
	retries   tally.Counter
	queueTime tally.Histogram
	// firstEventTime and took are from a request's arrival to its firstEventTime event and its end.
	firstEventTime tally.Histogram
	requestTime    tally.Histogram
}

func newMetrics(scope tally.Scope) *metrics {
	return &metrics{
		scope:          scope,
		attempts:       scope.Counter("tries"),
		retries:        scope.Counter("moves"),
		queueTime:      scope.Histogram("queue_time", latencyBuckets),
		firstEventTime: scope.Histogram("first_event_time", latencyBuckets),
		requestTime:    scope.Histogram("request_time", latencyBuckets),
	}
}

// recordResponse counts a request that had an answer.
func (c *metrics) recordResponse(x *exchange, status int, complete bool, now time.Time) {
	c.scope.Tagged(map[string]string{
		"repeat": x.route.Repeat.String(), "status": strconv.Itoa(status), "complete": strconv.FormatBool(complete),
	}).Counter("requests").Inc(1)
	c.requestTime.RecordDuration(now.Sub(x.request.Arrived))
	if !x.firstEventAt.IsZero() {
		c.firstEventTime.RecordDuration(x.firstEventAt.Sub(x.request.Arrived))
	}
}

// recordRefusal counts a request that had none.
func (c *metrics) recordRefusal(r *Refusal) {
	c.scope.Tagged(map[string]string{"kind": r.Kind.String(), "outcome": r.Outcome.String()}).Counter("refusals").Inc(1)
}
