package relayer

import (
	"context"
	"time"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/internal/observer"
	"github.com/waxwingmount/waxwingmount/pkg/gossiper"
)

// failureTTL is how long a peer that a call has failed to is asked after the others.
const failureTTL = 3 * time.Second

// Fetch implements [observer.Source]. Once there is a state, it takes no longer than what
// StateMaxAge leaves for it, unless nothing has arrived until then and the store is being
// read. What arrives later is in the next result.
func (r *Relayer) Fetch(ctx context.Context, direct bool) (observer.Snapshot, error) {
	began := clocker.Now()
	own, from := sources(r.Members.Self(), r.Members.Live())
	r.mu.Lock()
	r.direct, r.storeAnswered = direct, false
	hasNews := r.hasNewsLocked()
	r.mu.Unlock()
	var heard *landing
	if hasNews {
		heard = r.readHeard.begin(ctx)
	}
	var err error
	switch {
	case direct || own == roleReader:
		err = r.fetchFromStore(ctx, from)
	case r.hasState():
		err = r.fetchFromSources(ctx, from)
	case !r.fetchFromPeers(ctx, from) && !r.isRecent():
		err = r.fetchFromStore(ctx, from)
	}
	if heard != nil {
		heard.await(ctx, hedgeDelay-clocker.Since(began))
	}
	if r.lacksEvacuations() {
		r.readConfig.begin(ctx).await(ctx, hedgeDelay)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.returned, r.returnedVersion, r.evacuationsReturned = r.state.listedAt, r.state.configVersion(), true
	return r.state.snapshot(), err
}

// fetchFromSources asks the peers, the next one when the one before is slow, and the store
// beside them as soon as the state is too old to wait for them. It returns when one of
// them has sent a recent state; after fetchTimeout also with less, and without anything if
// the store has not been asked.
func (r *Relayer) fetchFromSources(ctx context.Context, from []gossiper.Member) error {
	if r.age() <= r.softMaxAge() && r.hasMore() {
		return nil
	}
	wait, cancel := context.WithCancel(ctx)
	defer cancel()
	p := peerFetch{relayer: r, from: from, done: make(chan bool, 1)}
	go p.run(wait, ctx)
	s := storeFetch{relayer: r, done: make(chan error, 1)}
	storeDue := time.NewTimer(max(hedgeDelay, r.untilStoreAge()))
	defer storeDue.Stop()
	timeout := time.NewTimer(fetchTimeout)
	defer timeout.Stop()
	asked := false
	for running := 1; running > 0; {
		wantsStore := false
		select {
		case succeeded := <-p.done:
			if succeeded {
				return nil
			}
			running--
			wantsStore = r.untilStoreAge() <= 0
		case <-storeDue.C:
			wantsStore = true
		case err := <-s.done:
			if err == nil {
				r.mu.Lock()
				r.storeAnswered = true
				r.mu.Unlock()
				return nil
			}
			running--
		case <-timeout.C:
			if !asked || r.hasMore() {
				running = 0
			}
		case <-ctx.Done():
			return ctx.Err()
		}
		if wantsStore && !asked {
			asked = true
			running++
			go s.run(wait, ctx)
		}
	}
	if !asked {
		return nil
	}
	return r.storeTrouble()
}

// peerFetch fetches from peers in the background.
type peerFetch struct {
	relayer *Relayer
	from    []gossiper.Member
	done    chan bool
}

func (p *peerFetch) run(wait, ctx context.Context) { p.done <- p.relayer.askPeers(wait, ctx, p.from) }

// storeFetch reads the store in the background.
type storeFetch struct {
	relayer *Relayer
	done    chan error
}

func (s *storeFetch) run(wait, ctx context.Context) {
	// While the store rejects calls, each instance that is no reader would ask it with every
	// fetch.
	callers := 0
	if n := s.relayer.Members.Count(); n > maxDirectMembers {
		callers = n
	}
	list, config := s.relayer.readList.beginSpaced(ctx, callers), s.relayer.readConfig.beginSpaced(ctx, callers)
	s.done <- awaitBoth(wait, list, config, storeFirst)
}

// askPeers asks the members until wait ends and reports whether one sent a recent reply.
// Calls that are running then go on.
func (r *Relayer) askPeers(wait, ctx context.Context, from []gossiper.Member) bool {
	return hedge(wait, hedgeDelay, r.failedLast(from), func(_ context.Context, m gossiper.Member) bool {
		return r.fetchFromPeer(ctx, m)
	})
}

// fetchFromPeers asks the members and reports whether one sent a recent reply.
func (r *Relayer) fetchFromPeers(ctx context.Context, from []gossiper.Member) bool {
	delay := hedgeDelay
	if !r.hasState() {
		delay = firstHedgeDelay
	}
	return hedge(ctx, delay, r.failedLast(from), r.fetchFromPeer)
}

// failedLast returns the members in an order in which those that a call has failed to
// lately come last.
func (r *Relayer) failedLast(members []gossiper.Member) []gossiper.Member {
	now := clocker.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var sound, failed []gossiper.Member
	for _, m := range members {
		if at, found := r.failedAt[m.ID]; found && now.Sub(at) < failureTTL {
			failed = append(failed, m)
		} else {
			sound = append(sound, m)
		}
	}
	return append(sound, failed...)
}

// noteCall records whether a call to a peer failed.
func (r *Relayer) noteCall(peer string, err error) {
	now := clocker.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, at := range r.failedAt {
		if now.Sub(at) >= failureTTL {
			delete(r.failedAt, id)
		}
	}
	if err != nil {
		r.failedAt[peer] = now
	} else {
		delete(r.failedAt, peer)
	}
}

// hasMore reports whether something has arrived that is not in the last result of Fetch.
func (r *Relayer) hasMore() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.listedAt.After(r.returned) || r.state.configVersion() > r.returnedVersion || !r.evacuationsReturned
}

