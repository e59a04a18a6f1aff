package program

import (
	"bytes"
	"testing"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// FuzzRestore guards against panics on malformed snapshots: Restore must take a
// snapshot whole or leave the state unchanged.
func FuzzRestore(f *testing.F) {
	f.Add([]byte(`{"programs":[null]}`))
	f.Add([]byte(`{"allowances":[null],"ledgers":[null]}`))
	f.Add([]byte(`{"programs":[{"key":{"tenant":"t","program":"p"},"open":[null]}]}`))
	f.Add([]byte(`{"programs":[{"key":{"tenant":"t","program":"p"},"settled":{"r":null}}]}`))
	f.Add([]byte(`{"ledgers":[{"quota":{"tenant":"t","kind":"spending"}}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		shard := NewShard()
		before, err := shard.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		failed := shard.Restore(data) != nil
		after, err := shard.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if failed && !bytes.Equal(before, after) {
			t.Error("Restore failed and changed the state")
		}
		shard.Apply(structs.Record{At: time.Unix(0, 0), ProgramEnded: &structs.ProgramEnded{}})
		for _, p := range shard.Programs() {
			shard.Root(p.Key)
			shard.LivePrograms(p.Key.Tenant)
		}
	})
}
