package dispatcher

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/waxwingmount/waxwingmount/pkg/configurer"
	"github.com/waxwingmount/waxwingmount/pkg/quarantiner"
	"github.com/waxwingmount/waxwingmount/pkg/retrier"
	"github.com/waxwingmount/waxwingmount/pkg/router"
)

// Request is a caller's request for a model or a plain service.
type Request struct {
	ID           string
	Organisation configurer.Organisation
	Class        configurer.Class
	// Model is set for completions, Service for requests to plain services.
	Model   string
	Service string
	Method  string
	// Path is the path and query that the backend server gets.
	Path        string
	ContentType string
	Body        []byte
	// Prompt is the text of a completion's prompt; prefix caches of the
	// engines are keyed by it.
	Prompt []byte
	// IdempotencyKey is the key that the caller sent, or empty.
	IdempotencyKey string
	// Idempotent says that the request may be run more than once.
	Idempotent bool
	// Buffered says that the caller gets the response only once it is
	// complete, so that a partial response can be discarded.
	Buffered bool
	Deadline time.Time

	// fingerprint is a hash of the content; the dispatcher sets it.
	fingerprint quarantiner.Fingerprint
}

const (
	// prefixBlockBytes is by how much each hashed prefix is longer than the
	// one before.
	prefixBlockBytes = 256
	// maxPrefixes bounds the hashed prefixes of one request.
	maxPrefixes = 8
	// maxQueueWait bounds how long a request waits for a backend server.
	maxQueueWait = 5 * time.Second
)

func (r Request) retryInfo(now time.Time) retrier.RequestInfo {
	return retrier.RequestInfo{
		Idempotent: r.Idempotent,
		Buffered:   r.Buffered,
		Deadline:   r.Deadline,
		QueueUntil: now.Add(maxQueueWait),
	}
}

// withFingerprint returns a copy of the request with its fingerprint set.
func (r Request) withFingerprint() Request {
	digest := xxhash.New()
	digest.WriteString(r.Organisation.Name + "\x00" + r.Method + "\x00" + r.Path + "\x00")
	digest.Write(r.Body)
	r.fingerprint = quarantiner.Fingerprint(digest.Sum64())
	return r
}

// routingRequest returns the properties of the request that a routing policy
// uses.
func (r Request) routingRequest() router.Request {
	return router.Request{Prefixes: PrefixHashes(r.Organisation.Name, r.Prompt)}
}

// PrefixHashes returns hashes of growing prefixes of a prompt, shortest first.
// A prompt shorter than prefixBlockBytes has one hash, of the whole prompt. The
// hashes include the organisation, so that organisations share no prefixes.
func PrefixHashes(organisation string, prompt []byte) []uint64 {
	digest := xxhash.New()
	digest.WriteString(organisation + "\x00")
	if len(prompt) < prefixBlockBytes {
		digest.Write(prompt)
		return []uint64{digest.Sum64()}
	}
	var prefixes []uint64
	for start := 0; start+prefixBlockBytes <= len(prompt) && len(prefixes) < maxPrefixes; start += prefixBlockBytes {
		digest.Write(prompt[start : start+prefixBlockBytes])
		prefixes = append(prefixes, digest.Sum64())
	}
	return prefixes
}
