package command

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"

	"github.com/mintpulley/mintpulley/internal/configuration"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// changeLine is one line of a diff: a field that a change adds, updates or
// removes.
type changeLine struct {
	Kind  configuration.ChangeKind `json:"kind"`
	Field string                   `json:"field"`
	// From and To are the values of an updated field.
	From string `json:"from,omitempty"`
	To   string `json:"to,omitempty"`
}

// changedFields returns the difference between the configuration in force and
// the one after the change.
func (p *preparedChange) changedFields() []changeLine {
	next, _ := configuration.ApplyPatch(p.current, &p.change.Patch)
	before, after := leafValues(p.current), leafValues(next)
	lines := []changeLine{}
	for _, named := range configuration.Summary(p.current, &p.change.Patch) {
		if named.Kind != configuration.ChangeUpdate {
			lines = append(lines, changeLine{Kind: named.Kind, Field: named.Field})
			continue
		}
		lines = append(lines, fieldLines(named.Field, valuesUnder(before, named.Field), valuesUnder(after, named.Field))...)
	}
	return lines
}

// leafValues returns the scalar values of a configuration by path.
func leafValues(c *structs.Configuration) map[string]string {
	result := map[string]string{}
	if c == nil {
		return result
	}
	var document yaml.Node
	if err := document.Encode(c); err == nil {
		collectLeaves(&document, "", result)
	}
	return result
}

// valuesUnder returns the values whose path is field or lies under it.
func valuesUnder(all map[string]string, field string) map[string]string {
	result := map[string]string{}
	for path, value := range all {
		if path == field || strings.HasPrefix(path, field+".") || strings.HasPrefix(path, field+"[") {
			result[path] = value
		}
	}
	return result
}

func collectLeaves(node *yaml.Node, path string, into map[string]string) {
	switch node.Kind {
	case yaml.MappingNode:
		for i := 0; i+1 < len(node.Content); i += 2 {
			childPath := node.Content[i].Value
			if path != "" {
				childPath = path + "." + childPath
			}
			collectLeaves(node.Content[i+1], childPath, into)
		}
	case yaml.SequenceNode:
		for i, child := range node.Content {
			collectLeaves(child, fmt.Sprintf("%s[%d]", path, i), into)
		}
	default:
		into[path] = node.Value
	}
}

func fieldLines(field string, before, after map[string]string) []changeLine {
	paths := maps.Clone(before)
	maps.Copy(paths, after)
	var lines []changeLine
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		from, hadValue := before[path]
		to, hasValue := after[path]
		switch {
		case !hadValue:
			lines = append(lines, changeLine{Kind: configuration.ChangeAdd, Field: path, To: to})
		case !hasValue:
			lines = append(lines, changeLine{Kind: configuration.ChangeRemove, Field: path, From: from})
		case from != to:
			lines = append(lines, changeLine{Kind: configuration.ChangeUpdate, Field: path, From: from, To: to})
		}
	}
	if len(lines) == 0 {
		lines = append(lines, changeLine{Kind: configuration.ChangeUpdate, Field: field})
	}
	return lines
}

// maxShownRunes bounds how much of a value a line shows.
const maxShownRunes = 60

func abbreviate(value string) string {
	runes := []rune(value)
	if len(runes) <= maxShownRunes {
		return fmt.Sprintf("%q", value)
	}
	return fmt.Sprintf("%q...", string(runes[:maxShownRunes]))
}

func writeLines(w io.Writer, lines []changeLine) error {
	if len(lines) == 0 {
		_, err := fmt.Fprintln(w, "Nothing to change.")
		return err
	}
	signs := map[configuration.ChangeKind]string{
		configuration.ChangeAdd:    "+",
		configuration.ChangeUpdate: "~",
		configuration.ChangeRemove: "-",
	}
	for _, line := range lines {
		text := signs[line.Kind] + " " + line.Field
		switch {
		case line.From != "" && line.To != "":
			text += ": " + abbreviate(line.From) + " -> " + abbreviate(line.To)
		case line.To != "":
			text += ": " + abbreviate(line.To)
		case line.From != "":
			text += ": was " + abbreviate(line.From)
		}
		if _, err := fmt.Fprintln(w, text); err != nil {
			return err
		}
	}
	return nil
}

// writeYAML prints a value in the format of the configuration files.
func writeYAML[Value any](w io.Writer, value Value) error {
	encoder := yaml.NewEncoder(w)
	encoder.SetIndent(2)
	if err := encoder.Encode(value); err != nil {
		return eris.Wrap(err, "write output")
	}
	return eris.Wrap(encoder.Close(), "write output")
}

// sorted returns the sorted keys of a map.
func sorted[Name ~string, Value any](values map[Name]Value) []Name {
	return slices.Sorted(maps.Keys(values))
}

// row is one row of a table.
func row(cells ...any) table.Row { return cells }
