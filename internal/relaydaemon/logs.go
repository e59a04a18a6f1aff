package relaydaemon

import (
	"io"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	// logQueue is how many lines may wait to be written; more are dropped and
	// counted.
	logQueue = 4096
	// flushTime is how long a process that ends waits for its lines to be
	// written, and flushPoll separates looks for that.
	flushTime = 100 * time.Millisecond
	flushPoll = 100 * time.Microsecond
)

// timeFormat is RFC 3339 with milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// NewLogger returns a logger whose lines never hold up who writes them: they
// wait in a bounded queue, and those that find it full are dropped and counted
// by dropped. Close writes what waits.
func NewLogger(output io.Writer, level zerolog.Level, dropped func(lines int)) (zerolog.Logger, io.Closer) {
	zerolog.TimeFieldFormat = timeFormat
	queue := &lineQueue{}
	queue.Writer = diode.NewWriter(lineOutput{output, queue}, logQueue, 0, func(lines int) {
		queue.waiting.Add(-int64(lines))
		dropped(lines)
	})
	return zerolog.New(queue).Level(level).With().Timestamp().Logger(), queue
}

// lineQueue is a diode that writes what waits before it closes: by itself it
// drops a line that comes just before.
type lineQueue struct {
	diode.Writer
	// waiting counts lines that are not written yet.
	waiting atomic.Int64
}

// Write implements io.Writer.
func (q *lineQueue) Write(line []byte) (int, error) {
	q.waiting.Add(1)
	return q.Writer.Write(line)
}

// Close implements io.Closer. An empty line wakes a reader that missed the last
// one's signal.
func (q *lineQueue) Close() error {
	for end := time.Now().Add(flushTime); q.waiting.Load() > 0 && time.Now().Before(end); {
		_, _ = q.Writer.Write(nil)
		time.Sleep(flushPoll)
	}
	return q.Writer.Close()
}

// lineOutput notes what was written.
type lineOutput struct {
	io.Writer
	queue *lineQueue
}

// Write implements io.Writer.
func (o lineOutput) Write(line []byte) (int, error) {
	if len(line) == 0 {
		return 0, nil
	}
	defer o.queue.waiting.Add(-1)
	return o.Writer.Write(line)
}

// serverLines takes what net/http tells of faults of its own, such as a request
// whose handling panicked or a connection that could not be accepted.
type serverLines struct{ logger zerolog.Logger }

// Write implements io.Writer.
func (s serverLines) Write(line []byte) (int, error) {
	s.logger.Error().Str("fault", strings.TrimSpace(string(line))).Msg("Fault in serving.")
	return len(line), nil
}

// LostLines counts log lines that were dropped. The zero value is ready.
type LostLines struct{ count atomic.Int64 }

// Add counts dropped lines.
func (l *LostLines) Add(lines int) { l.count.Add(int64(lines)) }

// Count returns how many lines were dropped so far.
func (l *LostLines) Count() int64 { return l.count.Load() }
