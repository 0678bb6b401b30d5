package gossiper

import "github.com/cespare/xxhash/v2"

// Lowest returns the count members with the lowest ranks, in the order of their ranks.
// A rank is a hash of the ID, so that all members with the same view choose the same
// ones, and few choices change when a member joins or leaves.
func Lowest(members []Member, count int) []Member {
	chosen := make([]Member, 0, count+1)
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
		chosen = append(chosen, Member{})
		copy(ranks[at+1:], ranks[at:])
		copy(chosen[at+1:], chosen[at:])
		ranks[at], chosen[at] = rank, m
		if len(ranks) > count {
			ranks, chosen = ranks[:count], chosen[:count]
		}
	}
	return chosen
}

// Without returns the members except one, and whether it was among them.
func Without(members []Member, id string) ([]Member, bool) {
	others := make([]Member, 0, len(members))
	for _, m := range members {
		if m.ID != id {
			others = append(others, m)
		}
	}
	return others, len(others) < len(members)
}

// InDataCentre returns the members in a data centre.
func InDataCentre(members []Member, dataCentre string) []Member {
	var found []Member
	for _, m := range members {
		if m.DataCentre == dataCentre {
			found = append(found, m)
		}
	}
	return found
}

// Rotate returns the members beginning with the one that a hash of id selects.
func Rotate(members []Member, id string) []Member {
	if len(members) == 0 {
		return nil
	}
	first := int(xxhash.Sum64String(id) % uint64(len(members)))
	return append(append([]Member(nil), members[first:]...), members[:first]...)
}
