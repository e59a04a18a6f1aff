package dispatch_test

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/mintpulley/mintpulley/internal/dispatch"
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/structs"
)

func TestAnswerCodecAgreesWithEncodingJSON(t *testing.T) {
	answers := []*dispatch.Answer{
		{Submission: 7, Chunks: []structs.Chunk{{Offset: 0, Text: "dvadsať žemlí"}}},
		{Submission: 1 << 40, Chunks: []structs.Chunk{{Offset: 12, Text: "a\"\\\n\t\x01\u2028"}, {Offset: 20, Text: ""}}},
		{Submission: 0, Chunks: []structs.Chunk{}},
	}
	for _, answer := range answers {
		var got dispatch.Answer
		if err := json.Unmarshal(answer.AppendJSON(nil), &got); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(*answer, got); diff != "" {
			t.Errorf("encoding/json reads (-want +got):\n%s", diff)
		}
		line, err := peer.Encode("a#1", "b#2", answer)
		if err != nil {
			t.Fatal(err)
		}
		from, to, decoded, err := peer.Decode(line)
		if err != nil || from != "a#1" || to != "b#2" {
			t.Fatalf("%s %s: %v", from, to, err)
		}
		if diff := cmp.Diff(peer.Message(answer), decoded); diff != "" {
			t.Errorf("decoded (-want +got):\n%s", diff)
		}
	}
}

// FuzzScanAnswer checks that encoding/json accepts whatever the hand-written
// reader accepts, with the same result.
func FuzzScanAnswer(f *testing.F) {
	f.Add([]byte(`{"submission":7,"chunks":[{"o":0,"t":"x"},{"o":1,"t":"\n\"\\"}]}`))
	f.Add([]byte(`{"submission":07,"chunks":[{"o":0,"t":"\ud83e"}]}`))
	f.Add([]byte(`{"submission":7,"chunks":[{"o":0,"t":"x"},]}`))
	f.Add([]byte("{\"submission\":7,\"chunks\":[{\"o\":0,\"t\":\"\xff\"}]}"))
	f.Fuzz(func(t *testing.T, body []byte) {
		var scanned, read dispatch.Answer
		if !scanned.ScanJSON(body) {
			return
		}
		if err := json.Unmarshal(body, &read); err != nil {
			t.Fatalf("%q: %v", body, err)
		}
		if diff := cmp.Diff(read, scanned); diff != "" {
			t.Errorf("%q (-encoding/json +scanned):\n%s", body, diff)
		}
	})
}

func BenchmarkAnswerCodec(b *testing.B) {
	answer := &dispatch.Answer{Submission: 123456, Chunks: []structs.Chunk{{Offset: 4096, Text: "loaves "}}}
	var decoder peer.Decoder
	var line []byte
	b.ReportAllocs()
	for b.Loop() {
		var err error
		if line, err = peer.Append(line[:0], "127.0.0.1:7001#1764660000000000000", "127.0.0.1:7002#1764660000000000001", answer); err != nil {
			b.Fatal(err)
		}
		if _, _, _, err = decoder.Decode(line); err != nil {
			b.Fatal(err)
		}
	}
}
