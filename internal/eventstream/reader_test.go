package eventstream

import (
	"errors"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/iotest"
)

func readAll(reader *Reader) (blocks []Block, err error) {
	for {
		block, err := reader.Next()
		if err != nil {
			return blocks, err
		}
		blocks = append(blocks, block)
	}
}

// rawOf returns the bytes of all blocks.
func rawOf(blocks []Block) (raw string) {
	for _, block := range blocks {
		raw += string(block.Raw)
	}
	return raw
}

// eventsOf returns the blocks that are events.
func eventsOf(blocks []Block) []Block {
	return slices.DeleteFunc(slices.Clone(blocks), func(block Block) bool { return !block.IsEvent })
}

func TestWholeEvents(t *testing.T) {
	text := "id: 1\ndata: a\ndata: b\n\n: note\nid:2\r\ndata:c\r\n\r\n"
	blocks, err := readAll(NewReader(iotest.OneByteReader(strings.NewReader(text)), 1000))
	events := eventsOf(blocks)
	if !errors.Is(err, io.EOF) || len(events) != 2 {
		t.Fatalf("%d events, %v", len(events), err)
	}
	if events[0].ID != "1" || string(events[0].Data) != "a\nb" || events[1].ID != "2" || string(events[1].Data) != "c" {
		t.Errorf("got %q %q", events[0].Data, events[1].Data)
	}
	if got := rawOf(blocks); got != text {
		t.Errorf("raw bytes %q, want %q", got, text)
	}
}

func TestEventThatIsCutOff(t *testing.T) {
	events, err := readAll(NewReader(strings.NewReader("id: 1\n\nid: 2\ndata: ha"), 1000))
	if len(events) != 1 || !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("%d events, %v", len(events), err)
	}
}

func TestLongLines(t *testing.T) {
	long := strings.Repeat("x", 100_000)
	events, err := readAll(NewReader(strings.NewReader("id: 1\ndata: "+long+"\ndata: y\n\n"), 200_000))
	if !errors.Is(err, io.EOF) || len(events) != 1 || string(events[0].Data) != long+"\ny" {
		t.Errorf("%d events, %v", len(events), err)
	}
	if _, err := NewReader(strings.NewReader("data: "+long), 1000).Next(); !errors.Is(err, ErrTooLong) {
		t.Errorf("got %v, want %v", err, ErrTooLong)
	}
}

// TestBlocksByTheFormat checks what is an event and what is not (WHATWG HTML, "Server-sent events").
func TestBlocksByTheFormat(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		// data and ids are those of the events; lastID is what a resumption names.
		data   []string
		lastID string
	}{
		"comment":                  {": keep-alive\n\nid: 1\ndata: a\n\n:\n\n", []string{"a"}, "1"},
		"comment in an event":      {"id: 1\n: note\ndata: a\n\n", []string{"a"}, "1"},
		"comments without a blank": {":\n:\n:x\nid: 1\ndata: a\n\n", []string{"a"}, "1"},
		"blank lines":              {"\n\nid: 1\ndata: a\n\n\n\n", []string{"a"}, "1"},
		"block without data":       {"event: x\nid: 4\n\nretry: 10\n\nid: 5\ndata: a\n\n", []string{"a"}, "5"},
		"only an id":               {"data: a\n\nid: 9\n\n", []string{"a"}, "9"},
		"data without a colon":     {"data\n\ndata\ndata\n\ndata:\n\n", []string{"", "\n", ""}, ""},
		"one blank of a value":     {"data:  a \n\ndata:b\n\n", []string{" a ", "b"}, ""},
		"id with a NUL":            {"id: 1\ndata: a\n\nid: 2\x00\ndata: b\n\n", []string{"a", "b"}, "1"},
		"empty id":                 {"id: 1\ndata: a\n\nid\ndata: b\n\n", []string{"a", "b"}, ""},
		"other names":              {"Data: x\n data: y\ndatas: z\nid : 1\ndata: a\n\n", []string{"a"}, ""},
		"CR":                       {"id: 1\rdata: a\rdata: b\r\rdata: c\r\r", []string{"a\nb", "c"}, "1"},
		"CRLF":                     {"id: 1\r\ndata: a\r\n\r\ndata: b\r\n\r\n", []string{"a", "b"}, "1"},
		"mixed":                    {"id: 1\r\ndata: a\rdata: b\n\r\ndata: c\r\n\ndata: d\n\r\rdata: e\r\r\n", []string{"a\nb", "c", "d", "e"}, "1"},
		"byte order mark":          {"\xef\xbb\xbfdata: a\n\n\xef\xbb\xbfdata: b\ndata: c\n\n", []string{"a", "c"}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			for _, source := range []io.Reader{strings.NewReader(c.text), iotest.OneByteReader(strings.NewReader(c.text))} {
				blocks, err := readAll(NewReader(source, 1000))
				if !errors.Is(err, io.EOF) || rawOf(blocks) != c.text {
					t.Errorf("the bytes %q, %v", rawOf(blocks), err)
				}
				lastID := ""
				for _, block := range blocks {
					if block.HasID {
						lastID = block.ID
					}
				}
				var data []string
				for _, event := range eventsOf(blocks) {
					data = append(data, string(event.Data))
				}
				if !slices.Equal(data, c.data) || lastID != c.lastID {
					t.Errorf("data %q, last ID %q", data, lastID)
				}
			}
		})
	}
}

