package program

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/mintpulley/mintpulley/internal/structs"
)

func TestFamilyIsTheRootAndItsDescendants(t *testing.T) {
	shard := NewShard()
	for _, key := range []structs.ProgramKey{
		{Tenant: "a", Program: "p/c/d"}, {Tenant: "a", Program: "p"}, {Tenant: "a", Program: "p/c"},
		{Tenant: "a", Program: "pp"}, {Tenant: "b", Program: "p"},
	} {
		shard.Apply(structs.Record{At: time.Unix(0, 0), ProgramStarted: &structs.ProgramStarted{Key: key}})
	}
	var found []structs.ProgramID
	for _, program := range shard.Family(structs.ProgramKey{Tenant: "a", Program: "p/c"}) {
		found = append(found, program.Key.Program)
	}
	if diff := cmp.Diff([]structs.ProgramID{"p", "p/c", "p/c/d"}, found); diff != "" {
		t.Error(diff)
	}
}

func BenchmarkFamily(b *testing.B) {
	shard := NewShard()
	for i := range 1000 {
		key := structs.ProgramKey{Tenant: "a", Program: structs.ProgramID(fmt.Sprint("p", i))}
		shard.Apply(structs.Record{At: time.Unix(0, 0), ProgramStarted: &structs.ProgramStarted{Key: key}})
	}
	b.Run("family", func(b *testing.B) {
		for b.Loop() {
			shard.Family(structs.ProgramKey{Tenant: "a", Program: "p7"})
		}
	})
	b.Run("all", func(b *testing.B) {
		for b.Loop() {
			shard.Programs()
		}
	})
}
