package configuration

import (
	"encoding/binary"
	"encoding/json"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// VerdictWindow is the number of latest verdicts that the state keeps. An
// operation is recognized as a duplicate within this window, so it must be the
// same in every daemon.
const VerdictWindow = 1024

// VerdictReason is the reason why an entry was not applied.
type VerdictReason string

// Reasons of a verdict. An accepted change has none.
const (
	// VerdictStaleBase: the change's base is not the revision in force at its
	// offset.
	VerdictStaleBase VerdictReason = "stale_base"
	// VerdictInvalid: the resulting configuration fails validation.
	VerdictInvalid VerdictReason = "invalid"
	// VerdictDuplicate: an earlier entry has the same operation identifier.
	VerdictDuplicate VerdictReason = "duplicate"
	// VerdictMalformed: the payload cannot be decoded.
	VerdictMalformed VerdictReason = "malformed"
	// VerdictSnapshot: the entry announces a snapshot and changes nothing.
	VerdictSnapshot VerdictReason = "snapshot"
	// VerdictBadSnapshot: the digest of the announced snapshot does not match
	// this state.
	VerdictBadSnapshot VerdictReason = "bad_snapshot"
)

// Verdict is the result of folding one entry. It is the same in every daemon.
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
	// Problems lists why a change is invalid or an entry malformed.
	Problems []Problem `json:"problems,omitempty"`
	// FirstOffset is the offset of the first entry of a duplicate operation.
	FirstOffset structs.LogOffset `json:"first_offset,omitempty"`
	// Digest is the digest of the state after the entry.
	Digest uint64 `json:"digest"`
}

// State is the result of folding the configuration stream up to an offset. It
// depends on the entries alone. It is not safe for concurrent use.
type State struct {
	// Next is the first offset that is not folded yet.
	Next structs.LogOffset `json:"next"`
	// Configuration is the one in force; nil before the first.
	Configuration *structs.Configuration `json:"configuration"`
	// Verdicts are the latest VerdictWindow verdicts, oldest first, one per
	// entry.
	Verdicts []Verdict `json:"verdicts"`
	// Chain is the hash chain over all verdicts so far, including those that
	// have left the window.
	Chain uint64 `json:"chain"`
	// Snapshot is the latest announced snapshot.
	Snapshot SnapshotNotice `json:"snapshot"`

	// contentHash is the sum of the hashes of all named values. Each change
	// updates it incrementally.
	contentHash uint64
	// operations maps an operation identifier to its first offset in the window.
	operations map[string]structs.LogOffset
	// keys maps a key hash to its tenant.
	keys keyIndex
}

// NewState returns an empty state.
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

// Digest identifies the whole state: two states with equal digests have the
// same configuration and give the same verdicts on later entries.
func (s *State) Digest() uint64 {
	var buffer [5 * 8]byte
	for i, part := range []uint64{uint64(s.Next), uint64(s.Revision()), s.contentHash, s.Chain, s.Snapshot.Digest} {
		binary.LittleEndian.PutUint64(buffer[8*i:], part)
	}
	return xxhash.Sum64(buffer[:])
}

// Verdict returns the verdict on the entry at an offset, and false if it is not
// in the window.
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

// OperationVerdict returns the verdict on the first entry of an operation, and
// false if it is not in the window.
func (s *State) OperationVerdict(id string) (Verdict, bool) {
	offset, found := s.operations[id]
	if !found {
		return Verdict{}, false
	}
	return s.Verdict(offset)
}

// recordVerdict appends a verdict and drops those beyond the window.
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

// chainHash extends the hash chain by a verdict.
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

// restore rebuilds the unexported fields from the exported ones.
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

// contentHashOf sums the hashes of all named values. The sum does not depend on
// map order and can be updated per value.
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

// hashValue hashes one named value by its JSON, in which map keys are sorted.
func hashValue[Value any](kind, name string, value Value) uint64 {
	text, err := json.Marshal(value)
	if err != nil {
		// Only NaN and infinite floats cannot be marshaled; validation rejects them.
		text = []byte(err.Error())
	}
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(kind + "\x00" + name + "\x00")
	_, _ = digest.Write(text)
	return digest.Sum64()
}
