package retrier

//go:generate stringer -type=ReplacerEvent,ReplacerAction -linecomment -output=replacer_string.go

// ReplacerEvent is an event in the life of an attempt that may be replaced.
type ReplacerEvent int

// Events of an attempt and of its replacement.
const (
	// Suspected means that the attempt's backend server is silent, but may respond still.
	Suspected ReplacerEvent = iota // suspected
	// Progressed means that the attempt received the next part of the response.
	Progressed // progressed
	// Completed means that the attempt received the rest of the response.
	Completed // completed
	// Failed means that the attempt has ended without a whole response.
	Failed // failed
	// ReplacementResponded means that the replacement received the next part of the
	// response.
	ReplacementResponded // replacement_responded
	// ReplacementFailed means that the replacement has ended without any response.
	ReplacementFailed // replacement_failed
)

// ReplacerAction is what to do about an attempt and its replacement.
type ReplacerAction int

// Actions of a Replacer.
const (
	// Keep means to go on with the attempt.
	Keep ReplacerAction = iota // keep
	// Replace means to start a replacement beside the attempt.
	Replace // replace
	// Discard means to end the replacement and to go on with the attempt.
	Discard // discard
	// Await means to wait for the replacement and then to report Failed again.
	Await // await
	// Adopt means to end the attempt and to go on with the replacement.
	Adopt // adopt
	// GiveUp means that neither is left.
	GiveUp // give_up
)

// Replacer decides whether a request goes on with an attempt whose backend server is
// silent, or with a replacement that runs beside it. The first one to bring the next part
// of the response wins, since a silent server may still respond, and another one may not
// respond at all. The zero value has no replacement. It is not safe for concurrent use.
type Replacer struct {
	state replacerState
}

type replacerState int

const (
	// alone: there is no replacement.
	alone replacerState = iota
	// replacing: the replacement has not responded yet.
	replacing
	// responded: the replacement has responded first.
	responded
	// exhausted: the replacement has failed, and there is no other one until the attempt
	// makes progress.
	exhausted
)

// Step handles an event and returns the next action. A replacement is started only if
// another attempt is allowed.
func (r *Replacer) Step(event ReplacerEvent, allowed bool) ReplacerAction {
	switch event {
	case Suspected:
		if r.state == alone && allowed {
			r.state = replacing
			return Replace
		}
	case Progressed:
		if r.state == responded {
			return Adopt
		}
		return r.keep()
	case Completed:
		return r.keep()
	case Failed:
		return r.failed()
	case ReplacementResponded:
		if r.state != replacing {
			return Discard
		}
		r.state = responded
		return Adopt
	case ReplacementFailed:
		if r.state == replacing {
			r.state = exhausted
		}
	}
	return Keep
}

// keep goes on with the attempt and ends its replacement, if there is one.
func (r *Replacer) keep() ReplacerAction {
	running := r.state == replacing || r.state == responded
	r.state = alone
	if running {
		return Discard
	}
	return Keep
}

// failed goes on with the replacement, if there is one.
func (r *Replacer) failed() ReplacerAction {
	switch r.state {
	case replacing:
		return Await
	case responded:
		r.state = alone
		return Adopt
	}
	r.state = alone
	return GiveUp
}
