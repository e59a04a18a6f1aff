package configuration

import (
	"github.com/mintpulley/mintpulley/internal/structs"
)

// keyOwners finds the tenant of a key.
type keyOwners map[string]structs.TenantName

// claim gives a key to a tenant; false and the owner when it is taken.
func (k keyOwners) claim(hash string, tenant structs.TenantName) (structs.TenantName, bool) {
	if owner, taken := k[hash]; taken {
		return owner, false
	}
	k[hash] = tenant
	return tenant, true
}

// change brings the owners up to date with an accepted patch.
func (k keyOwners) change(current *structs.Configuration, edit *structs.Edit[structs.TenantName, structs.Tenant]) {
	if current != nil {
		for name := range edit.Set {
			k.drop(current.Tenants[name])
		}
		for _, name := range edit.Remove {
			k.drop(current.Tenants[name])
		}
	}
	for name, tenant := range edit.Set {
		k.add(name, tenant)
	}
}

func (k keyOwners) drop(tenant structs.Tenant) {
	for _, hash := range tenant.KeyHashes {
		delete(k, hash)
	}
}

func (k keyOwners) add(name structs.TenantName, tenant structs.Tenant) {
	for _, hash := range tenant.KeyHashes {
		k[hash] = name
	}
}

// claimKey gives a key to a tenant, or tells who has it.
type claimKey func(hash string, tenant structs.TenantName) (structs.TenantName, bool)
