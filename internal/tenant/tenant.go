// Package tenant identifies the tenant of a request by its key. Programs, turns and
// sessions of one tenant are not accessible to others.
//
// Keys are stored as digests only: no key can be read from a daemon's memory, and the
// timing of a lookup reveals nothing about the stored keys.
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
	ErrDuplicateName = eris.New("tenant: name: is used by another tenant")
	// ErrDuplicateKey: two tenants have the same key.
	ErrDuplicateKey = eris.New("tenant: keys: a key is used by another tenant")
	// ErrEmptyKey: a key is the empty string.
	ErrEmptyKey = eris.New("tenant: keys: a key is empty")
)

// Tenant is one of the clients that share a fleet.
type Tenant struct {
	Name string
	// Priority ranks the tenant's requests, 0 first, in place of their routes'
	// priority; nil if the tenant has none of its own.
	Priority *int
	// PerSecond is the tenant's limit on requests per second over all daemons, and
	// Burst the number of requests allowed beyond it at once. A PerSecond of 0 means
	// no limit.
	PerSecond float64
	Burst     float64
	// AllowedRegions are the regions in which the tenant's requests may be served and
	// their text stored, nil for all.
	AllowedRegions []string
}

// IsLimited reports whether the tenant has a request limit.
func (t *Tenant) IsLimited() bool { return t != nil && t.PerSecond > 0 }

// Regions returns the regions allowed for the tenant's requests, nil for all. A nil
// tenant allows all.
func (t *Tenant) Regions() []string {
	if t == nil {
		return nil
	}
	return t.AllowedRegions
}

// digest is the SHA-256 digest of a key.
type digest [sha256.Size]byte

// Directory finds tenants by their keys. It must not be changed once it is in use.
type Directory struct {
	byKey map[digest]*Tenant
	names map[string]struct{}
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{byKey: map[digest]*Tenant{}, names: map[string]struct{}{}}
}

// Add adds a tenant with its keys. The error wraps ErrMissingName, ErrDuplicateName,
// ErrEmptyKey or ErrDuplicateKey; it contains no key.
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

// Find returns the tenant that a key belongs to, or nil.
func (d *Directory) Find(key string) *Tenant {
	if d == nil || key == "" {
		return nil
	}
	return d.byKey[sha256.Sum256([]byte(key))]
}

// scopeSeparator separates a tenant's name from an identifier; it is escaped in both.
const scopeSeparator = "|"

var scopeEscapes = strings.NewReplacer("%", "%25", scopeSeparator, "%7C")

// Scoped returns an identifier that is unique across tenants. For no tenant ("") it is
// the identifier itself, escaped.
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
