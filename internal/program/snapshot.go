package program

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// shardSnapshot is the serialized state of a shard, ordered by key so that equal
// states give equal bytes.
type shardSnapshot struct {
	Programs   []*Program   `json:"programs"`
	Allowances []*Allowance `json:"allowances,omitempty"`
	Ledgers    []*Ledger    `json:"ledgers,omitempty"`
	// RecoveredAt is when the shard was recovered after the loss of all its replicas.
	RecoveredAt time.Time `json:"recovered_at,omitzero"`
}

// ErrSnapshot is returned for a snapshot that cannot be decoded.
var ErrSnapshot = eris.New("program: malformed snapshot")

// contents returns the state without copying it.
func (s *Shard) contents() shardSnapshot {
	return shardSnapshot{
		Programs:   s.Programs(),
		Allowances: sortedByQuota(s.allowances),
		Ledgers:    sortedByQuota(s.ledgers),

		RecoveredAt: s.recoveredAt,
	}
}

func (s *shardSnapshot) encode() ([]byte, error) {
	data, err := json.Marshal(s)
	return data, eris.Wrap(err, "program: encode snapshot")
}

// Snapshot returns the whole state as JSON.
func (s *Shard) Snapshot() ([]byte, error) {
	contents := s.contents()
	return contents.encode()
}

// Freeze implements replication.StateMachine. It copies only what changes in place;
// histories only grow, and the contents of calls are replaced as a whole.
func (s *Shard) Freeze() func() ([]byte, error) {
	contents := s.contents()
	for i, program := range contents.Programs {
		contents.Programs[i] = program.frozen()
	}
	for i, allowance := range contents.Allowances {
		frozen := *allowance
		contents.Allowances[i] = &frozen
	}
	for i, ledger := range contents.Ledgers {
		frozen := *ledger
		frozen.Totals, frozen.BallotNumbers = maps.Clone(ledger.Totals), maps.Clone(ledger.BallotNumbers)
		contents.Ledgers[i] = &frozen
	}
	return contents.encode
}

// frozen returns a copy that later records do not change.
func (p *Program) frozen() *Program {
	frozen := *p
	frozen.History = p.History.frozen()
	frozen.Open = make([]*CallState, len(p.Open))
	for i, open := range p.Open {
		call := *open
		frozen.Open[i] = &call
	}
	frozen.Settled = make(map[structs.RequestID]*SettledCall, len(p.Settled))
	for request, settled := range p.Settled {
		call := *settled
		frozen.Settled[request] = &call
	}
	frozen.Holds = maps.Clone(p.Holds)
	return &frozen
}

// sortedByQuota returns a map's values in the order of their keys.
func sortedByQuota[T any](values map[structs.QuotaKey]*T) []*T {
	keys := slices.SortedFunc(maps.Keys(values), func(a, b structs.QuotaKey) int {
		return cmp.Or(cmp.Compare(a.Tenant, b.Tenant), cmp.Compare(a.Kind, b.Kind))
	})
	sorted := make([]*T, 0, len(keys))
	for _, key := range keys {
		sorted = append(sorted, values[key])
	}
	return sorted
}

// Restore replaces the state with that of a snapshot. On an error the state is
// unchanged.
func (s *Shard) Restore(data []byte) error {
	var snapshot shardSnapshot
	if err := json.Unmarshal(data, &snapshot); err != nil {
		return eris.Wrap(ErrSnapshot, err.Error())
	}
	if snapshot.hasNulls() {
		return eris.Wrap(ErrSnapshot, "programs, allowances or ledgers: an entry is null")
	}
	restored := NewShardWithMemory(s.memory)
	for _, program := range snapshot.Programs {
		program.fillMaps()
		program.History.cache = restored.cache
		restored.programs[program.Key] = program
	}
	for _, allowance := range snapshot.Allowances {
		restored.allowances[allowance.Quota] = allowance
	}
	for _, ledger := range snapshot.Ledgers {
		restored.ledgers[ledger.Quota] = ledger
	}
	restored.recoveredAt = snapshot.RecoveredAt
	s.Discard()
	*s = *restored
	for key := range s.programs {
		s.updateFootprint(key)
	}
	return nil
}

// hasNulls reports whether an entry is null. JSON decodes null without an error, and
// later uses of the entry would panic.
func (s *shardSnapshot) hasNulls() bool {
	return slices.ContainsFunc(s.Programs, (*Program).hasNulls) ||
		slices.Contains(s.Allowances, nil) ||
		slices.Contains(s.Ledgers, nil)
}

func (p *Program) hasNulls() bool {
	if p == nil || slices.Contains(p.Open, nil) {
		return true
	}
	for _, settled := range p.Settled {
		if settled == nil {
			return true
		}
	}
	return false
}

// fillMaps makes the maps that JSON leaves out when they are empty.
func (p *Program) fillMaps() {
	if p.Settled == nil {
		p.Settled = map[structs.RequestID]*SettledCall{}
	}
	if p.Holds == nil {
		p.Holds = map[structs.HoldID]structs.Hold{}
	}
}
