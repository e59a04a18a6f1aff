package peer_test

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// note is a message for these tests.
type note struct {
	Text string `json:"text"`
}

func (*note) MessageKind() peer.Kind { return "test.note" }

func init() { peer.Register(peer.ClassData, &note{}) }

func TestLineIsJSON(t *testing.T) {
	line, err := peer.Encode("10.0.0.1:1#2", `odd"name`, &note{Text: "žemľa\n"})
	if err != nil {
		t.Fatal(err)
	}
	var got map[string]any
	if err := json.Unmarshal(line, &got); err != nil {
		t.Fatalf("%s: %v", line, err)
	}
	want := map[string]any{"from": "10.0.0.1:1#2", "to": `odd"name`, "kind": "test.note", "body": map[string]any{"text": "žemľa\n"}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("line (-want +got):\n%s", diff)
	}
}

func TestDecode(t *testing.T) {
	cases := map[string]struct {
		line string
		want error
	}{
		"as written":        {`{"from":"a#1","to":"b#2","kind":"test.note","body":{"text":"x"}}` + "\n", nil},
		"other order":       {`{"kind":"test.note", "body":{"text":"x"}, "to":"b#2", "from":"a#1"}`, nil},
		"escaped name":      {`{"from":"a\u00231","to":"b#2","kind":"test.note","body":{"text":"x"}}`, nil},
		"more fields":       {`{"from":"a#1","to":"b#2","kind":"test.note","body":{"text":"x"},"later":1}`, nil},
		"unknown kind":      {`{"from":"a#1","to":"b#2","kind":"test.letter","body":{}}`, peer.ErrUnknownKind},
		"cut off":           {`{"from":"a#1","to":"b#2","kind":"test.note","body":{"text":"x"}`, peer.ErrMalformed},
		"body of two":       {`{"from":"a#1","to":"b#2","kind":"test.note","body":{"text":"x"}{}}`, peer.ErrMalformed},
		"body missing":      {`{"from":"a#1","to":"b#2","kind":"test.note","body":}`, peer.ErrMalformed},
		"body of bad type":  {`{"from":"a#1","to":"b#2","kind":"test.note","body":[]}`, peer.ErrMalformed},
		"not JSON":          {`hello`, peer.ErrMalformed},
		"nothing":           {``, peer.ErrMalformed},
		"kind is no string": {`{"from":"a#1","to":"b#2","kind":7,"body":{}}`, peer.ErrMalformed},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			from, to, message, err := peer.Decode([]byte(test.line))
			if !eris.Is(err, test.want) {
				t.Fatalf("error %v, want %v", err, test.want)
			}
			if err != nil {
				return
			}
			if diff := cmp.Diff(peer.Message(&note{Text: "x"}), message); diff != "" || from != "a#1" || to != "b#2" {
				t.Errorf("from %s to %s (-want +got):\n%s", from, to, diff)
			}
		})
	}
}

func TestLineThatStopsIsMalformed(t *testing.T) {
	line := `{"from":"a#1","to":"b#2","kind":"test.note","body":{"text":"x"}}`
	for count := range len(line) {
		if _, _, message, err := peer.Decode([]byte(line[:count])); err == nil {
			t.Errorf("%s was taken for %v", line[:count], message)
		}
	}
}

func TestDecoderKeepsNothingOfTheLine(t *testing.T) {
	var decoder peer.Decoder
	line := []byte(`{"from":"a#1","to":"b#2","kind":"test.note","body":{"text":"x"}}`)
	from, to, message, err := decoder.Decode(line)
	if err != nil {
		t.Fatal(err)
	}
	for i := range line {
		line[i] = '!'
	}
	if from != "a#1" || to != "b#2" || message.(*note).Text != "x" {
		t.Errorf("changed with the line: %s %s %+v", from, to, message)
	}
	if from, _, _, err = decoder.Decode([]byte(`{"from":"c#3","to":"b#2","kind":"test.note","body":{"text":"x"}}`)); err != nil || from != structs.DaemonID("c#3") {
		t.Errorf("the sender of the previous line is returned: %s, %v", from, err)
	}
}

// FuzzDecode checks that any line that is accepted can be encoded and decoded again unchanged.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"from":"a#1","to":"b#2","kind":"test.note","body":{"text":"x"}}`))
	f.Add([]byte(`{"kind":"test.note","body":{"text":"\ud800"},"from":"\"","to":""}`))
	f.Add([]byte(`{"from":"a","to":"b","kind":"test.note","body":null}`))
	f.Fuzz(func(t *testing.T, line []byte) {
		from, to, message, err := peer.Decode(line)
		if err != nil {
			return
		}
		again, err := peer.Encode(from, to, message)
		if err != nil {
			t.Fatal(err)
		}
		from2, to2, message2, err := peer.Decode(again)
		if err != nil || from2 != from || to2 != to {
			t.Fatalf("%q: %v", again, err)
		}
		if diff := cmp.Diff(message, message2); diff != "" {
			t.Errorf("changed (-first +second):\n%s", diff)
		}
	})
}
