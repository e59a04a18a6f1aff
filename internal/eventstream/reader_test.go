package eventstream

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

func readAll(reader *Reader) (events []Event, err error) {
	for {
		event, err := reader.Next()
		if err != nil {
			return events, err
		}
		events = append(events, event)
	}
}

func TestWholeEvents(t *testing.T) {
	text := "id: 1\ndata: a\ndata: b\n\n: note\nid:2\r\ndata:c\r\n\r\n"
	events, err := readAll(NewReader(iotest.OneByteReader(strings.NewReader(text)), 1000))
	if !errors.Is(err, io.EOF) || len(events) != 2 {
		t.Fatalf("%d events, %v", len(events), err)
	}
	if events[0].ID != "1" || string(events[0].Data) != "a\nb" || events[1].ID != "2" || string(events[1].Data) != "c" {
		t.Errorf("got %q %q", events[0].Data, events[1].Data)
	}
	if got := string(events[0].Raw) + string(events[1].Raw); got != text {
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

func FuzzReader(f *testing.F) {
	f.Add("id: 1\ndata: a\n\n")
	f.Add("\r\n\n:\n")
	f.Fuzz(func(t *testing.T, text string) {
		events, _ := readAll(NewReader(strings.NewReader(text), 10_000))
		joined := ""
		for _, event := range events {
			joined += string(event.Raw)
		}
		if !strings.HasPrefix(text, joined) {
			t.Errorf("the events %q are not a prefix of the input", joined)
		}
	})
}
