package tracker

import (
	"slices"
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

// ReachedByPeer reports whether an instance can't be reached from here though a peer has
// reached it.
func (t *Tracker) ReachedByPeer(id string) bool {
	if l, lost := t.losses[id]; lost {
		return l.contradicted
	}
	_, failed := t.path.FailedSince(id)
	return failed
}

// Reachable reports whether an instance is neither lost nor unreachable from here.
func (t *Tracker) Reachable(id string) bool { return !t.IsLost(id) && t.path.Reachable(id) }

// ReachableByPeers reports whether a service and model have a group that is available but
// for its head, which can't be reached from here. Without a model it considers the
// instances that take requests individually.
func (t *Tracker) ReachableByPeers(service, model string) bool {
	if model != "" {
		return len(t.remoteGroups[serviceModel{service, model}]) > 0
	}
	return slices.ContainsFunc(t.individuals[service], func(in provider.Instance) bool {
		return !t.Evacuated(in) && !t.Reachable(in.ID)
	})
}

// selectReachable divides the available groups and servers by whether they can be reached
// from here, and leaves out those in evacuated data centres.
func (t *Tracker) selectReachable() {
	t.groupsByModel = make(map[serviceModel][]Group)
	t.remoteGroups = make(map[serviceModel][]Group)
	for _, id := range sortKeys(t.groups) {
		g := t.groups[id]
		key := serviceModel{g.Service, g.Model}
		switch {
		case t.Evacuated(g.Head()):
		case t.Reachable(g.Head().ID):
			t.groupsByModel[key] = append(t.groupsByModel[key], g)
		default:
			t.remoteGroups[key] = append(t.remoteGroups[key], g)
		}
	}
	t.servers = make(map[string][]provider.Instance)
	for service, all := range t.individuals {
		for _, in := range all {
			if t.usable(in) {
				t.servers[service] = append(t.servers[service], in)
			}
		}
	}
}

// PathCut reports whether the path from here to the servers is cut, and since when.
func (t *Tracker) PathCut() (time.Time, bool) { return t.path.Since(), t.path.Cut() }

// PathContradicted reports whether peers have recently reached another instance than this
// one that did not respond here.
func (t *Tracker) PathContradicted(now time.Time, id string) bool {
	return t.path.Contradicted(now, id)
}

// PathFailed reports whether an instance has not been reachable over a path that is cut.
func (t *Tracker) PathFailed(id string) bool {
	_, failed := t.path.FailedSince(id)
	return failed
}

// ContradictPath records that an instance did not respond here while a peer reached it. It
// reports whether the path is found cut by it.
func (t *Tracker) ContradictPath(now time.Time, in provider.Instance, evidence PathEvidence) bool {
	found := t.path.Contradict(now, in.ID, PlaceOf(in), evidence)
	if found {
		t.selectReachable()
	}
	return found
}

// NoteFailure records that an instance did not respond while the path is cut.
func (t *Tracker) NoteFailure(now time.Time, id string) {
	before := t.path.Reachable(id)
	t.path.Fail(now, id)
	if t.path.Reachable(id) != before {
		t.selectReachable()
	}
}

// NoteResponse records that an instance responded.
func (t *Tracker) NoteResponse(id string) {
	before := t.path.Reachable(id)
	t.path.Respond(id)
	if t.path.Reachable(id) != before {
		t.selectReachable()
	}
}

// RestorePath ends the cut of the path if none of the given instances is unreachable from
// here any more, or none has failed for some time. It reports whether it did.
func (t *Tracker) RestorePath(now time.Time, instances []provider.Instance) bool {
	var ids []string
	for _, in := range instances {
		ids = append(ids, in.ID)
	}
	restored := t.path.Restore(now, ids)
	if restored {
		t.selectReachable()
	}
	return restored
}