// TestCommentIsNotHeldBack: a comment keeps the connection of the caller open, so it cannot wait for what follows.
func TestCommentIsNotHeldBack(t *testing.T) {
	source, writer := io.Pipe()
	reader := NewReader(source, 1000)
	go func() { _, _ = io.WriteString(writer, ": keep-alive\n") }()
	if block, err := reader.Next(); err != nil || block.IsEvent || string(block.Raw) != ": keep-alive\n" {
		t.Errorf("got %q, %v", block.Raw, err)
	}
}

// TestEventIsNotHeldBackForALineFeed: behind a carriage return a line feed may follow, or not.
func TestEventIsNotHeldBackForALineFeed(t *testing.T) {
	source, writer := io.Pipe()
	reader := NewReader(source, 1000)
	go func() { _, _ = io.WriteString(writer, "data: a\r\r") }()
	if block, err := reader.Next(); err != nil || !block.IsEvent {
		t.Errorf("got %q, %v", block.Raw, err)
	}
}

// TestUnendedBlockIsNotPassedOn: no reader can tell whether the rest was lost.
func TestUnendedBlockIsNotPassedOn(t *testing.T) {
	for _, rest := range []string{"d", "data: b", "data: b\n", "data: b\r", "id: 2\n", ": no", ": x\ndata: b\n"} {
		blocks, err := readAll(NewReader(strings.NewReader("data: a\n\n"+rest), 1000))
		if !errors.Is(err, io.ErrUnexpectedEOF) || rawOf(blocks) != "data: a\n\n" {
			t.Errorf("%q: got %q, %v", rest, rawOf(blocks), err)
		}
	}
}

func BenchmarkReader(b *testing.B) {
	stream := strings.Repeat("id: 123\ndata: some words of an answer\n\n", 100)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := readAll(NewReader(strings.NewReader(stream), 1000)); !errors.Is(err, io.EOF) {
			b.Fatal(err)
		}
	}
}

func FuzzReader(f *testing.F) {
	f.Add("id: 1\ndata: a\n\n")
	f.Add("\r\n\n:\n")
	f.Add("\rdata\r\r\n\xef\xbb\xbf: x\rid:\x00")
	f.Fuzz(func(t *testing.T, text string) {
		blocks, err := readAll(NewReader(strings.NewReader(text), 10_000))
		if joined := rawOf(blocks); !strings.HasPrefix(text, joined) || errors.Is(err, io.EOF) && joined != text {
			t.Errorf("the blocks %q are not the input, or a prefix of it; %v", joined, err)
		}
	})
}
