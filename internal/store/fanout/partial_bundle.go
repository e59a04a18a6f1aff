package fanout

import "time"

// maxBundlesPerFetch limits how many different bundles a neighbour may start to send in one fetch:
// a newer bundle replaces the one before.
const maxBundlesPerFetch = 3

// partialBundle is the received part of a bundle that arrives in pieces. The zero value waits for
// the first piece.
type partialBundle struct {
	// first is the bundle's first piece, and askedAt when it was requested.
	first   *Response
	askedAt time.Time
	data    []byte
	// begun counts the bundles of which a first piece arrived.
	begun int
}

// add appends the next piece, which was requested at askedAt. A piece of another bundle starts
// over. It returns false if the piece does not fit, or if too many bundles were begun.
func (b *partialBundle) add(piece *Response, askedAt time.Time) bool {
	if b.first == nil || piece.Result == resultPiece && piece.Bundle != b.first.Bundle {
		b.first, b.askedAt, b.data = piece, askedAt, nil
		b.begun++
	}
	if b.begun > maxBundlesPerFetch || !piece.continues(b.first, len(b.data)) {
		return false
	}
	b.data = append(b.data, piece.Data...)
	return true
}

// isWhole reports whether all pieces have arrived.
func (b *partialBundle) isWhole() bool { return len(b.data) == b.first.Size }

// continues reports whether a response is the piece at position at of the bundle that first belongs
// to.
func (r *Response) continues(first *Response, at int) bool {
	return r.Result == resultPiece && r.At == at && len(r.Data) > 0 && r.Size == first.Size &&
		r.Size <= maxBundleSize && at+len(r.Data) <= r.Size
}
