package httpconn

import (
	"io"

	"github.com/rotisserie/eris"
)

// maxHeadBytes bounds the head of a response: the status line and headers of the response itself, of the
// informational responses before it, and of the duplicate answers before it.
const maxHeadBytes = 32 << 10

// ErrHeadTooLong: the head of a response exceeds maxHeadBytes.
var ErrHeadTooLong = eris.New("httpconn: the head of the response is too long")

// headReader reads from a connection, and bounds what is read of heads. It is used by one goroutine at a
// time.
type headReader struct {
	source io.Reader
	// isHead is set while a head is read, and left is how much may still be read of it.
	isHead bool
	left   int
}

// beginHeads starts to count the bytes of the heads of one response.
func (r *headReader) beginHeads() { r.isHead, r.left = true, maxHeadBytes }

// pauseHeads ends a head; resumeHeads begins the next one of the same response.
func (r *headReader) pauseHeads() { r.isHead = false }

func (r *headReader) resumeHeads() { r.isHead = true }

// Read implements io.Reader. It fails with ErrHeadTooLong once a head exceeds the bound.
func (r *headReader) Read(buffer []byte) (int, error) {
	if !r.isHead {
		return r.source.Read(buffer)
	}
	if r.left <= 0 {
		return 0, ErrHeadTooLong
	}
	n, err := r.source.Read(buffer[:min(len(buffer), r.left)])
	r.left -= n
	return n, err
}
