// Package retrier decides how one request proceeds: when it is attempted, whether
// it is resumed or run again after a failure, and which outcome is reported to the
// caller. It is a state machine that returns one action for each event.
//
// # Usage
//
//	machine := retrier.New(retrier.RequestInfo{Idempotent: true, Deadline: deadline}, budget)
//	action := machine.Step(now, retrier.Event{Kind: retrier.Started})
//	for action.Kind == retrier.Attempt { ... }
//
// A [Replacer] decides whether an attempt whose backend server is silent is kept, or gives
// way to another one that runs beside it.
//
// [NotRun] is reported only if no byte of the request was sent to a backend server,
// or if each backend server that received any has confirmed that it did not start it.
package retrier

import "time"

//go:generate stringer -type=EventKind,ActionKind -linecomment -output=enum_string.go

// DefaultMaxAttempts is the maximum number of attempts of a request whose
// RequestInfo does not set one.
const DefaultMaxAttempts = 4

// Bounds of the exponential delay while no backend server is available.
const (
	minWait = 20 * time.Millisecond
	maxWait = 250 * time.Millisecond
)

// RequestInfo holds the properties of a request that are known at its start.
type RequestInfo struct {
	// Idempotent reports whether the request may run more than once.
	Idempotent bool
	// Buffered reports whether the caller receives nothing before the response is
	// complete, so that a partial response can be discarded.
	Buffered bool
	// Deadline is when the caller stops waiting for the response.
	Deadline time.Time
	// QueueUntil is the end of the time for which the request may wait for a backend
	// server.
	QueueUntil time.Time
	// ResumeWait is how long an interrupted request may wait for another backend
	// server, even past QueueUntil.
	ResumeWait time.Duration
	// MaxAttempts is the maximum number of attempts; 0 or less means
	// [DefaultMaxAttempts].
	MaxAttempts int
	// VerdictWait is how long a request whose attempts are used up waits for the word that one
	// of them does not count.
	VerdictWait time.Duration
	// Deposited reports whether the request was deposited in a retry budget before, at its
	// arrival here or at the entry instance from which it came.
	Deposited bool
}

// EventKind is the kind of an [Event].
type EventKind int

// Kinds of event.
const (
	// Started means that the request has arrived.
	Started EventKind = iota // started
	// NoBackend means that no backend server is available for the request.
	NoBackend // no_backend
	// WaitElapsed means that the delay of a Wait has elapsed.
	WaitElapsed // waited
	// NotSent means that an attempt ended before the backend server started the
	// request.
	NotSent // not_sent
	// CannotResume means that the backend server did not start the request because
	// it cannot resume the stream.
	CannotResume // cannot_resume
	// Interrupted means that an attempt ended after the backend server may have
	// started the request.
	Interrupted // broke
	// Declined means that no peer takes the request for the moment. The attempt reached no
	// backend server.
	Declined // declined
	// Finished means that the whole response was received.
	Finished // finished
	// Blocked means that the request is known to crash backend servers.
	Blocked // blocked
	// Expired means that the deadline has passed or the caller has disconnected.
	Expired // expired
)

// Event is an event in the life of a request.
type Event struct {
	Kind EventKind
	// Delivered is the number of stream events that have been sent to the caller.
	Delivered int
	// NothingSent reports whether nothing of the attempt reached a backend server,
	// so that the next attempt is not charged to the retry budget.
	NothingSent bool
	// RefundAttempt reports whether a failed attempt does not count towards
	// MaxAttempts because its backend server is lost.
	RefundAttempt bool
	// VerdictPending reports whether it may soon be known that a failed attempt does not
	// count.
	VerdictPending bool
	// AvailableAt is the earliest time at which a backend server takes requests again,
	// or zero if that is not known. It is used with NoBackend.
	AvailableAt time.Time
}

// ActionKind is the kind of an [Action].
type ActionKind int

// Kinds of action.
const (
	// Attempt means to send the request to a backend server.
	Attempt ActionKind = iota // try
	// Wait means to report WaitElapsed after a delay.
	Wait // wait
	// Respond means to report the outcome to the caller, which ends the request.
	Respond // answer
)

