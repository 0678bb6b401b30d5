package tracker

import (
	"cmp"
	"slices"

	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

// Roster is who the members of a group are, as far as the entries say it without
// contradiction.
type Roster struct {
	Service, Name string
	Epoch         uint64
	// Members are sorted by rank. They are all that say so if there is a gap.
	Members []provider.Instance
	// Gap is what the list of members lacks, whatever their states.
	Gap Gap
	// Disputed reports whether the instances contradict each other and it is not known which
	// of them are right.
	Disputed bool
}

// Rosters returns the rosters of a service, sorted by the names of the groups.
func (t *Tracker) Rosters(service string) []Roster {
	var found []Roster
	for _, key := range sortKeys(t.rosters) {
		if key.Service == service {
			found = append(found, t.rosters[key])
		}
	}
	return found
}

// newRoster returns the roster of a group by the instances that say they are in it. A member of
// another epoch is none: the complete roster of the latest epoch counts, whatever others say.
// Without a complete one, what a server that confirms who it is says goes before other entries.
func (t *Tracker) newRoster(key GroupKey, claims []provider.Instance, previous Roster) Roster {
	slices.SortStableFunc(claims, func(a, b provider.Instance) int {
		return cmp.Or(cmp.Compare(b.Membership.Epoch, a.Membership.Epoch), cmp.Compare(a.Membership.Rank, b.Membership.Rank))
	})
	var found []Roster
	for rest := claims; len(rest) > 0; {
		var claimants []provider.Instance
		claimants, rest = cutRun(rest, func(in provider.Instance) uint64 { return in.Membership.Epoch })
		r := t.assignRanks(key, claimants, previous)
		if r.Gap == NoGap {
			return r
		}
		found = append(found, r)
	}
	if len(found) == 1 {
		return found[0]
	}
	t.disputed = append(t.disputed, claims...)
	for _, r := range found {
		if len(t.confirmed(r.Members)) > 0 {
			return r
		}
	}
	found[0].Disputed = true
	return found[0]
}

// assignRanks returns the roster of the instances that say that they are in a group in one
// epoch, sorted by rank.
func (t *Tracker) assignRanks(key GroupKey, claims []provider.Instance, previous Roster) Roster {
	r := Roster{Service: key.Service, Name: key.Name, Epoch: claims[0].Membership.Epoch, Members: claims}
	size := t.services[key.Service][ModelOf(key.Name)]
	if size == 0 {
		r.Gap = UnknownModel
		return r
	}
	if len(claims) == size && !slices.ContainsFunc(claims, func(in provider.Instance) bool {
		return in.Membership.Rank >= size || claims[in.Membership.Rank].ID != in.ID
	}) {
		return r
	}
	if previous.Gap != NoGap || previous.Epoch != r.Epoch {
		previous.Members = nil
	}
	var members []provider.Instance
	for rest := claims; len(rest) > 0; {
		var claimants []provider.Instance
		claimants, rest = cutRun(rest, func(in provider.Instance) int { return in.Membership.Rank })
		switch rank := claimants[0].Membership.Rank; {
		case rank >= size:
			t.disputed = append(t.disputed, claimants...)
			if len(t.confirmed(claimants)) > 0 {
				r.Gap = cmp.Or(r.Gap, RankOutOfRange)
			}
		case rank != len(members):
			r.Gap = cmp.Or(r.Gap, MemberMissing)
		default:
			member, found := t.selectClaimant(claimants, previous)
			if !found {
				r.Gap = cmp.Or(r.Gap, RankClaimedTwice)
				r.Disputed = r.Disputed || len(t.confirmed(claimants)) == 0
			}
			members = append(members, member)
		}
	}
	if len(members) < size {
		r.Gap = cmp.Or(r.Gap, MemberMissing)
	}
	if r.Gap == NoGap {
		r.Members = members
	}
	return r
}

// selectClaimant returns the one of the instances that claim a rank that has it: the only one
// whose server confirms who it is, or the one that had the rank before others claimed it.
func (t *Tracker) selectClaimant(claimants []provider.Instance, previous Roster) (provider.Instance, bool) {
	if len(claimants) == 1 {
		return claimants[0], true
	}
	t.disputed = append(t.disputed, claimants...)
	likely := t.confirmed(claimants)
	if len(likely) == 0 {
		for _, in := range claimants {
			if slices.ContainsFunc(previous.Members, func(member provider.Instance) bool { return sameIncarnation(member, in) }) {
				likely = append(likely, in)
			}
		}
	}
	if len(likely) != 1 {
		return provider.Instance{}, false
	}
	return likely[0], true
}

// confirmed returns those of the instances whose servers have confirmed who they are.
func (t *Tracker) confirmed(all []provider.Instance) []provider.Instance {
	var found []provider.Instance
	for _, in := range all {
		if t.identityOf(in) == Confirmed {
			found = append(found, in)
		}
	}
	return found
}

// cutRun splits off the first instances that have the same key.
func cutRun[K comparable](all []provider.Instance, key func(provider.Instance) K) (run, rest []provider.Instance) {
	end := 1
	for end < len(all) && key(all[end]) == key(all[0]) {
		end++
	}
	return all[:end:end], all[end:]
}
