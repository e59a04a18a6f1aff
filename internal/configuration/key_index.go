package configuration

import (
	"github.com/mintpulley/mintpulley/internal/structs"
)

// keyIndex maps a key hash to its tenant.
type keyIndex map[string]structs.TenantName

// claim assigns a key to a tenant. It returns the owner and whether the key was
// free.
func (k keyIndex) claim(hash string, tenant structs.TenantName) (structs.TenantName, bool) {
	if owner, taken := k[hash]; taken {
		return owner, false
	}
	k[hash] = tenant
	return tenant, true
}

// update applies the tenants' edit of an accepted patch.
func (k keyIndex) update(current *structs.Configuration, edit *structs.Edit[structs.TenantName, structs.Tenant]) {
	if current != nil {
		for name := range edit.Set {
			k.removeKeys(current.Tenants[name])
		}
		for _, name := range edit.Remove {
			k.removeKeys(current.Tenants[name])
		}
	}
	for name, tenant := range edit.Set {
		k.addKeys(name, tenant)
	}
}

func (k keyIndex) removeKeys(tenant structs.Tenant) {
	for _, hash := range tenant.KeyHashes {
		delete(k, hash)
	}
}

func (k keyIndex) addKeys(name structs.TenantName, tenant structs.Tenant) {
	for _, hash := range tenant.KeyHashes {
		k[hash] = name
	}
}

// claimFunc assigns a key to a tenant. It returns the owner and whether the key
// was free.
type claimFunc func(hash string, tenant structs.TenantName) (structs.TenantName, bool)
