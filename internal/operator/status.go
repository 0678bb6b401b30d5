package operator

import (
	"context"

	"github.com/waxwingmount/waxwingmount/internal/messenger"
	"github.com/waxwingmount/waxwingmount/pkg/faulter"
	"github.com/waxwingmount/waxwingmount/pkg/gossiper"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

// Status is the status of the system as seen by one entry instance.
type Status struct {
	Entry     string              `json:"entry"`
	Leader    string              `json:"leader"`
	Config    ConfigStatus        `json:"config"`
	Entries   []gossiper.Member   `json:"entries"`
	Groups    []GroupStatus       `json:"groups"`
	Instances []provider.Instance `json:"instances"`
}

// EntryRequest identifies an entry instance.
type EntryRequest struct {
	ID string `json:"id"`
}

func (o *Operator) status(ctx context.Context, _ Empty) (Status, error) {
	config, err := o.configStatus(ctx, Empty{})
	if err != nil {
		return Status{}, err
	}
	groups, err := o.listGroups(ctx, Empty{})
	return Status{
		Entry:     o.Discoverer.Self().ID,
		Leader:    o.Controller.Leader(),
		Config:    config,
		Entries:   o.Discoverer.Live(),
		Groups:    groups,
		Instances: o.Controller.Instances(),
	}, err
}

func (o *Operator) listEntries(_ context.Context, _ Empty) ([]gossiper.Member, error) {
	return o.Discoverer.Live(), nil
}

// drainEntry starts the graceful shutdown of an entry instance.
func (o *Operator) drainEntry(ctx context.Context, request EntryRequest) (Empty, error) {
	if request.ID == o.Discoverer.Self().ID {
		o.BeginShutdown()
		return Empty{}, nil
	}
	for _, m := range o.Discoverer.Live() {
		if m.ID == request.ID {
			return Empty{}, o.Pool.Call(ctx, m.Peer, messenger.MethodLeave, &messenger.Empty{}, &messenger.Empty{})
		}
	}
	return Empty{}, faulter.Newf("drain entry", KindInvalid, "there is no live entry instance %q", request.ID)
}
