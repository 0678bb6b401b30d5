package relayer

import (
	"reflect"
	"time"

	"github.com/waxwingmount/waxwingmount/internal/messenger"
	"github.com/waxwingmount/waxwingmount/internal/observer"
	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

// versionedState is one entry instance's copy of the platform's state, with a
// revision for each instance so that a peer can be sent only what has changed.
// It is not safe for concurrent use.
type versionedState struct {
	epoch     uint64
	revision  uint64
	instances map[string]versionedInstance
	// removed holds the revision at which each removed instance was removed.
	removed  map[string]uint64
	listedAt time.Time
	// era is the highest era of the platform's table in which a list was read.
	era uint64
	// eraSince is when the era began, as far as it is known here, or zero if it is
	// known to be old.
	eraSince time.Time
	// firstStart is true when the whole system starts for the first time.
	firstStart bool

	config            *mapper.RouteTable
	configConfirmedAt time.Time
	// configRewritten reports whether the configuration is known to have been
	// written in the era.
	configRewritten bool
}

// rewriteTimeout is how long the operator may take to write a configuration again
// that an older copy of the table has lost.
const rewriteTimeout = 3 * time.Second

type versionedInstance struct {
	instance provider.Instance
	revision uint64
}

// maxRemoved bounds the number of removed instances that are remembered. Beyond
// it a new epoch begins, in which peers are sent the whole list.
const maxRemoved = 4096

func newVersionedState(epoch uint64) *versionedState {
	return &versionedState{epoch: epoch, instances: make(map[string]versionedInstance), removed: make(map[string]uint64)}
}

// updateList replaces the list of instances by one that was current at that time
// in an era of the platform's table. An older list than the known one, or one of an
// earlier era, is ignored. It reports whether the list was replaced.
func (v *versionedState) updateList(at time.Time, era uint64, instances []provider.Instance) bool {
	if at.Before(v.listedAt) || era < v.era {
		return false
	}
	v.observeEra(at, era)
	v.listedAt = at
	next := v.revision + 1
	changed := false
	seen := make(map[string]bool, len(instances))
	for _, in := range instances {
		seen[in.ID] = true
		if old, known := v.instances[in.ID]; known && sameReport(old.instance, in) {
			// Peers are not sent a report that only repeats the last one.
			v.instances[in.ID] = versionedInstance{instance: in, revision: old.revision}
			continue
		}
		v.instances[in.ID] = versionedInstance{instance: in, revision: next}
		delete(v.removed, in.ID)
		changed = true
	}
	for id := range v.instances {
		if !seen[id] {
			delete(v.instances, id)
			v.removed[id] = next
			changed = true
		}
	}
	if changed {
		v.revision = next
	}
	if len(v.removed) > maxRemoved {
		clear(v.removed)
		v.epoch++
	}
	return true
}

// observeEra records the era of the platform's table at a time.
func (v *versionedState) observeEra(at time.Time, era uint64) {
	if era <= v.era {
		return
	}
	if !v.firstStart || !v.listedAt.IsZero() {
		v.eraSince = at
	}
	v.era, v.configRewritten = era, false
}

// settleEra records that the era is known to be old.
func (v *versionedState) settleEra(era uint64) {
	if era == v.era {
		v.eraSince = time.Time{}
	}
}

// eraIsNew reports whether the operator may still have to write a configuration
// again that was lost at the beginning of the era.
func (v *versionedState) eraIsNew(at time.Time) bool {
	return !v.eraSince.IsZero() && at.Before(v.eraSince.Add(rewriteTimeout))
}

// sameReport reports whether two reports of an instance differ in their count at
// most.
func sameReport(a, b provider.Instance) bool {
	a.Sequence = b.Sequence
	return reflect.DeepEqual(a, b)
}

// updateConfig applies a configuration that was the newest at that time. An
// older version than the known one is ignored. In a new era of the platform's table
// a configuration that may come from an older copy is no proof that there is no
// newer one; it does not count as confirmed until the operator has had the time to
// write the newest one again.
func (v *versionedState) updateConfig(at time.Time, config *mapper.RouteTable, rewritten bool) {
	if config == nil || v.config != nil && config.Version < v.config.Version {
		return
	}
	if v.config == nil || config.Version > v.config.Version {
		v.config = config
	}
	v.configRewritten = v.configRewritten || rewritten
	if !rewritten && v.eraIsNew(at) {
		return
	}
	if at.After(v.configConfirmedAt) {
		v.configConfirmedAt = at
	}
}

// configVersion returns the version of the known configuration, or zero.
func (v *versionedState) configVersion() uint64 {
	if v.config == nil {
		return 0
	}
	return v.config.Version
}

// snapshot returns the whole state.
func (v *versionedState) snapshot() observer.Snapshot {
	s := observer.Snapshot{ListedAt: v.listedAt, Era: v.era, Config: v.config, ConfirmedAt: v.configConfirmedAt}
	for _, e := range v.instances {
		s.Instances = append(s.Instances, e.instance)
	}
	return s
}

// changesSince returns the changes since the epoch, revision and configuration
// version that a peer has.
func (v *versionedState) changesSince(now time.Time, arguments messenger.ChangesArguments) messenger.ChangesReply {
	reply := messenger.ChangesReply{
		Epoch:    v.epoch,
		Revision: v.revision,
		Era:      v.era,
		// A peer that has just started can't tell by itself.
		EraSettled: !v.eraIsNew(now),
		ListAge:    now.Sub(v.listedAt),
		Whole:      arguments.Epoch != v.epoch || arguments.Revision > v.revision,
	}
	since := arguments.Revision
	if reply.Whole {
		since = 0
	}
	for _, e := range v.instances {
		if reply.Whole || e.revision > since {
			reply.Changed = append(reply.Changed, e.instance)
		}
	}
	for id, revision := range v.removed {
		if !reply.Whole && revision > since {
			reply.Removed = append(reply.Removed, id)
		}
	}
	if v.config != nil {
		reply.ConfigAge = now.Sub(v.configConfirmedAt)
		reply.ConfigVersion, reply.ConfigRewritten = v.config.Version, v.configRewritten
		if arguments.ConfigVersion < v.config.Version {
			reply.Config = &v.config.Config
		}
	}
	return reply
}
