package forwarder

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/pkg/estimator"
	"github.com/waxwingmount/waxwingmount/pkg/prefixer"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
	"github.com/waxwingmount/waxwingmount/pkg/quarantiner"
	"github.com/waxwingmount/waxwingmount/pkg/tracker"
	"github.com/waxwingmount/waxwingmount/pkg/warmer"
)

// upstream is a destination of requests: a replica group or a plain server.
type upstream struct {
	name string
	// current is replaced, never modified, because attempts read it without the
	// lock.
	current atomic.Pointer[upstreamState]

	active map[*activeAttempt]struct{}
	// lastProgress is when the upstream last sent anything, or received a
	// request while it had none.
	lastProgress time.Time
	// ejectedUntil is the time until which the upstream gets no new requests.
	ejectedUntil time.Time
}

// upstreamState is the current membership and timing of an upstream.
type upstreamState struct {
	members []provider.Instance
	slots   int
	// group is nil for a plain server.
	group *tracker.Group
	// estimate predicts the speed of the group.
	estimate estimator.Group
	// probeAfter is how long all streams may pause together before the members
	// are probed. stallAfter is how long they may pause before they are resumed
	// on other upstreams, whatever the probes find.
	probeAfter time.Duration
	stallAfter time.Duration
}

// state returns the current state of the upstream.
func (u *upstream) state() *upstreamState { return u.current.Load() }

// head returns the instance that receives the upstream's requests.
func (u *upstream) head() provider.Instance { return u.state().members[0] }

// loadKey returns the name under which the failures of the upstream are counted. A server
// that has restarted under its ID has another one.
func (u *upstream) loadKey() string { return u.name + "/" + u.head().Incarnation }

// isPeer reports whether the upstream stands for a peer.
func (u *upstream) isPeer() bool { return strings.HasPrefix(u.name, peerUpstreamPrefix) }

// activeAttempt is an attempt in progress.
type activeAttempt struct {
	upstream *upstream
	cancel   context.CancelCauseFunc
	// canRetry reports whether the request would get another attempt if this one
	// broke now. It is called with the forwarder's lock held.
	canRetry func(now time.Time) bool
	// replace starts another attempt beside this one because its server is suspected; nil
	// if that is not possible. It is called with the forwarder's lock held.
	replace func(now time.Time, cause error)
	// streaming says that events have been received.
	streaming bool
	// promptTokens is the length of the prompt, which the group prefills before
	// the first event.
	promptTokens int
	// parts are the parts of the prompt.
	parts []quarantiner.Part
	// prefix is the beginning of the prompt, of which the group need not read savedTokens
	// tokens, as predicted.
	prefix      []prefixer.Part
	savedTokens int
	// prefixGroup is the run of the group in which the attempt began, and held what the
	// attempt holds there.
	prefixGroup prefixer.Group
	held        prefixer.Run
	// allowance permits the attempt if its server is cold.
	allowance warmer.Allowance
}

const (
	// minProbeAfter covers the time in which a group prefills the prompts of
	// other requests, and the network latency.
	minProbeAfter = 170 * time.Millisecond
	// plainServerProbeAfter is how long a plain server may send nothing before
	// it is probed.
	plainServerProbeAfter = 600 * time.Millisecond
	// firstEventProbeAfter is how long a head may take to send a first event
	// before it is probed.
	firstEventProbeAfter = 350 * time.Millisecond
	// stallFactor is the ratio of stallAfter to probeAfter.
	stallFactor = 4
	// stallEjection is how long a stalled upstream gets no new requests: the
	// time that remains until the engine itself gives up.
	stallEjection = 4 * time.Second
	// confirmedLossAge is how long a loss must have lasted before it ends a request that
	// can't go on elsewhere. Live servers may be silent for a second.
	confirmedLossAge = 1500 * time.Millisecond
)

// upstreamFor returns the upstream of a destination. It creates a new one if
// there is none or its head has changed. The caller holds f.mu.
func (f *Forwarder) upstreamFor(now time.Time, d destination) *upstream {
	u, found := f.upstreams[d.name]
	if !found || u.head().Incarnation != d.members[0].Incarnation || u.head().Address != d.members[0].Address {
		u = &upstream{name: d.name, active: make(map[*activeAttempt]struct{}), lastProgress: now}
		f.upstreams[d.name] = u
	}
	state := &upstreamState{members: d.members, group: d.group, slots: min(d.members[0].Slots, provider.MaxSlots), probeAfter: plainServerProbeAfter}
	if d.group != nil {
		model, _ := d.engine.Model(d.group.Model)
		state.estimate = estimator.Group{Engine: d.engine, Pace: model.Pace, Spread: d.group.Spread()}
		state.probeAfter = max(minProbeAfter, state.estimate.MaxEventGap())
	}
	state.stallAfter = stallFactor * state.probeAfter
	u.current.Store(state)
	return u
}

