// Package retrier decides what becomes of one request: where it is tried,
// whether it is resumed or run again after a failure, and which outcome its
// caller is told. It is a plain state machine: events in, one action out.
//
// # Usage
//
//	machine := retrier.New(retrier.Facts{Idempotent: true, Deadline: deadline}, budget)
//	action := machine.Step(now, retrier.Event{Kind: retrier.Started})
//	for action.Kind == retrier.Try { ... }
//
// "Not run" is only ever told when no byte of the request left for a back end,
// or when each back end that got any proved that it did not begin.
package retrier

import "time"

//go:generate stringer -type=EventKind,ActionKind -linecomment -output=enum_string.go

// DefaultMaxAttempts bounds how often one request is sent where its facts do not say.
const DefaultMaxAttempts = 4

// Waiting times between tries that found no back end.
const (
	minWait = 20 * time.Millisecond
	maxWait = 250 * time.Millisecond
)

// RequestInfo is what is known of a request from the start.
type RequestInfo struct {
	// Idempotent says that the request may be run more than once.
	Idempotent bool
	// Buffered says that the caller sees nothing before the end, so that a
	// partial answer can be thrown away.
	Buffered bool
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// QueueUntil is how long the request may wait for a back end to appear.
	QueueUntil time.Time
	// ResumeWait is how long a request that broke may wait for another back
	// end, also after QueueUntil.
	ResumeWait time.Duration
	// MaxAttempts bounds how often the request is sent; zero is the default.
	MaxAttempts int
}

// EventKind is what happened to a request.
type EventKind int

// Kinds of event.
const (
	// Started begins the request.
	Started EventKind = iota // started
	// NoBackend says that no back end may be sent the request now.
	NoBackend // no_backend
	// WaitElapsed says that the time of a Wait is over.
	WaitElapsed // waited
	// NotSent says that a try ended before the back end began.
	NotSent // not_sent
	// CannotResume says that the back end did not begin since it cannot resume.
	CannotResume // cannot_resume
	// Interrupted says that a try ended after the back end may have begun.
	Interrupted // broke
	// Finished says that the whole answer came.
	Finished // finished
	// Blocked says that the request is known to crash back ends.
	Blocked // blocked
	// Expired says that the deadline has passed, or that the caller has gone.
	Expired // expired
)

// Event is one event with what the machine needs to know of it.
type Event struct {
	Kind EventKind
	// Delivered counts the events of the stream that the caller has been sent.
	Delivered int
	// NothingSent says that nothing of the try reached any back end, so that another
	// costs none of the budget.
	NothingSent bool
	// RefundAttempt says that the back end of the failed try is gone, so that the
	// try does not count against the attempts.
	RefundAttempt bool
}

// ActionKind is what to do next.
type ActionKind int

// Kinds of action.
const (
	// Attempt sends the request to a back end.
	Attempt ActionKind = iota // try
	// Wait asks again after a while.
	Wait // wait
	// Respond tells the caller the outcome; the request is over.
	Respond // answer
)

// Action is what to do next.
type Action struct {
	Kind ActionKind
	// ResumeFrom is the event of the stream from which a Try goes on.
	ResumeFrom int
	// Delay is how long to Wait.
	Delay time.Duration
	// Outcome is what an Answer tells.
	Outcome Outcome
	// Final says that the caller should not come back with this request.
	Final bool
	// Expired says that the deadline decided.
	Expired bool
}

// Machine is the state of one request. It is not safe for concurrent use.
type Machine struct {
	request  RequestInfo
	budget   *Budget
	attempts int
	waits    int
	// unreached counts the tries in a row that reached no back end.
	unreached int
	// mayHaveRun says that some back end may have mayHaveRun the request.
	mayHaveRun bool
	done       bool
}

// New returns the machine of a request that draws its retries from budget.
func New(request RequestInfo, budget *Budget) *Machine {
	if request.MaxAttempts <= 0 {
		request.MaxAttempts = DefaultMaxAttempts
	}
	return &Machine{request: request, budget: budget}
}

// Attempts returns how often the request has been tried.
func (m *Machine) Attempts() int { return m.attempts }

// Step takes in an event and returns what to do next.
func (m *Machine) Step(now time.Time, event Event) Action {
	switch event.Kind {
	case Started:
		m.budget.Deposit()
		return m.attempt(0)
	case Finished:
		return m.respond(Complete)
	case NoBackend:
		return m.noBackend(now)
	case WaitElapsed:
		return m.attempt(event.Delivered)
	case NotSent:
		return m.notSent(now, event)
	case CannotResume:
		return m.cannotResume(now, event)
	case Interrupted:
		return m.interrupted(now, event)
	case Blocked:
		action := m.respond(m.failure())
		action.Final = true
		return action
	}
	return m.expired()
}

func (m *Machine) expired() Action {
	action := m.respond(m.failure())
	action.Expired = true
	return action
}

// failure is the outcome of a request that has no whole answer.
func (m *Machine) failure() Outcome {
	if m.mayHaveRun {
		return MayHaveRun
	}
	return NotRun
}

func (m *Machine) attempt(resumeFrom int) Action {
	m.attempts++
	return Action{Kind: Attempt, ResumeFrom: resumeFrom}
}

func (m *Machine) respond(outcome Outcome) Action {
	m.done = true
	return Action{Kind: Respond, Outcome: outcome}
}

// noBackend waits while the request may wait, and gives up at once after.
func (m *Machine) noBackend(now time.Time) Action {
	m.attempts = max(0, m.attempts-1)
	if !now.Before(m.request.QueueUntil) || !now.Before(m.request.Deadline) {
		return m.respond(m.failure())
	}
	m.waits++
	wait := min(minWait<<min(m.waits-1, 4), maxWait)
	wait = min(wait, m.request.QueueUntil.Sub(now), m.request.Deadline.Sub(now))
	return Action{Kind: Wait, Delay: wait}
}

// maxUnreached is how many tries in a row may reach no back end before the
// request waits.
const maxUnreached = 3

// notSent tries again at once where nothing was sent, and within the budget
// where a back end refused.
func (m *Machine) notSent(now time.Time, event Event) Action {
	if !event.NothingSent {
		return m.retry(now, event)
	}
	if m.unreached++; m.unreached > maxUnreached {
		return m.noBackend(now)
	}
	if !now.Before(m.request.Deadline) {
		return m.expired()
	}
	m.attempts = max(0, m.attempts-1)
	return m.attempt(event.Delivered)
}

// interrupted goes on where a second run, or the rest of the first, is allowed.
func (m *Machine) interrupted(now time.Time, event Event) Action {
	m.mayHaveRun = true
	m.unreached = 0
	if until := now.Add(m.request.ResumeWait); until.After(m.request.QueueUntil) {
		m.request.QueueUntil = until
	}
	if !m.request.Idempotent {
		return m.respond(MayHaveRun)
	}
	return m.retry(now, event)
}

func (m *Machine) cannotResume(now time.Time, event Event) Action {
	if m.request.Buffered {
		event.Delivered = 0
		return m.retry(now, event)
	}
	return m.respond(MayHaveRun)
}

func (m *Machine) retry(now time.Time, event Event) Action {
	if !now.Before(m.request.Deadline) {
		return m.expired()
	}
	if event.RefundAttempt {
		m.attempts = max(0, m.attempts-1)
	}
	if m.attempts >= m.request.MaxAttempts || !m.budget.Withdraw() {
		return m.respond(m.failure())
	}
	return m.attempt(event.Delivered)
}
