package configuration

import (
	"maps"
	"slices"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// Fold applies the entry at the state's next offset and returns its verdict. It
// ignores an entry at any other offset and returns false, so that entries of a
// stale read never roll the state back.
func (s *State) Fold(entry framework.LogEntry) (Verdict, bool) {
	if entry.Offset != s.Next {
		return Verdict{}, false
	}
	s.Next++
	verdict := s.applyEntry(entry)
	verdict.Offset = entry.Offset
	verdict.Revision = s.Revision()
	s.recordVerdict(verdict)
	return s.Verdicts[len(s.Verdicts)-1], true
}

// applyEntry decodes an entry, applies it if it is accepted, and returns the
// verdict.
func (s *State) applyEntry(logEntry framework.LogEntry) Verdict {
	entry, err := DecodeEntry(logEntry.Payload)
	if err != nil {
		return Verdict{Reason: VerdictMalformed, Problems: []Problem{{Reason: err.Error()}}}
	}
	if entry.Snapshot != nil {
		return s.applySnapshotNotice(logEntry.Offset, *entry.Snapshot)
	}
	verdict, next := s.Check(entry.Change)
	if verdict.Accepted {
		s.contentHash = contentHashAfter(s.contentHash, s.Configuration, &entry.Change.Patch)
		s.keys.update(s.Configuration, &entry.Change.Patch.Tenants)
		s.Configuration = next
	}
	return verdict
}

// applySnapshotNotice records an announced snapshot if its digest matches this
// state at the snapshot's offset.
func (s *State) applySnapshotNotice(offset structs.LogOffset, notice SnapshotNotice) Verdict {
	before, known := s.Verdict(notice.Offset - 1)
	if !known || before.Digest != notice.Digest || notice.Offset > offset {
		return Verdict{Reason: VerdictBadSnapshot}
	}
	if notice.Offset > s.Snapshot.Offset {
		s.Snapshot = notice
	}
	return Verdict{Reason: VerdictSnapshot}
}

// Check returns the verdict that a change would get as the next entry of the
// log, and the resulting configuration if it is accepted.
func (s *State) Check(change *structs.Change) (Verdict, *structs.Configuration) {
	verdict := Verdict{
		OperationID: change.OperationID,
		Operator:    change.Operator,
		Comment:     change.Comment,
		Base:        change.Base,
		Revision:    s.Revision(),
	}
	if first, known := s.operations[change.OperationID]; known {
		verdict.Reason, verdict.FirstOffset = VerdictDuplicate, first
		return verdict, nil
	}
	if change.Base != s.Revision() {
		verdict.Reason = VerdictStaleBase
		return verdict, nil
	}
	problems := checkChangeMetadata(change)
	next, patchProblems := ApplyPatch(s.Configuration, &change.Patch)
	problems = append(problems, patchProblems...)
	problems = append(problems, validateChange(next, &change.Patch, s.keys)...)
	if len(problems) > 0 {
		verdict.Reason, verdict.Problems = VerdictInvalid, truncateProblems(problems)
		return verdict, nil
	}
	verdict.Accepted = true
	verdict.Revision = next.Revision
	return verdict, next
}

// ApplyPatch returns the patched configuration as a new value, which shares
// unchanged maps with current, and the problems of the patch itself.
func ApplyPatch(current *structs.Configuration, patch *structs.Patch) (*structs.Configuration, []Problem) {
	if current == nil {
		current = &structs.Configuration{}
	}
	next := &structs.Configuration{Revision: current.Revision + 1, Fleet: current.Fleet}
	var problems []Problem
	if patch.Empty() {
		problems = append(problems, Problem{Field: "patch", Reason: "changes nothing"})
	}
	next.Models = applyEdit(current.Models, &patch.Models, "models", &problems)
	next.Templates = applyEdit(current.Templates, &patch.Templates, "templates", &problems)
	next.Tenants = applyEdit(current.Tenants, &patch.Tenants, "tenants", &problems)
	if patch.Fleet != nil {
		next.Fleet = *patch.Fleet
	}
	return next, problems
}

func applyEdit[Name ~string, Value any](current map[Name]Value, edit *structs.Edit[Name, Value], kind string, problems *[]Problem) map[Name]Value {
	if edit.Empty() {
		return current
	}
	next := make(map[Name]Value, len(current)+len(edit.Set))
	maps.Copy(next, current)
	for _, name := range edit.Remove {
		_, exists := current[name]
		_, set := edit.Set[name]
		switch {
		case set:
			*problems = append(*problems, Problem{Field: kind + "." + string(name), Reason: "is both set and removed"})
		case !exists:
			*problems = append(*problems, Problem{Field: kind + "." + string(name), Reason: "cannot be removed, it does not exist"})
		}
		delete(next, name)
	}
	maps.Copy(next, edit.Set)
	return next
}

// contentHashAfter returns the content hash after a patch of current.
func contentHashAfter(sum uint64, current *structs.Configuration, patch *structs.Patch) uint64 {
	if current == nil {
		current = &structs.Configuration{}
		sum += hashValue("fleet", "", current.Fleet)
	}
	sum += contentHashDelta("model", current.Models, &patch.Models)
	sum += contentHashDelta("template", current.Templates, &patch.Templates)
	sum += contentHashDelta("tenant", current.Tenants, &patch.Tenants)
	if patch.Fleet != nil {
		sum += hashValue("fleet", "", *patch.Fleet) - hashValue("fleet", "", current.Fleet)
	}
	return sum
}

func contentHashDelta[Name ~string, Value any](kind string, current map[Name]Value, edit *structs.Edit[Name, Value]) uint64 {
	var difference uint64
	for name, value := range edit.Set {
		difference += hashValue(kind, string(name), value)
		if before, existed := current[name]; existed {
			difference -= hashValue(kind, string(name), before)
		}
	}
	for _, name := range edit.Remove {
		if before, existed := current[name]; existed {
			difference -= hashValue(kind, string(name), before)
		}
	}
	return difference
}

// sortedNames returns the keys of a map in ascending order.
func sortedNames[Name ~string, Value any](values map[Name]Value) []Name {
	return slices.Sorted(maps.Keys(values))
}
