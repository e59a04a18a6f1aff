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
	// logQueueSize is the maximum number of lines that wait to be written; further lines are
	// dropped and counted.
	logQueueSize = 4096
	// flushTimeout is how long Close waits for queued lines to be written, and flushPollInterval
	// how often it checks.
	flushTimeout      = 100 * time.Millisecond
	flushPollInterval = 100 * time.Microsecond
)

// timeFormat is RFC 3339 with milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// NewLogger returns a logger that never blocks: lines wait in a bounded queue, and are dropped and
// counted by dropped when it is full. Close writes the queued lines.
func NewLogger(output io.Writer, level zerolog.Level, dropped func(lines int)) (zerolog.Logger, io.Closer) {
	zerolog.TimeFieldFormat = timeFormat
	queue := &lineQueue{}
	queue.Writer = diode.NewWriter(lineOutput{output, queue}, logQueueSize, 0, func(lines int) {
		queue.waiting.Add(-int64(lines))
		dropped(lines)
	})
	return zerolog.New(queue).Level(level).With().Timestamp().Logger(), queue
}

// lineQueue is a diode that writes its queue before it closes. A diode alone drops a line written
// just before Close.
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

// Close implements io.Closer. The empty line wakes a reader that missed the signal of the last one.
func (q *lineQueue) Close() error {
	for end := time.Now().Add(flushTimeout); q.waiting.Load() > 0 && time.Now().Before(end); {
		_, _ = q.Writer.Write(nil)
		time.Sleep(flushPollInterval)
	}
	return q.Writer.Close()
}

// lineOutput counts the lines that were written.
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

// serverErrorLog logs errors of net/http itself, such as a panic in a handler or a connection that
// could not be accepted.
type serverErrorLog struct{ logger zerolog.Logger }

// Write implements io.Writer.
func (s serverErrorLog) Write(line []byte) (int, error) {
	s.logger.Error().Str("fault", strings.TrimSpace(string(line))).Msg("HTTP server reported an error.")
	return len(line), nil
}

// DroppedLines counts dropped log lines. The zero value is ready.
type DroppedLines struct{ count atomic.Int64 }

// Add adds to the number of dropped lines.
func (l *DroppedLines) Add(lines int) { l.count.Add(int64(lines)) }

// Count returns the number of dropped lines.
func (l *DroppedLines) Count() int64 { return l.count.Load() }