// registerAttempt registers an attempt with its upstream. The caller holds f.mu.
func (f *Forwarder) registerAttempt(now time.Time, u *upstream, a *activeAttempt) {
	a.upstream = u
	if len(u.active) == 0 {
		u.lastProgress = now
	}
	u.active[a] = struct{}{}
	a.prefixGroup = u.prefixGroup()
	f.tracker.Begin(u.loadKey())
	f.permits.use(u.head())
	a.allowance = f.warmUps.warmer.Use(now, limitKey(u.head()))
}

// unregisterAttempt removes an attempt from its upstream, records whether it
// failed, and wakes the queues.
func (f *Forwarder) unregisterAttempt(a *activeAttempt, failed bool) {
	now := clocker.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(a.upstream.active, a)
	f.releasePrefix(a)
	f.tracker.End(now, a.upstream.loadKey(), failed)
	f.wakeQueues()
}

// retainLoads forgets the failures of upstreams that are gone. The caller holds f.mu.
func (f *Forwarder) retainLoads() {
	known := make(map[string]bool, len(f.upstreams))
	for _, u := range f.upstreams {
		known[u.loadKey()] = true
	}
	f.tracker.Retain(func(key string) bool { return known[key] })
}

// eject keeps new requests off an upstream for the duration d.
func (f *Forwarder) eject(u *upstream, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u.ejectedUntil = clocker.Now().Add(d)
}

// checkUpstreams cancels attempts on upstreams with a lost member, probes
// upstreams that are silent, and cancels the attempts on those that are silent
// for too long.
func (f *Forwarder) checkUpstreams(ctx context.Context) {
	now := clocker.Now()
	var silent, stalled, busy []*upstream
	forgotten := false
	manyPeers := f.Peers.Count() > maxInformedPeers
	pathDisturbed := f.Observer.PathDisturbed()
	f.mu.Lock()
	for name, u := range f.upstreams {
		if len(u.active) == 0 {
			if now.After(u.ejectedUntil) && now.Sub(u.lastProgress) > time.Minute {
				delete(f.upstreams, name)
				forgotten = true
			}
			continue
		}
		busy = append(busy, u)
		silence := now.Sub(u.lastProgress)
		probeAfter := u.state().probeAfter
		if !u.anyStreaming() && u.state().group != nil {
			probeAfter = max(probeAfter, firstEventProbeAfter)
		}
		if manyPeers && len(u.active) == 1 {
			// A single stream pauses longer than several together, and where
			// there are many entry instances, others observe the head too.
			probeAfter += probeAfter / 2
		}
		if silence > probeAfter {
			silent = append(silent, u)
		}
		if u.state().group != nil && u.anyStreaming() && silence > u.state().stallAfter && !pathDisturbed {
			stalled = append(stalled, u)
		}
	}
	if forgotten {
		f.retainLoads()
	}
	f.mu.Unlock()
	for _, u := range silent {
		f.Observer.Suspect(ctx, u.state().members)
	}
	for _, u := range stalled {
		f.eject(u, stallEjection)
		f.cancelStalled(u)
	}
	for _, u := range busy {
		members := u.state().members
		if !f.Observer.AnyLostOrRestarted(members) {
			continue
		}
		if f.Observer.FoundLostOrRestarted(members) {
			f.cancelLost(u)
		} else {
			// A peer that can't reach a server is no reason to end its requests here.
			f.Observer.Suspect(ctx, members)
		}
	}
}

// activeWork returns the work that this entry instance has in progress at the
// upstream.
func (u *upstream) activeWork() estimator.Work {
	w := estimator.Work{Running: len(u.active)}
	for a := range u.active {
		if !a.streaming {
			w.UnreadTokens += a.promptTokens - a.savedTokens
		}
	}
	return w
}

func (u *upstream) anyStreaming() bool {
	for a := range u.active {
		if a.streaming {
			return true
		}
	}
	return false
}

// cancelStalled replaces the attempts on a stalled upstream whose requests can go on
// elsewhere. All of them wait on, because the upstream may still go on with them.
func (f *Forwarder) cancelStalled(u *upstream) {
	now := clocker.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	for a := range u.active {
		if a.canRetry(now) {
			a.suspected(now, errStalled)
		}
	}
}

// cancelLost cancels the attempts on an upstream with a lost member, unless it makes
// progress all the same: then the report of the loss is wrong. Until the loss has lasted for
// confirmedLossAge the server may still respond, so the attempts wait, and those whose
// requests can go on elsewhere are replaced meanwhile.
func (f *Forwarder) cancelLost(u *upstream) {
	now := clocker.Now()
	confirmed := f.Observer.LostBefore(now.Add(-confirmedLossAge), u.state().members)
	restarted := f.Observer.LostBefore(time.Time{}, u.state().members)
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(u.lastProgress) < minProbeAfter {
		return
	}
	if now.Sub(u.lastProgress) < confirmedLossAge && !restarted {
		// It has gone on since the first evidence.
		confirmed = false
	}
	for a := range u.active {
		switch {
		case confirmed:
			a.cancel(errMemberLost)
		case a.canRetry(now):
			a.suspected(now, errMemberLost)
		}
	}
}
