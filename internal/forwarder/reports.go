package forwarder

import (
	"sync"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/pkg/estimator"
)

// Reports are values of one kind, by name, that entry instances tell each other: each its own
// to the peers of its data centre, directly or through collectors, and the sums of a data
// centre to the others. They are safe for concurrent use.
type Reports[T estimator.Summable[T]] struct {
	// mu guards the table, which the owner reads under its own lock.
	mu    *sync.Mutex
	table *estimator.ReportTable[T]
	local func() map[string]T
}

// Local returns this entry instance's own values.
func (r *Reports[T]) Local() map[string]T { return r.local() }

// SetPeer records the values of a peer in this data centre.
func (r *Reports[T]) SetPeer(peer string, values map[string]T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.SetPeer(clocker.Now(), peer, values)
}

// SetDataCentre records the sums of another data centre.
func (r *Reports[T]) SetDataCentre(dataCentre string, values map[string]T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.SetDataCentre(clocker.Now(), dataCentre, values)
}

// DataCentreExcept returns the sums of this data centre without what some peers report, such
// as the other collectors. Without any, they are what the other data centres are told.
func (r *Reports[T]) DataCentreExcept(peers ...string) map[string]T {
	own := r.local()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.DataCentreExcept(clocker.Now(), own, peers)
}

// DataCentres returns the sums of all other data centres together.
func (r *Reports[T]) DataCentres() map[string]T {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.DataCentres(clocker.Now())
}
