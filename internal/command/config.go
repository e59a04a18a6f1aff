package command

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/mintpulley/mintpulley/internal/configuration"
	"github.com/mintpulley/mintpulley/internal/configuration/files"
	"github.com/mintpulley/mintpulley/internal/operator"
	"github.com/mintpulley/mintpulley/internal/structs"
	"github.com/mintpulley/mintpulley/internal/yamlfile"
)

const configDescription = `Operators keep models, templates, tenants and the fleet's policy in YAML files.
A publication is one entry of the platform's log. It names the revision it is
based on; if another change came first, all daemons refuse it.

Examples:
  mintpulley config check examples/tally
  mintpulley config diff --daemon 10.0.0.1:7001 examples/tally
  mintpulley config publish --daemon 10.0.0.1:7001 --comment "more desks" examples/tally
  mintpulley config history --daemon 10.0.0.1:7001

Exit codes: 0 good, 1 a check failed or the change was refused, 2 wrong usage or no answer.`

func configCommand() *cli.Command {
	return &cli.Command{
		Name:        "config",
		Usage:       "check, compare and publish configuration",
		Description: configDescription,
		Commands: []*cli.Command{
			configCheckCommand(),
			configDiffCommand(),
			configPublishCommand(),
			configHistoryCommand(),
			configShowCommand(),
		},
	}
}

func configCheckCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check files, alone or over the configuration in force",
		ArgsUsage: "FILE|DIRECTORY...",
		Description: `Prints each problem with its file, line and field. With --daemon the files are
checked on top of the configuration in force, so that they may refer to it.

Examples:
  mintpulley config check examples/tally
  mintpulley config check --daemon 10.0.0.1:7001 tenants.yaml`,
		Flags:  clientFlags(),
		Action: runConfigCheck,
	}
}

// checkReport is the JSON output of config check.
type checkReport struct {
	Good     bool               `json:"good"`
	Problems []yamlfile.Problem `json:"problems"`
}

func runConfigCheck(_ context.Context, command *cli.Command) error {
	o, err := outputOf(command)
	if err != nil {
		return err
	}
	paths, err := pathsOf(command)
	if err != nil {
		return err
	}
	wanted, loadProblems := files.Load(paths)
	var current *structs.Configuration
	if len(command.StringSlice("daemon")) > 0 {
		client, err := clientOf(command)
		if err != nil {
			return err
		}
		inForce, err := client.Configuration()
		if err != nil {
			return err
		}
		current = inForce.Configuration
	}
	problems := wanted.CheckAll(current, loadProblems)
	patch := configuration.Diff(current, &wanted.Configuration, wanted.Fleet, false)
	for _, problem := range operator.UnknownPolicies(&patch) {
		problems = append(problems, wanted.Locate(problem))
	}
	if len(problems) > 0 {
		return reportProblems(o, problems)
	}
	return write(o, checkReport{Good: true, Problems: []yamlfile.Problem{}}, func(w io.Writer, _ checkReport) error {
		_, err := fmt.Fprintln(w, "The configuration is good.")
		return err
	})
}

// pathsOf returns the files and directories named on the command line.
func pathsOf(command *cli.Command) ([]string, error) {
	paths := command.Args().Slice()
	if len(paths) == 0 {
		return nil, eris.Wrap(errArguments, "name files or directories")
	}
	return paths, nil
}

// loadFiles reads the files named on the command line.
func loadFiles(command *cli.Command, o output) (*files.Wanted, error) {
	paths, err := pathsOf(command)
	if err != nil {
		return nil, err
	}
	wanted, problems := files.Load(paths)
	if len(problems) > 0 {
		return nil, reportProblems(o, problems)
	}
	return wanted, nil
}

// reportProblems prints the problems and returns the error for exit code 1.
func reportProblems(o output, problems []yamlfile.Problem) error {
	err := write(o, checkReport{Problems: problems}, func(w io.Writer, report checkReport) error {
		_, err := fmt.Fprintln(w, yamlfile.Problems(report.Problems).Error())
		return err
	})
	if err != nil {
		return err
	}
	if len(problems) == 1 {
		return eris.Wrap(ErrCheckFailed, "one problem")
	}
	return eris.Wrapf(ErrCheckFailed, "%d problems", len(problems))
}

func configShowCommand() *cli.Command {
	return &cli.Command{
		Name:      "show",
		Usage:     "show the configuration in force",
		ArgsUsage: "[models|templates|tenants|fleet[/NAME]]",
		Description: `Lists the entries in force; with a kind and a name, prints that entry as YAML.

Examples:
  mintpulley config show --daemon 10.0.0.1:7001
  mintpulley config show --daemon 10.0.0.1:7001 tenants/tally-north
  mintpulley config show --daemon 10.0.0.1:7001 --format json`,
		Flags:  clientFlags(),
		Action: runConfigShow,
	}
}

func runConfigShow(_ context.Context, command *cli.Command) error {
	client, o, err := clientAndOutput(command)
	if err != nil {
		return err
	}
	inForce, err := client.Configuration()
	if err != nil {
		return err
	}
	kind, name, named := strings.Cut(command.Args().First(), "/")
	if kind == "" {
		return write(o, inForce, showSummary)
	}
	if inForce.Configuration == nil {
		return eris.Wrap(ErrCheckFailed, "no configuration is in force yet")
	}
	return showKind(o, inForce.Configuration, kind, name, named)
}

func showKind(o output, c *structs.Configuration, kind, name string, named bool) error {
	switch kind {
	case "models":
		return showEntries(o, c.Models, name, named)
	case "templates":
		return showEntries(o, c.Templates, name, named)
	case "tenants":
		return showEntries(o, c.Tenants, name, named)
	case "fleet":
		return write(o, c.Fleet, writeYAML)
	default:
		return eris.Errorf("there is no kind %q, want models, templates, tenants or fleet", kind)
	}
}

func showEntries[Name ~string, Value any](o output, entries map[Name]Value, name string, named bool) error {
	if !named {
		return write(o, entries, writeYAML)
	}
	value, exists := entries[Name(name)]
	if !exists {
		return eris.Wrapf(ErrCheckFailed, "%q is not in force", name)
	}
	return write(o, map[Name]Value{Name(name): value}, writeYAML)
}

func showSummary(w io.Writer, inForce operator.ConfigurationInForce) error {
	status := inForce.Status
	if _, err := fmt.Fprintf(w, "revision %d  offset %d  digest %016x  serving %t\n", status.Revision, status.Offset, status.Digest, status.Serving); err != nil {
		return err
	}
	if inForce.Configuration == nil {
		return nil
	}
	t := newTable(w, "kind", "name", "what")
	c := inForce.Configuration
	for _, name := range sorted(c.Models) {
		model := c.Models[name]
		t.AppendRow(row("model", name, fmt.Sprintf("cost %d + %d, context %d", model.PromptCost, model.CompletionCost, model.ContextTokens)))
	}
	for _, name := range sorted(c.Templates) {
		template := c.Templates[name]
		t.AppendRow(row("template", name, fmt.Sprintf("models %v, budget %d, priority %d", template.Models, template.Budget, template.Priority)))
	}
	for _, name := range sorted(c.Tenants) {
		tenant := c.Tenants[name]
		t.AppendRow(row("tenant", name, fmt.Sprintf("templates %v, share %d", sorted(tenant.Templates), tenant.Share)))
	}
	t.Render()
	return nil
}
