package httpconn

import (
	"bufio"
	"io"
	"sync"

	"github.com/rotisserie/eris"
)

// maxHeadBytes bounds the head of a response: the status line and headers of the response itself, of the
// informational responses before it, and of the duplicate answers before it.
const maxHeadBytes = 32 << 10

// ErrHeadTooLong: the head of a response exceeds maxHeadBytes.
var ErrHeadTooLong = eris.New("httpconn: the head of the response is too long")

// headBuffers are buffers for the bytes of heads, of bufferSize, so that a connection has none while it waits.
var headBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, 0, bufferSize)
	return &buffer
}}

// headReader reads from a connection. It bounds what is read of heads, and keeps it until the head was checked:
// a parsed head does not tell how it was written. It is used by one goroutine at a time.
type headReader struct {
	source io.Reader
	// isHead is set while a head is read, and left is how much may still be read of it.
	isHead bool
	left   int
	// kept holds what was read since the head began, nil for nothing, and buffer the pooled buffer under it.
	kept   []byte
	buffer *[]byte
	// hasFailed is set if reading the head failed, rather than parsing it.
	hasFailed bool
}

// beginHeads starts to count the bytes of the heads of one response.
func (r *headReader) beginHeads() { r.left = maxHeadBytes }

// beginHead begins a head, of which buffered were read before.
func (r *headReader) beginHead(buffered []byte) {
	r.isHead, r.hasFailed = true, false
	r.keep(buffered)
}

// endHead ends the head and returns its bytes, which are valid until releaseHead. reader buffers what follows it.
func (r *headReader) endHead(reader *bufio.Reader) []byte {
	r.isHead = false
	return r.kept[:len(r.kept)-reader.Buffered()]
}

// releaseHead frees the bytes of a head.
func (r *headReader) releaseHead() {
	if r.buffer != nil {
		headBuffers.Put(r.buffer)
	}
	r.isHead, r.kept, r.buffer = false, nil, nil
}

func (r *headReader) keep(read []byte) {
	if len(read) == 0 {
		return
	}
	if r.buffer == nil {
		r.buffer = headBuffers.Get().(*[]byte)
		r.kept = (*r.buffer)[:0]
	}
	r.kept = append(r.kept, read...)
}

// Read implements io.Reader. It fails with ErrHeadTooLong once a head exceeds the bound.
func (r *headReader) Read(buffer []byte) (int, error) {
	if !r.isHead {
		return r.source.Read(buffer)
	}
	if r.left <= 0 {
		r.hasFailed = true
		return 0, ErrHeadTooLong
	}
	n, err := r.source.Read(buffer[:min(len(buffer), r.left)])
	r.hasFailed = err != nil
	r.left -= n
	r.keep(buffer[:n])
	return n, err
}
