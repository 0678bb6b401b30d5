// Package provider declares the interfaces of the platform that the system
// needs: a transactional table service, an object store and a list of instances.
// Each interface is small, so that other platforms and test doubles can implement
// it.
//
// # Usage
//
// A platform registers itself by name in an init function and is opened with the
// name and address from the settings:
//
//	platform, err := provider.Open("http", netip.MustParseAddrPort("127.0.0.1:7000"))
//
// Every method may return an [Error]. KindUnavailable means that the outcome is
// unknown: a commit may have taken effect. Committing again with the same
// operation ID returns its outcome.
package provider

import (
	"context"
	"net/netip"

	"github.com/waxwingmount/waxwingmount/pkg/registrar"
)

// Reader reads rows of the table service.
type Reader interface {
	// Read returns the row with the given key. A missing row has version zero.
	Read(ctx context.Context, key string) (Row, error)
	// Scan returns all rows whose keys begin with prefix, ordered by key.
	Scan(ctx context.Context, prefix string) ([]Row, error)
}

// Committer commits guarded transactions.
type Committer interface {
	// Commit applies all writes if all guards hold, and none otherwise. For a
	// repeated operation ID it returns the first outcome again.
	Commit(ctx context.Context, tx Transaction) (Outcome, error)
}

// Table is the transactional table service.
type Table interface {
	Reader
	Committer
}

// ObjectStore is the object store. Objects are immutable.
type ObjectStore interface {
	// GetObject returns the object with the given name, or an error of
	// KindNotFound.
	GetObject(ctx context.Context, name string) ([]byte, error)
	// PutObject stores data under name.
	PutObject(ctx context.Context, name string, data []byte) error
}

// Lister lists the instances of the platform. The list may be out of date.
type Lister interface {
	// ListInstances returns every instance that is live or leaving. Beside an error of
	// [KindInvalidEntry] the instances are those that the other entries name.
	ListInstances(ctx context.Context) ([]Instance, error)
}

// Platform combines all interfaces of the platform.
type Platform interface {
	Table
	ObjectStore
	Lister
}

// Factory returns a client of the platform at the given address.
type Factory func(address netip.AddrPort) (Platform, error)

// Platforms holds the factories of the registered platforms, by name.
var Platforms = registrar.New[Factory]("platform")

// Open returns a client of the platform that is registered under name, at the
// given address. An unknown name is an error of registrar.KindUnknown.
func Open(name string, address netip.AddrPort) (Platform, error) {
	factory, err := Platforms.Lookup(name)
	if err != nil {
		return nil, err
	}
	return factory(address)
}
