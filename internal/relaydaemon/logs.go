package relaydaemon

import (
	"io"
	"sync/atomic"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

// logQueue is how many lines may wait to be written; more are dropped and
// counted.
const logQueue = 4096

// timeFormat is RFC 3339 with milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// NewLogger returns a logger whose lines never hold up who writes them: they
// wait in a bounded queue, and those that find it full are dropped and counted
// by dropped.
func NewLogger(output io.Writer, level zerolog.Level, dropped func(lines int)) (zerolog.Logger, io.Closer) {
	zerolog.TimeFieldFormat = timeFormat
	writer := diode.NewWriter(output, logQueue, 0, dropped)
	return zerolog.New(writer).Level(level).With().Timestamp().Logger(), writer
}

// LostLines counts log lines that were dropped. The zero value is ready.
type LostLines struct{ count atomic.Int64 }

// Add counts dropped lines.
func (l *LostLines) Add(lines int) { l.count.Add(int64(lines)) }

// Count returns how many lines were dropped so far.
func (l *LostLines) Count() int64 { return l.count.Load() }
