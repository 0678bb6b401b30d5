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

// GroupStatus is a group with the verdict of its gate at this entry instance.
type GroupStatus struct {
	grouper.Group
	Verdict string `json:"verdict"`
}

// GroupRequest identifies a group. To create one, it also gives the model and the
// instances.
type GroupRequest struct {
	ID           string   `json:"id"`
	Model        string   `json:"model,omitempty"`
	ModelVersion string   `json:"model_version,omitempty"`
	Instances    []string `json:"instances,omitempty"`
}

func (o *Operator) listGroups(_ context.Context, _ Empty) ([]GroupStatus, error) {
	groups := []GroupStatus{}
	for _, g := range o.Syncer.Groups().SortedGroups() {
		groups = append(groups, GroupStatus{Group: g, Verdict: o.Prober.Check(g).String()})
	}
	return groups, nil
}

func (o *Operator) createGroup(ctx context.Context, request GroupRequest) (grouper.Group, error) {
	group, err := o.newGroup(request)
	if err != nil {
		return group, err
	}
	err = o.commitChange(ctx, "create group", func(s grouper.Snapshot) (provider.Transaction, error) {
		return grouper.Form(s, group, uuid.NewString())
	})
	return group, err
}

// newGroup returns the group that a request describes, completed with what the
// platform lists and the instances report.
func (o *Operator) newGroup(request GroupRequest) (grouper.Group, error) {
	const op = "create group"
	group := grouper.Group{ID: request.ID, Model: request.Model, ModelVersion: request.ModelVersion, Pinned: true}
	if request.ID == "" || request.Model == "" {
		return group, faulter.Newf(op, KindInvalid, "id and model are required")
	}
	listed := make(map[string]provider.Instance)
	for _, in := range o.Controller.Instances() {
		listed[in.ID] = in
	}
	for _, id := range request.Instances {
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

func (o *Operator) drainGroup(ctx context.Context, request GroupRequest) (Empty, error) {
	return Empty{}, o.commitChange(ctx, "drain group", func(s grouper.Snapshot) (provider.Transaction, error) {
		return grouper.Drain(s, request.ID, uuid.NewString())
	})
}

// deleteGroup deletes a group that has been drained.
func (o *Operator) deleteGroup(ctx context.Context, request GroupRequest) (Empty, error) {
	const op = "delete group"
	return Empty{}, o.commitChange(ctx, op, func(s grouper.Snapshot) (provider.Transaction, error) {
		group, found := s.Groups[request.ID]
		if found && !group.Draining {
			return provider.Transaction{}, faulter.Newf(op, KindInvalid, "group %q must be drained first", request.ID)
		}
		if e, known := o.Prober.Evidence(headInstance(group)); known && !e.Lost && e.Report.InFlight > 0 {
			return provider.Transaction{}, faulter.Newf(op, KindInvalid, "group %q has %d requests in progress", request.ID, e.Report.InFlight)
		}
		return grouper.Disband(s, request.ID, uuid.NewString())
	})
}

func headInstance(group grouper.Group) string {
	if len(group.Members) == 0 {
		return ""
	}
	return group.Head().Instance
}

// commitChange commits a change of the groups. A concurrent change of the same
// row is an error of KindConflict.
func (o *Operator) commitChange(ctx context.Context, op string, build func(grouper.Snapshot) (provider.Transaction, error)) error {
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
	return o.Syncer.Refresh(ctx)
}

func kindOf(err error) Kind {
	if kind, found := faulter.KindOf[grouper.Kind](err); found && (kind == grouper.KindAssigned || kind == grouper.KindExists) {
		return KindConflict
	}
	return KindInvalid
}
