package tenant

import (
	"errors"
	"testing"

	"pgregory.net/rapid"
)

func TestKeysIdentifyTheirTenant(t *testing.T) {
	d := NewDirectory()
	if err := d.Add(&Tenant{Name: "a"}, []string{"k1", "k2"}); err != nil {
		t.Fatal(err)
	}
	if err := d.Add(&Tenant{Name: "b"}, []string{"k3"}); err != nil {
		t.Fatal(err)
	}
	for key, want := range map[string]string{"k1": "a", "k2": "a", "k3": "b"} {
		if got := d.Find(key); got == nil || got.Name != want {
			t.Errorf("%s: got %v, want tenant %s", key, got, want)
		}
	}
	for _, key := range []string{"", "k", "K1", "k1 "} {
		if got := d.Find(key); got != nil {
			t.Errorf("%q is a key of %s", key, got.Name)
		}
	}
	if got := (*Directory)(nil).Find("k1"); got != nil {
		t.Error("a nil directory found a tenant")
	}
}

func TestDirectoryRefusesAmbiguousEntries(t *testing.T) {
	for name, test := range map[string]struct {
		tenant Tenant
		keys   []string
		want   error
	}{
		"no name":    {Tenant{}, []string{"k2"}, ErrMissingName},
		"taken name": {Tenant{Name: "a"}, []string{"k2"}, ErrDuplicateName},
		"empty key":  {Tenant{Name: "b"}, []string{""}, ErrEmptyKey},
		"taken key":  {Tenant{Name: "b"}, []string{"k1"}, ErrDuplicateKey},
	} {
		d := NewDirectory()
		if err := d.Add(&Tenant{Name: "a"}, []string{"k1"}); err != nil {
			t.Fatal(err)
		}
		if err := d.Add(&test.tenant, test.keys); !errors.Is(err, test.want) {
			t.Errorf("%s: got %v, want %v", name, err, test.want)
		}
	}
}

// TestScopesAreDisjoint guards against names of tenants and callers that are chosen so
// that scoped identifiers of two tenants collide.
func TestScopesAreDisjoint(t *testing.T) {
	part := rapid.StringOf(rapid.SampledFrom([]rune("ab|%7C2")))
	rapid.Check(t, func(t *rapid.T) {
		name, other := part.Draw(t, "name"), part.Draw(t, "other")
		id, otherID := part.Draw(t, "id"), part.Draw(t, "otherID")
		same := name == other && id == otherID || id == "" && otherID == ""
		if got := Scoped(name, id) == Scoped(other, otherID); got != same {
			t.Errorf("%q of %q and %q of %q: equal scoped identifiers: %v, want %v", id, name, otherID, other, got, same)
		}
	})
	if got := Scoped("", "3fa81c"); got != "3fa81c" {
		t.Errorf("without a tenant 3fa81c is scoped to %q", got)
	}
}
