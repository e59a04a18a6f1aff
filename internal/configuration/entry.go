package configuration

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// MaxEntryBytes bounds the payload of one entry. It must be the same in every
// daemon: larger entries are malformed.
const MaxEntryBytes = 1 << 20

// Errors of the entry decoder.
var (
	// ErrTooLarge is returned for a payload that exceeds MaxEntryBytes.
	ErrTooLarge = eris.New("configuration: entry too large")
	// ErrMalformed is returned for a payload that is not a valid entry.
	ErrMalformed = eris.New("configuration: malformed entry")
)

// Entry is the payload of one entry of the configuration stream. Exactly one
// of the pointers is set.
type Entry struct {
	Change *structs.Change `json:"change,omitempty"`
	// Snapshot announces a stored snapshot.
	Snapshot *SnapshotNotice `json:"snapshot,omitempty"`
}

// SnapshotNotice announces a snapshot of the state and its location.
type SnapshotNotice struct {
	// Offset is the first configuration entry that the snapshot does not
	// include.
	Offset structs.LogOffset `json:"offset"`
	// Digest is the digest of the state at Offset.
	Digest uint64 `json:"digest"`
	// StoredAt is the snapshot's offset in StreamSnapshots.
	StoredAt structs.LogOffset `json:"stored_at"`
}

// EncodeEntry returns the payload of an entry. Map keys are sorted, so equal
// entries have equal bytes.
func EncodeEntry(entry Entry) ([]byte, error) {
	payload, err := json.Marshal(entry)
	if err != nil {
		return nil, eris.Wrap(ErrMalformed, err.Error())
	}
	if len(payload) > MaxEntryBytes {
		return nil, eris.Wrapf(ErrTooLarge, "%d bytes", len(payload))
	}
	return payload, nil
}

// EncodeFullChange returns the payload of a change that sets all models,
// templates and tenants of a configuration. The name is used as the operation
// identifier and as the operator.
func EncodeFullChange(name string, wanted structs.Configuration) ([]byte, error) {
	return EncodeEntry(Entry{Change: &structs.Change{OperationID: name, Operator: name, Patch: structs.Patch{
		Models:    structs.Edit[structs.ModelName, structs.Model]{Set: wanted.Models},
		Templates: structs.Edit[structs.TemplateName, structs.Template]{Set: wanted.Templates},
		Tenants:   structs.Edit[structs.TenantName, structs.Tenant]{Set: wanted.Tenants},
	}}})
}

// DecodeEntry decodes a payload. Unknown fields are an error: a daemon that
// ignored a field would fold a different configuration than one that knows it.
func DecodeEntry(payload []byte) (Entry, error) {
	if len(payload) > MaxEntryBytes {
		return Entry{}, eris.Wrapf(ErrTooLarge, "%d bytes", len(payload))
	}
	var entry Entry
	decoder := json.NewDecoder(bytes.NewReader(payload))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&entry); err != nil {
		return Entry{}, eris.Wrap(ErrMalformed, err.Error())
	}
	if _, err := decoder.Token(); err != io.EOF {
		return Entry{}, eris.Wrap(ErrMalformed, "text after the entry")
	}
	if (entry.Change == nil) == (entry.Snapshot == nil) {
		return Entry{}, eris.Wrap(ErrMalformed, "want either a change or a snapshot")
	}
	return entry, nil
}
