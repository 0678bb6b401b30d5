package observer

import (
	"time"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
	"github.com/waxwingmount/waxwingmount/pkg/tracker"
)

//go:generate stringer -type=EndKind -linecomment -output=endkind_string.go

// EndKind is why an instance is believed to have ended the requests that were sent to it.
type EndKind int

// Kinds of evidence.
const (
	// NotEnded means that nothing speaks against the instance.
	NotEnded EndKind = iota // none
	// Restarted means that the list has a later incarnation of the instance.
	Restarted // restarted
	// LostForAll means that the instance is lost for all entry instances.
	LostForAll // lost
	// CutOff means that the path from here is cut and the instance can't be reached over it.
	CutOff // cut_off
)

// EndEvidence is what is known of the end of an instance's requests.
type EndEvidence struct {
	Kind EndKind
	// Age is the time since the first evidence of a loss or a cut. It is zero for a restart.
	Age time.Duration
	// FoundHere reports whether probes from here have found it, and not only a peer's.
	FoundHere bool
}

// EndEvidence returns what speaks for the end of the requests at an instance.
func (o *Observer) EndEvidence(in provider.Instance) EndEvidence {
	o.mu.Lock()
	defer o.mu.Unlock()
	evidence := EndEvidence{FoundHere: o.ownLosses[in.ID] || o.tracker.PathFailed(in.ID)}
	if since, known := o.tracker.LostSince(in.ID); known {
		evidence.Age = clocker.Since(since)
	}
	_, cut := o.tracker.PathCut()
	switch {
	case o.startedLater(in):
		return EndEvidence{Kind: Restarted, FoundHere: true}
	case o.tracker.LostForAll(in.ID):
		evidence.Kind = LostForAll
	case cut && o.unreachable(in):
		evidence.Kind = CutOff
	default:
		return EndEvidence{}
	}
	return evidence
}

// startedLater reports whether a later run of an instance than this one is listed. Another
// one that is not known to be later may come from an older copy or from another writer. The
// caller holds o.mu.
func (o *Observer) startedLater(in provider.Instance) bool {
	now, listed := o.tracker.Instance(in.ID)
	return listed && tracker.KnownLater(now.Incarnation, in.Incarnation)
}
