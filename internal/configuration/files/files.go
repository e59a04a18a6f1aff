// Package files reads operators' configuration from YAML files and directories,
// and reports each problem with its file and line.
package files

import (
	"io/fs"
	"maps"
	"os"
	"path"
	"path/filepath"
	"slices"
	"strings"

	"github.com/mintpulley/mintpulley/internal/configuration"
	"github.com/mintpulley/mintpulley/internal/structs"
	"github.com/mintpulley/mintpulley/internal/yamlfile"
)

// Wanted is the configuration that a set of files describes.
type Wanted struct {
	Configuration structs.Configuration
	// Fleet is nil when no file contains a fleet policy.
	Fleet *structs.FleetPolicy

	files []fileLines
}

// fileLines are the lines of the fields of one file.
type fileLines struct {
	file  string
	lines yamlfile.Lines
}

// fileContent is the decoded content of one file.
type fileContent struct {
	Models    map[structs.ModelName]structs.Model       `yaml:"models"`
	Templates map[structs.TemplateName]structs.Template `yaml:"templates"`
	Tenants   map[structs.TenantName]structs.Tenant     `yaml:"tenants"`
	Fleet     *structs.FleetPolicy                      `yaml:"fleet"`
}

// Source is the name and content of one file.
type Source struct {
	Name string
	Data []byte
}

// Load reads files, and all .yaml and .yml files of directories.
func Load(paths []string) (*Wanted, []yamlfile.Problem) {
	return load(paths, listFiles, os.ReadFile)
}

// LoadFS reads all .yaml files of directories in a file system.
func LoadFS(system fs.FS, directories ...string) (*Wanted, []yamlfile.Problem) {
	list := func(directory string) ([]string, error) { return fs.Glob(system, path.Join(directory, "*.yaml")) }
	read := func(name string) ([]byte, error) { return fs.ReadFile(system, name) }
	return load(directories, list, read)
}

// load reads and parses the files that paths stand for. It reports unreadable
// files as problems and parses the others.
func load(paths []string, list func(string) ([]string, error), read func(string) ([]byte, error)) (*Wanted, []yamlfile.Problem) {
	var sources []Source
	var problems []yamlfile.Problem
	for _, given := range paths {
		names, err := list(given)
		if err != nil {
			problems = append(problems, yamlfile.Problem{File: given, Reason: err.Error()})
		}
		for _, name := range names {
			data, err := read(name)
			if err != nil {
				problems = append(problems, yamlfile.Problem{File: name, Reason: err.Error()})
				continue
			}
			sources = append(sources, Source{Name: name, Data: data})
		}
	}
	wanted, found := Parse(sources)
	return wanted, append(problems, found...)
}

// listFiles returns a file itself, or the YAML files of a directory in order.
func listFiles(name string) ([]string, error) {
	entries, err := os.ReadDir(name)
	if err != nil {
		if info, statErr := os.Stat(name); statErr == nil && !info.IsDir() {
			return []string{name}, nil
		}
		return nil, err
	}
	var names []string
	for _, entry := range entries {
		extension := filepath.Ext(entry.Name())
		if !entry.IsDir() && (extension == ".yaml" || extension == ".yml") {
			names = append(names, filepath.Join(name, entry.Name()))
		}
	}
	return names, nil
}

// Parse decodes and merges sources. It reports syntax and type errors and names
// that occur in two files; Check validates the result.
func Parse(sources []Source) (*Wanted, []yamlfile.Problem) {
	wanted := &Wanted{Configuration: structs.Configuration{
		Models:    map[structs.ModelName]structs.Model{},
		Templates: map[structs.TemplateName]structs.Template{},
		Tenants:   map[structs.TenantName]structs.Tenant{},
	}}
	var problems []yamlfile.Problem
	for _, source := range sources {
		var read fileContent
		lines, found := yamlfile.Decode(source.Name, source.Data, &read)
		problems = append(problems, found...)
		m := merger{wanted: wanted, current: fileLines{file: source.Name, lines: lines}}
		mergeKind(&m, "models", wanted.Configuration.Models, read.Models)
		mergeKind(&m, "templates", wanted.Configuration.Templates, read.Templates)
		mergeKind(&m, "tenants", wanted.Configuration.Tenants, read.Tenants)
		m.fleet(read.Fleet)
		problems = append(problems, m.problems...)
		wanted.files = append(wanted.files, m.current)
	}
	return wanted, problems
}

