package ledger

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/store"
)

// load adds a record that was read from the store; restoreAges must be called after the
// last one. It returns an error for a malformed record, which changes nothing.
func (s *state) load(record store.Record) error {
	switch {
	case strings.HasPrefix(record.Key, accountPrefix):
		entry := &accountEntry{}
		if err := json.Unmarshal(record.Value, &entry.account); err != nil {
			return eris.Wrapf(err, "ledger: record %q", record.Key)
		}
		entry.isOnRecord = true
		s.accounts[strings.TrimPrefix(record.Key, accountPrefix)] = entry
	case strings.HasPrefix(record.Key, turnPrefix):
		id := strings.TrimPrefix(record.Key, turnPrefix)
		entry, err := decodeTurn(id, record.Value)
		if err != nil {
			return eris.Wrapf(err, "ledger: record %q", record.Key)
		}
		s.turns[id] = entry
	case record.Key == allowanceKey:
		return s.loadAllowance(record.Value)
	}
	return nil
}

func (s *state) markDirty(key string) { s.dirty[key] = struct{}{} }

// takeDirty returns the records of all changes since the last call.
func (s *state) takeDirty() ([]store.Record, error) {
	if len(s.dirty) > 0 {
		s.markDirty(allowanceKey) // the age of the allowance tells what a lost holder may have granted
	}
	records := make([]store.Record, 0, len(s.dirty))
	for key := range s.dirty {
		value, err := s.value(key)
		if err != nil {
			return nil, err
		}
		records = append(records, store.Record{Key: key, Value: value})
	}
	slices.SortFunc(records, compareRecords)
	clear(s.dirty)
	return records, nil
}

// value encodes the current value of a key; nil deletes the key.
func (s *state) value(key string) ([]byte, error) {
	if key == allowanceKey {
		return s.encodeAllowance(time.Now())
	}
	if id, isAccount := strings.CutPrefix(key, accountPrefix); isAccount {
		if entry := s.accounts[id]; entry != nil {
			s.setHeadroom(entry)
			entry.dropOrigins(s.clock.showMS(time.Now()))
			entry.UsedAtMS = s.clock.showMS(entry.usedAt)
			return json.Marshal(entry.account)
		}
		return nil, nil
	}
	if id, isTurn := strings.CutPrefix(key, turnPrefix); isTurn {
		if entry := s.turns[id]; entry != nil {
			entry.UsedAtMS = s.clock.showMS(entry.usedAt)
			return encodeTurn(entry)
		}
	}
	return nil, nil
}

const (
	// accountBytes approximates the size of an account's record, and turnHeaderBytes that
	// of a turn's record without its texts.
	accountBytes    = 300
	turnHeaderBytes = 120
)

// size returns the approximate size of the shard's records in the store, in bytes.
func (s *state) size() int {
	size := len(s.accounts) * accountBytes
	for _, turn := range s.turns {
		size += len(turn.Input) + len(turn.Output) + turnHeaderBytes
	}
	return size
}

// loadLate adds a turn's record that was read after the shard was taken, unless the turn
// was written since.
func (s *state) loadLate(record store.Record) error {
	id, isTurn := strings.CutPrefix(record.Key, turnPrefix)
	if _, isDirty := s.dirty[record.Key]; !isTurn || isDirty || s.turns[id] != nil {
		return nil
	}
	if err := s.load(record); err != nil {
		return err
	}
	s.restoreUse(s.turns[id])
	return nil
}
