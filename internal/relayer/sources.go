package relayer

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

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

// Roles of an entry instance in the distribution of the platform's state.
type role int

const (
	// roleLeaf fetches from the relays of its data centre.
	roleLeaf role = iota
	// roleRelay fetches from the readers.
	roleRelay
	// roleReader reads the store.
	roleReader
)

// lowest returns the count members with the lowest ranks, in the order of their ranks.
// A rank is a hash, which spreads the roles over the instances.
func lowest(members []gossiper.Member, count int) []gossiper.Member {
	chosen := make([]gossiper.Member, 0, count+1)
	ranks := make([]uint64, 0, count+1)
	for _, m := range members {
		rank := xxhash.Sum64String(m.ID)
		at := len(ranks)
		for at > 0 && ranks[at-1] > rank {
			at--
		}
		if at == count {
			continue
		}
		ranks = append(ranks, 0)
		chosen = append(chosen, gossiper.Member{})
		copy(ranks[at+1:], ranks[at:])
		copy(chosen[at+1:], chosen[at:])
		ranks[at], chosen[at] = rank, m
		if len(ranks) > count {
			ranks, chosen = ranks[:count], chosen[:count]
		}
	}
	return chosen
}

// sources returns this instance's role, and the members to fetch from in the order in
// which to ask them. The first one depends on a hash of the instance's ID, which
// spreads the load.
func sources(self gossiper.Member, members []gossiper.Member) (role, []gossiper.Member) {
	readers := lowest(members, readerCount)
	others, isReader := WithoutMember(readers, self.ID)
	others = Rotate(others, self.ID)
	switch {
	case isReader:
		return roleReader, others
	case len(members) <= maxDirectMembers:
		return roleLeaf, others
	}
	var local []gossiper.Member
	for _, m := range members {
		if m.DataCentre == self.DataCentre {
			local = append(local, m)
		}
	}
	relays, isRelay := WithoutMember(Relays(local), self.ID)
	if isRelay {
		return roleRelay, others
	}
	return roleLeaf, append(Rotate(relays, self.ID), others...)
}

// Relays returns the members of a data centre that relay the platform's state there.
func Relays(members []gossiper.Member) []gossiper.Member { return lowest(members, relaysPerDataCentre) }

// WithoutMember returns the members except one, and whether it was among them.
func WithoutMember(members []gossiper.Member, id string) ([]gossiper.Member, bool) {
	others := make([]gossiper.Member, 0, len(members))
	for _, m := range members {
		if m.ID != id {
			others = append(others, m)
		}
	}
	return others, len(others) < len(members)
}

// Rotate returns the members beginning with the one that a hash of id selects.
func Rotate(members []gossiper.Member, id string) []gossiper.Member {
	if len(members) == 0 {
		return nil
	}
	first := int(xxhash.Sum64String(id) % uint64(len(members)))
	return append(append([]gossiper.Member(nil), members[first:]...), members[:first]...)
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
