package fanout

import "time"

// bundlesTried bounds how many bundles a neighbour may begin to send in one fetch: each newer one
// takes the place of the one before.
const bundlesTried = 3

// partialBundle is what has arrived of a bundle that a neighbour sends in pieces. The zero value
// waits for the first one.
type partialBundle struct {
	// first is the bundle's first piece, and askedAt when it was asked for.
	first   *Response
	askedAt time.Time
	data    []byte
	// begun counts the bundles of which a first piece came.
	begun int
}

// add appends the next piece, which was asked for at a time. A piece of another bundle begins
// anew. It returns false if the piece does not fit, or if too many bundles were begun.
func (b *partialBundle) add(piece *Response, askedAt time.Time) bool {
	if b.first == nil || piece.Result == resultPiece && piece.Bundle != b.first.Bundle {
		b.first, b.askedAt, b.data = piece, askedAt, nil
		b.begun++
	}
	if b.begun > bundlesTried || !piece.continues(b.first, len(b.data)) {
		return false
	}
	b.data = append(b.data, piece.Data...)
	return true
}

// isWhole tells whether all pieces have arrived.
func (b *partialBundle) isWhole() bool { return len(b.data) == b.first.Size }

// continues tells whether a response is the piece that begins at a byte of the bundle whose first
// piece is given.
func (r *Response) continues(first *Response, at int) bool {
	return r.Result == resultPiece && r.At == at && len(r.Data) > 0 && r.Size == first.Size &&
		r.Size <= bundleLimit && at+len(r.Data) <= r.Size
}
