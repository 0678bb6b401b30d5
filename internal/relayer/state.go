package relayer

import (
	"reflect"
	"time"

	"github.com/waxwingmount/waxwingmount/internal/messenger"
	"github.com/waxwingmount/waxwingmount/internal/observer"
	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

// versionedState is what one entry instance knows of the platform, in a form from which
// a peer can be told what has changed. It is not safe for concurrent use.
type versionedState struct {
	epoch     uint64
	revision  uint64
	instances map[string]versionedInstance
	// removed holds the revisions at which instances went.
	removed  map[string]uint64
	listedAt time.Time

	config            *mapper.RouteTable
	configConfirmedAt time.Time
}

type versionedInstance struct {
	instance provider.Instance
	revision uint64
}

// maxRemoved bounds the memory of instances that went; beyond it peers are told
// everything anew.
const maxRemoved = 4096

func newVersionedState(epoch uint64) *versionedState {
	return &versionedState{epoch: epoch, instances: make(map[string]versionedInstance), removed: make(map[string]uint64)}
}

// updateList takes in the instances as of that time, unless a later updateList is known. It
// reports whether it did.
func (l *versionedState) updateList(at time.Time, instances []provider.Instance) bool {
	if at.Before(l.listedAt) {
		return false
	}
	l.listedAt = at
	next := l.revision + 1
	changed := false
	seen := make(map[string]bool, len(instances))
	for _, in := range instances {
		seen[in.ID] = true
		if old, known := l.instances[in.ID]; known && reflect.DeepEqual(old.instance, in) {
			continue
		}
		l.instances[in.ID] = versionedInstance{instance: in, revision: next}
		delete(l.removed, in.ID)
		changed = true
	}
	for id := range l.instances {
		if !seen[id] {
			delete(l.instances, id)
			l.removed[id] = next
			changed = true
		}
	}
	if changed {
		l.revision = next
	}
	if len(l.removed) > maxRemoved {
		clear(l.removed)
		l.epoch++
	}
	return true
}

// updateConfig takes in the configuration as of that time. Versions only rise.
func (l *versionedState) updateConfig(at time.Time, config *mapper.RouteTable) {
	if config == nil || l.config != nil && config.Version < l.config.Version {
		return
	}
	if l.config == nil || config.Version > l.config.Version {
		l.config = config
	}
	if at.After(l.configConfirmedAt) {
		l.configConfirmedAt = at
	}
}

// snapshot returns all that is known.
func (l *versionedState) snapshot() observer.Snapshot {
	s := observer.Snapshot{ListedAt: l.listedAt, Config: l.config, ConfirmedAt: l.configConfirmedAt}
	for _, e := range l.instances {
		s.Instances = append(s.Instances, e.instance)
	}
	return s
}

// changesSince returns what a peer lacks that knows a revision of an epoch and a
// version of the configuration.
func (l *versionedState) changesSince(now time.Time, arguments messenger.NewsArguments) messenger.NewsReply {
	reply := messenger.NewsReply{
		Epoch:    l.epoch,
		Revision: l.revision,
		ListAge:  now.Sub(l.listedAt),
		Whole:    arguments.Epoch != l.epoch || arguments.Revision > l.revision,
	}
	since := arguments.Revision
	if reply.Whole {
		since = 0
	}
	for _, e := range l.instances {
		if reply.Whole || e.revision > since {
			reply.Changed = append(reply.Changed, e.instance)
		}
	}
	for id, revision := range l.removed {
		if !reply.Whole && revision > since {
			reply.Removed = append(reply.Removed, id)
		}
	}
	if l.config != nil {
		reply.ConfigAge = now.Sub(l.configConfirmedAt)
		reply.ConfigVersion = l.config.Version
		if arguments.ConfigVersion < l.config.Version {
			reply.Config = &l.config.Config
		}
	}
	return reply
}
