package gateway

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// retryWithoutConfiguration is the retry delay for callers of a daemon that has not
// read a configuration yet.
const retryWithoutConfiguration = 2 * time.Second

// keyDigest is the SHA-256 digest of a bearer key.
type keyDigest [sha256.Size]byte

// keyIndex finds tenants by the digests of their keys. The timing of a lookup depends
// on the digest only, which does not reveal the key, and not on the number of tenants.
type keyIndex struct {
	configuration *structs.Configuration
	tenants       map[keyDigest]structs.TenantName
}

// KeyHash returns the form in which a tenant's key is configured.
func KeyHash(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}

func newKeyIndex(configuration *structs.Configuration) *keyIndex {
	index := &keyIndex{configuration: configuration, tenants: map[keyDigest]structs.TenantName{}}
	for _, name := range slices.Sorted(maps.Keys(configuration.Tenants)) {
		for _, hash := range configuration.Tenants[name].KeyHashes {
			var digest keyDigest
			if n, err := hex.Decode(digest[:], []byte(hash)); err != nil || n != len(digest) {
				continue
			}
			if _, taken := index.tenants[digest]; !taken {
				index.tenants[digest] = name
			}
		}
	}
	return index
}

// currentKeys returns the index for the configuration in force, nil without one.
func (g *Gateway) currentKeys() *keyIndex {
	configuration := g.Configurations.Current()
	if configuration == nil {
		return nil
	}
	index := g.keys.Load()
	if index == nil || index.configuration != configuration {
		index = newKeyIndex(configuration)
		g.keys.Store(index)
	}
	return index
}

// tenantOf returns the tenant whose key the request bears.
func (g *Gateway) tenantOf(r *http.Request) (structs.TenantName, *problem) {
	index := g.currentKeys()
	if index == nil {
		return "", refusal(structs.ReasonNoConfiguration, "", "No configuration is in force yet.", retryWithoutConfiguration)
	}
	key, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if found {
		if tenant, known := index.tenants[keyDigest(sha256.Sum256([]byte(key)))]; known {
			return tenant, nil
		}
	}
	return "", &problem{
		status:  http.StatusUnauthorized,
		outcome: structs.Refused(structs.ReasonInvalidRequest, "Authorization", "The bearer key is missing or not known.", 0),
	}
}
