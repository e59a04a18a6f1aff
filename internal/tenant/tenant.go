// Package tenant tells whose a request is. Operators give tenants keys; whoever
// bears a key acts for its tenant, and programs, turns and sessions of one tenant
// are out of reach of all others.
//
// Keys are held as digests alone: no key can be read from a daemon's memory, and
// looking one up takes a time that tells nothing of those that there are.
package tenant

import (
	"crypto/sha256"
	"strings"

	"github.com/rotisserie/eris"
)

// Errors of a directory.
var (
	// ErrMissingName: a tenant has no name.
	ErrMissingName = eris.New("tenant: name: is missing")
	// ErrDuplicateName: two tenants have the same name.
	ErrDuplicateName = eris.New("tenant: name: is that of another tenant, too")
	// ErrDuplicateKey: two tenants have the same key.
	ErrDuplicateKey = eris.New("tenant: keys: one is that of another tenant, too")
	// ErrEmptyKey: a key has no characters.
	ErrEmptyKey = eris.New("tenant: keys: one is empty")
)

// Tenant is one of those that share a fleet.
type Tenant struct {
	Name string
	// Priority ranks the tenant's requests, 0 first, in place of their routes';
	// nil if it has none of its own.
	Priority *int
	// PerSecond bounds the requests that the tenant may make a second, over all
	// daemons, and Burst how many more at a time; a PerSecond of 0 sets no bound.
	PerSecond float64
	Burst     float64
	// AllowedRegions are those in which its requests may be served and their text
	// kept, nil for all.
	AllowedRegions []string
}

// IsLimited tells whether the tenant's requests are bounded.
func (t *Tenant) IsLimited() bool { return t != nil && t.PerSecond > 0 }

// Regions returns the regions allowed for the tenant's requests, nil for all, as for
// requests of no tenant.
func (t *Tenant) Regions() []string {
	if t == nil {
		return nil
	}
	return t.AllowedRegions
}

// digest is a key's SHA-256.
type digest [sha256.Size]byte

// Directory finds tenants by their keys. It does not change once it is in use.
type Directory struct {
	byKey map[digest]*Tenant
	names map[string]struct{}
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{byKey: map[digest]*Tenant{}, names: map[string]struct{}{}}
}

// Add takes a tenant with its keys. The error is ErrMissingName, ErrDuplicateName,
// ErrEmptyKey or ErrDuplicateKey; it names no key.
func (d *Directory) Add(t *Tenant, keys []string) error {
	if t.Name == "" {
		return ErrMissingName
	}
	if _, taken := d.names[t.Name]; taken {
		return eris.Wrapf(ErrDuplicateName, "%q", t.Name)
	}
	d.names[t.Name] = struct{}{}
	for _, key := range keys {
		if key == "" {
			return ErrEmptyKey
		}
		if owner, taken := d.byKey[sha256.Sum256([]byte(key))]; taken && owner != t {
			return eris.Wrapf(ErrDuplicateKey, "tenants %q and %q", owner.Name, t.Name)
		}
		d.byKey[sha256.Sum256([]byte(key))] = t
	}
	return nil
}

// RestrictsRegions reports whether any tenant restricts the regions of its requests.
func (d *Directory) RestrictsRegions() bool {
	if d == nil {
		return false
	}
	for _, t := range d.byKey {
		if len(t.AllowedRegions) > 0 {
			return true
		}
	}
	return false
}

// Find returns the tenant that a key belongs to, nil if it belongs to none.
func (d *Directory) Find(key string) *Tenant {
	if d == nil || key == "" {
		return nil
	}
	return d.byKey[sha256.Sum256([]byte(key))]
}

// scopeSeparator stands between a tenant's name and what is its own; escapes keep
// it out of both.
const scopeSeparator = "|"

var scopeEscapes = strings.NewReplacer("%", "%25", scopeSeparator, "%7C")

// Scoped names something of a tenant's, so that no other tenant's has the same
// name. What belongs to no tenant ("") keeps its name, but for the characters that
// are escaped.
func Scoped(name, id string) string {
	if id == "" {
		return ""
	}
	id = scopeEscapes.Replace(id)
	if name == "" {
		return id
	}
	return scopeEscapes.Replace(name) + scopeSeparator + id
}
