package tracker

//go:generate stringer -type=Gap -linecomment -output=gap_string.go

// Gap is why a group whose head reports that it serves can't take requests.
type Gap int

const (
	// NoGap means that the group is complete.
	NoGap Gap = iota // none
	// UnknownModel means that the service has no model of the group's name.
	UnknownModel // unknown model
	// MemberMissing means that no instance that is listed and not lost has one of the ranks.
	MemberMissing // member missing
	// RankClaimedTwice means that several instances report the same rank, and it is not known
	// which of them has it.
	RankClaimedTwice // rank claimed twice
	// RankOutOfRange means that an instance reports a rank that the group does not have.
	RankOutOfRange // rank out of range
	// MemberNotReady means that a member has not loaded its part of the model.
	MemberNotReady // member not ready
)

// Gaps returns why groups whose heads report that they serve can't take requests. The
// caller must not change it.
func (t *Tracker) Gaps() map[GroupKey]Gap { return t.gaps }
