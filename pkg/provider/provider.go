// Package provider declares what the system needs of the platform: a
// transactional table service, an object store and a list of instances. Each
// interface is small so that another platform, or a test bench, can stand
// behind it.
//
// # Usage
//
// A platform registers itself by name from its own file and is opened from
// settings:
//
//	platform, err := provider.Open(ctx, "http", "127.0.0.1:7000")
//
// Every method may fail with an [Error]. KindUnavailable means that the
// outcome is unknown: a commit may have taken effect, and its operation id
// settles which.
package provider

import (
	"context"
	"net/netip"

	"github.com/waxwingmount/waxwingmount/pkg/registrar"
)

// Reader reads rows of the table service.
type Reader interface {
	// Read returns the row of that key. A missing row has version zero.
	Read(ctx context.Context, key string) (Row, error)
	// Scan returns all rows whose keys begin with prefix, in key order.
	Scan(ctx context.Context, prefix string) ([]Row, error)
}

// Committer commits guarded transactions.
type Committer interface {
	// Commit applies all writes when all guards hold, and none otherwise. A
	// repeated operation id returns the first outcome again.
	Commit(ctx context.Context, tx Transaction) (Outcome, error)
}

// Table is the transactional table service.
type Table interface {
	Reader
	Committer
}

// ObjectStore is the object store. ObjectStore are immutable once put.
type ObjectStore interface {
	// GetObject returns the object of that name, or KindNotFound.
	GetObject(ctx context.Context, name string) ([]byte, error)
	// PutObject stores data under name.
	PutObject(ctx context.Context, name string, data []byte) error
}

// Lister lists the instances that the platform knows. The list lags.
type Lister interface {
	// ListInstances returns every instance that is live or leaving.
	ListInstances(ctx context.Context) ([]Instance, error)
}

// Platform is all that the system needs of the platform.
type Platform interface {
	Table
	ObjectStore
	Lister
}

// Factory opens a platform at an address from settings.
type Factory func(address netip.AddrPort) (Platform, error)

// Platforms holds the registered platforms by name.
var Platforms = registrar.New[Factory]("platform")

// Open returns the platform of that registered name.
func Open(name string, address netip.AddrPort) (Platform, error) {
	factory, err := Platforms.Lookup(name)
	if err != nil {
		return nil, err
	}
	return factory(address)
}
