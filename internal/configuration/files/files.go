// Package files reads operators' configuration from YAML files and
// directories, and finds the file and line of whatever is wrong.
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

// Wanted is what the files ask for.
type Wanted struct {
	Configuration structs.Configuration
	// Fleet is nil when no file names a fleet policy.
	Fleet *structs.FleetPolicy

	files []fileLines
}

// place is what one file contains.
type fileLines struct {
	file  string
	lines yamlfile.Lines
}

// content is one file.
type fileContent struct {
	Models    map[structs.ModelName]structs.Model       `yaml:"models"`
	Templates map[structs.TemplateName]structs.Template `yaml:"templates"`
	Tenants   map[structs.TenantName]structs.Tenant     `yaml:"tenants"`
	Fleet     *structs.FleetPolicy                      `yaml:"fleet"`
}

// Source is one file's name and bytes.
type Source struct {
	Name string
	Data []byte
}

// Load reads files and all .yaml and .yml files of directories.
func Load(paths []string) (*Wanted, []yamlfile.Problem) {
	return load(paths, listFiles, os.ReadFile)
}

// LoadFS reads all .yaml files of directories of a file system.
func LoadFS(system fs.FS, directories ...string) (*Wanted, []yamlfile.Problem) {
	list := func(directory string) ([]string, error) { return fs.Glob(system, path.Join(directory, "*.yaml")) }
	read := func(name string) ([]byte, error) { return fs.ReadFile(system, name) }
	return load(directories, list, read)
}

// load reads the files that paths stand for. What cannot be read is a problem,
// and the rest is parsed.
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

// list returns the files that a path stands for, in order.
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

// Parse reads sources that are in memory already. It finds what cannot be
// read and names that two files give; Check finds the rest.
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

// given reports a name that an earlier file gives too.
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

// Locate turns a failed check into a problem with file and line. What no file
// names is said to be in force already.
func (w *Wanted) Locate(problem configuration.Problem) yamlfile.Problem {
	field := strings.TrimSuffix(problem.Field, " (bytes)")
	best := yamlfile.Problem{File: "in force", Field: problem.Field, Reason: problem.Reason}
	for at := field; at != ""; at = parent(at) {
		if !strings.Contains(at, ".") && at != "fleet" {
			break // "tenants" alone may stand in any file
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

// parent returns the path without its last step.
func parent(field string) string {
	cut := strings.LastIndexAny(field, ".[")
	if cut < 0 {
		return ""
	}
	return field[:cut]
}

// Check returns everything that would be wrong with the configuration if the
// files came into force over current, which may be nil.
func (w *Wanted) Check(current *structs.Configuration) []yamlfile.Problem {
	patch := configuration.Diff(current, &w.Configuration, w.Fleet, false)
	next, _ := configuration.ApplyPatch(current, &patch)
	var problems []yamlfile.Problem
	for _, problem := range configuration.Validate(next) {
		problems = append(problems, w.Locate(problem))
	}
	return problems
}

// CheckAll returns what could not be read of the files, as Load found it, and
// what is wrong besides, by file and line. Where a whole file is missing the
// rest cannot be judged.
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

// follows tells whether a failed check concerns a value that could not be read.
func isConsequence(problem yamlfile.Problem, unread []yamlfile.Problem) bool {
	for at := problem.Field; at != ""; at = parent(at) {
		if slices.ContainsFunc(unread, func(other yamlfile.Problem) bool { return other.Field == at }) {
			return true
		}
	}
	return false
}
