package operator

import (
	"context"
	"net/netip"

	"github.com/google/uuid"

	"github.com/waxwingmount/waxwingmount/internal/controller"
	"github.com/waxwingmount/waxwingmount/pkg/faulter"
	"github.com/waxwingmount/waxwingmount/pkg/grouper"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

// GroupStatus is a group with how its gate stands at this entry instance.
type GroupStatus struct {
	grouper.Group
	Verdict string `json:"verdict"`
}

// GroupCall names a group; to create one, its model and instances too.
type GroupCall struct {
	ID           string   `json:"id"`
	Model        string   `json:"model,omitempty"`
	ModelVersion string   `json:"model_version,omitempty"`
	Instances    []string `json:"instances,omitempty"`
}

func (o *Operator) listGroups(_ context.Context, _ Nothing) ([]GroupStatus, error) {
	groups := []GroupStatus{}
	for _, g := range o.Follower.Groups().Sorted() {
		groups = append(groups, GroupStatus{Group: g, Verdict: o.Prober.Check(g).String()})
	}
	return groups, nil
}

func (o *Operator) createGroup(ctx context.Context, call GroupCall) (grouper.Group, error) {
	group, err := o.newGroup(call)
	if err != nil {
		return group, err
	}
	err = o.change(ctx, "create group", func(s grouper.Snapshot) (provider.Transaction, error) {
		return grouper.Form(s, group, uuid.NewString())
	})
	return group, err
}

// newGroup fills in what the instances say of themselves.
func (o *Operator) newGroup(call GroupCall) (grouper.Group, error) {
	const op = "create group"
	group := grouper.Group{ID: call.ID, Model: call.Model, ModelVersion: call.ModelVersion, Pinned: true}
	if call.ID == "" || call.Model == "" {
		return group, faulter.Newf(op, KindInvalid, "id and model are required")
	}
	listed := make(map[string]provider.Instance)
	for _, in := range o.Controller.Instances() {
		listed[in.ID] = in
	}
	for _, id := range call.Instances {
		in, found := listed[id]
		if !found {
			return group, faulter.Newf(op, KindInvalid, "instance %q is not in the platform's list", id)
		}
		if group.FabricDomain != "" && group.FabricDomain != in.FabricDomain {
			return group, faulter.Newf(op, KindInvalid, "instance %q is in fabric domain %q, not %q", id, in.FabricDomain, group.FabricDomain)
		}
		group.FabricDomain, group.DataCentre = in.FabricDomain, in.DataCentre
		incarnation, err := o.incarnation(id, in.Address)
		if err != nil {
			return group, err
		}
		group.Members = append(group.Members, grouper.Member{Instance: id, Incarnation: incarnation, Address: in.Address})
	}
	return group, nil
}

func (o *Operator) incarnation(id string, address netip.AddrPort) (string, error) {
	evidence, found := o.Prober.ProbeNow(id, address)
	if !found || evidence.Lost {
		return "", faulter.Newf("create group", KindInvalid, "instance %q does not answer", id)
	}
	return evidence.Report.Incarnation, nil
}

func (o *Operator) drainGroup(ctx context.Context, call GroupCall) (Nothing, error) {
	return Nothing{}, o.change(ctx, "drain group", func(s grouper.Snapshot) (provider.Transaction, error) {
		return grouper.Drain(s, call.ID, uuid.NewString())
	})
}

// deleteGroup disbands a group that has been drained.
func (o *Operator) deleteGroup(ctx context.Context, call GroupCall) (Nothing, error) {
	const op = "delete group"
	return Nothing{}, o.change(ctx, op, func(s grouper.Snapshot) (provider.Transaction, error) {
		group, found := s.Groups[call.ID]
		if found && !group.Draining {
			return provider.Transaction{}, faulter.Newf(op, KindInvalid, "group %q must be drained first", call.ID)
		}
		if e, known := o.Prober.Evidence(headOf(group)); known && !e.Lost && e.Report.InFlight > 0 {
			return provider.Transaction{}, faulter.Newf(op, KindInvalid, "group %q has %d requests in progress", call.ID, e.Report.InFlight)
		}
		return grouper.Disband(s, call.ID, uuid.NewString())
	})
}

func headOf(group grouper.Group) string {
	if len(group.Members) == 0 {
		return ""
	}
	return group.Head().Instance
}

// change commits a change of the groups, or says what was in its way.
func (o *Operator) change(ctx context.Context, op string, build func(grouper.Snapshot) (provider.Transaction, error)) error {
	snapshot, err := grouper.Load(ctx, o.Platform)
	if err != nil {
		return err
	}
	tx, err := build(snapshot)
	if err != nil {
		return faulter.New(op, kindOf(err), err)
	}
	outcome, err := controller.CommitWithRetry(ctx, o.Platform, tx)
	if err != nil {
		return err
	}
	if !outcome.Committed {
		return faulter.Newf(op, KindConflict, "row %q was changed by somebody else; look again and repeat", outcome.Conflicts[0].Key)
	}
	return o.Follower.Refresh(ctx)
}

func kindOf(err error) Kind {
	if kind, found := faulter.KindOf[grouper.Kind](err); found && (kind == grouper.KindAssigned || kind == grouper.KindExists) {
		return KindConflict
	}
	return KindInvalid
}
