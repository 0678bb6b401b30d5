package forwarder

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/internal/logger"
	"github.com/waxwingmount/waxwingmount/pkg/quarantiner"
	"github.com/waxwingmount/waxwingmount/pkg/retrier"
)

// partLimits say when a part of prompts is blocked. The users' documentation counts from
// the fifth crash.
var partLimits = quarantiner.PartLimits{
	Sites: 3, Requests: 3, Span: 300 * time.Millisecond, Share: 0.5, ShareMargin: time.Second,
	ClearedSites: 5, ClearedSpan: time.Second, ClearedExpiry: 20 * time.Second,
	Trust: 2 * time.Second, Settling: 250 * time.Millisecond, Expiry: StrikeExpiry,
	SiteCapacity: 128, PartCapacity: 4096, PartsPerSite: 256, PartsPerRequest: 32,
}

// soundAfter is how long a server has to go on with a stream to show that the request
// does not crash it: such a server crashes when it begins to write.
const soundAfter = time.Second

// maxCountedWait is how much of the wait for one event counts as waiting for the server.
const maxCountedWait = soundAfter / 2

// AddStrikes records strikes that a peer reported.
func (f *Forwarder) AddStrikes(strikes []quarantiner.Strike) { f.AddEvidence(strikes, nil) }

// AddClearances records clearances that a peer reported.
func (f *Forwarder) AddClearances(clearances []quarantiner.Clearance) {
	f.AddPartEvidence(nil, clearances)
}

// AddEvidence records the strikes and clearances of a peer. Both count at the same moment,
// since strikes alone would block parts that are known to be sound.
func (f *Forwarder) AddEvidence(strikes []quarantiner.Strike, clearances []quarantiner.Clearance) {
	now := clocker.Now()
	f.metrics.peerStrikes.Inc(int64(len(strikes)))
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range strikes {
		f.quarantine.RecordStrike(now, s)
	}
	f.addPartEvidence(now, strikes, clearances)
}

// AddPartEvidence is like AddEvidence for what concerns parts of prompts, which may be
// received again and again: it has an age, and the strikes by content do not, so that these
// would never expire.
func (f *Forwarder) AddPartEvidence(strikes []quarantiner.Strike, clearances []quarantiner.Clearance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addPartEvidence(clocker.Now(), strikes, clearances)
}

// addPartEvidence records evidence on parts of prompts. The caller holds f.mu.
func (f *Forwarder) addPartEvidence(now time.Time, strikes []quarantiner.Strike, clearances []quarantiner.Clearance) {
	for _, c := range clearances {
		f.parts.RecordClearance(now, c)
	}
	for _, s := range strikes {
		f.parts.RecordStrike(now, s)
	}
}

// BlockedParts returns those of some parts of prompts that are blocked.
func (f *Forwarder) BlockedParts(parts []quarantiner.Part) []quarantiner.Part {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.parts.AllBlocked(parts)
}

// Strikes returns all known strikes and clearances, for an entry instance that has just
// started.
func (f *Forwarder) Strikes() ([]quarantiner.Strike, []quarantiner.Clearance) {
	now := clocker.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	return append(f.quarantine.AllStrikes(now), f.parts.AllStrikes(now)...), f.parts.AllClearances(now)
}

// judgeParts judges the evidence against parts of prompts. Requests with a part that
// becomes blocked are refused if they are queued, and canceled at servers that have not
// begun to write.
func (f *Forwarder) judgeParts(ctx context.Context) {
	f.mu.Lock()
	changes := f.parts.Advance(clocker.Now())
	if len(changes.Blocked) > 0 {
		f.refuseBlocked()
		f.cancelBlocked()
	}
	blocked := f.parts.BlockedCount()
	f.mu.Unlock()
	for _, b := range changes.Blocked {
		log.WithFields(log.Fields{logger.FieldPart: b.Part.String(), "crashes": b.Sites}).Warn(logger.LinePartBlocked)
	}
	for _, part := range changes.Released {
		log.WithField(logger.FieldPart, part.String()).Info(logger.LinePartReleased)
	}
	if len(changes.Blocked)+len(changes.Released) > 0 {
		f.metrics.blockedParts.Update(float64(blocked))
	}
	if len(changes.Clearances) > 0 {
		log.WithField(logger.FieldParts, clearedNames(changes.Clearances)).Info(logger.LinePartsCleared)
		f.Peers.BroadcastClearances(ctx, changes.Clearances)
	}
}

