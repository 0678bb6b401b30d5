package relayer

import (
	"math"
	"reflect"
	"time"

	"github.com/apex/log"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/internal/messenger"
	"github.com/waxwingmount/waxwingmount/internal/observer"
	"github.com/waxwingmount/waxwingmount/pkg/evacuator"
	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

// versionedState is one entry instance's copy of the platform's state, with a
// revision for each instance so that a peer can be sent only what has changed. Where
// the store numbers its versions, they are the revisions, so that an instance can take
// the changes since its own state from any peer. It is not safe for concurrent use.
type versionedState struct {
	// localEpoch is the epoch of revisions that are counted here because the store does
	// not number its versions.
	localEpoch uint64
	// epoch names the numbering of the revisions: the era of the store, or one process.
	epoch     uint64
	revision  uint64
	instances map[string]versionedInstance
	// removed holds the revision at which each removed instance was removed, since the
	// revision historySince.
	removed      map[string]uint64
	historySince uint64
	listedAt     time.Time
	// list holds the instances, or nil after a change; content counts the changes.
	list    []provider.Instance
	content uint64
	// packed is the packed list with the content packedContent.
	packed        []byte
	packedContent uint64
	// packedConfig is the packed configuration of the version packedConfigVersion.
	packedConfig        []byte
	packedConfigVersion uint64
	// era is the highest era of the platform's table in which a list was read.
	era uint64
	// eraSince is when the era began, as far as it is known here, or zero if it is
	// known to be old.
	eraSince time.Time
	// firstStart is true when the whole system starts for the first time.
	firstStart bool

	config            *mapper.RouteTable
	configConfirmedAt time.Time
	// configSource is the peer that sent the configuration, or empty if it was read from
	// the store.
	configSource string
	// configRewritten reports whether the configuration is known to have been
	// written in the era.
	configRewritten bool

	evacuations *evacuator.Evacuator
}

// rewriteTimeout is how long the operator may take to write a configuration again
// that an older copy of the table has lost.
const rewriteTimeout = evacuator.RewriteTimeout

// unconfirmed is the age of a configuration that was not confirmed: what
// [time.Time.Sub] returns for the zero time.
const unconfirmed time.Duration = math.MaxInt64

type versionedInstance struct {
	instance provider.Instance
	revision uint64
	// listedAt is when the list with this report was current.
	listedAt time.Time
}

// maxRemoved bounds the number of removed instances that are remembered. Beyond
// it the history begins anew, and peers are sent the whole list.
const maxRemoved = 4096

func newVersionedState(epoch uint64) *versionedState {
	return &versionedState{
		localEpoch: epoch, epoch: epoch, instances: make(map[string]versionedInstance), removed: make(map[string]uint64),
		evacuations: evacuator.New(),
	}
}

// storeEpoch names the numbering of an era's versions. It is far below the epochs of
// processes.
func storeEpoch(era uint64) uint64 { return era + 1 }

// updateList replaces the list of instances by one that was read. An older list than the
// known one, or one of an earlier era, is ignored. It reports whether the list was
// replaced.
func (v *versionedState) updateList(r InstancesReading) bool {
	if r.At.Before(v.listedAt) || r.Era < v.era {
		return false
	}
	epoch, next := storeEpoch(r.Era), r.Version
	if r.Version == 0 {
		epoch, next = v.localEpoch, v.revision+1
	}
	if epoch == v.epoch && next < v.revision {
		return false
	}
	v.observeEra(r.At, r.Era)
	v.listedAt = r.At
	v.renumber(epoch, next)
	if r.Version > 0 && !r.Followed {
		// What was removed since the reading before is not known.
		v.forgetRemoved(next)
	}
	changed := v.replace(next, r.Instances)
	for _, id := range r.Removed {
		if _, listed := v.instances[id]; !listed {
			v.noteRemoved(next, id)
		}
	}
	if changed || r.Version > 0 {
		v.revision = next
	}
	return true
}

// confirmList records that the known list is current at a time, up to a version.
func (v *versionedState) confirmList(at time.Time, version uint64) {
	if at.After(v.listedAt) {
		v.listedAt = at
	}
	v.revision = max(v.revision, version)
}

// renumber begins a new numbering of the revisions if the epoch differs.
func (v *versionedState) renumber(epoch, next uint64) {
	if epoch == v.epoch && v.revision > 0 {
		return
	}
	v.epoch, v.revision, v.historySince = epoch, next, next
	clear(v.removed)
	for id, e := range v.instances {
		e.revision = next
		v.instances[id] = e
	}
}

// replace replaces the instances and reports whether any report has changed.
func (v *versionedState) replace(next uint64, instances []provider.Instance) bool {
	changed := false
	seen := make(map[string]bool, len(instances))
	for _, in := range instances {
		seen[in.ID] = true
		changed = v.put(next, in) || changed
	}
	for id := range v.instances {
		if !seen[id] {
			v.remove(next, id)
			changed = true
		}
	}
	return changed
}

// put stores an instance and reports whether its report has changed.
func (v *versionedState) put(next uint64, in provider.Instance) bool {
	old, known := v.instances[in.ID]
	same := known && sameReport(old.instance, in, v.listedAt.Sub(old.listedAt))
	if same && old.instance.Sequence == in.Sequence && old.instance.WarmupLeft == in.WarmupLeft {
		return false
	}
	v.list = nil
	v.content++
	if same {
		// Peers are not sent a report that only repeats the last one.
		v.instances[in.ID] = versionedInstance{instance: in, revision: old.revision, listedAt: v.listedAt}
		return false
	}
	v.instances[in.ID] = versionedInstance{instance: in, revision: next, listedAt: v.listedAt}
	delete(v.removed, in.ID)
	return true
}

// remove deletes an instance.
func (v *versionedState) remove(next uint64, id string) {
	delete(v.instances, id)
	v.list = nil
	v.content++
	v.noteRemoved(next, id)
}

// noteRemoved remembers that an instance has been removed.
func (v *versionedState) noteRemoved(next uint64, id string) {
	v.removed[id] = next
	if len(v.removed) > maxRemoved {
		v.forgetRemoved(next)
	}
}

// forgetRemoved begins the history of removed instances anew.
func (v *versionedState) forgetRemoved(next uint64) {
	clear(v.removed)
	v.historySince = next
}

// applyReply applies the list in a peer's reply, which was current at that time, unless the
// known list is newer.
func (v *versionedState) applyReply(at time.Time, reply messenger.ChangesReply) {
	switch {
	case reply.Era < v.era, reply.Whole && at.Before(v.listedAt), !reply.Whole && reply.Epoch != v.epoch:
		return
	case reply.Epoch == v.epoch && reply.Revision < v.revision:
		// The peer has not seen the newest changes.
		return
	}
	v.observeEra(at, reply.Era)
	if at.After(v.listedAt) {
		v.listedAt = at
	}
	v.renumber(reply.Epoch, reply.Revision)
	if reply.Whole {
		v.forgetRemoved(reply.Revision)
		v.replace(reply.Revision, reply.Changed)
	} else {
		for _, in := range reply.Changed {
			v.put(reply.Revision, in)
		}
		for _, id := range reply.Removed {
			if _, known := v.instances[id]; known {
				v.remove(reply.Revision, id)
			} else {
				v.noteRemoved(reply.Revision, id)
			}
		}
	}
	v.revision = reply.Revision
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
	v.evacuations.Settle(era)
}

// eraIsNew reports whether the operator may still have to write a configuration
// again that was lost at the beginning of the era.
func (v *versionedState) eraIsNew(at time.Time) bool {
	return !v.eraSince.IsZero() && at.Before(v.eraSince.Add(rewriteTimeout))
}

// warmupTolerance is by how much the remaining time of a warm-up must exceed what was left of
// the one before to mean that the instance has become cold anew. A smaller difference is due
// to the time that readings take.
const warmupTolerance = 500 * time.Millisecond

// sameReport reports whether a report of an instance differs from the one that was listed
// elapsed before in its count and in the remaining time of one warm-up at most. That time
// differs in every report of a cold instance; sending it each time would make every
// heartbeat a change.
func sameReport(previous, next provider.Instance, elapsed time.Duration) bool {
	if (previous.WarmupLeft > 0) == (next.WarmupLeft > 0) && next.WarmupLeft <= max(0, previous.WarmupLeft-elapsed)+warmupTolerance {
		previous.WarmupLeft = next.WarmupLeft
	}
	previous.Sequence = next.Sequence
	return reflect.DeepEqual(previous, next)
}

// updateConfig applies a configuration that was the newest at that time, or at no known
// time if it is zero. An older version than the known one is ignored. In a new era of the
// platform's table a configuration that may come from an older copy is no proof that there
// is no newer one; it does not count as confirmed until the operator has had the time to
// write the newest one again.
func (v *versionedState) updateConfig(at time.Time, source string, config *mapper.RouteTable, rewritten bool) {
	if config == nil || v.config != nil && config.Version < v.config.Version {
		return
	}
	if v.config == nil || config.Version > v.config.Version {
		v.config, v.configSource = config, source
		if !at.IsZero() && at.Before(v.configConfirmedAt) {
			// What was read since then lacked this version: an older copy.
			v.configConfirmedAt = at
		}
	}
	v.configRewritten = v.configRewritten || rewritten
	if !rewritten && v.eraIsNew(at) {
		return
	}
	if at.After(v.configConfirmedAt) {
		v.configConfirmedAt = at
	}
}

// arguments returns what a peer is asked for: the changes since this state.
func (v *versionedState) arguments() messenger.ChangesArguments {
	return messenger.ChangesArguments{Epoch: v.epoch, Revision: v.revision, ConfigVersion: v.configVersion(), AcceptsPacked: true, AcceptsPackedConfig: true}
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
	return observer.Snapshot{
		Instances: v.all(), Content: v.content, ListedAt: v.listedAt, Era: v.era, Config: v.config, ConfigSource: v.configSource,
		ConfirmedAt: v.configConfirmedAt,
		Evacuated:   v.evacuations.InEffect(clocker.Now()), EvacuationsAt: v.evacuations.ConfirmedAt(),
	}
}

// all returns all instances. The caller must not change them.
func (v *versionedState) all() []provider.Instance {
	if v.list == nil {
		v.list = make([]provider.Instance, 0, len(v.instances))
		for _, e := range v.instances {
			v.list = append(v.list, e.instance)
		}
	}
	return v.list
}

// packedList returns the packed list of all instances, or nil if it can't be packed.
func (v *versionedState) packedList() []byte {
	if v.packed == nil || v.packedContent != v.content {
		packed, err := messenger.Pack(v.all())
		if err != nil {
			log.WithError(err).Error("list of instances not packed; it is sent as it is")
			return nil
		}
		v.packed, v.packedContent = packed, v.content
	}
	return v.packed
}

// packedConfiguration returns the packed configuration, or nil if it can't be packed.
func (v *versionedState) packedConfiguration() []byte {
	if v.packedConfig == nil || v.packedConfigVersion != v.config.Version {
		packed, err := messenger.Pack(v.config.Config)
		if err != nil {
			log.WithError(err).Error("configuration not packed; it is sent as it is")
			return nil
		}
		v.packedConfig, v.packedConfigVersion = packed, v.config.Version
	}
	return v.packedConfig
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
		// Always whole, since it is small: a peer that has nothing else to learn sees each
		// change, too.
		Evacuations: v.evacuations.Report(now),

		Whole: arguments.Epoch != v.epoch || arguments.Revision < v.historySince,
	}
	since := arguments.Revision
	if reply.Whole {
		since = 0
		if arguments.AcceptsPacked {
			reply.Packed = v.packedList()
		}
	}
	for _, e := range v.instances {
		if reply.Packed == nil && (reply.Whole || e.revision > since) {
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
			if arguments.AcceptsPackedConfig {
				reply.PackedConfig = v.packedConfiguration()
			}
			if reply.PackedConfig == nil {
				reply.Config = &v.config.Config
			}
		}
	}
	return reply
}
