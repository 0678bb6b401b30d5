package forwarder

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/waxwingmount/waxwingmount/pkg/limiter"
	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/pkg/permitter"
	"github.com/waxwingmount/waxwingmount/pkg/prefixer"
	"github.com/waxwingmount/waxwingmount/pkg/quarantiner"
)

// RequestMetadata is what a codec reads from the headers of a caller's request.
type RequestMetadata struct {
	// ID is the request ID that the caller chose.
	ID string
	// Key is the caller's API key, or empty.
	Key string
	// Timeout is how long the caller waits for the response, or zero if it is
	// not given.
	Timeout time.Duration
	// Model is the requested model; it is set only for requests to model
	// engines.
	Model        string
	PromptTokens int
	// LengthHint is the caller's estimate of the length of the response in
	// tokens, or zero.
	LengthHint int
	// PromptParts are the parts of the prompt that other requests may share, in order.
	PromptParts []quarantiner.Part
	// PromptPrefix is the beginning of the prompt that other requests may share: all parts
	// up to the first invalid one, with their lengths.
	PromptPrefix []prefixer.Part
}

// OutboundMetadata is what a codec writes into the headers of a request to a
// backend server.
type OutboundMetadata struct {
	// Instance is the ID of the only instance that may run the request.
	Instance     string
	Organisation string
	// Remaining is the time left until the request's deadline.
	Remaining time.Duration
	// Urgency orders the request among those that wait at the server.
	Urgency limiter.Urgency
}

// ResponseMetadata is what a codec reads from the headers of a server's
// response.
type ResponseMetadata struct {
	// ID is the ID of the request that the response belongs to.
	ID string
	// NotRun says that the server is certain not to have run the request.
	NotRun bool
	// Verified says that the response bears the proof that a backend server
	// produced it.
	Verified bool
	// Misdirected says that the server isn't the addressed instance, or isn't
	// the head of its group.
	Misdirected bool
	// FailedInstance is the ID of the instance that kept the server from
	// serving the request, or empty.
	FailedInstance string
	// Limit is the rate of requests that the server takes from all entry instances
	// together. LimitErr is set if the response states a rate that can't be read.
	Limit    permitter.RateLimit
	LimitErr error
	// Leaving says that the server is about to shut down and wants no new requests.
	Leaving bool
	// Deferral is the time for which a server that did not run the request wants no
	// other request from this entry instance, or zero. DeferralErr is set if the
	// response states a time that can't be read.
	Deferral    time.Duration
	DeferralErr error
}

// Codec translates between HTTP headers and the metadata of requests and
// responses.
type Codec interface {
	// ParseRequest reads the header of a caller's request.
	ParseRequest(header http.Header) RequestMetadata
	// PrepareRequest turns the header of a caller's request into the header
	// that is sent to a server.
	PrepareRequest(header http.Header, outbound OutboundMetadata)
	// ParseResponse reads the header of a server's response.
	ParseResponse(status int, header http.Header) ResponseMetadata
	// SetRequestID sets the request ID in a response that the forwarder itself
	// generates.
	SetRequestID(header http.Header, id string)
}

// Request is a caller's request with its whole body.
type Request struct {
	RequestMetadata
	Host   string
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Path   string
	Header http.Header
	Body   []byte
	// Arrived is when the request had been read.
	Arrived time.Time
	// Detour is set if the request came from a peer.
	Detour *Detour
}

// fingerprint identifies the content of a request: its organisation, method,
// target and body.
func (r *Request) fingerprint(o mapper.Organisation) quarantiner.Fingerprint {
	digest := xxhash.New()
	digest.WriteString(o.Name + "\x00" + r.Method + "\x00" + r.Target + "\x00")
	digest.Write(r.Body)
	return quarantiner.Fingerprint(digest.Sum64())
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// withoutHopByHop returns a copy of a header without the fields that apply to a
// single connection.
func withoutHopByHop(header http.Header) http.Header {
	kept := header.Clone()
	for _, names := range header.Values("Connection") {
		for _, name := range splitList(names) {
			kept.Del(name)
		}
	}
	for _, name := range hopByHopHeaders {
		kept.Del(name)
	}
	return kept
}
