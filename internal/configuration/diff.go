package configuration

import (
	"github.com/mintpulley/mintpulley/internal/structs"
)

// Diff returns the patch that turns current into wanted. Names that wanted does
// not contain are removed with prune and kept without. A nil fleet policy keeps
// the current one.
func Diff(current *structs.Configuration, wanted *structs.Configuration, fleet *structs.FleetPolicy, prune bool) structs.Patch {
	if current == nil {
		current = &structs.Configuration{}
	}
	patch := structs.Patch{
		Models:    editBetween(current.Models, wanted.Models, prune),
		Templates: editBetween(current.Templates, wanted.Templates, prune),
		Tenants:   editBetween(current.Tenants, wanted.Tenants, prune),
	}
	if fleet != nil && hashValue("", "", *fleet) != hashValue("", "", current.Fleet) {
		policy := *fleet
		patch.Fleet = &policy
	}
	return patch
}

func editBetween[Name ~string, Value any](current, wanted map[Name]Value, prune bool) structs.Edit[Name, Value] {
	var edit structs.Edit[Name, Value]
	for name, value := range wanted {
		before, exists := current[name]
		if exists && hashValue("", "", before) == hashValue("", "", value) {
			continue
		}
		if edit.Set == nil {
			edit.Set = map[Name]Value{}
		}
		edit.Set[name] = value
	}
	if !prune {
		return edit
	}
	for _, name := range sortedNames(current) {
		if _, kept := wanted[name]; !kept {
			edit.Remove = append(edit.Remove, name)
		}
	}
	return edit
}

// ChangeKind is what a patch does to one named value.
type ChangeKind string

// Kinds of change.
const (
	ChangeAdd    ChangeKind = "add"
	ChangeUpdate ChangeKind = "update"
	ChangeRemove ChangeKind = "remove"
)

// NamedChange is one change in the summary of a patch.
type NamedChange struct {
	Kind ChangeKind `json:"kind"`
	// Field is the path of the value, such as "tenants.tally".
	Field string `json:"field"`
}

// Summary lists the changes of a patch to a configuration by kind and name.
func Summary(current *structs.Configuration, patch *structs.Patch) []NamedChange {
	if current == nil {
		current = &structs.Configuration{}
	}
	var changes []NamedChange
	changes = append(changes, editSummary("models", current.Models, &patch.Models)...)
	changes = append(changes, editSummary("templates", current.Templates, &patch.Templates)...)
	changes = append(changes, editSummary("tenants", current.Tenants, &patch.Tenants)...)
	if patch.Fleet != nil {
		changes = append(changes, NamedChange{Kind: ChangeUpdate, Field: "fleet"})
	}
	return changes
}

func editSummary[Name ~string, Value any](kind string, current map[Name]Value, edit *structs.Edit[Name, Value]) []NamedChange {
	var changes []NamedChange
	for _, name := range sortedNames(edit.Set) {
		change := NamedChange{Kind: ChangeAdd, Field: kind + "." + string(name)}
		if _, exists := current[name]; exists {
			change.Kind = ChangeUpdate
		}
		changes = append(changes, change)
	}
	for _, name := range edit.Remove {
		changes = append(changes, NamedChange{Kind: ChangeRemove, Field: kind + "." + string(name)})
	}
	return changes
}
