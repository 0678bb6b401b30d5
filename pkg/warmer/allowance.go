package warmer

import "time"

const (
	// window is the time in which an entry instance uses at most its number of
	// allowances: one second and the time between an allowance and the first byte.
	window = 1050 * time.Millisecond
	// allowanceTTL is how long after an allowance the first byte may be sent. It is shorter
	// than what window exceeds a second by.
	allowanceTTL = 40 * time.Millisecond
	// minSpacingFraction is the least time between two allowances, as a fraction of an even
	// spacing. It lets an instance that was late catch up without a burst.
	minSpacingFraction = 0.5
)

// Allowance permits one request to one server. The zero value permits a request to a
// server without a limit only.
type Allowance struct{ at time.Time }

// Allowed reports whether this entry instance may send a request to a server now.
func (w *Warmer) Allowed(now time.Time, name string) bool {
	s, known := w.servers[name]
	if !known || !s.isLimited(now) {
		return true
	}
	w.ensureRank(name, s)
	if !w.hasRoom(now, s) {
		return false
	}
	spacing := time.Duration(minSpacingFraction * float64(window) / float64(w.part(now, s)))
	return len(s.used) == 0 || now.Sub(s.used[len(s.used)-1]) >= spacing
}

// Limited reports whether the rate of requests to a server is limited.
func (w *Warmer) Limited(now time.Time, name string) bool {
	s, known := w.servers[name]
	return known && s.isLimited(now)
}

// Use takes an allowance for a server to which a request is allowed.
func (w *Warmer) Use(now time.Time, name string) Allowance {
	s, known := w.servers[name]
	if !known || !s.isLimited(now) {
		return Allowance{}
	}
	s.used = append(s.used, now)
	return Allowance{at: now}
}

// Confirm reports whether the first byte of a request may be sent now, and returns the
// allowance by which it may. One that is too old, because the process was paused or the
// connection took long, counts from now on if there is still room for it, and is void
// otherwise.
func (w *Warmer) Confirm(now time.Time, name string, a Allowance) (Allowance, bool) {
	s, known := w.servers[name]
	if !known || !s.isLimited(now) {
		return a, true
	}
	if age := now.Sub(a.at); age >= 0 && age < allowanceTTL {
		return a, true
	}
	s.release(a)
	w.ensureRank(name, s)
	if !w.hasRoom(now, s) {
		return Allowance{}, false
	}
	return w.Use(now, name), true
}

// release takes back an allowance with which nothing was sent.
func (s *server) release(a Allowance) {
	for i, at := range s.used {
		if at.Equal(a.at) {
			s.used = append(s.used[:i], s.used[i+1:]...)
			return
		}
	}
}

// hasRoom reports whether this entry instance has a part of a server's rate that is not used
// up.
func (w *Warmer) hasRoom(now time.Time, s *server) bool {
	for len(s.used) > 0 && now.Sub(s.used[0]) >= window {
		s.used = s.used[1:]
	}
	return !now.Before(w.allowedFrom) && !now.Before(s.notBefore) && len(s.used) < w.part(now, s)
}

func (w *Warmer) ensureRank(name string, s *server) {
	if !s.ranked {
		s.rank, s.ranked = w.rank(name), true
	}
}
