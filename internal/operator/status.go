package operator

import (
	"context"

	"github.com/waxwingmount/waxwingmount/internal/messenger"
	"github.com/waxwingmount/waxwingmount/pkg/faulter"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
	"github.com/waxwingmount/waxwingmount/pkg/spreader"
)

// Status is how the system stands, as seen from one entry instance.
type Status struct {
	Entry     string              `json:"entry"`
	Leader    string              `json:"leader"`
	Config    ConfigStatus        `json:"config"`
	Entries   []spreader.Member   `json:"entries"`
	Groups    []GroupStatus       `json:"groups"`
	Instances []provider.Instance `json:"instances"`
}

// EntryCall names an entry instance.
type EntryCall struct {
	ID string `json:"id"`
}

func (o *Operator) status(ctx context.Context, _ Nothing) (Status, error) {
	config, err := o.configStatus(ctx, Nothing{})
	if err != nil {
		return Status{}, err
	}
	groups, err := o.listGroups(ctx, Nothing{})
	return Status{
		Entry:     o.Introducer.Self().ID,
		Leader:    o.Controller.Leader(),
		Config:    config,
		Entries:   o.Introducer.Live(),
		Groups:    groups,
		Instances: o.Controller.Instances(),
	}, err
}

func (o *Operator) listEntries(_ context.Context, _ Nothing) ([]spreader.Member, error) {
	return o.Introducer.Live(), nil
}

// drainEntry makes an entry instance stop gracefully.
func (o *Operator) drainEntry(ctx context.Context, call EntryCall) (Nothing, error) {
	if call.ID == o.Introducer.Self().ID {
		o.Leave()
		return Nothing{}, nil
	}
	for _, m := range o.Introducer.Live() {
		if m.ID == call.ID {
			return Nothing{}, o.Pool.Call(ctx, m.Peer, messenger.MethodLeave, &messenger.Empty{}, &messenger.Empty{})
		}
	}
	return Nothing{}, faulter.Newf("drain entry", KindInvalid, "there is no live entry instance %q", call.ID)
}
