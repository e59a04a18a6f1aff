package placement

import "testing"

// FuzzRestore feeds malformed snapshots to a control shard, which must accept a
// snapshot or keep its state.
func FuzzRestore(f *testing.F) {
	f.Add([]byte(`[null]`))
	f.Add([]byte(`[{"engine":"10.0.0.1:8000","fence":3,"in_force":null}]`))
	f.Add([]byte(`{}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		state := NewState()
		if err := state.Restore(data); err != nil && len(state.engines) > 0 {
			t.Error("a snapshot that was refused has changed the state")
		}
		for range state.InForce() {
		}
		if _, err := state.Snapshot(); err != nil {
			t.Fatal(err)
		}
	})
}
