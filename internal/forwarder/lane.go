package forwarder

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/pkg/estimator"
	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
	"github.com/waxwingmount/waxwingmount/pkg/surveyor"
)

// lane is one place that requests are sent to: a replica group or a server.
type upstream struct {
	name string
	// target is replaced, never changed, since tries read it without the lock.
	current atomic.Pointer[upstreamState]

	active map[*activeAttempt]struct{}
	// progress is when the lane last sent anything, or got work after none.
	lastProgress time.Time
	// shunned is until when no new request goes there.
	ejectedUntil time.Time
}

// target is what a lane leads to.
type upstreamState struct {
	members []provider.Instance
	slots   int
	// group is nil for a plain server.
	group *surveyor.Group
	// speed is how fast the group works.
	estimate estimator.Group
	// quiet is how long all streams may pause together before the members
	// are checked; stalled is when they are moved whatever the check says.
	probeAfter time.Duration
	stallAfter time.Duration
}

// at returns what the lane leads to now.
func (u *upstream) state() *upstreamState { return u.current.Load() }

// head returns the instance that takes the lane's requests.
func (u *upstream) head() provider.Instance { return u.state().members[0] }

// flight is one try under way.
type activeAttempt struct {
	lane   *upstream
	cancel context.CancelCauseFunc
	// streaming says that events have come.
	streaming bool
	// prompt is how many tokens must be read first.
	promptTokens int
}

const (
	// minQuiet covers the reading of other requests' prompts and the links.
	minProbeAfter = 170 * time.Millisecond
	// plainQuiet is how long a plain server may take before it is checked.
	plainServerProbeAfter = 600 * time.Millisecond
	// firstQuiet is how long a head may take to a first event before it is
	// checked.
	firstEventProbeAfter = 350 * time.Millisecond
	// stallQuiets is how many times the quiet time means a stall.
	stallFactor = 4
	// stallShun is how long a stalled lane gets no new requests: the rest of
	// the time after which the engine itself gives up.
	stallEjection = 4 * time.Second
)

// laneFor returns the lane of that name, made anew if its head changed.
func (f *Forwarder) upstreamFor(name string, members []provider.Instance, group *surveyor.Group, e *mapper.Engine) *upstream {
	u, found := f.upstreams[name]
	if !found || u.head().Incarnation != members[0].Incarnation || u.head().Address != members[0].Address {
		u = &upstream{name: name, active: make(map[*activeAttempt]struct{})}
		f.upstreams[name] = u
	}
	t := &upstreamState{members: members, group: group, slots: members[0].Slots, probeAfter: plainServerProbeAfter}
	if group != nil {
		model, _ := e.Model(group.Model)
		t.estimate = estimator.Group{Engine: e, Pace: model.Pace, Spread: group.Spread()}
		t.probeAfter = max(minProbeAfter, t.estimate.Pause())
	}
	t.stallAfter = stallFactor * t.probeAfter
	u.current.Store(t)
	return u
}

// takeOff notes a try that begins.
func (f *Forwarder) registerAttempt(a *activeAttempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(a.lane.active) == 0 {
		a.lane.lastProgress = clocker.Now()
	}
	a.lane.active[a] = struct{}{}
}

// land notes the end of a try, and whether the lane failed it.
func (f *Forwarder) unregisterAttempt(a *activeAttempt, failed bool) {
	now := clocker.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(a.lane.active, a)
	f.tracker.End(now, a.lane.name, failed)
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// progressed notes that a lane has sent something.
func (f *Forwarder) recordProgress(a *activeAttempt) {
	now := clocker.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	a.lane.lastProgress = now
	a.streaming = true
}

// shun keeps new requests off a lane for a while.
func (f *Forwarder) eject(u *upstream, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u.ejectedUntil = clocker.Now().Add(d)
}

// sweep ends the tries on lanes with a lost member, checks the lanes that are
// silent, and ends the tries on those that are silent for too long.
func (f *Forwarder) checkUpstreams(ctx context.Context) {
	now := clocker.Now()
	var silent, stalled, busy []*upstream
	manyPeers := f.Peers.Count() > maxInformedPeers
	f.mu.Lock()
	for name, u := range f.upstreams {
		if len(u.active) == 0 {
			if now.After(u.ejectedUntil) && now.Sub(u.lastProgress) > time.Minute {
				delete(f.upstreams, name)
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
			// One stream alone pauses longer than several together, and where
			// many instances watch, others see the head too.
			probeAfter += probeAfter / 2
		}
		if silence > probeAfter {
			silent = append(silent, u)
		}
		if u.state().group != nil && u.anyStreaming() && silence > u.state().stallAfter {
			stalled = append(stalled, u)
		}
	}
	f.mu.Unlock()
	for _, u := range silent {
		f.Observer.Doubt(ctx, u.state().members)
	}
	for _, u := range stalled {
		f.eject(u, stallEjection)
		f.cancelAttempts(u, errStalled)
	}
	for _, u := range busy {
		if f.Observer.Gone(u.state().members) {
			f.cancelAttempts(u, errMemberLost)
		}
	}
}

// work returns what this instance has under way at the lane.
func (u *upstream) activeWork() estimator.Work {
	w := estimator.Work{Running: len(u.active)}
	for a := range u.active {
		if !a.streaming {
			w.UnreadTokens += a.promptTokens
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

func (f *Forwarder) cancelAttempts(u *upstream, cause error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for a := range u.active {
		a.cancel(cause)
	}
}