// lacksEvacuations reports whether the evacuations are older than the configuration: the
// sources are of an older build, which sends a configuration alone. The store then tells.
func (r *Relayer) lacksEvacuations() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.config != nil && !r.withoutEvacuations && r.state.configConfirmedAt.Sub(r.state.evacuations.ConfirmedAt()) > relayInterval
}

// hasNewsLocked reports whether a peer has told of a newer configuration. The caller holds
// r.mu.
func (r *Relayer) hasNewsLocked() bool { return r.heardVersion > r.state.configVersion() }

// fetchHeardVersion fetches a newer configuration than the known one from the peer that
// has told of it. It bounds the time in which a change is in force here even if the
// instance's sources lag behind; and a process that has just started has no other way to
// learn of it while the store shows an older copy.
func (r *Relayer) fetchHeardVersion(ctx context.Context) error {
	r.mu.Lock()
	address, news := r.heardFrom, r.hasNewsLocked()
	// Another peer tells the version again if this call fails.
	r.heardVersion = 0
	r.mu.Unlock()
	if !news {
		return nil
	}
	for _, m := range r.Members.Live() {
		if m.Peer == address {
			r.fetchFromPeer(ctx, m)
			break
		}
	}
	return nil
}

// readsSteadily reports whether this instance reads the store all the time, so that the
// store may hold its calls.
func (r *Relayer) readsSteadily() bool {
	if r.IsReader() {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.direct
}

// isBehind reports whether the state is older than sources should be, or more of it is
// under way. What the store itself has just told can't be newer, though it may not count as
// confirmed at the start of an era.
func (r *Relayer) isBehind() bool {
	r.mu.Lock()
	answered := r.storeAnswered
	r.mu.Unlock()
	return r.hasState() && (r.age() > r.softMaxAge() && !answered || r.readHeard.isRunning())
}

// isRecent reports whether the known state is recent enough to leave the store alone.
func (r *Relayer) isRecent() bool { return r.hasState() && r.age() <= r.hardMaxAge() }

// age returns the age of the older one of the list and the configuration.
func (r *Relayer) age() time.Duration {
	now := clocker.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(now.Sub(r.state.listedAt), now.Sub(r.state.configConfirmedAt))
}

// hardMaxAge returns the age from which a peer's reply is discarded.
func (r *Relayer) hardMaxAge() time.Duration {
	if r.Members.Count() > maxDirectMembers {
		return relayedMaxAge
	}
	return maxAge
}

// softMaxAge returns the age from which other sources are asked too.
func (r *Relayer) softMaxAge() time.Duration {
	hard := r.hardMaxAge()
	if r.MaxAge > 0 && r.MaxAge < hard {
		return r.MaxAge
	}
	return hard
}

// untilStoreAge returns the time until the state is so old that the store is read beside
// the peers: half an interval above the age of what is taken from them, so that the next
// result is in force in time. It is negative if the state is older.
func (r *Relayer) untilStoreAge() time.Duration {
	limit := r.hardMaxAge()
	if r.MaxAge > 0 {
		limit = min(limit, r.MaxAge+observer.PollInterval/2)
	}
	return limit - r.age()
}
