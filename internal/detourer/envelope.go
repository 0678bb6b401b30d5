package detourer

import (
	"bytes"
	"net/http"
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/faulter"
)

// Envelope is a request that an entry instance hands to a peer.
type Envelope struct {
	// ID is the caller's request ID, and Sender the entry instance that has the request;
	// both are for logs.
	ID     string
	Sender string
	Host   string
	Method string
	// Target is the path and query as the caller sent them, and Path the path alone.
	Target string
	Path   string
	// Header is the caller's header, unchanged.
	Header http.Header
	Body   []byte
	// Remaining is the time until the sender gives the request up.
	Remaining time.Duration
	// Elapsed is the time since the sender had read the request.
	Elapsed time.Duration
	// LastEventID is the event after which a stream resumes, or empty.
	LastEventID string
	// Excluded holds the upstreams that have failed this request.
	Excluded []string
	// Counted says that the sender counts the request towards the demand.
	Counted bool
}

// Names of the fields of an envelope.
const (
	fieldID          = "id"
	fieldSender      = "sender"
	fieldHost        = "host"
	fieldMethod      = "method"
	fieldTarget      = "target"
	fieldPath        = "path"
	fieldRemaining   = "remaining"
	fieldElapsed     = "elapsed"
	fieldLastEventID = "last_event_id"
	fieldExcluded    = "excluded"
	fieldCounted     = "counted"
)

// encodedRequest is the two frames of an envelope, with the body apart.
type encodedRequest struct {
	head []byte
	body []byte
}

func (r *encodedRequest) size() int { return len(r.head) + len(r.body) }

// encode returns the two frames of an envelope. The error is of [KindTooLarge] if it is
// beyond the bounds, and of [KindMalformed] if a field cannot be sent unchanged.
func (e *Envelope) encode(maxBodyBytes int) (*encodedRequest, error) {
	const op = "encode request"
	if len(e.Body) > maxBodyBytes {
		return nil, faulter.Newf(op, KindTooLarge, "body of %d bytes; %d are allowed", len(e.Body), maxBodyBytes)
	}
	fields := metadata{}
	fields.setText(fieldID, e.ID)
	fields.setText(fieldSender, e.Sender)
	fields.setText(fieldHost, e.Host)
	fields.setText(fieldMethod, e.Method)
	fields.setText(fieldTarget, e.Target)
	fields.setText(fieldPath, e.Path)
	fields.setDuration(fieldRemaining, e.Remaining)
	fields.setDuration(fieldElapsed, e.Elapsed)
	fields.setText(fieldLastEventID, e.LastEventID)
	if len(e.Excluded) > 0 {
		fields[fieldExcluded] = e.Excluded
	}
	fields.setBool(fieldCounted, e.Counted)
	head, err := fields.encode(op, e.Header)
	if err != nil {
		return nil, err
	}
	message := bytes.NewBuffer(make([]byte, 0, 2*frameHeaderBytes+len(head)))
	appendFrame(message, frameEnvelope, head)
	bodyHeader := frameHeader(frameBody, len(e.Body))
	message.Write(bodyHeader[:])
	return &encodedRequest{head: message.Bytes(), body: e.Body}, nil
}

// decodeEnvelope decodes an envelope without its body.
func decodeEnvelope(payload []byte) (*Envelope, error) {
	fields, header, err := decodeMetadata("decode request", payload)
	if err != nil {
		return nil, err
	}
	e := &Envelope{
		ID:          fields.text(fieldID),
		Sender:      fields.text(fieldSender),
		Host:        fields.text(fieldHost),
		Method:      fields.text(fieldMethod),
		Target:      fields.text(fieldTarget),
		Path:        fields.text(fieldPath),
		LastEventID: fields.text(fieldLastEventID),
		Excluded:    fields.texts(fieldExcluded),
		Counted:     fields.boolean(fieldCounted),
		Header:      header,
	}
	if e.Remaining, err = fields.duration(fieldRemaining); err != nil {
		return nil, err
	}
	if e.Elapsed, err = fields.duration(fieldElapsed); err != nil {
		return nil, err
	}
	return e, nil
}
