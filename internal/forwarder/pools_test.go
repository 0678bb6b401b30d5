package forwarder

import (
	"testing"
	"time"
)

// TestUnknownPoolsAreForgotten guards against memory that grows with the names of models that
// callers make up. Pools that the configuration has keep their averages.
func TestUnknownPoolsAreForgotten(t *testing.T) {
	f := newFixture(t)
	f.applyConfig()
	unknown := []poolKey{{"engines", "x"}, {"plain", "x"}, {"gone", ""}}
	known := []poolKey{{"engines", "m"}, {"plain", ""}}
	f.forwarder.mu.Lock()
	for _, key := range append(unknown, known...) {
		f.forwarder.poolFor(key).usedAt = time.Time{}
	}
	f.forwarder.mu.Unlock()
	f.eventually(func() bool {
		f.forwarder.mu.Lock()
		defer f.forwarder.mu.Unlock()
		for _, key := range known {
			if f.forwarder.pools[key] == nil {
				t.Fatalf("pool %s was forgotten", key)
			}
		}
		return len(f.forwarder.pools) == len(known)
	})
}
