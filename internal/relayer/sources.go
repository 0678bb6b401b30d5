package relayer

import (
	"context"
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/gossiper"
)

const (
	// readerCount is the number of entry instances that read the store. Two of
	// them may fail, or be refused by the store, at once.
	readerCount = 3
	// relaysPerDataCentre is the number of entry instances in each data centre that
	// fetch from the readers on behalf of the others there.
	relaysPerDataCentre = 3
	// maxDirectMembers is the largest number of entry instances that all fetch from
	// the readers.
	maxDirectMembers = 12
	// hedgeDelay is how long a source may take before the next one is asked too. A
	// call takes a few milliseconds if nothing is wrong.
	hedgeDelay = 80 * time.Millisecond
	// firstHedgeDelay replaces it while this instance has no list: each further source
	// would send it whole over the same link.
	firstHedgeDelay = 700 * time.Millisecond
)

//go:generate stringer -type=role -trimprefix=role -output=role_string.go

// role is the part of an entry instance in the distribution of the platform's state.
type role int

// Roles.
const (
	// roleLeaf fetches from the relays of its data centre.
	roleLeaf role = iota
	// roleRelay fetches from the readers.
	roleRelay
	// roleReader reads the store.
	roleReader
)

// sources returns this instance's role, and the members to fetch from in the order in
// which to ask them. The first one depends on a hash of the instance's ID, which
// spreads the load.
func sources(self gossiper.Member, members []gossiper.Member) (role, []gossiper.Member) {
	readers := gossiper.Lowest(members, readerCount)
	others, isReader := gossiper.Without(readers, self.ID)
	others = gossiper.Rotate(others, self.ID)
	switch {
	case isReader:
		return roleReader, others
	case len(members) <= maxDirectMembers:
		return roleLeaf, others
	}
	relays, isRelay := gossiper.Without(Relays(gossiper.InDataCentre(members, self.DataCentre)), self.ID)
	if isRelay {
		return roleRelay, others
	}
	return roleLeaf, append(gossiper.Rotate(relays, self.ID), others...)
}

// Relays returns the members of a data centre that relay the platform's state there.
func Relays(members []gossiper.Member) []gossiper.Member {
	return gossiper.Lowest(members, relaysPerDataCentre)
}

// hedge asks the members in their order, the next one when the one before has failed
// or the delay has passed, until one succeeds or all have failed. It reports whether
// one succeeded, and does not wait for the others then.
func hedge(ctx context.Context, delay time.Duration, members []gossiper.Member, ask func(context.Context, gossiper.Member) bool) bool {
	h := hedger{ask: ask, results: make(chan bool, len(members))}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	running := 0
	for next := 0; next < len(members) || running > 0; {
		if next < len(members) {
			go h.run(ctx, members[next])
			next++
			running++
			timer.Reset(delay)
		}
		more := timer.C
		if next == len(members) {
			more = nil
		}
		select {
		case succeeded := <-h.results:
			running--
			if succeeded {
				return true
			}
		case <-more:
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// hedger runs the calls of one hedge.
type hedger struct {
	ask     func(context.Context, gossiper.Member) bool
	results chan bool
}

func (h *hedger) run(ctx context.Context, m gossiper.Member) { h.results <- h.ask(ctx, m) }
