package yamlfile

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// Limits on files, against excessive memory use and nesting.
const (
	// SizeLimit is the maximum size of a file in bytes.
	SizeLimit = 8 << 20
	// maximumNodes bounds the visited nodes; the target of an alias counts each
	// time.
	maximumNodes = 200_000
	// maximumDepth bounds the nesting of values.
	maximumDepth = 32
)

// Decode decodes YAML into the value that target points to. Fields that the file
// does not contain keep their value. It returns the line of each field and all
// problems.
func Decode(file string, data []byte, target any) (Lines, []Problem) {
	d := &decoder{file: file, lines: Lines{}}
	if len(data) > SizeLimit {
		d.add(0, "", "is larger than %d bytes", SizeLimit)
		return d.lines, d.problems
	}
	var document yaml.Node
	if err := yaml.Unmarshal(data, &document); err != nil {
		d.syntax(err)
		return d.lines, d.problems
	}
	if len(document.Content) == 0 {
		return d.lines, nil
	}
	d.value(document.Content[0], "", reflect.ValueOf(target).Elem(), 0)
	return d.lines, d.problems
}

type decoder struct {
	file     string
	lines    Lines
	problems []Problem
	visited  int
}

func (d *decoder) add(line int, field, format string, arguments ...any) {
	d.problems = append(d.problems, Problem{File: d.file, Line: line, Field: field, Reason: fmt.Sprintf(format, arguments...)})
}

// syntax converts the parser's error, "yaml: line N: ...", into a problem.
func (d *decoder) syntax(err error) {
	text := strings.TrimPrefix(err.Error(), "yaml: ")
	line := 0
	if rest, found := strings.CutPrefix(text, "line "); found {
		number, reason, _ := strings.Cut(rest, ": ")
		if parsed, err := strconv.Atoi(number); err == nil {
			line, text = parsed, reason
		}
	}
	d.add(line, "", "is not YAML: %s", text)
}

var durationType = reflect.TypeFor[time.Duration]()

// value decodes one node into one value.
func (d *decoder) value(node *yaml.Node, field string, value reflect.Value, depth int) {
	d.visited++
	if d.visited > maximumNodes || depth > maximumDepth {
		if d.visited == maximumNodes+1 || depth == maximumDepth+1 {
			d.add(node.Line, field, "is nested too deep or too large")
		}
		return
	}
	if node.Kind == yaml.AliasNode {
		d.value(node.Alias, field, value, depth+1)
		return
	}
	if field != "" {
		d.lines[field] = node.Line
	}
	if node.Tag == "!!null" {
		d.add(node.Line, field, "has no value")
		return
	}
	switch value.Kind() {
	case reflect.Pointer:
		fresh := reflect.New(value.Type().Elem())
		d.value(node, field, fresh.Elem(), depth+1)
		value.Set(fresh)
	case reflect.Struct:
		d.structure(node, field, value, depth)
	case reflect.Map:
		d.mapping(node, field, value, depth)
	case reflect.Slice:
		d.sequence(node, field, value, depth)
	default:
		d.scalar(node, field, value)
	}
}

// join returns the path of a nested field.
func join(field, name string) string {
	if field == "" {
		return name
	}
	return field + "." + name
}

// pairs calls each for the entries of a mapping and reports duplicate keys.
func (d *decoder) pairs(node *yaml.Node, field string, each func(key, value *yaml.Node)) {
	if node.Kind != yaml.MappingNode {
		d.add(node.Line, field, "is %s, want fields with values", describe(node))
		return
	}
	seen := map[string]int{}
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		if line, repeated := seen[key.Value]; repeated {
			d.add(key.Line, join(field, key.Value), "is given twice, first in line %d", line)
			continue
		}
		seen[key.Value] = key.Line
		each(key, value)
	}
}

func (d *decoder) structure(node *yaml.Node, field string, value reflect.Value, depth int) {
	names, index := fieldsOf(value.Type())
	d.pairs(node, field, func(key, child *yaml.Node) {
		at, known := index[key.Value]
		path := join(field, key.Value)
		if !known {
			d.add(key.Line, path, "is not a known field; known are %s", strings.Join(names, ", "))
			return
		}
		d.value(child, path, value.Field(at), depth+1)
		d.lines[path] = key.Line
	})
}

