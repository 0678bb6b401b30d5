package retrier

//go:generate stringer -type=Outcome -linecomment -output=outcome_string.go

// Outcome is what a caller is told of its request. The four are never blurred.
type Outcome int

// Outcomes of a request.
const (
	// Complete says that the answer is whole.
	Complete Outcome = iota // complete
	// NotRun says that no back end began the request.
	NotRun // not_run
	// MayHaveRun says that a back end may have run the request, in part or whole.
	MayHaveRun // may_have_run
	// InProgress says that the same request is being run now.
	InProgress // in_progress
)
