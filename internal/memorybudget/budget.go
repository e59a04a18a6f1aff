// Package memorybudget bounds the memory that the texts of all requests of a process take together:
// their bodies, their prompts and their answers.
package memorybudget

import (
	"errors"
	"io"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// ErrFull: the budget has no room for the text.
var ErrFull = eris.New("memorybudget: the memory for requests is full")

const (
	// shortText is the most bytes of a request whose texts are short. Long ones together take up to
	// longShare of the budget, so that short ones are served beside callers that send long ones slowly.
	shortText = 64 << 10
	longShare = 0.75
	// minPiece is the size in bytes of the first buffer for a text of unknown length.
	minPiece = 512
)

// Budget is the memory for the texts of requests. It is safe for concurrent use. A nil budget has no bound.
type Budget struct {
	limit int64
	held  atomic.Int64
}

// New returns a budget of a number of bytes; nil, which has no bound, for 0.
func New(limit int64) *Budget {
	if limit <= 0 {
		return nil
	}
	return &Budget{limit: limit}
}

// Held returns how many bytes are held.
func (b *Budget) Held() int64 {
	if b == nil {
		return 0
	}
	return b.held.Load()
}

// Begin returns the holding of a new request; one without a bound if the budget is nil.
func (b *Budget) Begin() *Holding { return &Holding{budget: b} }

// limitFor returns the budget of a request whose texts take a number of bytes.
func (b *Budget) limitFor(bytes int64) int64 {
	if bytes <= shortText {
		return b.limit
	}
	return int64(longShare * float64(b.limit))
}

// Holding is what one request holds of a budget. A nil holding has no bound. It must not be used by two
// goroutines at the same time.
type Holding struct {
	budget *Budget
	bytes  int64
}

// Grow holds more bytes. It returns false, and holds no more than before, if they do not fit.
func (h *Holding) Grow(bytes int) bool {
	if h == nil || h.budget == nil {
		return true
	}
	more := int64(bytes)
	if h.budget.held.Add(more) > h.budget.limitFor(h.bytes+more) {
		h.budget.held.Add(-more)
		return false
	}
	h.bytes += more
	return true
}

// Shrink holds fewer bytes.
func (h *Holding) Shrink(bytes int) {
	if h == nil || h.budget == nil {
		return
	}
	h.budget.held.Add(-int64(bytes))
	h.bytes -= int64(bytes)
}

// Release holds nothing any more.
func (h *Holding) Release() {
	if h != nil {
		h.Shrink(int(h.bytes))
	}
}

// ReadAll reads a text to its end and holds it. declared is its length in bytes, -1 if that is not known.
// The error is ErrFull, at once if the declared length does not fit, or that of reading.
func (h *Holding) ReadAll(source io.Reader, declared int64) ([]byte, error) {
	if declared < 0 {
		return h.readPieces(source)
	}
	if !h.fits(declared) {
		return nil, ErrFull
	}
	// The rest of a long text gets its memory once the first part has arrived: it may never be sent.
	text, err := h.readPart(nil, source, int(min(declared, shortText)))
	if err == nil && int64(len(text)) < declared {
		text, err = h.readPart(text, source, int(declared))
	}
	return text, err
}

// fits reports whether a text would fit now.
func (h *Holding) fits(bytes int64) bool {
	return h == nil || h.budget == nil || h.budget.held.Load()+bytes <= h.budget.limitFor(h.bytes+bytes)
}

// readPart moves what was read of a text to a buffer of a size, and fills that or reads to the end.
func (h *Holding) readPart(before []byte, source io.Reader, size int) ([]byte, error) {
	if !h.Grow(size) {
		return nil, ErrFull
	}
	text := append(make([]byte, 0, size), before...)
	h.Shrink(cap(before))
	text, err := fill(text, source)
	if errors.Is(err, io.EOF) && len(text) == size {
		return text, nil
	}
	if errors.Is(err, io.EOF) {
		return text, io.ErrUnexpectedEOF
	}
	return text, err
}

// readPieces reads a text of unknown length into pieces, and joins them.
func (h *Holding) readPieces(source io.Reader) ([]byte, error) {
	var pieces [][]byte
	length, size := 0, minPiece
	for {
		if !h.Grow(size) {
			return nil, ErrFull
		}
		piece, err := fill(make([]byte, 0, size), source)
		length += len(piece)
		pieces = append(pieces, piece)
		if errors.Is(err, io.EOF) {
			return h.join(pieces, length)
		}
		if err != nil {
			return nil, err
		}
		size = min(2*size, shortText)
	}
}

// fill reads until a buffer is full. The error is io.EOF at the end of the text; io.ReadFull would not tell the
// end from a text that was cut off.
func fill(buffer []byte, source io.Reader) ([]byte, error) {
	for len(buffer) < cap(buffer) {
		n, err := source.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if err != nil {
			return buffer, err
		}
	}
	return buffer, nil
}

// join joins the pieces of a text.
func (h *Holding) join(pieces [][]byte, length int) ([]byte, error) {
	if len(pieces) == 1 {
		return pieces[0], nil
	}
	if !h.Grow(length) {
		return nil, ErrFull
	}
	text := make([]byte, 0, length)
	for _, piece := range pieces {
		text = append(text, piece...)
		h.Shrink(cap(piece))
	}
	return text, nil
}
