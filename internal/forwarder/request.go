package forwarder

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/pkg/quarantiner"
)

// RequestMetadata is what the headers of a request tell of it.
type RequestMetadata struct {
	// ID is the caller's name for this attempt.
	ID string
	// Key is the caller's credential, or empty.
	Key string
	// Timeout is how long the caller waits; zero says nothing.
	Timeout time.Duration
	// Model is set for requests to model engines.
	Model        string
	PromptTokens int
	// LengthHint is the caller's guess of the answer's tokens.
	LengthHint int
}

// OutboundMetadata is what a backend server is told with a request.
type OutboundMetadata struct {
	// Instance is the only instance that may run the request.
	Instance     string
	Organisation string
	// Remaining is the time in which the answer is wanted.
	Remaining time.Duration
}

// ResponseMetadata is what the header of an answer tells.
type ResponseMetadata struct {
	// ID is the request that the answer belongs to.
	ID string
	// NotRun proves that the server did not run the request.
	NotRun bool
	// Verified says that the answer bears a server's proof of having made it.
	Verified bool
	// Misdirected says that the server is not the one that was meant, or that
	// it is not the head of the group.
	Misdirected bool
	// FailedInstance names the instance for which the server could not serve.
	FailedInstance string
}

// Codec translates the headers of requests and answers.
type Codec interface {
	// ParseRequest reads a caller's request.
	ParseRequest(header http.Header) RequestMetadata
	// PrepareRequest changes a request's header into the one for a server.
	PrepareRequest(header http.Header, send OutboundMetadata)
	// ParseResponse reads the header of a server's answer.
	ParseResponse(status int, header http.Header) ResponseMetadata
	// SetRequestID marks an answer of our own with the request's name.
	SetRequestID(header http.Header, id string)
}

// Request is one attempt of a caller.
type Request struct {
	RequestMetadata
	Host   string
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Path   string
	Header http.Header
	Body   []byte
	// Arrived is when the request was read.
	Arrived time.Time
}

// fingerprint identifies the content of a request.
func (r *Request) fingerprint(o mapper.Organisation) quarantiner.Fingerprint {
	digest := xxhash.New()
	digest.WriteString(o.Name + "\x00" + r.Method + "\x00" + r.Target + "\x00")
	digest.Write(r.Body)
	return quarantiner.Fingerprint(digest.Sum64())
}

// hopHeaders concern one connection only.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEnd returns a copy of a header without what concerns one connection.
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
