package relayer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/pkg/gossiper"
)

var errLeftToPeers = errors.New("the store is left to peers for a short time after the start")

// fetchFromStore updates the state from the store, and from peers if the store is slow
// or fails: a reader that the store does not refuse may have newer state.
func (r *Relayer) fetchFromStore(ctx context.Context, from []gossiper.Member) error {
	if own, _ := sources(r.Members.Self(), r.Members.Live()); r.leavesStoreToPeers(own) {
		return errLeftToPeers
	}
	list, config := r.readList.begin(ctx), r.readConfig.begin(ctx)
	if !r.hasState() {
		err := awaitBoth(ctx, list, config, storeFirst)
		if err == nil || r.fetchFromPeers(ctx, from) {
			return nil
		}
		return awaitBoth(ctx, list, config, maxAge)
	}
	if len(from) == 0 {
		if err := awaitFirst(ctx, list, config, storeFirst); err == nil {
			return nil
		}
		return awaitBoth(ctx, list, config, maxAge)
	}
	err := awaitFirst(ctx, list, config, min(storeFirst, max(hedgeDelay, r.untilStoreAge())))
	if err == nil {
		return nil
	}
	wait, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	if r.askPeers(wait, ctx, from) {
		return nil
	}
	// The readings that are still running are in the state at the next call.
	return r.storeTrouble()
}

// storeTrouble returns why the store is taken for unavailable, or nil if it is not.
func (r *Relayer) storeTrouble() error {
	if err := r.readList.trouble(storeFirst); err != nil {
		return err
	}
	return r.readConfig.trouble(storeFirst)
}

// leavesStoreToPeers reports whether the instance waits for a peer that reads the store.
func (r *Relayer) leavesStoreToPeers(own role) bool {
	delay := r.StoreDelay
	if own == roleReader {
		delay = min(delay, readerDelay)
	}
	return clocker.Since(r.started) < delay && !r.hasState()
}

func (r *Relayer) hasState() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.config != nil && !r.state.listedAt.IsZero()
}

var errSlowStore = errors.New("the store did not respond in time")

// awaitFirst waits until one of two readings has ended, and for settleTime for the other
// one, which the store may hold while nothing changes. It returns an error if a reading
// failed, or has been running for longer than the limit.
func awaitFirst(ctx context.Context, a, b *landing, limit time.Duration) error {
	oldest := a.began
	if b.began.Before(oldest) {
		oldest = b.began
	}
	timer := time.NewTimer(max(0, limit-clocker.Since(oldest)))
	defer timer.Stop()
	select {
	case <-a.done:
	case <-b.done:
	case <-timer.C:
		return errSlowStore
	case <-ctx.Done():
		return ctx.Err()
	}
	settled := time.NewTimer(settleTime)
	defer settled.Stop()
	for _, l := range []*landing{a, b} {
		select {
		case <-l.done:
		case <-settled.C:
		}
		if l.hasLanded() && l.err != nil {
			return l.err
		}
	}
	return nil
}

// awaitBoth waits until both readings have ended, for up to a limit, and returns the first
// error.
func awaitBoth(ctx context.Context, a, b *landing, limit time.Duration) error {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for _, l := range []*landing{a, b} {
		select {
		case <-l.done:
		case <-timer.C:
			return errSlowStore
		case <-ctx.Done():
			return ctx.Err()
		}
		if l.err != nil {
			return l.err
		}
	}
	return nil
}

// updateListFromStore updates the list of backend servers.
func (r *Relayer) updateListFromStore(ctx context.Context) error {
	reading, err := r.Platform.ReadInstances(ctx, r.readsSteadily())
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if reading.Unchanged && r.listFromStore && reading.Era == r.state.era {
		r.state.confirmList(reading.At, reading.Version)
		return nil
	}
	r.listFromStore = r.state.updateList(reading)
	return nil
}

// updateConfigFromStore updates the configuration and the evacuations.
func (r *Relayer) updateConfigFromStore(ctx context.Context) error {
	reading, err := r.Platform.ReadConfig(ctx, r.readsSteadily())
	if reading.Evacuations != nil {
		// They do not wait for the call that may follow, and count without a configuration.
		r.mu.Lock()
		if r.state.evacuations.Observe(reading.At, *reading.Evacuations) {
			r.evacuationsReturned = false
		}
		r.mu.Unlock()
	}
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.withoutEvacuations = reading.Evacuations == nil
	r.state.observeEra(reading.At, reading.Era)
	undecided := r.state.eraIsNew(reading.At) && !reading.Rewritten
	r.mu.Unlock()
	settled := undecided && r.EraSettled(ctx, reading.Era)
	r.mu.Lock()
	defer r.mu.Unlock()
	if settled {
		r.state.settleEra(reading.Era)
	}
	r.state.updateConfig(reading.At, "", reading.Table, reading.Rewritten)
	return nil
}
