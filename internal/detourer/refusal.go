package detourer

import (
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingmount/waxwingmount/pkg/faulter"
	"github.com/waxwingmount/waxwingmount/pkg/retrier"
)

// Kinds of refusals that the handler itself sends; nothing of the request has been sent to
// a server then.
const (
	// RefusalMalformed means that what arrived is not a valid request.
	RefusalMalformed = "malformed"
	// RefusalTooLarge means that the request is beyond the peer's bounds.
	RefusalTooLarge = "too_large"
	// RefusalNoMemory means that other requests take the memory for bodies.
	RefusalNoMemory = "no_memory"
	// RefusalExpired means that the request arrived without any time left.
	RefusalExpired = "expired"
)

// Refusal says why the peer has no response of a server, or not the rest of one. It is the
// cause of an error of [KindRefused].
type Refusal struct {
	// Kind is the reason in snake case, and Text describes it for logs.
	Kind string
	Text string
	// Outcome is what the peer knows about the request, and NothingSent says that nothing
	// of it was sent to a server.
	Outcome     retrier.Outcome
	NothingSent bool
	// RetryAfter is the delay after which the request may be sent again, or zero.
	RetryAfter time.Duration
	// Upstreams names the upstreams to which the peer has sent the request.
	Upstreams []string
}

// Error returns "kind (outcome): text".
func (r *Refusal) Error() string { return fmt.Sprintf("%s (%s): %s", r.Kind, r.Outcome, r.Text) }

// RefusalOf returns the refusal in the chain of err, and whether there is one.
func RefusalOf(err error) (*Refusal, bool) {
	var refusal *Refusal
	found := errors.As(err, &refusal)
	return refusal, found
}

// Names of the fields of a refusal.
const (
	fieldKind        = "kind"
	fieldText        = "text"
	fieldOutcome     = "outcome"
	fieldNothingSent = "nothing_sent"
	fieldRetryAfter  = "retry_after"
	fieldUpstreams   = "upstreams"
)

// maxRefusalTextBytes bounds the text of a refusal; the rest is cut off.
const maxRefusalTextBytes = 1 << 10

func (r *Refusal) encode() ([]byte, error) {
	fields := metadata{}
	fields.setText(fieldKind, r.Kind)
	fields.setText(fieldText, oneLine(r.Text[:min(len(r.Text), maxRefusalTextBytes)]))
	fields.setText(fieldOutcome, r.Outcome.String())
	fields.setBool(fieldNothingSent, r.NothingSent)
	fields.setDuration(fieldRetryAfter, r.RetryAfter)
	if len(r.Upstreams) > 0 {
		fields[fieldUpstreams] = r.Upstreams
	}
	return fields.encode("encode refusal", nil)
}

var outcomes = []retrier.Outcome{retrier.Complete, retrier.NotRun, retrier.MayHaveRun, retrier.InProgress}

func decodeRefusal(payload []byte) (*Refusal, error) {
	const op = "decode refusal"
	fields, _, err := decodeMetadata(op, payload)
	if err != nil {
		return nil, err
	}
	name := fields.text(fieldOutcome)
	known := slices.IndexFunc(outcomes, func(o retrier.Outcome) bool { return o.String() == name })
	if known < 0 {
		return nil, faulter.Newf(op, KindMalformed, "unknown outcome %q", name)
	}
	r := &Refusal{
		Kind:        fields.text(fieldKind),
		Text:        fields.text(fieldText),
		Outcome:     outcomes[known],
		NothingSent: fields.boolean(fieldNothingSent),
		Upstreams:   fields.texts(fieldUpstreams),
	}
	r.RetryAfter, err = fields.duration(fieldRetryAfter)
	return r, err
}
