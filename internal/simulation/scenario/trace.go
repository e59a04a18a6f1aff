package scenario

import (
	"encoding/binary"
	"encoding/hex"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"
)

// trace hashes the events of a run: equal hashes mean identical runs. If it has
// a writer, it also writes the events, one per line.
type trace struct {
	digest *xxhash.Digest
	writer io.Writer
}

func newTrace(writer io.Writer) *trace {
	return &trace{digest: xxhash.New(), writer: writer}
}

// record adds an event at a virtual time.
func (t *trace) record(elapsed time.Duration, what string, details ...string) {
	var stamp [8]byte
	binary.LittleEndian.PutUint64(stamp[:], uint64(elapsed))
	_, _ = t.digest.Write(stamp[:])
	_, _ = t.digest.WriteString(what)
	for _, detail := range details {
		_, _ = t.digest.Write([]byte{0})
		_, _ = t.digest.WriteString(detail)
	}
	if t.writer != nil {
		t.write(elapsed, what, details)
	}
}

func (t *trace) write(elapsed time.Duration, what string, details []string) {
	line := elapsed.String() + " " + what
	for _, detail := range details {
		line += " " + detail
	}
	_, _ = io.WriteString(t.writer, line+"\n")
}

// sum returns the hash in hexadecimal.
func (t *trace) sum() string { return hex.EncodeToString(t.digest.Sum(nil)) }
