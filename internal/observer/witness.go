package observer

import (
	"context"
	"time"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/internal/messenger"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
	"github.com/waxwingmount/waxwingmount/pkg/tracker"
)

const (
	// witnessTimeout bounds the time in which peers say whether they reach an instance:
	// their probe, and the messages.
	witnessTimeout = probeTimeout + promptResponse
	// maxInquiries is the number of instances of which peers are asked at a time. If the
	// own path is cut, the first answers show it, and the others need not be asked for.
	maxInquiries = 12
	// maxTestimonies is the number of instances that are probed for peers at a time.
	maxTestimonies = 64
	// silenceSharing is how long after its beginning a probe without a response answers
	// other peers too, and responseSharing that of one with a response: so short that it
	// can't have begun before the peer's own probe failed.
	silenceSharing  = checkInterval / 2
	responseSharing = probeTimeout / 2
)

// inquiry asks peers whether they reach an instance. It occupies one of maxInquiries until
// it is closed.
type inquiry struct {
	done     chan struct{}
	cancel   context.CancelFunc
	occupied bool
	peers    tracker.Testimonies
}

// inquire begins to ask peers for an instance that does not respond here, others in each
// round. No peer is asked for one that a peer has reported lost: its report agrees with the
// probe.
func (o *Observer) inquire(ctx context.Context, in provider.Instance, round int) *inquiry {
	ctx, cancel := context.WithCancel(ctx)
	q := &inquiry{done: make(chan struct{}), cancel: cancel}
	go o.runInquiry(ctx, q, in, round)
	return q
}

func (o *Observer) runInquiry(ctx context.Context, q *inquiry, in provider.Instance, round int) {
	defer close(q.done)
	select {
	case o.inquiries <- struct{}{}:
		q.occupied = true
	case <-ctx.Done():
		return
	}
	o.mu.Lock()
	_, cut := o.tracker.PathCut()
	known := o.tracker.LostForAll(in.ID) || cut && !o.tracker.Reachable(in.ID)
	o.mu.Unlock()
	if known {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	testimonies := o.Announcer.AskWitnesses(ctx, in, round)
	q.peers = tracker.CountTestimonies(testimonies)
	for _, testimony := range testimonies {
		o.Scope.Tagged(map[string]string{"answer": testimony.String()}).Counter("testimonies_received").Inc(1)
	}
}

// result waits for the peers' answers.
func (q *inquiry) result() tracker.Testimonies {
	<-q.done
	return q.peers
}

// closeInquiry ends an inquiry and lets the next one begin.
func (o *Observer) closeInquiry(q *inquiry) {
	q.cancel()
	<-q.done
	if q.occupied {
		<-o.inquiries
	}
}

// testimony is what this entry instance finds of an instance for its peers.
type testimony struct {
	done   chan struct{}
	began  time.Time
	answer tracker.Testimony
}

// current reports whether the testimony answers a peer that asks now.
func (y *testimony) current(now time.Time) bool {
	select {
	case <-y.done:
	default:
		return true
	}
	if y.answer == tracker.Reached {
		return now.Sub(y.began) < responseSharing
	}
	return now.Sub(y.began) < silenceSharing
}

// Testify returns whether an instance that does not respond to a peer responds here. It is
// unknown if the instance is, or if the own path may be the cause.
func (o *Observer) Testify(ctx context.Context, l messenger.Loss) tracker.Testimony {
	answer := o.testify(ctx, l)
	o.Scope.Tagged(map[string]string{"answer": answer.String()}).Counter("testimonies_given").Inc(1)
	return answer
}

func (o *Observer) testify(ctx context.Context, l messenger.Loss) tracker.Testimony {
	now := clocker.Now()
	o.mu.Lock()
	in, known := o.tracker.Instance(l.Instance)
	if !known || in.Incarnation != l.Incarnation || o.tracker.PathFailed(l.Instance) {
		o.mu.Unlock()
		return tracker.Unknown
	}
	for incarnation, y := range o.testimonies {
		if !y.current(now) {
			delete(o.testimonies, incarnation)
		}
	}
	y, found := o.testimonies[l]
	if !found && len(o.testimonies) < maxTestimonies {
		y, found = &testimony{done: make(chan struct{}), began: now}, true
		o.testimonies[l] = y
		go o.runTestimony(context.WithoutCancel(ctx), y, in)
	}
	o.mu.Unlock()
	if !found {
		return tracker.Unknown
	}
	select {
	case <-y.done:
		return y.answer
	case <-ctx.Done():
		return tracker.Unknown
	}
}

// runTestimony probes an instance, and references beside it if it does not respond promptly.
func (o *Observer) runTestimony(ctx context.Context, y *testimony, in provider.Instance) {
	defer close(y.done)
	failed := make(chan error, 1)
	go func() { failed <- o.Prober.Probe(ctx, in, probeTimeout) }()
	patience := time.NewTimer(promptResponse)
	defer patience.Stop()
	var err error
	var path *pathCheck
	select {
	case err = <-failed:
		if err != nil {
			path = o.checkPath(ctx, in)
		}
	case <-patience.C:
		path = o.checkPath(ctx, in)
		err = <-failed
	}
	if err == nil {
		y.answer = tracker.Reached
		o.handleResponse(in, y.began)
		return
	}
	sound := path.result().Sound()
	o.mu.Lock()
	defer o.mu.Unlock()
	_, cut := o.tracker.PathCut()
	if sound && !cut && !o.tracker.PathContradicted(clocker.Now(), in.ID) {
		y.answer = tracker.Silent
	}
}