type merger struct {
	wanted   *Wanted
	current  fileLines
	problems []yamlfile.Problem
}

// reportDuplicate reports a name that an earlier file has defined.
func (m *merger) reportDuplicate(field string) {
	first := m.wanted.Locate(configuration.Problem{Field: field})
	m.problems = append(m.problems, yamlfile.Problem{
		File: m.current.file, Line: m.current.lines.Line(field), Field: field, Reason: "is given in " + first.File + " too",
	})
}

func mergeKind[Name ~string, Value any](m *merger, kind string, into, from map[Name]Value) {
	for _, name := range slices.Sorted(maps.Keys(from)) {
		if _, taken := into[name]; taken {
			m.reportDuplicate(kind + "." + string(name))
			continue
		}
		into[name] = from[name]
	}
}

func (m *merger) fleet(policy *structs.FleetPolicy) {
	switch {
	case policy == nil:
	case m.wanted.Fleet != nil:
		m.reportDuplicate("fleet")
	default:
		m.wanted.Fleet = policy
		m.wanted.Configuration.Fleet = *policy
	}
}

// Locate adds file and line to a problem. A field that occurs in no file is
// attributed to the configuration "in force".
func (w *Wanted) Locate(problem configuration.Problem) yamlfile.Problem {
	field := strings.TrimSuffix(problem.Field, " (bytes)")
	best := yamlfile.Problem{File: "in force", Field: problem.Field, Reason: problem.Reason}
	for at := field; at != ""; at = parent(at) {
		if !strings.Contains(at, ".") && at != "fleet" {
			break // "tenants" alone may occur in any file
		}
		for _, place := range w.files {
			if line, known := place.lines[at]; known {
				best.File, best.Line = place.file, line
				return best
			}
		}
	}
	return best
}

// parent returns the path without its last element.
func parent(field string) string {
	cut := strings.LastIndexAny(field, ".[")
	if cut < 0 {
		return ""
	}
	return field[:cut]
}

// Check returns the problems of the configuration that results from applying the
// files to current, which may be nil.
func (w *Wanted) Check(current *structs.Configuration) []yamlfile.Problem {
	patch := configuration.Diff(current, &w.Configuration, w.Fleet, false)
	next, _ := configuration.ApplyPatch(current, &patch)
	var problems []yamlfile.Problem
	for _, problem := range configuration.Validate(next) {
		problems = append(problems, w.Locate(problem))
	}
	return problems
}

// CheckAll returns the problems that Load reported (unread) and those that Check
// finds, sorted by file and line. It skips Check if a whole file could not be
// read, since other files may refer to it.
func (w *Wanted) CheckAll(current *structs.Configuration, unread []yamlfile.Problem) []yamlfile.Problem {
	problems := slices.Clone(unread)
	if !slices.ContainsFunc(unread, concernsWholeFile) {
		for _, problem := range w.Check(current) {
			if !isConsequence(problem, unread) {
				problems = append(problems, problem)
			}
		}
	}
	yamlfile.Sort(problems)
	return problems
}

func concernsWholeFile(problem yamlfile.Problem) bool { return problem.Field == "" }

// isConsequence reports whether a problem concerns a value that could not be
// read.
func isConsequence(problem yamlfile.Problem, unread []yamlfile.Problem) bool {
	for at := problem.Field; at != ""; at = parent(at) {
		if slices.ContainsFunc(unread, func(other yamlfile.Problem) bool { return other.Field == at }) {
			return true
		}
	}
	return false
}
