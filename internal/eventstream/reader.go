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
		line, err := r.source.ReadSlice('\n')
		event.Raw = append(event.Raw, line...)
		if len(event.Raw) > r.limit {
			return Event{}, ErrTooLong
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			if err := r.finishLine(&event); err != nil {
				return Event{}, err
			}
			continue
		}
		if err != nil {
			return Event{}, endOf(err, event.Raw)
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return event, nil
		}
		hasData = event.field(text, hasData)
	}
}

// finishLine reads the rest of a line that is longer than the buffer. Such a
// line is read again as a whole from what was gathered.
func (r *Reader) finishLine(event *Event) error {
	start := bytes.LastIndexByte(event.Raw[:len(event.Raw)-1], '\n') + 1
	for {
		part, err := r.source.ReadSlice('\n')
		event.Raw = append(event.Raw, part...)
		if len(event.Raw) > r.limit {
			return ErrTooLong
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return endOf(err, event.Raw)
		}
		event.field(bytes.TrimRight(event.Raw[start:], "\r\n"), len(event.Data) > 0)
		return nil
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
