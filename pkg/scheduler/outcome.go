package scheduler

import "time"

// HandleOutcome records the outcome of an order that was prepared. A group that an instance
// refuses to join is marked as broken; its replacement has a higher epoch. After a conflict
// the order is prepared again by a new report.
func (s *Scheduler) HandleOutcome(now time.Time, o Order, outcome Outcome) {
	switch outcome {
	case Accepted, Satisfied:
		s.handleSuccess(now, o, outcome)
		if o.Kind == Leave {
			s.departures[o.Instance.ID] = departure{group: o.Group, at: now}
		}
	case Refused, Misdirected:
		if o.Kind != Join {
			return
		}
		if g := s.groups[o.Group]; g != nil && g.brokenSince.IsZero() {
			g.brokenSince = now
		}
		if l := s.loading[o.Instance.ID]; l.group == o.Group {
			delete(s.loading, o.Instance.ID)
		}
	case Conflicting, Withheld:
		if outcome == Conflicting {
			s.doubt(now, o.Instance.ID)
		}
		if p := s.positions[o.Instance.ID]; o.Kind == Open || o.Kind == Join && (p == nil || !p.in(o.Group, o.Epoch)) {
			delete(s.lastSent, o.key())
			s.cancelLoad(o)
		}
	case Unknown:
	}
}

// cancelLoad gives up the load that a Join order was to begin, so that the next step decides
// again what the instance loads.
func (s *Scheduler) cancelLoad(o Order) {
	l, loading := s.loading[o.Instance.ID]
	if !loading || l.group != o.Group {
		return
	}
	delete(s.loading, o.Instance.ID)
	if l.cold {
		s.loadTokens.tokens++
	}
	if l.lentIn != "" {
		s.lent[o.Instance.ID] = loan{lastModel{l.incarnation, l.model}, l.lentIn}
	}
}

// departure is an accepted Leave order.
type departure struct {
	group string
	at    time.Time
}

// recentlyLeft reports whether an instance left a group within the last
// leaveReportDelay. An instance that reports the group after that has rejoined
// it because of a Join order that was carried out late.
func (s *Scheduler) recentlyLeft(now time.Time, id, group string) bool {
	d := s.departures[id]
	return d.group == group && now.Sub(d.at) < leaveReportDelay
}