// fieldsOf returns the YAML names of a struct's fields in order, and the field
// index of each name.
func fieldsOf(t reflect.Type) ([]string, map[string]int) {
	names := make([]string, 0, t.NumField())
	index := map[string]int{}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ",")
		if name == "" || name == "-" {
			continue
		}
		names = append(names, name)
		index[name] = i
	}
	return names, index
}

func (d *decoder) mapping(node *yaml.Node, field string, value reflect.Value, depth int) {
	if value.IsNil() {
		value.Set(reflect.MakeMap(value.Type()))
	}
	d.pairs(node, field, func(key, child *yaml.Node) {
		element := reflect.New(value.Type().Elem()).Elem()
		path := join(field, key.Value)
		if child.Tag != "!!null" || element.Kind() != reflect.Struct {
			d.value(child, path, element, depth+1)
		}
		d.lines[path] = key.Line
		value.SetMapIndex(reflect.ValueOf(key.Value).Convert(value.Type().Key()), element)
	})
}

func (d *decoder) sequence(node *yaml.Node, field string, value reflect.Value, depth int) {
	if node.Kind != yaml.SequenceNode {
		d.add(node.Line, field, "is %s, want a list", describe(node))
		return
	}
	elements := reflect.MakeSlice(value.Type(), len(node.Content), len(node.Content))
	for i, child := range node.Content {
		d.value(child, fmt.Sprintf("%s[%d]", field, i), elements.Index(i), depth+1)
	}
	value.Set(elements)
}

func (d *decoder) scalar(node *yaml.Node, field string, value reflect.Value) {
	if node.Kind != yaml.ScalarNode {
		d.add(node.Line, field, "is %s, want %s", describe(node), expectedType(value))
		return
	}
	if !assign(node, value) {
		d.add(node.Line, field, "is %s, want %s", describe(node), expectedType(value))
	}
}

// assign sets a value from a scalar and reports whether its type matches.
func assign(node *yaml.Node, value reflect.Value) bool {
	switch {
	case value.Type() == durationType:
		duration, err := time.ParseDuration(node.Value)
		value.SetInt(int64(duration))
		return err == nil
	case value.Kind() == reflect.String:
		value.SetString(node.Value)
		return node.Tag == "!!str"
	case value.Kind() == reflect.Bool:
		var parsed bool
		err := node.Decode(&parsed)
		value.SetBool(parsed)
		return err == nil && node.Tag == "!!bool"
	case value.CanInt():
		var parsed int64
		if node.Tag != "!!int" || node.Decode(&parsed) != nil || value.OverflowInt(parsed) {
			return false
		}
		value.SetInt(parsed)
		return true
	case value.CanFloat():
		var parsed float64
		number := slices.Contains([]string{"!!int", "!!float"}, node.Tag)
		if !number || node.Decode(&parsed) != nil || math.IsNaN(parsed) || math.IsInf(parsed, 0) {
			return false
		}
		value.SetFloat(parsed)
		return true
	default:
		return false
	}
}

// describe returns the kind of a node, or the quoted text of a scalar.
func describe(node *yaml.Node) string {
	switch node.Kind {
	case yaml.MappingNode:
		return "a mapping"
	case yaml.SequenceNode:
		return "a list"
	default:
		return strconv.Quote(truncate(node.Value))
	}
}

// maximumQuotedBytes bounds the part of a wrong value that a problem quotes.
const maximumQuotedBytes = 40

func truncate(text string) string {
	if len(text) <= maximumQuotedBytes {
		return text
	}
	return text[:maximumQuotedBytes] + "..."
}

// expectedType describes the type that a value expects.
func expectedType(value reflect.Value) string {
	switch {
	case value.Type() == durationType:
		return "a duration such as 500ms or 2h"
	case value.Kind() == reflect.String:
		return "text (in quotes if it looks like a number)"
	case value.Kind() == reflect.Bool:
		return "true or false"
	case value.CanInt():
		return "a whole number"
	case value.CanFloat():
		return "a number"
	default:
		return value.Kind().String()
	}
}
