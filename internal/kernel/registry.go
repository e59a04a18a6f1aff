// Package kernel provides the registry of plug-ins. A plug-in calls Register
// from init in its setup.go; package plugins imports every plug-in for that side
// effect.
package kernel

import (
	"fmt"
	"slices"
	"sync"

	"github.com/rotisserie/eris"
)

// ErrUnknownPlugin is returned for a name that is not registered.
var ErrUnknownPlugin = eris.New("kernel: unknown plug-in")

// Registry maps names to plug-ins of one kind. The zero value is ready to use.
type Registry[T any] struct {
	mutex   sync.RWMutex
	entries map[string]T
}

// Register adds a plug-in. It panics if the name is already registered, which is
// a programming error.
func (r *Registry[T]) Register(name string, plugin T) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.entries == nil {
		r.entries = map[string]T{}
	}
	if _, taken := r.entries[name]; taken {
		panic(fmt.Sprintf("kernel: plug-in %q registered twice", name))
	}
	r.entries[name] = plugin
}

// Lookup returns a plug-in, or ErrUnknownPlugin with the known names.
func (r *Registry[T]) Lookup(name string) (T, error) {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	plugin, found := r.entries[name]
	if !found {
		return plugin, eris.Wrapf(ErrUnknownPlugin, "%q (known: %v)", name, r.names())
	}
	return plugin, nil
}

// Names returns the registered names in ascending order.
func (r *Registry[T]) Names() []string {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	return r.names()
}

func (r *Registry[T]) names() []string {
	names := make([]string, 0, len(r.entries))
	for name := range r.entries {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
