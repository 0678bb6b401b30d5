package forwarder

import (
	"slices"
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/estimator"
	"github.com/waxwingmount/waxwingmount/pkg/prefixer"
)

// prefixGroup names the current run of an upstream's group. It is the zero value for a plain
// server or a peer.
func (u *upstream) prefixGroup() prefixer.Group {
	state := u.state()
	if state.group == nil {
		return prefixer.Group{}
	}
	return prefixer.Group{Name: u.name, Incarnation: u.head().Incarnation, Epoch: state.group.Epoch}
}

// savedTokens returns how many tokens at the beginning of an attempt's prompt each upstream
// need not read, as far as this entry instance's own requests show. An upstream without a
// free slot saves nothing, since the requests that hold the beginning may end before the
// attempt starts there. The caller holds f.mu.
func (f *Forwarder) savedTokens(p *pool, upstreams []*upstream, works map[*upstream]estimator.Work, a *activeAttempt) map[*upstream]int {
	if len(a.prefix) == 0 || f.prefixes.Empty() {
		return nil
	}
	saved := make(map[*upstream]int)
	for _, u := range upstreams {
		if u.state().group == nil || works[u].Running >= p.usableSlots(u) {
			continue
		}
		if tokens := f.prefixes.Saved(u.prefixGroup(), a.prefix); tokens > 0 {
			saved[u] = min(tokens, a.promptTokens)
		}
	}
	return saved
}

// withBestSaving adds to the sampled upstreams the least loaded of those that save the most, since
// a sample of a few rarely contains it.
func withBestSaving(sampled, all []*upstream, works map[*upstream]estimator.Work, saved map[*upstream]int) []*upstream {
	var best *upstream
	for _, u := range all {
		switch {
		case saved[u] == 0:
		case best == nil || saved[u] > saved[best],
			saved[u] == saved[best] && works[u].Running < works[best].Running:
			best = u
		}
	}
	if best == nil || slices.Contains(sampled, best) {
		return sampled
	}
	return append(slices.Clip(sampled), best)
}

// timeToFirstToken predicts the time to the first token of a prompt whose first saved tokens
// a group need not read. The rest is still compared with them, so only the time that a
// prompt of that length would take is subtracted.
func timeToFirstToken(u *upstream, w estimator.Work, promptTokens, saved int) time.Duration {
	estimate := u.state().estimate
	return estimate.TimeToFirstToken(w, promptTokens) - estimate.PrefillTime(saved)
}

// holdPrefix records at the first event of an attempt that its group has read the prompt. The
// caller holds f.mu.
func (f *Forwarder) holdPrefix(a *activeAttempt) {
	if _, active := a.upstream.active[a]; !active || a.streaming || a.prefixGroup == (prefixer.Group{}) {
		return
	}
	a.held = f.prefixes.Hold(a.prefixGroup, a.prefix)
}

// releasePrefix records that an attempt has ended. The caller holds f.mu.
func (f *Forwarder) releasePrefix(a *activeAttempt) {
	f.prefixes.Release(a.held)
	a.held = prefixer.Run{}
}
