package configuration

import (
	"encoding/binary"
	"encoding/json"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// VerdictWindow is how many of the latest verdicts the fold remembers. It is
// part of the fold, since an operation is recognised as a duplicate within it:
// it must be the same in every daemon.
const VerdictWindow = 1024

// VerdictReason tells why an entry was not applied.
type VerdictReason string

// Reasons of a verdict. An applied change has none.
const (
	// VerdictStaleBase: the change builds on another revision than the one in
	// force at its place in the log.
	VerdictStaleBase VerdictReason = "stale_base"
	// VerdictInvalid: the configuration that would result fails a check.
	VerdictInvalid VerdictReason = "invalid"
	// VerdictDuplicate: an entry with the same operation came before.
	VerdictDuplicate VerdictReason = "duplicate"
	// VerdictMalformed: the payload cannot be read.
	VerdictMalformed VerdictReason = "malformed"
	// VerdictSnapshot: the entry tells of a snapshot and changes nothing.
	VerdictSnapshot VerdictReason = "snapshot"
	// VerdictBadSnapshot: the snapshot told of is not one of this fold.
	VerdictBadSnapshot VerdictReason = "bad_snapshot"
)

// Verdict is what the fold decided about one entry. Every daemon comes to the
// same one.
type Verdict struct {
	Offset      structs.LogOffset `json:"offset"`
	OperationID string            `json:"operation_id,omitempty"`
	Operator    string            `json:"operator,omitempty"`
	Comment     string            `json:"comment,omitempty"`
	Base        structs.Revision  `json:"base"`
	// Revision is the revision in force after the entry.
	Revision structs.Revision `json:"revision"`
	Accepted bool             `json:"accepted"`
	Reason   VerdictReason    `json:"reason,omitempty"`
	// Problems say what an invalid change would break.
	Problems []Problem `json:"problems,omitempty"`
	// FirstOffset is the first entry of a duplicated operation.
	FirstOffset structs.LogOffset `json:"first_offset,omitempty"`
	// Digest is the digest of the fold after the entry.
	Digest uint64 `json:"digest"`
}

// State is the fold of the configuration stream up to an offset. It depends
// on the entries alone. It is not safe for concurrent use.
type State struct {
	// Next is the first offset not folded yet.
	Next structs.LogOffset `json:"next"`
	// Configuration is the one in force; nil before the first.
	Configuration *structs.Configuration `json:"configuration"`
	// Verdicts are the latest, oldest first, one per entry.
	Verdicts []Verdict `json:"verdicts"`
	// Chain hashes all verdicts so far, those forgotten included.
	Chain uint64 `json:"chain"`
	// Snapshot is the latest snapshot told of.
	Snapshot SnapshotNotice `json:"snapshot"`

	// contents is the sum of the hashes of all named values, kept up to date
	// by each change instead of hashing the whole configuration again.
	contentHash uint64
	// operations finds the first entry of an operation within the window.
	operations map[string]structs.LogOffset
	// keys finds the tenant of a key.
	keys keyIndex
}

// NewState returns the fold of nothing.
func NewState() *State {
	return &State{operations: map[string]structs.LogOffset{}, keys: keyIndex{}}
}

// Revision returns the revision in force, 0 before the first.
func (s *State) Revision() structs.Revision {
	if s.Configuration == nil {
		return 0
	}
	return s.Configuration.Revision
}

// Digest identifies the whole state: two folds with equal digests have the
// same configuration and will judge later entries alike.
func (s *State) Digest() uint64 {
	var buffer [5 * 8]byte
	for i, part := range []uint64{uint64(s.Next), uint64(s.Revision()), s.contentHash, s.Chain, s.Snapshot.Digest} {
		binary.LittleEndian.PutUint64(buffer[8*i:], part)
	}
	return xxhash.Sum64(buffer[:])
}

// Verdict returns the verdict on the entry at an offset, if it is remembered.
func (s *State) Verdict(offset structs.LogOffset) (Verdict, bool) {
	if len(s.Verdicts) == 0 {
		return Verdict{}, false
	}
	at := offset - s.Verdicts[0].Offset
	if at < 0 || at >= structs.LogOffset(len(s.Verdicts)) {
		return Verdict{}, false
	}
	return s.Verdicts[at], true
}

// OperationVerdict returns the verdict on the first entry of an operation, if it is
// remembered.
func (s *State) OperationVerdict(id string) (Verdict, bool) {
	offset, found := s.operations[id]
	if !found {
		return Verdict{}, false
	}
	return s.Verdict(offset)
}

// remember adds a verdict and forgets those beyond the window.
func (s *State) recordVerdict(verdict Verdict) {
	s.Chain = chainHash(s.Chain, &verdict)
	verdict.Digest = s.Digest()
	s.Verdicts = append(s.Verdicts, verdict)
	if verdict.OperationID != "" && verdict.Reason != VerdictDuplicate {
		s.operations[verdict.OperationID] = verdict.Offset
	}
	surplus := len(s.Verdicts) - VerdictWindow
	for i := range max(surplus, 0) {
		s.forgetOperation(&s.Verdicts[i])
	}
	if surplus > 0 {
		s.Verdicts = slices.Delete(s.Verdicts, 0, surplus)
	}
}

func (s *State) forgetOperation(verdict *Verdict) {
	if offset, found := s.operations[verdict.OperationID]; found && offset == verdict.Offset {
		delete(s.operations, verdict.OperationID)
	}
}

// chain hashes a verdict onto the hash of those before it.
func chainHash(before uint64, verdict *Verdict) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	var number [8]byte
	for _, part := range []uint64{before, uint64(verdict.Offset), uint64(verdict.Revision)} {
		binary.LittleEndian.PutUint64(number[:], part)
		_, _ = digest.Write(number[:])
	}
	_, _ = digest.WriteString(verdict.OperationID)
	_, _ = digest.WriteString("\x00" + string(verdict.Reason))
	return digest.Sum64()
}

// restore rebuilds what is derived from the exported fields.
func (s *State) restore() {
	s.contentHash = contentHashOf(s.Configuration)
	s.keys = keyIndex{}
	if s.Configuration != nil {
		for name, tenant := range s.Configuration.Tenants {
			s.keys.addKeys(name, tenant)
		}
	}
	s.operations = make(map[string]structs.LogOffset, len(s.Verdicts))
	for i := range s.Verdicts {
		verdict := &s.Verdicts[i]
		if verdict.OperationID != "" && verdict.Reason != VerdictDuplicate {
			s.operations[verdict.OperationID] = verdict.Offset
		}
	}
}

// contentsOf sums the hashes of all named values. A sum does not depend on
// the order in which the values came.
func contentHashOf(configuration *structs.Configuration) uint64 {
	if configuration == nil {
		return 0
	}
	sum := hashValue("fleet", "", configuration.Fleet)
	for name, model := range configuration.Models {
		sum += hashValue("model", string(name), model)
	}
	for name, template := range configuration.Templates {
		sum += hashValue("template", string(name), template)
	}
	for name, tenant := range configuration.Tenants {
		sum += hashValue("tenant", string(name), tenant)
	}
	return sum
}

// hashOf hashes one named value by its canonical JSON.
func hashValue[Value any](kind, name string, value Value) uint64 {
	text, err := json.Marshal(value)
	if err != nil {
		// Only a float that is no number cannot be written; checks refuse it.
		text = []byte(err.Error())
	}
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(kind + "\x00" + name + "\x00")
	_, _ = digest.Write(text)
	return digest.Sum64()
}
