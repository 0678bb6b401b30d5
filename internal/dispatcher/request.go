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
	// Key is the caller's idempotency key, or empty.
	Key string
	// Idempotent says that the request may be run more than once.
	Idempotent bool
	// Buffered says that the caller sees nothing before the end.
	Buffered bool
	Deadline time.Time

	// fingerprint identifies the content; the dispatcher fills it in.
	fingerprint quarantiner.Fingerprint
}

const (
	// prefixBlock is the size of the steps by which prefixes grow.
	prefixBlock = 256
	// maxPrefixes bounds how many prefixes of one request are looked at.
	maxPrefixes = 8
	// maxQueueWait bounds how long a request waits for a back end.
	maxQueueWait = 5 * time.Second
)

func (r Request) facts(now time.Time) retrier.RequestInfo {
	return retrier.RequestInfo{
		Idempotent: r.Idempotent,
		Buffered:   r.Buffered,
		Deadline:   r.Deadline,
		QueueUntil: now.Add(maxQueueWait),
	}
}

// identified returns the request with its fingerprint.
func (r Request) identified() Request {
	digest := xxhash.New()
	digest.WriteString(r.Organisation.Name + "\x00" + r.Method + "\x00" + r.Path + "\x00")
	digest.Write(r.Body)
	r.fingerprint = quarantiner.Fingerprint(digest.Sum64())
	return r
}

// routing returns what a policy may know of the request.
func (r Request) routing() router.Request {
	return router.Request{Prefixes: Prefixes(r.Organisation.Name, r.Prompt)}
}

// Prefixes hashes growing prefixes of a prompt, shortest first; a prompt of
// less than a block has one. Prompts of different organisations never share
// any.
func Prefixes(organisation string, prompt []byte) []uint64 {
	digest := xxhash.New()
	digest.WriteString(organisation + "\x00")
	if len(prompt) < prefixBlock {
		digest.Write(prompt)
		return []uint64{digest.Sum64()}
	}
	var prefixes []uint64
	for start := 0; start+prefixBlock <= len(prompt) && len(prefixes) < maxPrefixes; start += prefixBlock {
		digest.Write(prompt[start : start+prefixBlock])
		prefixes = append(prefixes, digest.Sum64())
	}
	return prefixes
}
