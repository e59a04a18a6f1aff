package configuration

import (
	"testing"

	"github.com/mintpulley/mintpulley/internal/framework"
)

// FuzzFold checks for any payload that the fold advances, is deterministic, keeps
// a correct content hash and never accepts an invalid configuration.
func FuzzFold(f *testing.F) {
	for _, seed := range []string{
		`{"change":{"operation_id":"a","operator":"o","base":1,"patch":{"tenants":{"set":{"shop-2":{"share":1}}}}}}`,
		`{"change":{"operation_id":"a","operator":"o","base":1,"patch":{"tenants":{"remove":["shop-1"]}}}}`,
		`{"change":{"operation_id":"a","operator":"o","base":1,"patch":{"fleet":{"cache_weight":0.5}}}}`,
		`{"snapshot":{"offset":1,"digest":5,"stored_at":0}}`,
		`{}`, `null`, `[`, "\xff",
	} {
		f.Add([]byte(seed))
	}
	first := encoded(f, 0, "first", 0, firstPatch())
	f.Fuzz(func(t *testing.T, payload []byte) {
		one, other := NewState(), NewState()
		for _, state := range []*State{one, other} {
			state.Fold(first)
			if _, folded := state.Fold(framework.LogEntry{Offset: 1, Payload: payload}); !folded || state.Next != 2 {
				t.Fatal("the entry was not folded")
			}
		}
		if one.Digest() != other.Digest() {
			t.Error("two folds of the same log differ")
		}
		if one.contentHash != contentHashOf(one.Configuration) {
			t.Error("the incremental content hash differs from the recomputed one")
		}
		if problems := Validate(one.Configuration); len(problems) > 0 {
			t.Errorf("an invalid configuration is in force: %v", problems)
		}
	})
}

func FuzzDecodeSnapshot(f *testing.F) {
	state := NewState()
	state.Fold(encoded(f, 0, "first", 0, firstPatch()))
	data, err := EncodeSnapshot(state)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte("not packed"))
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := DecodeSnapshot(data, state.Digest())
		if err == nil && got.Digest() != state.Digest() {
			t.Error("a snapshot with another digest was accepted")
		}
	})
}
