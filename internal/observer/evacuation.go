package observer

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/internal/logger"
)

// updateEvacuations applies the evacuated data centres of a snapshot, if it has them. The
// caller holds o.mu.
func (o *Observer) updateEvacuations(s Snapshot) {
	if s.Evacuated == nil {
		return
	}
	o.evacuationsAt = s.EvacuationsAt
	before := o.evacuated
	o.evacuated = s.Evacuated
	inEffect := make(map[string]bool, len(s.Evacuated))
	for dataCentre := range s.Evacuated {
		inEffect[dataCentre] = true
	}
	// The state is in force before anybody reads of it in the log.
	o.tracker.SetEvacuated(inEffect)
	now := clocker.Now()
	for _, dataCentre := range slices.Sorted(maps.Keys(s.Evacuated)) {
		if _, known := before[dataCentre]; !known {
			o.logEvacuation(now, dataCentre, nil)
		}
	}
	for _, dataCentre := range slices.Sorted(maps.Keys(before)) {
		if since := before[dataCentre]; !inEffect[dataCentre] {
			o.logEvacuation(now, dataCentre, &since)
		}
	}
	o.Scope.Gauge("evacuated_data_centres").Update(float64(len(s.Evacuated)))
}

// OnReturn sets the function that is told of each data centre whose evacuation has ended,
// before its servers can be sent requests again. It must be called before Start.
func (o *Observer) OnReturn(handle func(dataCentre string)) { o.handleReturn = handle }

// announceReturns tells of the data centres that a snapshot no longer has as evacuated.
func (o *Observer) announceReturns(s Snapshot) {
	if s.Evacuated == nil || o.handleReturn == nil {
		return
	}
	o.mu.Lock()
	var returned []string
	for dataCentre := range o.evacuated {
		if _, evacuated := s.Evacuated[dataCentre]; !evacuated {
			returned = append(returned, dataCentre)
		}
	}
	o.mu.Unlock()
	for _, dataCentre := range returned {
		o.handleReturn(dataCentre)
	}
}

// logEvacuation logs that the evacuation of a data centre has come into force or, if since is
// set, has ended after it was learned of at that time. The caller holds o.mu.
func (o *Observer) logEvacuation(now time.Time, dataCentre string, since *time.Time) {
	entry := log.WithField(logger.FieldDataCentre, dataCentre)
	if !o.evacuationsAt.IsZero() {
		entry = entry.WithField("age", now.Sub(o.evacuationsAt).String())
	}
	if since == nil {
		entry.Warn(logger.LineEvacuated)
		return
	}
	entry.WithField("lasted", now.Sub(*since).String()).Info(logger.LineEvacuationEnded)
}

// AwaitEvacuations waits like AwaitConfig until what is known of the evacuations was current
// less than maxAge ago. It does not wait if nothing confirms them: peers of an older build
// don't tell.
func (o *Observer) AwaitEvacuations(ctx context.Context, maxAge, limit time.Duration) {
	o.await(ctx, limit, func() bool { return o.evacuationsAt.IsZero() || clocker.Since(o.evacuationsAt) < maxAge })
}

// EvacuationsAge returns the time since what is known of the evacuations was current. It is
// very large if nothing confirms them.
func (o *Observer) EvacuationsAge() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return clocker.Since(o.evacuationsAt)
}

// AllEvacuated reports whether all servers of a service are in evacuated data centres.
func (o *Observer) AllEvacuated(service string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.tracker.AllEvacuated(service)
}
