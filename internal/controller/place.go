package controller

import (
	"context"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"

	"github.com/waxwingmount/waxwingmount/pkg/configurer"
	"github.com/waxwingmount/waxwingmount/pkg/grouper"
	"github.com/waxwingmount/waxwingmount/pkg/placer"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
	"github.com/waxwingmount/waxwingmount/pkg/reconciler"
)

// probeAllInstances makes the prober probe every listed instance.
func (c *Controller) probeAllInstances() {
	addresses := make(map[string]netip.AddrPort)
	for _, in := range c.Instances() {
		addresses[in.ID] = in.Address
	}
	c.Prober.SetExtraTargets(addresses)
}

// view collects the placer's input.
func (c *Controller) view(config *configurer.Config, snapshot grouper.Snapshot) placer.View {
	view := placer.View{
		Settings: placer.Settings{
			Spares:       config.Capacity.Spares,
			RepairDelay:  max(config.Capacity.RepairDelay, minRepairDelay),
			MinDrainTime: minDrainTime,
		},
		Groups: snapshot.SortedGroups(),
	}
	for _, name := range sortedModels(config) {
		m := config.Models[name]
		view.Models = append(view.Models, placer.Model{
			Name:              m.Name,
			Version:           m.Version,
			InstancesPerGroup: m.InstancesPerGroup,
			Groups:            m.Groups,
		})
	}
	reports := c.Prober.Reports()
	for _, in := range c.Instances() {
		view.Instances = append(view.Instances, c.placerInstance(in, reports))
	}
	return view
}

func (c *Controller) placerInstance(in provider.Instance, reports map[string]reconciler.Report) placer.Instance {
	report, alive := reports[in.ID]
	evidence, known := c.Prober.Evidence(in.ID)
	return placer.Instance{
		ID:            in.ID,
		Address:       in.Address,
		FabricDomain:  in.FabricDomain,
		DataCentre:    in.DataCentre,
		Incarnation:   report.Incarnation,
		Alive:         alive,
		ConfirmedLost: known && evidence.Lost,
		Ready:         report.Phase == reconciler.PhaseReady,
		Leaving:       in.Leaving || report.Leaving,
		Idle:          report.InFlight == 0,
	}
}

func sortedModels(config *configurer.Config) []string {
	names := make([]string, 0, len(config.Models))
	for name := range config.Models {
		names = append(names, name)
	}
	slices.SortFunc(names, strings.Compare)
	return names
}

// place commits the placer's decisions one at a time and reports whether there
// were any. A decision that conflicts is dropped; the next iteration decides
// again from the new state.
func (c *Controller) place(ctx context.Context, snapshot grouper.Snapshot) bool {
	config := c.Syncer.Config()
	decisions := c.placer.Step(time.Now(), c.view(config, snapshot))
	for _, d := range decisions {
		if !c.canSendOrders() {
			break
		}
		fresh, err := grouper.Load(ctx, c.Platform)
		if err != nil {
			break
		}
		c.commit(ctx, fresh, d)
	}
	return len(decisions) > 0
}

func (c *Controller) commit(ctx context.Context, snapshot grouper.Snapshot, d placer.Decision) {
	entry := log.WithFields(log.Fields{"decision": d.Kind.String(), "group": d.Group.ID, "reason": d.Reason})
	tx, err := transaction(snapshot, d)
	if err != nil {
		entry.WithError(err).Warn("decision is outdated")
		return
	}
	outcome, err := CommitWithRetry(ctx, c.Platform, tx)
	if err != nil || !outcome.Committed {
		entry.WithError(err).Warn("decision not committed")
		return
	}
	c.Scope.Tagged(map[string]string{"kind": d.Kind.String()}).Counter("decisions").Inc(1)
	entry.Info("decision committed")
}

func transaction(snapshot grouper.Snapshot, d placer.Decision) (provider.Transaction, error) {
	operationID := uuid.NewString()
	switch d.Kind {
	case placer.Form:
		return grouper.Form(snapshot, d.Group, operationID)
	case placer.Replace:
		return grouper.ReplaceMembers(snapshot, d.Group.ID, d.Group.Members, operationID)
	case placer.Drain:
		return grouper.Drain(snapshot, d.Group.ID, operationID)
	default:
		return grouper.Disband(snapshot, d.Group.ID, operationID)
	}
}

// commitRetryInterval is the time between two attempts at one commit.
const commitRetryInterval = 50 * time.Millisecond

// CommitWithRetry commits a transaction and returns its outcome. If the reply is
// lost, it sends the transaction again under the same operation ID until it gets
// a reply or ctx ends, since a lost reply leaves the outcome unknown.
func CommitWithRetry(ctx context.Context, table provider.Committer, tx provider.Transaction) (provider.Outcome, error) {
	for {
		outcome, err := table.Commit(ctx, tx)
		if err == nil || ctx.Err() != nil {
			return outcome, err
		}
		select {
		case <-ctx.Done():
			return outcome, err
		case <-time.After(commitRetryInterval):
		}
	}
}
