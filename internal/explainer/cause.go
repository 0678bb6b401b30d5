package explainer

import "github.com/waxwingmount/waxwingmount/internal/logger"

//go:generate stringer -type=Cause -linecomment -output=cause_string.go

// Cause says why a request was not answered within its objectives.
type Cause int

// Values of Cause. A late stream has either a late first event or a pause
// between two events that exceeds the route's objective.
const (
	// OnTime means that the response met its objectives.
	OnTime Cause = iota // on time
	// LateInQueue means that the wait in the queue took more than half of the
	// objective.
	LateInQueue // late: queue
	// LateAfterFailure means that an earlier attempt failed.
	LateAfterFailure // late: attempt failed
	// LateAcrossDomains means that the group spans several fabric domains.
	LateAcrossDomains // late: group across domains
	// LateAsPredicted means that the best group was predicted to be too slow.
	LateAsPredicted // late: groups busy
	// LateUnpredicted means that the server was slower than predicted.
	LateUnpredicted // late: slower than predicted
	// PauseAfterFailure means that the stream was resumed on another group.
	PauseAfterFailure // pause: resumed
	// PauseAcrossDomains means that the group spans several fabric domains.
	PauseAcrossDomains // pause: group across domains
	// PauseInGroup means that a group within one domain paused for too long.
	PauseInGroup // pause: group slow
	// Broken means that the response could not be completed.
	Broken // broken
	// CallerLeft means that the caller disconnected.
	CallerLeft // caller left
	// ServerError means that the server answered with an error.
	ServerError // server error
	// RefusedOverloaded means that the queue was too long.
	RefusedOverloaded // refused: overloaded
	// RefusedNoServer means that no server was available.
	RefusedNoServer // refused: no server
	// RefusedExpired means that the deadline passed.
	RefusedExpired // refused: expired
	// RefusedOther stands for the other kinds of refusals.
	RefusedOther // refused: other

	causeCount int = iota
)

// causeOf classifies the last line of a request.
func causeOf(l Line, attemptFailed bool) Cause {
	if l.Message == logger.LineRefused {
		switch l.text(logger.FieldKind) {
		case kindOverloaded:
			return RefusedOverloaded
		case kindNoServer:
			return RefusedNoServer
		case kindDeadlineExceeded:
			return RefusedExpired
		}
		return RefusedOther
	}
	complete, _ := l.Fields[logger.FieldComplete].(bool)
	switch {
	case !complete && attemptFailed:
		return Broken
	case !complete:
		return CallerLeft
	case l.number("status") >= 500:
		return ServerError
	}
	return lateness(l)
}

// lateness classifies a complete response by its objectives.
func lateness(l Line) Cause {
	spread, _ := l.Fields["spread"].(bool)
	upstreams, _ := l.Fields["lanes"].([]any)
	objective, first := l.number("objective_ms"), l.number("took_ms")
	if _, streamed := l.Fields["first_ms"]; streamed {
		first = l.number("first_ms")
	}
	if objective > 0 && first > objective {
		switch {
		case l.number("queued_ms") > objective/2:
			return LateInQueue
		case len(upstreams) > 1:
			return LateAfterFailure
		case spread:
			return LateAcrossDomains
		case l.number("predicted_ms") > objective:
			return LateAsPredicted
		}
		return LateUnpredicted
	}
	if gap := l.number("gap_objective_ms"); gap > 0 && l.number("max_gap_ms") > gap {
		switch {
		case len(upstreams) > 1:
			return PauseAfterFailure
		case spread:
			return PauseAcrossDomains
		}
		return PauseInGroup
	}
	return OnTime
}

// MarshalText implements [encoding.TextMarshaler].
func (c Cause) MarshalText() ([]byte, error) { return []byte(c.String()), nil }