// refuseBlocked refuses the queued requests with a blocked part. The caller holds f.mu.
func (f *Forwarder) refuseBlocked() {
	for _, p := range f.pools {
		for ticket, w := range p.waiting {
			if err := f.blockedPart(w.parts); err != nil {
				p.queue.Cancel(ticket)
				p.notify(ticket, &Refusal{Op: "admit", Kind: KindQuarantined, Outcome: retrier.NotRun, Err: err})
			}
		}
	}
}

// cancelBlocked cancels the attempts with a blocked part that have no event yet. The
// caller holds f.mu.
func (f *Forwarder) cancelBlocked() {
	for _, u := range f.upstreams {
		for a := range u.active {
			if _, blocked := f.parts.Blocked(a.parts); blocked && !a.streaming {
				a.cancel(errBlocked)
			}
		}
	}
}

// blockedPart returns the reason for which a request with these parts is refused, and
// counts it, or nil. The caller holds f.mu.
func (f *Forwarder) blockedPart(parts []quarantiner.Part) error {
	part, blocked := f.parts.Blocked(parts)
	if !blocked {
		return nil
	}
	f.metrics.partRefusals.Inc(1)
	return errors.Wrapf(errBlocked, "part %s", part)
}

// isPartBlocked reports whether the request must get no further attempt. The caller holds
// f.mu.
func (x *exchange) isPartBlocked() bool {
	err := x.f.blockedPart(x.request.PromptParts)
	if err != nil {
		x.lastErr = err
	}
	return err != nil
}

// recordWait records for how long the forwarder waited for an event that followed
// another one. Events that were received while the caller was slow to read don't count:
// the server may have crashed since it sent them.
func (x *exchange) recordWait(a *attempt, waited time.Duration) {
	// A process that was paused did not wait for the server.
	a.awaited += min(waited, maxCountedWait)
	if a.awaited >= soundAfter {
		x.clearParts(a, a.firstEventAt)
	}
}

// clearParts records that the attempt's server has written since a time, and didn't crash
// on the request.
func (x *exchange) clearParts(a *attempt, began time.Time) {
	if a.hop != nil || a.sound || len(x.request.PromptParts) == 0 {
		return
	}
	a.sound = true
	x.f.mu.Lock()
	defer x.f.mu.Unlock()
	x.f.parts.Clear(clocker.Now(), began, x.request.PromptParts)
}

// judgeEnd takes the end of a response, which the server began to write at a time, as a sign
// that the request does not crash it. Where the end of the connection is the end of the
// response, it may as well be a crash, so that the server is watched for a while first.
func (x *exchange) judgeEnd(a *attempt, began time.Time) {
	switch {
	case a.hop != nil:
		// The peer judges it.
	case isDelimited(a.response):
		x.clearParts(a, began)
	case !a.sound && len(x.request.PromptParts) > 0:
		go x.runEndCheck(crashEvidence{upstream: a.active.upstream, firstEventAt: a.firstEventAt, brokeAt: clocker.Now()}, began)
	}
}

// runEndCheck records a strike if a check shows that the head is lost or has restarted, and
// clears the request's parts otherwise.
func (x *exchange) runEndCheck(e crashEvidence, began time.Time) {
	if x.runCrashCheck(e) {
		return
	}
	x.f.mu.Lock()
	defer x.f.mu.Unlock()
	x.f.parts.Clear(clocker.Now(), began, x.request.PromptParts)
}

// isDelimited reports whether the end of a response can be told from the end of its
// connection.
func isDelimited(r *http.Response) bool {
	return r.ContentLength >= 0 || slices.Contains(r.TransferEncoding, "chunked")
}

// partNames returns the names of parts for the log.
func partNames(parts []quarantiner.Part) []string {
	names := make([]string, len(parts))
	for i, p := range parts {
		names[i] = p.String()
	}
	return names
}

func clearedNames(clearances []quarantiner.Clearance) []string {
	names := make([]string, len(clearances))
	for i, c := range clearances {
		names[i] = c.Part.String()
	}
	return names
}
