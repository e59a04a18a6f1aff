// Package tracelog finds the lines of one request or program in the logs of
// many processes and puts them in order.
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

// lineLimit is the longest line that is read, in bytes.
const lineLimit = 1 << 20

// Names of fields that every line may have.
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

// Line is one log line.
type Line struct {
	Time    time.Time
	Machine string
	Message string
	Level   string
	Part    string
	// Fields holds all other fields.
	Fields map[string]any
	// number counts the lines of all sources: those of one machine keep their
	// order, whatever its clock says.
	number int
}

// Story is the lines about one request or program.
type Trace struct {
	lines []Line
	// Skipped counts lines that are no JSON objects.
	Skipped int
	id      string
}

// NewStory returns the story of a request or program, which Read fills.
func NewTrace(id string) *Trace { return &Trace{id: id} }

// Read takes the lines about the request or program from a log. What precedes
// an object on its line is passed over.
func (s *Trace) Read(source io.Reader) error {
	scanner := bufio.NewScanner(source)
	scanner.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), lineLimit)
	for scanner.Scan() {
		s.take(scanner.Bytes())
	}
	return scanner.Err()
}

func (s *Trace) take(text []byte) {
	start := bytes.IndexByte(text, '{')
	if start < 0 || !bytes.Contains(text, []byte(s.id)) {
		return
	}
	var fields map[string]any
	decoder := json.NewDecoder(bytes.NewReader(text[start:]))
	decoder.UseNumber() // epochs are large
	if err := decoder.Decode(&fields); err != nil {
		s.Skipped++
		return
	}
	if !s.isAbout(fields) {
		return
	}
	line := Line{Fields: fields, number: len(s.lines)}
	line.Time, _ = time.Parse(time.RFC3339Nano, take(fields, fieldTime)) // zero sorts first
	line.Machine = take(fields, fieldMachine)
	line.Message = take(fields, fieldMessage)
	line.Level = take(fields, fieldLevel)
	line.Part = take(fields, fieldPart)
	s.lines = append(s.lines, line)
}

// isAbout tells whether any field names the request or program.
func (s *Trace) isAbout(fields map[string]any) bool {
	for _, value := range fields {
		if text, isText := value.(string); isText && strings.Contains(text, s.id) {
			return true
		}
	}
	return false
}

func take(fields map[string]any, name string) string {
	text, _ := fields[name].(string)
	delete(fields, name)
	return text
}

// Lines returns the lines in order of time, those of one machine in the order
// in which it wrote them.
func (s *Trace) Lines() []Line {
	latest := map[string]time.Time{}
	lines := slices.Clone(s.lines)
	for i := range lines {
		// A clock that was set back must not put a line before its
		// predecessors: it is ordered as if written at the same time.
		line := &lines[i]
		if line.Time.Before(latest[line.Machine]) {
			line.Time = latest[line.Machine]
		}
		latest[line.Machine] = line.Time
	}
	slices.SortStableFunc(lines, func(a, b Line) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.number, b.number))
	})
	return lines
}

// Write prints the story.
func (s *Trace) Write(output io.Writer) error {
	lines := s.Lines()
	if len(lines) == 0 {
		_, err := fmt.Fprintf(output, "no line is about %s\n", s.id)
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

// details lists the fields, those that tell of ids and versions first.
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
