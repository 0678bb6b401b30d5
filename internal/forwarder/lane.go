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
type lane struct {
	name string
	// target is replaced, never changed, since tries read it without the lock.
	target atomic.Pointer[target]

	flights map[*flight]struct{}
	// progress is when the lane last sent anything, or got work after none.
	progress time.Time
	// shunned is until when no new request goes there.
	shunned time.Time
}

// target is what a lane leads to.
type target struct {
	members []provider.Instance
	slots   int
	// group is nil for a plain server.
	group *surveyor.Group
	// speed is how fast the group works.
	speed estimator.Group
	// quiet is how long all streams may pause together before the members
	// are checked; stalled is when they are moved whatever the check says.
	quiet   time.Duration
	stalled time.Duration
}

// at returns what the lane leads to now.
func (l *lane) at() *target { return l.target.Load() }

// head returns the instance that takes the lane's requests.
func (l *lane) head() provider.Instance { return l.at().members[0] }

// flight is one try under way.
type flight struct {
	lane   *lane
	cancel context.CancelCauseFunc
	// streaming says that events have come.
	streaming bool
	// prompt is how many tokens must be read first.
	prompt int
}

const (
	// minQuiet covers the reading of other requests' prompts and the links.
	minQuiet = 170 * time.Millisecond
	// plainQuiet is how long a plain server may take before it is checked.
	plainQuiet = 600 * time.Millisecond
	// firstQuiet is how long a head may take to a first event before it is
	// checked.
	firstQuiet = 350 * time.Millisecond
	// stallQuiets is how many times the quiet time means a stall.
	stallQuiets = 4
	// stallShun is how long a stalled lane gets no new requests: the rest of
	// the time after which the engine itself gives up.
	stallShun = 4 * time.Second
)

// laneFor returns the lane of that name, made anew if its head changed.
func (f *Forwarder) laneFor(name string, members []provider.Instance, group *surveyor.Group, e *mapper.Engine) *lane {
	l, found := f.lanes[name]
	if !found || l.head().Incarnation != members[0].Incarnation || l.head().Address != members[0].Address {
		l = &lane{name: name, flights: make(map[*flight]struct{})}
		f.lanes[name] = l
	}
	t := &target{members: members, group: group, slots: members[0].Slots, quiet: plainQuiet}
	if group != nil {
		model, _ := e.Model(group.Model)
		t.speed = estimator.Group{Engine: e, Pace: model.Pace, Spread: group.Spread()}
		t.quiet = max(minQuiet, t.speed.Pause())
	}
	t.stalled = stallQuiets * t.quiet
	l.target.Store(t)
	return l
}

// takeOff notes a try that begins.
func (f *Forwarder) takeOff(fl *flight) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(fl.lane.flights) == 0 {
		fl.lane.progress = clocker.Now()
	}
	fl.lane.flights[fl] = struct{}{}
}

// land notes the end of a try, and whether the lane failed it.
func (f *Forwarder) land(fl *flight, failed bool) {
	now := clocker.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(fl.lane.flights, fl)
	f.tracker.End(now, fl.lane.name, failed)
	select {
	case f.kicks <- struct{}{}:
	default:
	}
}

// progressed notes that a lane has sent something.
func (f *Forwarder) progressed(fl *flight) {
	now := clocker.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	fl.lane.progress = now
	fl.streaming = true
}

// shun keeps new requests off a lane for a while.
func (f *Forwarder) shun(l *lane, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l.shunned = clocker.Now().Add(d)
}

// sweep ends the tries on lanes with a lost member, checks the lanes that are
// silent, and ends the tries on those that are silent for too long.
func (f *Forwarder) sweep(ctx context.Context) {
	now := clocker.Now()
	var doubtful, stalled, busy []*lane
	many := f.Peers.Count() > informedPeers
	f.mu.Lock()
	for name, l := range f.lanes {
		if len(l.flights) == 0 {
			if now.After(l.shunned) && now.Sub(l.progress) > time.Minute {
				delete(f.lanes, name)
			}
			continue
		}
		busy = append(busy, l)
		silence := now.Sub(l.progress)
		quiet := l.at().quiet
		if !l.anyStreaming() && l.at().group != nil {
			quiet = max(quiet, firstQuiet)
		}
		if many && len(l.flights) == 1 {
			// One stream alone pauses longer than several together, and where
			// many instances watch, others see the head too.
			quiet += quiet / 2
		}
		if silence > quiet {
			doubtful = append(doubtful, l)
		}
		if l.at().group != nil && l.anyStreaming() && silence > l.at().stalled {
			stalled = append(stalled, l)
		}
	}
	f.mu.Unlock()
	for _, l := range doubtful {
		f.Observer.Suspect(ctx, l.at().members)
	}
	for _, l := range stalled {
		f.shun(l, stallShun)
		f.cancelAll(l, errStalled)
	}
	for _, l := range busy {
		if f.Observer.AnyLostOrRestarted(l.at().members) {
			f.cancelAll(l, errLost)
		}
	}
}

// work returns what this instance has under way at the lane.
func (l *lane) work() estimator.Work {
	w := estimator.Work{Running: len(l.flights)}
	for fl := range l.flights {
		if !fl.streaming {
			w.UnreadTokens += fl.prompt
		}
	}
	return w
}

func (l *lane) anyStreaming() bool {
	for fl := range l.flights {
		if fl.streaming {
			return true
		}
	}
	return false
}

func (f *Forwarder) cancelAll(l *lane, cause error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for fl := range l.flights {
		fl.cancel(cause)
	}
}
