package workload

import (
	"bytes"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// FuzzRead checks that Read rejects arbitrary input or returns a trace that
// survives writing and reading again.
func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"workload":"tally","seed":1,"rate":1,"programs":1}` + "\n" +
		`{"id":"a","tenant":"t","template":"s","arrival_seconds":0.5,"turns":[{"input_tokens":1,"answer_tokens":1}]}`))
	f.Add([]byte(`{"programs":1}` + "\nnull\n"))
	f.Add([]byte(""))
	f.Fuzz(func(t *testing.T, data []byte) {
		trace, err := Read(bytes.NewReader(data))
		if err != nil {
			return
		}
		var written bytes.Buffer
		if err := trace.Write(&written); err != nil {
			t.Fatal(err)
		}
		again, err := Read(&written)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(len(trace.Programs), len(again.Programs)); diff != "" {
			t.Error(diff)
		}
	})
}
