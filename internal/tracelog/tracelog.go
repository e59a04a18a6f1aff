// Package tracelog collects the log lines of one request or program from the logs of many
// processes and orders them by time.
package tracelog

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// maxLineBytes is the longest log line that is read.
const maxLineBytes = 1 << 20

// Fields of log lines that are printed in columns or first.
const (
	fieldTime    = "time"
	fieldMachine = "machine"
	fieldMessage = "message"
	fieldLevel   = "level"
	fieldPart    = "part"
	fieldRequest = "request"
	fieldProgram = "program"
	fieldEpoch   = "epoch"
	fieldShard   = "shard"
)

// Line is a parsed log line.
type Line struct {
	Time    time.Time
	Machine string
	Message string
	Level   string
	Part    string
	// Fields holds all other fields.
	Fields map[string]any
	// sequence numbers the lines in the order of reading: lines of one machine keep their
	// order even if its clock was set back.
	sequence int
}

// Trace holds the log lines of one request or program.
type Trace struct {
	lines []Line
	// Skipped counts the lines that mention the ID but could not be parsed as JSON.
	Skipped int
	id      string
}

// NewTrace returns an empty trace of a request or program, which Read fills.
func NewTrace(id string) *Trace { return &Trace{id: id} }

// Read adds the lines of a log that mention the request or program. Any text before the
// JSON object on a line, such as a prefix of the log collector, is ignored.
func (s *Trace) Read(source io.Reader) error {
	scanner := bufio.NewScanner(source)
	scanner.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLineBytes)
	for scanner.Scan() {
		s.addLine(scanner.Bytes())
	}
	return scanner.Err()
}

func (s *Trace) addLine(text []byte) {
	start := bytes.IndexByte(text, '{')
	if start < 0 || !bytes.Contains(text, []byte(s.id)) {
		return
	}
	var fields map[string]any
	decoder := json.NewDecoder(bytes.NewReader(text[start:]))
	decoder.UseNumber() // epochs exceed the precision of float64
	if err := decoder.Decode(&fields); err != nil {
		s.Skipped++
		return
	}
	if !s.matches(fields) {
		return
	}
	line := Line{Fields: fields, sequence: len(s.lines)}
	line.Time, _ = time.Parse(time.RFC3339Nano, removeText(fields, fieldTime)) // a line without a valid time sorts first
	line.Machine = removeText(fields, fieldMachine)
	line.Message = removeText(fields, fieldMessage)
	line.Level = removeText(fields, fieldLevel)
	line.Part = removeText(fields, fieldPart)
	s.lines = append(s.lines, line)
}

// matches reports whether any string field contains the ID of the request or program.
func (s *Trace) matches(fields map[string]any) bool {
	for _, value := range fields {
		if text, isText := value.(string); isText && strings.Contains(text, s.id) {
			return true
		}
	}
	return false
}

func removeText(fields map[string]any, name string) string {
	text, _ := fields[name].(string)
	delete(fields, name)
	return text
}

// Lines returns the lines ordered by time. Lines of one machine keep the order in which it
// wrote them.
func (s *Trace) Lines() []Line {
	latest := map[string]time.Time{}
	lines := slices.Clone(s.lines)
	for i := range lines {
		// A line written after its machine's clock was set back gets the time of the line
		// before it, so that it is not moved ahead.
		line := &lines[i]
		if line.Time.Before(latest[line.Machine]) {
			line.Time = latest[line.Machine]
		}
		latest[line.Machine] = line.Time
	}
	slices.SortStableFunc(lines, func(a, b Line) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.sequence, b.sequence))
	})
	return lines
}

// Write prints the trace as text, one line per log line.
func (s *Trace) Write(output io.Writer) error {
	lines := s.Lines()
	if len(lines) == 0 {
		_, err := fmt.Fprintf(output, "no log line mentions %s\n", s.id)
		return err
	}
	first := lines[0].Time
	for _, line := range lines {
		_, err := fmt.Fprintf(output, "%+9.3f s  %-20s %-10s %s %s\n",
			line.Time.Sub(first).Seconds(), line.Machine, line.Part, line.Message, line.details())
		if err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(output, "%d lines; %d could not be read. Clocks of machines may disagree.\n", len(lines), s.Skipped)
	return err
}

// details formats the remaining fields, those with IDs and epochs first.
func (l Line) details() string {
	names := slices.Collect(maps.Keys(l.Fields))
	leading := []string{fieldRequest, fieldProgram, fieldShard, fieldEpoch}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(rank(leading, a), rank(leading, b)), cmp.Compare(a, b))
	})
	parts := make([]string, 0, len(names))
	for _, name := range names {
		parts = append(parts, fmt.Sprintf("%s=%v", name, l.Fields[name]))
	}
	return strings.Join(parts, " ")
}

func rank(leading []string, name string) int {
	if i := slices.Index(leading, name); i >= 0 {
		return i
	}
	return len(leading)
}