// Action is the next step of a request.
type Action struct {
	Kind ActionKind
	// ResumeFrom is the index of the stream event at which an Attempt resumes.
	ResumeFrom int
	// Delay is the duration of a Wait.
	Delay time.Duration
	// AwaitsVerdict reports whether the Wait is for the word that a failed attempt does not
	// count. The WaitElapsed event then says so by RefundAttempt.
	AwaitsVerdict bool
	// Outcome is the outcome that a Respond reports.
	Outcome Outcome
	// Final reports whether the caller should not retry the request.
	Final bool
	// Expired reports whether the request ended because of its deadline, or because
	// the caller disconnected.
	Expired bool
}

// Machine is the state machine of one request. It is not safe for concurrent use.
type Machine struct {
	request  RequestInfo
	budget   *Budget
	attempts int
	waits    int
	// unreached is the number of consecutive attempts that reached no backend
	// server.
	unreached int
	// verdictBy is the end of a wait for a verdict, or zero.
	verdictBy time.Time
	// mayHaveRun reports whether a backend server may have started the request.
	mayHaveRun bool
	// chargedAt is when the last attempt was charged to the budget, or zero if it was not.
	chargedAt time.Time
	// denied reports whether the budget allowed no other attempt at the last event.
	denied bool
	done   bool
}

// New returns the state machine of a request whose retries are charged to budget.
func New(request RequestInfo, budget *Budget) *Machine {
	if request.MaxAttempts <= 0 {
		request.MaxAttempts = DefaultMaxAttempts
	}
	return &Machine{request: request, budget: budget}
}

// Attempts returns the number of attempts that count towards MaxAttempts.
func (m *Machine) Attempts() int { return m.attempts }

// Charged reports whether the last attempt was charged to the retry budget.
func (m *Machine) Charged() bool { return !m.chargedAt.IsZero() }

// RetryDenied reports whether the last event got no other attempt because the retry budget is
// used up.
func (m *Machine) RetryDenied() bool { return m.denied }

