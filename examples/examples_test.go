package examples_test

import (
	"encoding/json"
	"io/fs"
	"os"
	"path/filepath"
	"testing"

	"github.com/mintpulley/mintpulley/examples"
	"github.com/mintpulley/mintpulley/internal/configuration/files"
	_ "github.com/mintpulley/mintpulley/internal/plugins" // registers the drivers that the settings name
	"github.com/mintpulley/mintpulley/internal/settings"
	"github.com/mintpulley/mintpulley/internal/structs"
	"github.com/mintpulley/mintpulley/internal/yamlfile"
)

func TestConfigurationsAreValid(t *testing.T) {
	for _, directories := range [][]string{{"tally"}, {"chlebnet"}, {"tally", "chlebnet"}} {
		wanted, problems := files.LoadFS(examples.Files, directories...)
		problems = append(problems, wanted.Check(nil)...)
		if len(problems) > 0 {
			t.Errorf("%v:\n%v", directories, yamlfile.Problems(problems))
		}
		if len(wanted.Configuration.Tenants) < 3 {
			t.Errorf("%v has %d tenants", directories, len(wanted.Configuration.Tenants))
		}
	}
}

func TestSettingsAreValid(t *testing.T) {
	names, err := fs.Glob(examples.Files, "settings/*.yaml")
	if err != nil || len(names) != 3 {
		t.Fatalf("found settings %v, error %v; want 3 files", names, err)
	}
	for _, name := range names {
		data, err := examples.Files.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		path := filepath.Join(t.TempDir(), "daemon.yaml")
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := settings.Read(path); err != nil {
			t.Error(err)
		}
	}
}

// The machine list used in the README must have the daemons of the settings and a
// back end for each target of the chlebnet templates.
func TestMachineListServesTheExamples(t *testing.T) {
	data, err := examples.Files.ReadFile("machines.json")
	if err != nil {
		t.Fatal(err)
	}
	var machines []structs.Machine
	if err := json.Unmarshal(data, &machines); err != nil {
		t.Fatal(err)
	}
	daemons, served := 0, map[string]bool{}
	for _, machine := range machines {
		if machine.Kind == structs.MachineDaemon {
			daemons++
		}
		served[machine.Name] = true
	}
	if daemons != 3 {
		t.Errorf("the machine list has %d daemons, want 3", daemons)
	}
	wanted, _ := files.LoadFS(examples.Files, "chlebnet")
	for name, template := range wanted.Configuration.Templates {
		for _, target := range template.Targets {
			if !served[target] {
				t.Errorf("no machine serves %q of template %q", target, name)
			}
		}
	}
}
