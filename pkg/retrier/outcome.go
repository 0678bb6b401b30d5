package retrier

//go:generate stringer -type=Outcome -linecomment -output=outcome_string.go

// Outcome is the outcome of a request as reported to the caller. Callers rely on
// it to decide whether a retry is safe, so the four values must stay distinct.
type Outcome int

// Outcomes of a request.
const (
	// Complete means that the response is complete.
	Complete Outcome = iota // complete
	// NotRun means that no backend server started the request.
	NotRun // not_run
	// MayHaveRun means that a backend server may have run the request, in part or
	// in full.
	MayHaveRun // may_have_run
	// InProgress means that the same request is running now.
	InProgress // in_progress
)
