package gatekeeper

//go:generate stringer -type=Verdict -linecomment -output=verdict_string.go

// Verdict is whether a group may be sent a request, or why not. Higher values
// are worse.
type Verdict int

// Verdicts from best to worst.
const (
	// Open means that the group may be sent a request.
	Open Verdict = iota // open
	// Draining means that the group only finishes its requests in progress.
	Draining // draining
	// Leaving means that a member is about to stop.
	Leaving // leaving
	// NotReady means that a member has not loaded its model yet.
	NotReady // not_ready
	// Unseen means that there is no evidence for a member.
	Unseen // unseen
	// Stale means that the evidence for a member has expired or is not newer than
	// the last suspicion.
	Stale // stale
	// GroupMismatch means that a member reports another group or fence.
	GroupMismatch // elsewhere
	// Restarted means that a member reports another incarnation.
	Restarted // reborn
	// Lost means that a member is known to have stopped.
	Lost // lost
)

// Open reports whether the group may be sent a request.
func (v Verdict) Open() bool { return v == Open }

// Broken reports whether a member is known to be lost or to serve another group,
// so that the requests in progress on the group must be moved.
func (v Verdict) Broken() bool { return v >= GroupMismatch }

// Unverified reports whether the evidence does not show that all members are
// running.
func (v Verdict) Unverified() bool { return v >= Unseen }
