package detourer

import (
	"net/http"
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/faulter"
	"github.com/waxwingmount/waxwingmount/pkg/responsechecker"
)

// Head begins a response of a backend server.
type Head struct {
	Status int
	Header http.Header
	// Delimited says that the end of the response can be told from the end of the server's
	// connection.
	Delimited bool
	// Stream says that the response is a stream of events.
	Stream bool
	// Took is the time from the arrival of the request at the peer to the head.
	Took time.Duration
}

// Names of the fields of a head.
const (
	fieldStatus    = "status"
	fieldDelimited = "delimited"
	fieldStream    = "stream"
	fieldTook      = "took"
)

func (h *Head) encode() ([]byte, error) {
	fields := metadata{}
	fields.setInt(fieldStatus, h.Status)
	fields.setBool(fieldDelimited, h.Delimited)
	fields.setBool(fieldStream, h.Stream)
	fields.setDuration(fieldTook, h.Took)
	return fields.encode("encode response", h.Header)
}

func decodeHead(payload []byte) (Head, error) {
	fields, header, err := decodeMetadata("decode response", payload)
	if err != nil {
		return Head{}, err
	}
	status, err := fields.integer(fieldStatus)
	if err != nil {
		return Head{}, err
	}
	took, err := fields.duration(fieldTook)
	if err != nil {
		return Head{}, err
	}
	if err := responsechecker.CheckHead(&http.Response{StatusCode: status, Header: header}); err != nil {
		return Head{}, faulter.New("decode response", KindMalformed, err)
	}
	return Head{
		Status:    status,
		Header:    header,
		Delimited: fields.boolean(fieldDelimited),
		Stream:    fields.boolean(fieldStream),
		Took:      took,
	}, nil
}
