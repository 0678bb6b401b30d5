package observer

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/internal/logger"
	"github.com/waxwingmount/waxwingmount/pkg/mapper"
)

// Refresh makes the next read of the platform's state follow at once. It does not wait
// for it.
func (o *Observer) Refresh() {
	select {
	case o.refresh <- struct{}{}:
	default:
	}
}

// AwaitConfig waits, for up to a time, until the configuration has been confirmed less
// than maxAge ago. A process that has been starved or paused begins with a view of the
// past. It does not wait while the store is known not to respond, and after one wait in
// vain not before the next read has ended, since nothing newer is to be had then.
func (o *Observer) AwaitConfig(ctx context.Context, maxAge, limit time.Duration) {
	o.await(ctx, limit, func() bool { return clocker.Since(o.configConfirmedAt) < maxAge })
}

// AwaitList waits like AwaitConfig until the list of backend servers was current less than
// maxAge ago.
func (o *Observer) AwaitList(ctx context.Context, maxAge, limit time.Duration) {
	o.await(ctx, limit, func() bool { return clocker.Since(o.tracker.UpdatedAt()) < maxAge })
}

// await waits until the view is fresh. isFresh is called under the observer's lock.
func (o *Observer) await(ctx context.Context, limit time.Duration, isFresh func() bool) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		o.mu.Lock()
		known := o.config != nil && o.storeReachable && !o.awaitedInVain
		fresh := isFresh()
		applied := o.applied
		o.mu.Unlock()
		if fresh || !known {
			return
		}
		o.Refresh()
		select {
		case <-applied:
		case <-ctx.Done():
			return
		case <-timer.C:
			o.mu.Lock()
			o.awaitedInVain = o.applied == applied
			o.mu.Unlock()
			return
		}
	}
}

func (o *Observer) pollLoop(ctx context.Context) {
	for {
		began := clocker.Now()
		interval := o.poll(ctx)
		timer := time.NewTimer(max(minPollPause, interval-clocker.Since(began)))
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-o.refresh:
		}
		timer.Stop()
		if ctx.Err() != nil {
			return
		}
	}
}

// poll reads the state of the platform, updates the view and returns the interval
// until the next read.
func (o *Observer) poll(ctx context.Context) time.Duration {
	o.mu.Lock()
	direct := o.readStore
	o.mu.Unlock()
	began := clocker.Now()
	snapshot, err := o.Source.Fetch(ctx, direct)
	o.setStoreReachable(err == nil, err)
	o.apply(snapshot)
	o.mu.Lock()
	defer o.mu.Unlock()
	if err == nil {
		o.readBeganAt = began
	}
	close(o.applied)
	o.applied, o.awaitedInVain = make(chan struct{}), false
	if err != nil || o.config == nil {
		return retryInterval
	}
	if wanted := o.Source.Interval(); wanted > 0 {
		return min(wanted, o.interval)
	}
	return o.interval
}

// apply updates the view by a snapshot. What is older than the view is ignored.
func (o *Observer) apply(snapshot Snapshot) {
	o.announceReturns(snapshot)
	o.mu.Lock()
	defer o.mu.Unlock()
	if snapshot.ListedAt.After(o.tracker.UpdatedAt()) {
		o.recordEra(snapshot)
		same := snapshot.Content != 0 && snapshot.Content == o.content
		if !same || !o.tracker.Confirm(snapshot.ListedAt, snapshot.Era) {
			o.tracker.Update(snapshot.ListedAt, snapshot.Era, snapshot.Instances)
		}
		o.content = snapshot.Content
	}
	o.updateEvacuations(snapshot)
	o.updateConfig(snapshot)
	o.logGaps()
	for id := range o.ownLosses {
		if !o.tracker.IsLost(id) {
			delete(o.ownLosses, id)
		}
	}
	now := clocker.Now()
	o.suspicions.Prune(now)
	for id, at := range o.checkedAt {
		if now.Sub(at) > time.Minute {
			delete(o.checkedAt, id)
		}
	}
	o.signal()
}

// logGaps logs which groups can't take requests though their heads serve, and why, when that
// changes. The caller holds o.mu.
func (o *Observer) logGaps() {
	gaps := o.tracker.Gaps()
	for key, gap := range gaps {
		if o.gaps[key] != gap {
			log.WithFields(log.Fields{logger.FieldService: key.Service, logger.FieldGroup: key.Name, logger.FieldGap: gap.String()}).Info(logger.LineGroupUnavailable)
		}
	}
	o.gaps = gaps
	o.Scope.Gauge("groups_unavailable").Update(float64(len(gaps)))
}

// recordEra records and logs a new era of the platform's table: the table has come
// back from an older copy. The caller holds o.mu.
func (o *Observer) recordEra(s Snapshot) {
	previous := o.tracker.Era()
	if o.tracker.UpdatedAt().IsZero() || s.Era <= previous {
		return
	}
	var version uint64
	if o.config != nil {
		version = o.config.Version
	}
	o.eraChanged = true
	o.Scope.Counter("store_eras").Inc(1)
	log.WithFields(log.Fields{
		"era": s.Era, "previous_era": previous, "instances_known": len(o.tracker.Instances()), "instances_listed": len(s.Instances),
		"config_version": version, "action": "older entries and configurations are ignored, no orders until instances have reported again",
	}).Warn(logger.LineStoreEra)
}

// updateConfig applies a configuration. An older version than the one in force
// is ignored.
func (o *Observer) updateConfig(s Snapshot) {
	switch {
	case s.Config == nil:
		return
	case o.config != nil && s.Config.Version < o.config.Version:
		log.WithFields(log.Fields{"version": s.Config.Version, "in_force": o.config.Version}).Warn("older configuration ignored")
		return
	}
	if s.ConfirmedAt.After(o.configConfirmedAt) {
		o.configConfirmedAt = s.ConfirmedAt
	}
	if o.config != nil && o.config.Version == s.Config.Version {
		return
	}
	previous := o.config
	o.config = s.Config
	o.tracker.SetServices(groupSizes(s.Config))
	fields := log.Fields{logger.FieldVersion: s.Config.Version, "age": clocker.Since(s.ConfirmedAt).String(), "source": s.ConfigSource}
	if previous != nil {
		fields["previous_version"], fields["since_previous"] = previous.Version, clocker.Since(o.configChangedAt).String()
	}
	o.configChangedAt = clocker.Now()
	log.WithFields(fields).Info(logger.LineConfigInForce)
}

// setStoreReachable records whether the store answers and logs each change.
func (o *Observer) setStoreReachable(reachable bool, err error) {
	o.mu.Lock()
	changed := o.storeReachable != reachable
	o.storeReachable = reachable
	o.mu.Unlock()
	switch {
	case !changed:
	case reachable:
		log.Info(logger.LineStoreRegained)
	default:
		log.WithError(err).Warn(logger.LineStoreLost)
	}
}

// groupSizes returns the number of members of a group, by service and model.
func groupSizes(config *mapper.RouteTable) map[string]map[string]int {
	services := make(map[string]map[string]int)
	for _, s := range config.Services {
		sizes := make(map[string]int)
		if s.Engine != nil {
			for _, m := range s.Engine.Models {
				sizes[m.Name] = m.Size
			}
		}
		services[s.Name] = sizes
	}
	return services
}

// sleep waits for d. It reports false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
