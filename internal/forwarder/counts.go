package forwarder

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"
)

// latencyBuckets go from a plain server's answer to the longest time limit.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(10*time.Millisecond, 2, 11)

// counts are the metrics of the requests.
type counts struct {
	scope tally.Scope
	tries tally.Counter
	// moves counts the tries of a request after its first.
	moves  tally.Counter
	queued tally.Histogram
	// first and took are from a request's arrival to its first event and its end.
	first tally.Histogram
	took  tally.Histogram
}

func newCounts(scope tally.Scope) *counts {
	return &counts{
		scope:  scope,
		tries:  scope.Counter("tries"),
		moves:  scope.Counter("moves"),
		queued: scope.Histogram("queue_time", latencyBuckets),
		first:  scope.Histogram("first_event_time", latencyBuckets),
		took:   scope.Histogram("request_time", latencyBuckets),
	}
}

// ended counts a request that had an answer.
func (c *counts) ended(x *exchange, status int, complete bool, now time.Time) {
	c.scope.Tagged(map[string]string{
		"repeat": x.route.Repeat.String(), "status": strconv.Itoa(status), "complete": strconv.FormatBool(complete),
	}).Counter("requests").Inc(1)
	c.took.RecordDuration(now.Sub(x.request.Arrived))
	if !x.first.IsZero() {
		c.first.RecordDuration(x.first.Sub(x.request.Arrived))
	}
}

// refused counts a request that had none.
func (c *counts) refused(r *Refusal) {
	c.scope.Tagged(map[string]string{"kind": r.Kind.String(), "outcome": r.Outcome.String()}).Counter("refusals").Inc(1)
}
