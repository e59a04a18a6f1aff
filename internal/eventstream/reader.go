// Package eventstream reads streams of server-sent events one whole event at
// a time, so that an event which was cut off partway is never passed on.
package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/rotisserie/eris"
)

// ErrTooLong: an event exceeds the reader's limit.
var ErrTooLong = eris.New("eventstream: the event is too long")

// Event is one whole event.
type Event struct {
	// Raw holds the event's bytes as they came, the empty line included.
	Raw []byte
	// ID is the event's id, "" if it has none.
	ID string
	// Data is what the event carries, lines joined by line feeds.
	Data []byte
}

// Reader reads events.
type Reader struct {
	source *bufio.Reader
	limit  int
}

// NewReader returns a reader of events of up to limit bytes.
func NewReader(source io.Reader, limit int) *Reader {
	return &Reader{source: bufio.NewReader(source), limit: limit}
}

// Next returns the next whole event, io.EOF at the end of the stream, and
// io.ErrUnexpectedEOF when the stream ends inside an event.
func (r *Reader) Next() (Event, error) {
	var event Event
	hasData := false
	for {
		line, err := r.readLine(&event)
		if err != nil {
			return Event{}, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return event, nil
		}
		hasData = event.field(text, hasData)
	}
}

// readLine adds the next line to the event's bytes and returns it.
func (r *Reader) readLine(event *Event) ([]byte, error) {
	start := len(event.Raw)
	for {
		part, err := r.source.ReadSlice('\n')
		event.Raw = append(event.Raw, part...)
		if len(event.Raw) > r.limit {
			return nil, ErrTooLong
		}
		if err == nil {
			return event.Raw[start:], nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, endOf(err, event.Raw)
		}
	}
}

func endOf(err error, gathered []byte) error {
	if errors.Is(err, io.EOF) && len(gathered) > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// field takes one line; it returns whether the event has data by now.
func (e *Event) field(line []byte, hasData bool) bool {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		e.ID = string(value)
	case "data":
		if hasData {
			e.Data = append(e.Data, '\n')
		}
		e.Data = append(e.Data, value...)
		return true
	}
	return hasData
}
