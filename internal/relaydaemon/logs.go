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
	// logQueueSize and logQueueBytes are the maximum number of lines that wait to be written, and of
	// their bytes; further lines are dropped and counted.
	logQueueSize  = 4096
	logQueueBytes = 2 << 20
	// flushTimeout is how long Close waits for queued lines to be written, and flushPollInterval
	// how often it checks.
	flushTimeout      = 100 * time.Millisecond
	flushPollInterval = 100 * time.Microsecond
)

// timeFormat is RFC 3339 with milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// NewLogger returns a logger that never blocks: lines wait in a bounded queue. A line is dropped and
// counted by dropped when the queue is full, or when the output does not take it. Close writes the
// queued lines, if the output takes them.
func NewLogger(output io.Writer, level zerolog.Level, dropped func(lines int)) (zerolog.Logger, io.Closer) {
	zerolog.TimeFieldFormat = timeFormat
	queue := &lineQueue{dropped: dropped}
	queue.Writer = diode.NewWriter(&lineOutput{Writer: output, queue: queue}, 2*logQueueSize, 0, dropped)
	return zerolog.New(queue).Level(level).With().Timestamp().Logger(), queue
}

// lineQueue is a diode that writes its queue before it closes, and that bounds its bytes. A diode alone
// drops a line written just before Close.
type lineQueue struct {
	diode.Writer
	dropped func(lines int)
	// waiting counts the lines that are not written yet, and waitingBytes their bytes.
	waiting, waitingBytes atomic.Int64
}

// Write implements io.Writer.
func (q *lineQueue) Write(line []byte) (int, error) {
	length := int64(len(line))
	lines, bytes := q.waiting.Add(1), q.waitingBytes.Add(length)
	if lines > logQueueSize || bytes > logQueueBytes {
		q.remove(length)
		q.dropped(1)
		return len(line), nil
	}
	return q.Writer.Write(line)
}

func (q *lineQueue) remove(bytes int64) {
	q.waiting.Add(-1)
	q.waitingBytes.Add(-bytes)
}

// Close implements io.Closer. It does not wait for an output that takes nothing. The empty line wakes a
// reader that missed the signal of the last one.
func (q *lineQueue) Close() error {
	for end := time.Now().Add(flushTimeout); q.waiting.Load() > 0; {
		if !time.Now().Before(end) {
			return nil
		}
		_, _ = q.Writer.Write(nil)
		time.Sleep(flushPollInterval)
	}
	return q.Writer.Close()
}

// lineOutput writes lines to the output, and counts those that were written or could not be.
type lineOutput struct {
	io.Writer
	queue *lineQueue
	// isTorn is set while the output ends with a part of a line.
	isTorn bool
}

// Write implements io.Writer.
func (o *lineOutput) Write(line []byte) (int, error) {
	if len(line) == 0 {
		return 0, nil
	}
	defer o.queue.remove(int64(len(line)))
	if o.isTorn {
		if _, err := o.Writer.Write([]byte("\n")); err != nil {
			o.queue.dropped(1)
			return 0, err
		}
		o.isTorn = false
	}
	written, err := o.Writer.Write(line)
	if err != nil {
		o.isTorn = written > 0
		o.queue.dropped(1)
	}
	return written, err
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
