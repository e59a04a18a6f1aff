// Package eventstream reads streams of server-sent events one whole event at a time, so
// that a truncated event is never passed on.
package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"slices"

	"github.com/rotisserie/eris"
)

// ErrTooLong is returned if an event exceeds the reader's limit.
var ErrTooLong = eris.New("eventstream: the event is too long")

// Event is one complete server-sent event.
type Event struct {
	// Raw holds the event's bytes as received, including the terminating empty line.
	Raw []byte
	// ID is the value of the id field, "" if there is none.
	ID string
	// Data holds the values of the data fields, joined by line feeds.
	Data []byte
}

// Reader reads events from a stream.
type Reader struct {
	source *bufio.Reader
	limit  int
}

// NewReader returns a reader of events of up to limit bytes.
func NewReader(source io.Reader, limit int) *Reader {
	return &Reader{source: bufio.NewReader(source), limit: limit}
}

// Next returns the next complete event. It returns io.EOF at the end of the stream, and
// io.ErrUnexpectedEOF if the stream ends within an event.
func (r *Reader) Next() (Event, error) {
	var raw []byte
	for {
		start := len(raw)
		longer, err := r.appendLine(raw)
		if err != nil {
			return Event{}, err
		}
		if raw = longer; len(bytes.TrimRight(raw[start:], "\r\n")) == 0 {
			return parse(raw), nil
		}
	}
}

// appendLine appends the next line of an event to what was read of it.
func (r *Reader) appendLine(raw []byte) ([]byte, error) {
	for {
		part, err := r.source.ReadSlice('\n')
		if len(raw)+len(part) > r.limit {
			return nil, ErrTooLong
		}
		if free := cap(raw) - len(raw); free < len(part) {
			raw = slices.Grow(raw, max(len(part), cap(raw)))
		}
		raw = append(raw, part...)
		if err == nil {
			return raw, nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, truncationError(err, raw)
		}
	}
}

func truncationError(err error, gathered []byte) error {
	if errors.Is(err, io.EOF) && len(gathered) > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// parse parses the lines of a complete event.
func parse(raw []byte) Event {
	event := Event{Raw: raw}
	hasData := false
	for line := range bytes.Lines(raw) {
		hasData = event.parseField(bytes.TrimRight(line, "\r\n"), hasData)
	}
	return event
}

// parseField parses one line into the event. It returns whether the event has had a data
// field so far.
func (e *Event) parseField(line []byte, hasData bool) bool {
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
