package gatekeeper

//go:generate stringer -type=Verdict -linecomment -output=verdict_string.go

// Verdict says whether a group may be sent a request, or why not. Later
// values are worse.
type Verdict int

// Verdicts from best to worst.
const (
	// Open says that the group may be sent a request.
	Open Verdict = iota // open
	// Draining says that the group finishes what it has.
	Draining // draining
	// Leaving says that a member is about to stop.
	Leaving // leaving
	// NotReady says that a member is still loading.
	NotReady // not_ready
	// Unseen says that a member was never probed.
	Unseen // unseen
	// Stale says that the evidence for a member is too old.
	Stale // stale
	// GroupMismatch says that a member works under another group or fence.
	GroupMismatch // elsewhere
	// Restarted says that a member has another incarnation.
	Restarted // reborn
	// Lost says that a member is gone.
	Lost // lost
)

// Open reports whether the group may be sent a request.
func (v Verdict) Open() bool { return v == Open }

// Broken reports whether a member is known to be missing, so that the
// requests in progress on the group must be moved.
func (v Verdict) Broken() bool { return v >= GroupMismatch }

// Unverified reports whether it is not known that all members are there.
func (v Verdict) Unverified() bool { return v >= Unseen }
