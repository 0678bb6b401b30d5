// Package registrar keeps plug-ins by name. A plug-in registers itself in an
// init function in its own file, so that adding one changes no other file.
//
// # Usage
//
//	var Policies = registrar.New[Factory]("routing policy")
//
//	func init() { Policies.Register("round_robin", newRoundRobin) }
//
//	factory, err := Policies.Lookup(name)
package registrar

import (
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/waxwingmount/waxwingmount/pkg/faulter"
)

//go:generate stringer -type=Kind -trimprefix=Kind -output=kind_string.go

// Kind classifies the errors of this package.
type Kind int

// Kinds of error.
const (
	// KindUnknown means that no plug-in is registered under the given name.
	KindUnknown Kind = iota
)

// Error is the error type of this package.
type Error = faulter.Error[Kind]

// Registry maps names to plug-ins of one type. It is safe for concurrent use.
type Registry[T any] struct {
	pluginType string

	mu       sync.RWMutex
	byName   map[string]T
	fallback string
}

// New returns an empty registry; pluginType is the type of plug-in named in
// errors.
func New[T any](pluginType string) *Registry[T] {
	return &Registry[T]{pluginType: pluginType, byName: make(map[string]T)}
}

// Register adds a plug-in. It panics if the name is taken; as plug-ins register
// in init functions, this can only happen at start-up.
func (r *Registry[T]) Register(name string, plugin T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, taken := r.byName[name]; taken {
		panic(fmt.Sprintf("registrar: %s %q registered twice", r.pluginType, name))
	}
	r.byName[name] = plugin
}

// SetFallback sets the name of the plug-in that Lookup returns for an empty
// name.
func (r *Registry[T]) SetFallback(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fallback = name
}

// Lookup returns the plug-in with the given name, or the fallback for an empty
// name. An unknown name is an error of KindUnknown that lists the accepted names.
func (r *Registry[T]) Lookup(name string) (T, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if name == "" {
		name = r.fallback
	}
	plugin, found := r.byName[name]
	if !found {
		return plugin, faulter.Newf("look up "+r.pluginType, KindUnknown,
			"%q is not one of: %s", name, strings.Join(r.namesLocked(), ", "))
	}
	return plugin, nil
}

// Names returns the registered names in alphabetical order.
func (r *Registry[T]) Names() []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.namesLocked()
}

func (r *Registry[T]) namesLocked() []string {
	names := make([]string, 0, len(r.byName))
	for name := range r.byName {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
