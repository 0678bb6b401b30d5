package scheduler

import (
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

const (
	// conflictSettleTime is how long after a conflict a report with the same number of
	// orders may be one from before it. It exceeds the lag of reports.
	conflictSettleTime = time.Second
	// maxReportAge is how old a report can be at the most. A later one with fewer orders
	// corrects the position.
	maxReportAge = 3 * time.Second
)

// Report is what an instance says of itself when it is asked. It may be some hundred
// milliseconds old.
type Report struct {
	// Incarnation is "" if the instance does not state it.
	Incarnation string
	// Orders is the number of orders that this incarnation has carried out.
	Orders     uint64
	Membership provider.Membership
}

// position is the newest known position of an instance in the sequence of the orders that
// it carries out: after that many orders its membership was this one. A position may be
// behind the instance, but not ahead of it. An order that is conditional on the number is
// therefore carried out only while the membership holds, however late it arrives.
type position struct {
	Report
	learnedAt time.Time
	// joining is the membership for which a Join order has been sent on condition of this
	// position, or zero.
	joining provider.Membership
	// doubtedAt is when the position was last found to be behind, or zero.
	doubtedAt time.Time
}

// of reports whether the position is one of an incarnation. Either may be unknown.
func (p *position) of(incarnation string) bool {
	return p.Incarnation == "" || incarnation == "" || p.Incarnation == incarnation
}

// in reports whether the position is one in a group.
func (p *position) in(group string, epoch uint64) bool {
	return p.Membership.State != provider.Unattached && p.Membership.Group == group && p.Membership.Epoch == epoch
}

// advance moves the position past one more order.
func (p *position) advance(now time.Time, m provider.Membership) {
	p.Orders++
	p.Membership, p.joining, p.learnedAt = m, provider.Membership{}, now
}

// Readiness is whether an order can be sent.
type Readiness int

// Kinds of readiness.
const (
	// NeedsReport means that the order must not be sent before a report shows that the
	// instance is in a state that the order is for.
	NeedsReport Readiness = iota // needs report
	// Sendable means that the order can be sent.
	Sendable // sendable
	// BetterAfterReport means that the order can be sent, but that its success shows the
	// instance's position only if a report has been read before. Reports lag, so one that
	// is read after it would still show the state before it.
	BetterAfterReport // better after report
)

// Prepare returns the order as it must be sent, or says that a report is needed first. An
// order without a response stays under way and may be carried out much later, so an order
// that adds a member to a group or opens it is conditional on the orders that the instance
// has carried out: of all that are sent on one position at most one takes effect. Close
// and Leave orders only end what has been given up, by name and epoch, and need no
// condition.
func (s *Scheduler) Prepare(now time.Time, o Order) (Order, Readiness) {
	p := s.positionOf(now, o.Instance)
	switch known := p != nil && p.doubtedAt.IsZero(); o.Kind {
	case Join:
		if !known || p.in(o.Group, o.Epoch) || !s.mayJoin(o.Instance.ID, p.Membership) {
			return o, NeedsReport
		}
		p.joining = o.membership()
		o.Conditional, o.Orders = true, p.Orders
	case Open:
		if !known || !p.in(o.Group, o.Epoch) {
			return o, NeedsReport
		}
		o.Conditional, o.Orders = true, p.Orders
	default:
		if !known || !p.in(o.Group, o.Epoch) {
			return o, BetterAfterReport
		}
		o.Orders = p.Orders
	}
	return o, Sendable
}

// positionOf returns the position of the listed incarnation of an instance, or nil if it is
// not known.
func (s *Scheduler) positionOf(now time.Time, in provider.Instance) *position {
	p := s.positions[in.ID]
	if p == nil || !p.of(in.Incarnation) {
		return nil
	}
	// The list shows the effect of a Join order whose response did not arrive.
	m := in.Membership
	if p.joining.Group != "" && m.State != provider.Unattached && m.Group == p.joining.Group && m.Epoch == p.joining.Epoch {
		p.advance(now, p.joining)
	}
	return p
}

// mayJoin reports whether an instance that has a membership may join another group: it has
// left the last one, or was alone in it.
func (s *Scheduler) mayJoin(id string, m provider.Membership) bool {
	return m.Group == "" || s.isAlone(id, m)
}

// Conflict is what a report shows of the cause of an earlier conflict.
type Conflict int

// Causes of conflicts.
const (
	// NoConflict means that there was none, or that its cause is still open.
	NoConflict Conflict = iota // none
	// CountConflict means that the instance had carried out other orders.
	CountConflict // count
	// StateConflict means that the order did not fit the instance's state.
	StateConflict // state
)

// HandleReport applies a report that an instance gave to this process, and returns the cause
// of an earlier conflict if the report shows it.
func (s *Scheduler) HandleReport(now time.Time, id string, r Report) Conflict {
	p := s.positions[id]
	if p == nil || p.Incarnation != r.Incarnation {
		s.positions[id] = &position{Report: r, learnedAt: now}
		return NoConflict
	}
	doubted := !p.doubtedAt.IsZero()
	switch {
	case r.Orders > p.Orders, r.Orders < p.Orders && now.Sub(p.learnedAt) > maxReportAge:
		*p = position{Report: r, learnedAt: now}
		if doubted {
			return CountConflict
		}
	case r.Orders == p.Orders:
		p.Membership = r.Membership
		if doubted && now.Sub(p.doubtedAt) > conflictSettleTime {
			p.doubtedAt = time.Time{}
			return StateConflict
		}
	}
	return NoConflict
}

// handleSuccess moves an instance's position past an order that was answered with success.
func (s *Scheduler) handleSuccess(now time.Time, o Order, outcome Outcome) {
	p := s.positions[o.Instance.ID]
	if p == nil || !p.of(o.Instance.Incarnation) {
		return
	}
	switch {
	case o.Kind == Join:
		if p.Orders == o.Orders {
			p.advance(now, o.membership())
			if outcome == Accepted {
				p.doubtedAt = time.Time{}
			}
		}
	case !p.in(o.Group, o.Epoch):
		// A later report has been applied.
	case p.Orders != o.Orders:
		p.doubtedAt = now
	case o.Kind == Leave:
		p.advance(now, provider.Membership{})
	case outcome == Accepted:
		m := p.Membership
		if o.Kind == Open {
			m.State = provider.Serving
		}
		p.advance(now, m)
	}
}

// doubt records that an instance's position is behind, or may be.
func (s *Scheduler) doubt(now time.Time, id string) {
	if p := s.positions[id]; p != nil {
		p.doubtedAt = now
	}
}
