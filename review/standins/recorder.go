package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to the record of a case.
type recorder struct {
	mutex   sync.Mutex
	file    *os.File
	writer  *bufio.Writer
	started time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, writer: bufio.NewWriter(file), started: time.Now()}, nil
}

// note writes one line with the time since the start in seconds.
func (r *recorder) note(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.writer, "%8.3f ", time.Since(r.started).Seconds())
	_, _ = fmt.Fprintf(r.writer, format+"\n", arguments...)
}

// tell writes a line to the record and to standard output.
func (r *recorder) tell(format string, arguments ...any) {
	fmt.Printf(format+"\n", arguments...)
	r.note(format, arguments...)
}

func (r *recorder) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_ = r.writer.Flush()
	_ = r.file.Close()
}
