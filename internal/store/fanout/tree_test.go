package fanout

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// TestTreeOfAZone checks that each daemon is a few steps from the store, that none has too many
// children, and that small machines have no children if there are enough large ones.
func TestTreeOfAZone(t *testing.T) {
	const large, steps = 11, 3
	partition := store.Partition{Space: "x"}
	for size := 1; size <= 66; size++ {
		var members []membership.Member
		for i := range size {
			daemon := structs.Daemon{ID: structs.NewDaemonID(fmt.Sprintf("10.0.0.%d:7000", i), 1), Zone: "z", Capacity: 8}
			if i < large {
				daemon.Capacity = 44
			}
			members = append(members, membership.Member{Daemon: daemon})
		}
		rand.Shuffle(size, func(i, j int) { members[i], members[j] = members[j], members[i] })
		parents, capacity := map[structs.DaemonID]structs.DaemonID{}, map[structs.DaemonID]int{}
		children := map[structs.DaemonID]int{}
		for _, member := range members {
			capacity[member.Daemon.ID] = member.Daemon.Capacity
			if parent, found := parentOf(member.Daemon, members, partition); found {
				parents[member.Daemon.ID] = parent
				children[parent]++
			}
		}
		if want := max(size-rootsPerZone, 0); len(parents) != want {
			t.Errorf("%d daemons: %d ask a neighbour, want %d", size, len(parents), want)
		}
		for id := range parents {
			at := id
			for range steps {
				at = parents[at]
			}
			if at != "" {
				t.Errorf("%d daemons: %s is more than %d steps from the store", size, id, steps)
			}
		}
		for id, count := range children {
			if count > fanOut || capacity[id] < 44 {
				t.Errorf("%d daemons: %s, of capacity %d, sends to %d", size, id, capacity[id], count)
			}
		}
	}
}

// FuzzUnpackBundle checks that any input is rejected or yields records in order.
func FuzzUnpackBundle(f *testing.F) {
	records := []store.Record{{Key: "a", Value: []byte("1"), Offset: 4}, {Key: "b", Offset: 5}, {Key: "c", Value: []byte("33"), Offset: 8}}
	packed, err := packBundle(3, 9, records)
	if err != nil {
		f.Fatal(err)
	}
	_, got, err := unpackBundle(packed.hash, packed.data)
	if diff := cmp.Diff(len(records), len(got)); diff != "" || err != nil || string(got[2].Value) != "33" || len(got[1].Value) != 0 {
		f.Fatalf("%v, %v", got, err)
	}
	if _, _, err := unpackBundle(packed.hash, packed.data[1:]); err == nil {
		f.Error("a bundle with a wrong hash is accepted")
	}
	f.Add([]byte(`{"from":3,"end":9,"records":[{"key":"a","offset":4,"size":1}]}` + "\n1"))
	f.Add([]byte(`{"from":3,"end":2,"records":[{"key":"a","offset":1,"size":-1}]}` + "\n"))
	f.Fuzz(func(t *testing.T, content []byte) {
		encoder, _ := codec()
		data := encoder.EncodeAll(content, nil)
		got, records, err := unpackBundle(hashOf(data), data)
		if err != nil {
			return
		}
		last := got.from - 1
		for _, record := range records {
			if record.Offset <= last || record.Offset >= got.end {
				t.Fatalf("offset %d after %d, end %d", record.Offset, last, got.end)
			}
			last = record.Offset
		}
	})
}
