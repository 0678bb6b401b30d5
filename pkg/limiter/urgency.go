package limiter

//go:generate stringer -type=Timeliness -linecomment -output=timeliness_string.go

// Urgency orders the requests that wait at one backend server, which many entry instances
// send to; the lowest is served first. The zero value states no order.
type Urgency int

// MaxUrgency is the largest urgency: servers know ten.
const MaxUrgency Urgency = 10

// rankUrgencies is how many rank classes of requests have urgencies of their own.
const rankUrgencies = 4

// Timeliness says whether a request's caller can still be served in time.
type Timeliness int

// Values of Timeliness.
const (
	// InTime means that the request can still meet its objective.
	InTime Timeliness = iota // in_time
	// TooLate means that it cannot.
	TooLate // too_late
	// Interrupted means that the caller has a part of the response and waits for the next
	// one.
	Interrupted // interrupted
)

// NewUrgency returns the urgency of a request of a rank class, of which 0 is the most
// urgent. An interrupted response goes before all new requests. The rank goes before the
// timeliness, so that a rank is not served less often than a lower one; within a rank,
// requests that can be in time go first.
func NewUrgency(rank int, timeliness Timeliness) Urgency {
	if timeliness == Interrupted {
		return 1
	}
	return 2 + Urgency(2*min(rank, rankUrgencies-1)) + Urgency(timeliness)
}

// IsSet reports whether an order is stated.
func (u Urgency) IsSet() bool { return u > 0 && u <= MaxUrgency }
