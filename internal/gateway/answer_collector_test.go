package gateway

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/mintpulley/mintpulley/internal/structs"
)

func TestAnswerCollectorJoinsChunks(t *testing.T) {
	f := newAnswerCollector(100)
	f.Chunks([]structs.Chunk{{Offset: 5, Text: "twenty "}, {Offset: 12, Text: "loaves"}})
	f.Outcome(structs.Outcome{Status: structs.OutcomeCompleted})
	got := f.take(nil)
	want := answerUpdate{text: []byte("twenty loaves"), offset: 5, outcome: &structs.Outcome{Status: structs.OutcomeCompleted}}
	if diff := cmp.Diff(want, got, cmp.AllowUnexported(answerUpdate{})); diff != "" {
		t.Errorf("update (-want +got):\n%s", diff)
	}
	f.Chunks([]structs.Chunk{{Offset: 18, Text: "!"}})
	if next := f.take(got.text); string(next.text) != "!" || next.offset != 18 {
		t.Errorf("next %q at %d", next.text, next.offset)
	}
}

func TestAnswerCollectorKeepsNoMoreThanItsLimit(t *testing.T) {
	f := newAnswerCollector(10)
	f.Chunks([]structs.Chunk{{Offset: 0, Text: "12345678"}})
	f.Chunks([]structs.Chunk{{Offset: 8, Text: "too much"}})
	f.Chunks([]structs.Chunk{{Offset: 16, Text: "x"}})
	got := f.take(nil)
	want := answerUpdate{text: []byte("12345678"), overflowed: true}
	if diff := cmp.Diff(want, got, cmp.AllowUnexported(answerUpdate{}), cmpopts.EquateEmpty()); diff != "" {
		t.Errorf("a gap or an overrun (-want +got):\n%s", diff)
	}
	whole := newAnswerCollector(0)
	whole.Chunks([]structs.Chunk{{Text: "not needed"}})
	if len(whole.text) != 0 {
		t.Error("chunks were buffered with limit 0")
	}
}
