package poison

import (
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Content is what a request asks a back end to do, whoever sends it and as often as it is sent.
// It has no IDs, deadlines or credentials, which differ between the tries of one caller.
type Content struct {
	Method string
	Host   string
	// Target is the path with the query.
	Target string
	// Model is the model that is asked for, "" if the request names none.
	Model string
	// Body is what the back end gets: for a turn, the program's history and the new input.
	Body []byte
}

// Digest identifies a content in logs, in the store and for operators. It consists of the
// content's shape and a part of its SHA-256 hash.
type Digest string

const (
	// shapeBase is the base in which the parts of a shape are written.
	shapeBase = 16
	// hashBytes is the number of bytes of the SHA-256 hash in a digest. Callers could create two
	// contents with one digest if there were much fewer.
	hashBytes = 16
	// digestSeparator separates the parts of a digest.
	digestSeparator = "-"
)

// shape is the part of a digest that can be computed without reading the body: contents with
// different shapes are different.
type shape string

// shape returns the content's shape.
func (c *Content) shape() shape {
	head := xxhash.New()
	c.writeHead(head)
	return shape(strconv.FormatUint(head.Sum64(), shapeBase) + digestSeparator + strconv.FormatInt(int64(len(c.Body)), shapeBase))
}

// shapeNumber returns a hash of the content's shape. It does not read the body.
func (c *Content) shapeNumber() uint64 {
	number := uint64(len(c.Body))
	for _, part := range [...]string{c.Method, c.Host, c.Target, c.Model} {
		number = number*shapeFactor + xxhash.Sum64String(part)
	}
	return number
}

// shapeFactor is odd and large, so that the order of the parts matters.
const shapeFactor = 0x9e3779b97f4a7c15

// Digest returns the content's digest. It reads the whole body.
func (c *Content) Digest() Digest {
	whole := sha256.New()
	c.writeHead(whole)
	_, _ = whole.Write(c.Body) // a hash returns no errors
	return Digest(string(c.shape()) + digestSeparator + hex.EncodeToString(whole.Sum(nil)[:hashBytes]))
}

// writeHead hashes all parts but the body, each with its length, so that no two different heads
// give the same bytes.
func (c *Content) writeHead(to hash.Hash) {
	for _, part := range [...]string{c.Method, c.Host, c.Target, c.Model} {
		_, _ = to.Write([]byte(strconv.Itoa(len(part)) + ":" + part)) // a hash returns no errors
	}
}

// shape returns the shape in the digest.
func (d Digest) shape() shape {
	end := strings.LastIndex(string(d), digestSeparator)
	return shape(d[:max(end, 0)])
}
