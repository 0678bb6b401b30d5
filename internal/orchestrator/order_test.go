package orchestrator

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/pkg/provider"
	"github.com/waxwingmount/waxwingmount/pkg/scheduler"
)

// reportStub is an OrderSender that returns one report or error and counts the reads.
type reportStub struct {
	report scheduler.Report
	err    error
	reads  int
}

func (s *reportStub) ReadReport(context.Context, provider.Instance) (scheduler.Report, error) {
	s.reads++
	return s.report, s.err
}

func (*reportStub) SendOrder(context.Context, scheduler.Order, uint64) (scheduler.Outcome, error) {
	return scheduler.Unknown, errors.New("not part of the test")
}

// TestPrepareOrder guards against an order that adds a member being sent without a condition,
// on a report that could not be read, or to an instance that its report shows in another
// group, and against a Leave order that waits for a report.
func TestPrepareOrder(t *testing.T) {
	free := scheduler.Report{Incarnation: "1", Orders: 4}
	member := scheduler.Report{Incarnation: "1", Orders: 5, Membership: provider.Membership{Group: "m~1", Epoch: 1, Rank: 1, State: provider.MemberReady}}
	for name, test := range map[string]struct {
		kind     scheduler.OrderKind
		stub     reportStub
		sendable bool
		want     uint64
	}{
		"join of a free instance":             {scheduler.Join, reportStub{report: free}, true, 4},
		"join of a member of another group":   {scheduler.Join, reportStub{report: member}, false, 0},
		"join without a report":               {scheduler.Join, reportStub{err: errors.New("no response")}, false, 0},
		"join of another incarnation":         {scheduler.Join, reportStub{report: scheduler.Report{Incarnation: "2"}}, false, 0},
		"open of an instance in no group":     {scheduler.Open, reportStub{report: free}, false, 0},
		"leave with a report":                 {scheduler.Leave, reportStub{report: member}, true, 5},
		"leave without a report":              {scheduler.Leave, reportStub{err: errors.New("no response")}, true, 0},
		"leave of an instance that left late": {scheduler.Leave, reportStub{report: free}, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			o := New(Dependencies{OrderSender: &test.stub, Scope: tally.NoopScope})
			order := scheduler.Order{Kind: test.kind, Instance: provider.Instance{ID: "a", Incarnation: "1"}, Group: "m~2", Epoch: 2, Members: []string{"a", "b"}}
			if test.kind == scheduler.Leave {
				order.Group, order.Epoch = "m~1", 1
			}
			s := scheduler.New(0)
			prepared, sendable := o.prepareOrder(t.Context(), s, order)
			assert.Equal(t, sendable, test.sendable)
			assert.Equal(t, prepared.Conditional, test.sendable && test.kind == scheduler.Join)
			assert.Equal(t, prepared.Orders, test.want)
			assert.Equal(t, test.stub.reads, 1)
			if !sendable {
				return
			}
			_, sendable = o.prepareOrder(t.Context(), s, order)
			assert.Assert(t, sendable)
			if test.stub.err == nil && test.stub.report.Membership.Group == order.Group {
				assert.Equal(t, test.stub.reads, 1, "the position is known")
			}
		})
	}
}
