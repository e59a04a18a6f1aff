// Package eventstream reads streams of server-sent events (WHATWG HTML, "Server-sent events") one whole
// block at a time, so that a truncated event is never passed on.
package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"slices"

	"github.com/rotisserie/eris"
)

// ErrTooLong is returned if a block exceeds the reader's limit.
var ErrTooLong = eris.New("eventstream: the block is too long")

// byteOrderMark may precede the first line of a stream.
var byteOrderMark = []byte("\xef\xbb\xbf")

// Block is a complete part of a stream: an event, or lines that are none, such as a comment.
type Block struct {
	// Raw holds the bytes as received, with the end of each line.
	Raw []byte
	// IsEvent: the block has a data field, so it is an event.
	IsEvent bool
	// HasID: the block has an id field. ID is its value.
	HasID bool
	ID    string
	// Data holds the values of the data fields, joined by line feeds.
	Data []byte
}

// Reader reads blocks from a stream.
type Reader struct {
	source *bufio.Reader
	limit  int
	// hasBegun is set once the first line was read.
	hasBegun bool
	// endedByCR is set if the latest line ended by a carriage return. A line feed that follows belongs to
	// the same end of the line.
	endedByCR bool
}

// NewReader returns a reader of blocks of up to limit bytes.
func NewReader(source io.Reader, limit int) *Reader {
	return &Reader{source: bufio.NewReader(source), limit: limit}
}

// Next returns the next block: lines up to an empty one, or comments that nothing follows yet. It returns io.EOF at
// the end of the stream, and io.ErrUnexpectedEOF if the stream ends within a block.
func (r *Reader) Next() (Block, error) {
	var block Block
	hasFields := false
	for {
		line, err := r.appendLine(&block)
		switch {
		case err != nil:
			return block.endedBy(err)
		case len(line) == 0:
			return block, nil
		case line[0] != ':':
			hasFields = true
			block.parseField(line)
		case !hasFields && r.source.Buffered() == 0:
			return block, nil
		}
	}
}

// endedBy returns what is left at the end of a stream: a line feed that belongs to the line before is whole.
func (b Block) endedBy(err error) (Block, error) {
	switch {
	case !errors.Is(err, io.EOF):
		return Block{}, err
	case len(b.Raw) == 0:
		return Block{}, io.EOF
	case string(b.Raw) == "\n":
		return b, nil
	}
	return Block{}, io.ErrUnexpectedEOF
}

// appendLine appends the next line to a block's bytes, and returns it without its end. It is valid until the next
// call.
func (r *Reader) appendLine(block *Block) ([]byte, error) {
	if err := r.appendSkipped(block); err != nil {
		return nil, err
	}
	start := len(block.Raw)
	for {
		part, end, err := r.readPart()
		if err != nil {
			return nil, err
		}
		if len(block.Raw)+len(part) > r.limit {
			return nil, ErrTooLong
		}
		block.append(part)
		if end > 0 {
			return r.withoutMark(block.Raw[start : len(block.Raw)-end]), nil
		}
	}
}

// appendSkipped appends the line feed that ends the line before, if there is one.
func (r *Reader) appendSkipped(block *Block) error {
	if !r.endedByCR {
		return nil
	}
	next, err := r.source.Peek(1)
	if err != nil {
		return err
	}
	r.endedByCR = false
	if next[0] == '\n' {
		_, _ = r.source.Discard(1) // it is buffered
		block.append([]byte("\n"))
	}
	return nil
}

// readPart reads what has arrived of a line, with its end if that has arrived, too. end is the length of the end. The
// part is valid until the next read.
func (r *Reader) readPart() (part []byte, end int, err error) {
	if r.source.Buffered() == 0 {
		if _, err := r.source.Peek(1); err != nil {
			return nil, 0, err
		}
	}
	part, _ = r.source.Peek(r.source.Buffered()) // cannot fail: it is buffered
	if feed := bytes.IndexByte(part, '\n'); feed >= 0 {
		part, end = part[:feed+1], 1
	}
	if carriage := bytes.IndexByte(part, '\r'); carriage >= 0 {
		isPair := end > 0 && carriage == len(part)-2
		if isPair {
			end = 2
		} else {
			part, end = part[:carriage+1], 1
		}
		r.endedByCR = !isPair
	}
	_, _ = r.source.Discard(len(part)) // it is buffered
	return part, end, nil
}

// withoutMark removes the byte order mark from the first line.
func (r *Reader) withoutMark(line []byte) []byte {
	if r.hasBegun {
		return line
	}
	r.hasBegun = true
	return bytes.TrimPrefix(line, byteOrderMark)
}

func (b *Block) append(part []byte) {
	if free := cap(b.Raw) - len(b.Raw); free < len(part) {
		b.Raw = slices.Grow(b.Raw, max(len(part), cap(b.Raw)))
	}
	b.Raw = append(b.Raw, part...)
}

// parseField parses one line into the block. Fields that concern no reader here, and unknown ones, are ignored.
func (b *Block) parseField(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		if bytes.IndexByte(value, 0) < 0 {
			b.ID, b.HasID = string(value), true
		}
	case "data":
		if b.IsEvent {
			b.Data = append(b.Data, '\n')
		}
		b.Data = append(b.Data, value...)
		b.IsEvent = true
	}
}
