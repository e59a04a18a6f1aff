// Package yamlfile decodes YAML files into typed values and reports all problems
// at once, each with its file, line and field. The decoder of the YAML library
// does not report the path of an unknown field and accepts numbers as strings.
package yamlfile

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
)

// Problem is one error in a file.
type Problem struct {
	File string `json:"file"`
	// Line counts from 1; 0 when the problem concerns no specific line.
	Line int `json:"line,omitempty"`
	// Field is the path of the value, such as "event_log.addresses[1]".
	Field  string `json:"field,omitempty"`
	Reason string `json:"reason"`
}

// String returns "FILE:LINE: FIELD: REASON".
func (p Problem) String() string {
	text := p.File
	if p.Line > 0 {
		text += fmt.Sprintf(":%d", p.Line)
	}
	if p.Field != "" {
		text += ": " + p.Field
	}
	return text + ": " + p.Reason
}

// Sort sorts problems by file and line. Problems without a line come last in
// their file.
func Sort(problems []Problem) {
	line := func(p Problem) int {
		if p.Line == 0 {
			return math.MaxInt
		}
		return p.Line
	}
	slices.SortStableFunc(problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(line(a), line(b)))
	})
}

// Problems is an error that lists problems, one per line.
type Problems []Problem

// Error implements error.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// Lines maps the path of a field to its line in the file.
type Lines map[string]int

// Line returns the line of a field or of its nearest parent in the file, 0 if
// there is none.
func (l Lines) Line(field string) int {
	for field != "" {
		if line, known := l[field]; known {
			return line
		}
		cut := strings.LastIndexAny(field, ".[")
		if cut < 0 {
			break
		}
		field = field[:cut]
	}
	return 0
}