// Step handles an event and returns the next action.
func (m *Machine) Step(now time.Time, event Event) Action {
	m.denied = false
	switch event.Kind {
	case Started:
		if !m.request.Deposited {
			m.budget.Deposit(now)
		}
		return m.attempt(0)
	case Finished:
		return m.respond(Complete)
	case NoBackend:
		return m.noBackend(now, event)
	case Declined:
		return m.declined(now, event)
	case WaitElapsed:
		if !m.verdictBy.IsZero() {
			return m.retry(now, event)
		}
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

// CanRetry reports whether a request whose attempt broke now would get another one.
// With refund, an earlier attempt no longer counts.
func (m *Machine) CanRetry(now time.Time, refund bool) bool {
	attempts := m.attempts
	if refund {
		attempts--
	}
	return m.request.Idempotent && now.Before(m.request.Deadline) && attempts < m.request.MaxAttempts && m.budget.Available(now)
}

// RevertRetry takes back a retry that ended before anything was sent to a backend server,
// while the attempt before it, with that count of attempts, goes on.
func (m *Machine) RevertRetry(attempts int) {
	m.attempts = attempts
	if m.Charged() {
		m.budget.Refund(m.chargedAt)
		m.chargedAt = time.Time{}
	}
}

// expired ends the request because of its deadline.
func (m *Machine) expired() Action {
	action := m.respond(m.failure())
	action.Expired = true
	return action
}

// failure returns the outcome of a request without a complete response.
func (m *Machine) failure() Outcome {
	if m.mayHaveRun {
		return MayHaveRun
	}
	return NotRun
}

// attempt counts an attempt and returns its action.
func (m *Machine) attempt(resumeFrom int) Action {
	m.attempts++
	return Action{Kind: Attempt, ResumeFrom: resumeFrom}
}

// respond ends the request with an outcome.
func (m *Machine) respond(outcome Outcome) Action {
	m.done = true
	return Action{Kind: Respond, Outcome: outcome}
}

// noBackend waits with an exponential delay until QueueUntil or the deadline, and
// then ends the request; it ends it at once if no backend server takes requests before.
// The attempt that found no backend server does not count.
func (m *Machine) noBackend(now time.Time, event Event) Action {
	m.attempts = max(0, m.attempts-1)
	limit := m.request.QueueUntil
	if m.request.Deadline.Before(limit) {
		limit = m.request.Deadline
	}
	if !now.Before(limit) || event.AvailableAt.After(limit) {
		return m.respond(m.failure())
	}
	m.waits++
	wait := min(minWait<<min(m.waits-1, 4), maxWait)
	wait = min(wait, m.request.QueueUntil.Sub(now), m.request.Deadline.Sub(now))
	return Action{Kind: Wait, Delay: wait}
}

// declined ends a request that has not run, so that its caller can go elsewhere at once. One
// that may have run has nowhere else to go, so it waits.
func (m *Machine) declined(now time.Time, event Event) Action {
	if m.mayHaveRun {
		return m.noBackend(now, event)
	}
	m.attempts = max(0, m.attempts-1)
	return m.respond(NotRun)
}

// maxUnreached is the number of consecutive attempts that may reach no backend
// server before the request waits.
const maxUnreached = 3

// notSent makes another attempt. If nothing was sent, it does so at once, up to
// maxUnreached times in a row; otherwise the limits of retry apply.
func (m *Machine) notSent(now time.Time, event Event) Action {
	if !event.NothingSent {
		return m.retry(now, event)
	}
	if m.unreached++; m.unreached > maxUnreached {
		return m.noBackend(now, event)
	}
	if !now.Before(m.request.Deadline) {
		return m.expired()
	}
	m.attempts = max(0, m.attempts-1)
	return m.attempt(event.Delivered)
}

// interrupted retries or resumes an idempotent request within the limits. Any
// other request ends, since it may run only once.
func (m *Machine) interrupted(now time.Time, event Event) Action {
	m.mayHaveRun = true
	m.unreached = 0
	m.verdictBy = time.Time{}
	if until := now.Add(m.request.ResumeWait); until.After(m.request.QueueUntil) {
		m.request.QueueUntil = until
	}
	if !m.request.Idempotent {
		return m.respond(MayHaveRun)
	}
	return m.retry(now, event)
}

// cannotResume runs the request again from the start if the caller has received
// nothing, and ends it otherwise.
func (m *Machine) cannotResume(now time.Time, event Event) Action {
	if m.request.Buffered {
		event.Delivered = 0
		return m.retry(now, event)
	}
	return m.respond(MayHaveRun)
}

// verdictInterval is the time between two looks for the word that an attempt does not count.
const verdictInterval = 50 * time.Millisecond

// awaitVerdict waits until one of the attempts is known not to count. A request of which the
// caller has received nothing ends at once unless a verdict is pending, because the caller can
// send it again.
func (m *Machine) awaitVerdict(now time.Time, event Event) Action {
	if m.verdictBy.IsZero() {
		m.verdictBy = now.Add(m.request.VerdictWait)
	}
	if event.Delivered == 0 && !event.VerdictPending || !now.Before(m.verdictBy) {
		return m.respond(m.failure())
	}
	return Action{Kind: Wait, Delay: min(verdictInterval, m.verdictBy.Sub(now)), AwaitsVerdict: true}
}

// retry makes another attempt if the deadline, the attempts and the retry budget
// allow it.
func (m *Machine) retry(now time.Time, event Event) Action {
	if !now.Before(m.request.Deadline) {
		return m.expired()
	}
	if event.RefundAttempt {
		m.attempts = max(0, m.attempts-1)
	}
	m.chargedAt = time.Time{}
	if m.attempts >= m.request.MaxAttempts {
		return m.awaitVerdict(now, event)
	}
	m.verdictBy = time.Time{}
	if !m.budget.Withdraw(now) {
		m.denied = true
		return m.respond(m.failure())
	}
	m.chargedAt = now
	return m.attempt(event.Delivered)
}
