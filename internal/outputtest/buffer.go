// Package outputtest collects the output of programs and components under
// test.
package outputtest

import (
	"bytes"
	"sync"
)

// Buffer is an io.Writer whose text may be read while others write. The zero
// value is empty.
type Buffer struct {
	mutex sync.Mutex
	bytes bytes.Buffer
}

// Write implements io.Writer.
func (b *Buffer) Write(data []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.bytes.Write(data)
}

// String returns the text written so far.
func (b *Buffer) String() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.bytes.String()
}
