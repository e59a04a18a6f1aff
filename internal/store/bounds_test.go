package store

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func TestSplitAppendsFitTheBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bounds := Bounds{RecordBytes: 200, CallBytes: rapid.IntRange(200, 2000).Draw(t, "call")}
		var records []Record
		for range rapid.IntRange(0, 40).Draw(t, "records") {
			records = append(records, Record{Key: "k", Value: make([]byte, rapid.IntRange(0, 200-1-recordOverhead).Draw(t, "bytes"))})
		}
		var joined []Record
		for _, call := range bounds.Split(records) {
			if !bounds.Accepts(call) {
				t.Fatalf("a call of %d bytes, the bound is %d", SizeOf(call), bounds.CallBytes)
			}
			joined = append(joined, call...)
		}
		if diff := cmp.Diff(records, joined); diff != "" {
			t.Errorf("the calls have other records (-want +got):\n%s", diff)
		}
	})
}

func TestBoundsAreExact(t *testing.T) {
	bounds := Bounds{RecordBytes: 100, CallBytes: 200}
	record := func(bytes int) Record { return Record{Key: "k", Value: make([]byte, bytes-1-recordOverhead)} }
	for name, c := range map[string]struct {
		records []Record
		want    bool
	}{
		"a record at its bound":    {[]Record{record(100)}, true},
		"one byte more":            {[]Record{record(101)}, false},
		"an append at its bound":   {[]Record{record(100), record(100)}, true},
		"an append, one byte more": {[]Record{record(100), record(100), record(17)}, false},
		"no record":                {nil, true},
	} {
		if got := bounds.Accepts(c.records); got != c.want {
			t.Errorf("%s: accepted %v, want %v", name, got, c.want)
		}
	}
	if calls := (Bounds{}).Split([]Record{record(1000), record(1000)}); len(calls) != 1 {
		t.Errorf("without bounds: %d calls, want 1", len(calls))
	}
}
