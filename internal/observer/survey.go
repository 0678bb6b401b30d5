package observer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/internal/logger"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

const (
	// surveySize is the number of instances that one round of a survey probes while some
	// have not been probed or respond, and sampleSize that while none does. probesAtATime
	// of them are probed at a time.
	surveySize    = 64
	sampleSize    = 32
	probesAtATime = 16
	// surveyFollowUp is the time to the next round after one in which instances responded.
	surveyFollowUp = 150 * time.Millisecond
)

// ReachableByPeers reports whether a service and model have a group that could be sent
// requests if its head could be reached from here. An empty model stands for the servers of
// a plain service.
func (o *Observer) ReachableByPeers(service, model string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.tracker.ReachableByPeers(service, model)
}

// ReachedByPeer reports whether an instance can't be reached from here though a peer has
// reached it.
func (o *Observer) ReachedByPeer(in provider.Instance) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.tracker.ReachedByPeer(in.ID)
}

// PathCut reports whether the path from here to the backend servers is cut. What can be
// sent requests is then only what has responded since.
func (o *Observer) PathCut() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, cut := o.tracker.PathCut()
	return cut
}

// MostlyCut reports whether the path is cut to at least half of the instances that requests
// are sent to.
func (o *Observer) MostlyCut() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, cut := o.tracker.PathCut(); !cut {
		return false
	}
	all, reachable := o.destinations(), 0
	for _, in := range all {
		if o.tracker.Reachable(in.ID) {
			reachable++
		}
	}
	return 2*reachable <= len(all)
}

// surveyLoop probes the instances that could be sent requests while the path is cut.
func (o *Observer) surveyLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.pathCut:
		}
		for responded := 1; ; {
			began := clocker.Now()
			responded = o.survey(ctx, responded > 0)
			if o.restorePath() {
				break
			}
			pause := recheckInterval - clocker.Since(began)
			if responded > 0 {
				pause = surveyFollowUp
			}
			if !sleep(ctx, max(minPollPause, pause)) {
				return
			}
		}
	}
}

// survey probes some of the instances that can't be reached from here, those that have not
// been probed yet first, and returns how many responded.
func (o *Observer) survey(ctx context.Context, responding bool) int {
	o.mu.Lock()
	var unknown, failed []provider.Instance
	for _, in := range o.destinations() {
		switch {
		case o.tracker.Reachable(in.ID):
		case o.tracker.PathFailed(in.ID):
			failed = append(failed, in)
		default:
			unknown = append(unknown, in)
		}
	}
	o.mu.Unlock()
	for _, targets := range [][]provider.Instance{unknown, failed} {
		rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	}
	size := sampleSize
	if responding || len(unknown) > 0 {
		size = surveySize
	}
	targets := slices.Concat(unknown, failed)
	targets = targets[:min(len(targets), size)]
	o.Scope.Counter("survey_probes").Inc(int64(len(targets)))
	responded := o.probeAll(ctx, targets, func(in provider.Instance, began time.Time, err error) {
		if err == nil {
			o.handleResponse(in, began)
			return
		}
		o.mu.Lock()
		defer o.mu.Unlock()
		o.tracker.NoteFailure(clocker.Now(), in.ID)
		o.tracker.RenewLossHere(clocker.Now(), in.ID)
	})
	o.signal()
	return responded
}

// destinations returns the instances that requests are sent to: the heads of groups, and
// the servers of plain services. The caller holds o.mu.
func (o *Observer) destinations() []provider.Instance {
	found := o.tracker.Heads()
	if o.config == nil {
		return found
	}
	for _, s := range o.config.Services {
		if s.Engine == nil {
			found = append(found, o.tracker.Individuals(s.Name)...)
		}
	}
	return found
}

// probeAll probes instances, a bounded number at a time, and returns how many responded.
func (o *Observer) probeAll(ctx context.Context, targets []provider.Instance, handle func(provider.Instance, time.Time, error)) int {
	var mu sync.Mutex
	var probes sync.WaitGroup
	responded := 0
	slots := make(chan struct{}, probesAtATime)
	for _, in := range targets {
		slots <- struct{}{}
		probes.Go(func() {
			defer func() { <-slots }()
			began := clocker.Now()
			err := o.Prober.Probe(ctx, in, probeTimeout)
			if ctx.Err() != nil {
				return
			}
			handle(in, began, err)
			if err == nil {
				mu.Lock()
				responded++
				mu.Unlock()
			}
		})
	}
	probes.Wait()
	return responded
}

// logPathCut records that the path is found cut, and begins the survey.
func (o *Observer) logPathCut(in provider.Instance) {
	o.Scope.Counter("path_cuts").Inc(1)
	o.mu.Lock()
	total := len(o.destinations())
	o.mu.Unlock()
	log.WithFields(log.Fields{logger.FieldInstance: in.ID, logger.FieldServers: total}).Warn(logger.LinePathCut)
	select {
	case o.pathCut <- struct{}{}:
	default:
	}
}

// restorePath ends the cut of the path if its end is due, and reports whether it is over.
func (o *Observer) restorePath() bool {
	o.mu.Lock()
	since, cut := o.tracker.PathCut()
	targets := o.destinations()
	restored := o.tracker.RestorePath(clocker.Now(), targets)
	o.mu.Unlock()
	if restored {
		log.WithFields(log.Fields{logger.FieldServers: len(targets), "lasted_ms": clocker.Since(since).Milliseconds()}).Info(logger.LinePathRestored)
		o.signal()
	}
	return restored || !cut
}
