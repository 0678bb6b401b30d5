package tracker

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

//go:generate stringer -type=Identity -linecomment -output=identity_string.go

// Identity is what the server at an instance's address says of who it is.
type Identity int

const (
	// Unidentified means that it has not said anything.
	Unidentified Identity = iota // unidentified
	// Confirmed means that it is this instance.
	Confirmed // confirmed
	// Denied means that it is another one.
	Denied // denied
)

const (
	// identifyInterval is the time between two questions to a server that has not answered.
	identifyInterval = 2 * time.Second
	// reidentifyInterval replaces it after an answer. Another server may have taken the
	// address meanwhile, or have given it back.
	reidentifyInterval = 10 * time.Second
)

// identification is what is known of the identity of one listed instance.
type identification struct {
	incarnation string
	address     netip.AddrPort
	identity    Identity
	askedAt     time.Time
}

// of reports whether the identification is one of this run of an instance at this address.
func (i identification) of(in provider.Instance) bool {
	return i.incarnation == in.Incarnation && i.address == in.Address
}

// identityOf returns what is known of an instance's identity.
func (t *Tracker) identityOf(in provider.Instance) Identity {
	if len(t.identities) == 0 {
		return Unidentified
	}
	if known, found := t.identities[in.ID]; found && known.of(in) {
		return known.identity
	}
	return Unidentified
}

// Identify records what the server at an instance's address has said, or that it has not
// answered. It reports whether that is news.
func (t *Tracker) Identify(now time.Time, in provider.Instance, identity Identity) bool {
	if listed, found := t.instances[in.ID]; !found || listed.Incarnation != in.Incarnation || listed.Address != in.Address {
		return false
	}
	known := t.identities[in.ID]
	if !known.of(in) {
		known = identification{incarnation: in.Incarnation, address: in.Address}
	}
	news := identity != Unidentified && identity != known.identity
	known.askedAt = now
	if news {
		known.identity = identity
	}
	t.identities[in.ID] = known
	if news {
		t.selectNamed()
	}
	return news
}

// Unidentified returns the instances whose servers should be asked who they are, those first
// that were not asked for the longest time. Their entries contradict others on who is in a group,
// or do not say when the server was started though most of the service do, or their servers have
// answered as others before.
func (t *Tracker) Unidentified(now time.Time) []provider.Instance {
	var due []provider.Instance
	added := make(map[string]bool)
	for _, in := range slices.Concat(t.contested, t.disputed) {
		interval := reidentifyInterval
		if t.identityOf(in) == Unidentified {
			interval = identifyInterval
		}
		known := t.identities[in.ID]
		if added[in.ID] || known.of(in) && now.Sub(known.askedAt) < interval {
			continue
		}
		added[in.ID] = true
		due = append(due, in)
	}
	slices.SortFunc(due, func(a, b provider.Instance) int {
		if d := t.identities[a.ID].askedAt.Compare(t.identities[b.ID].askedAt); d != 0 {
			return d
		}
		return strings.Compare(a.ID, b.ID)
	})
	return due
}

// selectNamed recomputes which entries name servers, and what follows from them.
func (t *Tracker) selectNamed() {
	t.contested = nil
	unnamed := t.findUnnamed()
	t.named = t.instances
	if len(unnamed) > 0 {
		t.named = make(map[string]provider.Instance, len(t.instances)-len(unnamed))
		for id, in := range t.instances {
			if !unnamed[id] {
				t.named[id] = in
			}
		}
	}
	for id := range t.identities {
		if _, listed := t.instances[id]; !listed {
			delete(t.identities, id)
		}
	}
	t.rebuild()
}

// findUnnamed returns the IDs of the entries that name no server.
func (t *Tracker) findUnnamed() map[string]bool {
	unnamed := make(map[string]bool)
	var undated []string
	for id, in := range t.instances {
		switch {
		case t.services != nil && t.services[in.Service] == nil:
			unnamed[id] = true
		case t.identityOf(in) == Denied:
			unnamed[id] = true
			t.contested = append(t.contested, in)
		case in.Incarnation == "":
			undated = append(undated, id)
		}
	}
	t.contestUndated(undated, unnamed)
	return unnamed
}

// contestUndated records that the identities of instances without a start time matter where most
// of their service have one, and that such an instance names a server only if it is confirmed or
// did so before: entries of others must not take those that were there first out of use.
func (t *Tracker) contestUndated(undated []string, unnamed map[string]bool) {
	byService := make(map[string][]string)
	for _, id := range undated {
		service := t.instances[id].Service
		byService[service] = append(byService[service], id)
	}
	for service, ids := range byService {
		dated := 0
		for id, in := range t.instances {
			if in.Service == service && in.Incarnation != "" && !unnamed[id] {
				dated++
			}
		}
		if len(ids) >= dated {
			continue
		}
		for _, id := range ids {
			in := t.instances[id]
			t.contested = append(t.contested, in)
			if _, named := t.named[id]; !named && t.identityOf(in) != Confirmed {
				unnamed[id] = true
			}
		}
	}
}
