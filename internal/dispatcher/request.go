package dispatcher

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/waxwingmount/waxwingmount/pkg/configurer"
	"github.com/waxwingmount/waxwingmount/pkg/quarantiner"
	"github.com/waxwingmount/waxwingmount/pkg/retrier"
	"github.com/waxwingmount/waxwingmount/pkg/router"
)

// Request is one request of a caller for a model or a plain service.
type Request struct {
	ID           string
	Organisation configurer.Organisation
	Class        configurer.Class
	// Model is set for completions, Service for calls of plain services.
	Model   string
	Service string
	Method  string
	// Path is the path and query at the back end.
	Path        string
	ContentType string
	Body        []byte
	// Prompt is the text of a completion's prompt, on which caches depend.
	Prompt []byte
	// IdempotencyKey is the caller's idempotency key, or empty.
	IdempotencyKey string
	// Idempotent says that the request may be run more than once.
	Idempotent bool
	// Buffered says that the caller sees nothing before the end.
	Buffered bool
	Deadline time.Time

	// fingerprint identifies the content; the dispatcher fills it in.
	fingerprint quarantiner.Fingerprint
}

const (
	// prefixBlockBytes is the size of the steps by which prefixes grow.
	prefixBlockBytes = 256
	// maxPrefixes bounds how many prefixes of one request are looked at.
	maxPrefixes = 8
	// maxQueueWait bounds how long a request waits for a back end.
	maxQueueWait = 5 * time.Second
)

func (r Request) retryFacts(now time.Time) retrier.Facts {
	return retrier.Facts{
		Idempotent: r.Idempotent,
		Buffered:   r.Buffered,
		Deadline:   r.Deadline,
		QueueUntil: now.Add(maxQueueWait),
	}
}

// withFingerprint returns the request with its fingerprint.
func (r Request) withFingerprint() Request {
	digest := xxhash.New()
	digest.WriteString(r.Organisation.Name + "\x00" + r.Method + "\x00" + r.Path + "\x00")
	digest.Write(r.Body)
	r.fingerprint = quarantiner.Fingerprint(digest.Sum64())
	return r
}

// routingRequest returns what a policy may know of the request.
func (r Request) routingRequest() router.Request {
	return router.Request{Prefixes: PrefixHashes(r.Organisation.Name, r.Prompt)}
}

// PrefixHashes hashes growing prefixes of a prompt, shortest first; a prompt of
// less than a block has one. Prompts of different organisations never share
// any.
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
