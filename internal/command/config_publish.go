package command

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/mintpulley/mintpulley/internal/configuration"
	"github.com/mintpulley/mintpulley/internal/configuration/files"
	"github.com/mintpulley/mintpulley/internal/operator"
	"github.com/mintpulley/mintpulley/internal/structs"
	"github.com/mintpulley/mintpulley/internal/yamlfile"
)

// unsetBase is the default of --base: the revision in force.
const unsetBase = -1

func removalFlags() []cli.Flag {
	return []cli.Flag{
		&cli.BoolFlag{Name: "prune", Usage: "remove entries in force that none of the files has"},
		&cli.StringSliceFlag{Name: "remove", Usage: "remove `KIND/NAME`, such as tenants/old; may be repeated"},
	}
}

func configDiffCommand() *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "show what publishing files would change",
		ArgsUsage: "FILE|DIRECTORY...",
		Description: `Examples:
  mintpulley config diff --daemon 10.0.0.1:7001 examples/tally
  mintpulley config diff --daemon 10.0.0.1:7001 --prune everything/`,
		Flags: withClientFlags(removalFlags()...),
		Action: func(_ context.Context, command *cli.Command) error {
			p, err := prepareChange(command)
			if err != nil {
				return err
			}
			return write(p.output, p.changedFields(), writeLines)
		},
	}
}

func configPublishCommand() *cli.Command {
	flags := append(removalFlags(),
		&cli.BoolFlag{Name: "dry-run", Usage: "print what would happen and change nothing"},
		&cli.Int64Flag{Name: "base", Value: unsetBase, Usage: "`REVISION` that the change is based on; by default the one in force"},
		&cli.StringFlag{Name: "operation", Usage: "`ID` of an earlier attempt with unknown outcome; an operation applies at most once"},
		&cli.StringFlag{Name: "comment", Usage: "`TEXT` shown in the history"},
	)
	return &cli.Command{
		Name:      "publish",
		Usage:     "publish files to the fleet",
		ArgsUsage: "FILE|DIRECTORY...",
		Description: `Sets the entries in the files and keeps all others; --prune removes the others.
A publication is atomic: it comes into force as a whole or not at all.

Examples:
  mintpulley config publish --daemon 10.0.0.1:7001 --dry-run examples/tally
  mintpulley config publish --daemon 10.0.0.1:7001 --comment "more desks" examples/tally
  mintpulley config publish --daemon 10.0.0.1:7001 --remove tenants/old
  mintpulley config publish --daemon 10.0.0.2:7001 --operation op-1f2e... --base 7 examples/tally`,
		Flags:  withClientFlags(flags...),
		Action: runConfigPublish,
	}
}

// preparedChange is a change computed from files and flags, with the
// configuration in force that it is based on.
type preparedChange struct {
	output  output
	client  *operator.Client
	wanted  *files.Wanted
	current *structs.Configuration
	change  structs.Change
}

// prepareChange computes the change from the configuration in force to the files.
func prepareChange(command *cli.Command) (*preparedChange, error) {
	client, o, err := clientAndOutput(command)
	if err != nil {
		return nil, err
	}
	removals := command.StringSlice("remove")
	wanted := &files.Wanted{}
	if command.Args().Len() > 0 || len(removals) == 0 {
		if wanted, err = loadFiles(command, o); err != nil {
			return nil, err
		}
	}
	inForce, err := client.Configuration()
	if err != nil {
		return nil, err
	}
	p := &preparedChange{output: o, client: client, wanted: wanted, current: inForce.Configuration}
	p.change.Base = inForce.Status.Revision
	p.change.Patch = configuration.Diff(p.current, &wanted.Configuration, wanted.Fleet, command.Bool("prune"))
	return p, addRemovals(&p.change.Patch, removals)
}

// addRemovals adds the entries of --remove, KIND/NAME each, to a patch.
func addRemovals(patch *structs.Patch, removals []string) error {
	for _, removal := range removals {
		kind, name, named := strings.Cut(removal, "/")
		switch {
		case !named || name == "":
			return eris.Errorf("--remove: %q, want KIND/NAME", removal)
		case kind == "models":
			patch.Models.Remove = append(patch.Models.Remove, structs.ModelName(name))
		case kind == "templates":
			patch.Templates.Remove = append(patch.Templates.Remove, structs.TemplateName(name))
		case kind == "tenants":
			patch.Tenants.Remove = append(patch.Tenants.Remove, structs.TenantName(name))
		default:
			return eris.Errorf("--remove: there is no kind %q", kind)
		}
	}
	patch.Models.Remove = sortedUnique(patch.Models.Remove)
	patch.Templates.Remove = sortedUnique(patch.Templates.Remove)
	patch.Tenants.Remove = sortedUnique(patch.Tenants.Remove)
	return nil
}

// sortedUnique sorts names and removes duplicates.
func sortedUnique[Name ~string](names []Name) []Name {
	slices.Sort(names)
	return slices.Compact(names)
}

// publishReport is the JSON output of config publish.
type publishReport struct {
	DryRun      bool                   `json:"dry_run"`
	OperationID string                 `json:"operation_id"`
	Changes     []changeLine           `json:"changes"`
	Verdict     *configuration.Verdict `json:"verdict,omitempty"`
	// Explanation says why the change was refused.
	Explanation string             `json:"explanation,omitempty"`
	Problems    []yamlfile.Problem `json:"problems,omitempty"`
}

func runConfigPublish(_ context.Context, command *cli.Command) error {
	p, err := prepareChange(command)
	if err != nil {
		return err
	}
	report := publishReport{DryRun: command.Bool("dry-run"), Changes: p.changedFields()}
	p.change.OperationID = command.String("operation")
	p.change.Comment = command.String("comment")
	p.change.At = time.Now().UTC()
	if base := command.Int64("base"); base != unsetBase {
		p.change.Base = structs.Revision(base)
	}
	if p.change.Patch.Empty() && p.change.OperationID == "" {
		return write(p.output, report, writePublishReport)
	}
	if p.change.OperationID == "" {
		p.change.OperationID = newOperationID()
	}
	report.OperationID = p.change.OperationID
	return p.publish(command, report)
}

// publish sends the change and reports the verdict.
func (p *preparedChange) publish(command *cli.Command, report publishReport) error {
	verdict, explanation, err := p.send(command, report)
	if err != nil {
		return err
	}
	report.Verdict, report.Explanation = verdict, explanation
	for _, problem := range verdict.Problems {
		report.Problems = append(report.Problems, p.wanted.Locate(problem))
	}
	if err := write(p.output, report, writePublishReport); err != nil {
		return err
	}
	if explanation != "" {
		return eris.Wrap(ErrCheckFailed, "the change was refused")
	}
	return nil
}

// send returns the verdict on the change, and an explanation when it was
// refused.
func (p *preparedChange) send(command *cli.Command, report publishReport) (*configuration.Verdict, string, error) {
	if report.DryRun {
		verdict, err := p.client.Check(p.change)
		if err != nil || verdict.Accepted {
			return &verdict, "", err
		}
		return &verdict, configuration.Explain(verdict, nil), nil
	}
	_, _ = fmt.Fprintf(command.Root().ErrWriter, "Publishing as operation %s on revision %d.\n", p.change.OperationID, p.change.Base)
	verdict, err := p.client.Publish(p.change)
	var refused *operator.RequestError
	if errors.As(err, &refused) && refused.Detail.Verdict != nil && refused.Detail.Code == operator.CodeRefused {
		return refused.Detail.Verdict, refused.Detail.Message, nil
	}
	return &verdict, "", err
}

// operationIDBytes is the length of the random part of an operation ID.
const operationIDBytes = 8

func newOperationID() string {
	var random [operationIDBytes]byte
	_, _ = rand.Read(random[:]) // never fails
	return "op-" + hex.EncodeToString(random[:])
}

func writePublishReport(w io.Writer, report publishReport) error {
	if err := writeLines(w, report.Changes); err != nil {
		return err
	}
	var err error
	switch verdict := report.Verdict; {
	case verdict == nil:
	case verdict.Accepted && report.DryRun:
		_, err = fmt.Fprintf(w, "Would be accepted as revision %d. Nothing was changed.\n", verdict.Revision)
	case verdict.Accepted:
		_, err = fmt.Fprintf(w, "In force as revision %d (operation %s).\n", verdict.Revision, report.OperationID)
	case len(report.Problems) > 0:
		_, err = fmt.Fprintf(w, "Refused:\n%s\n", yamlfile.Problems(report.Problems).Error())
	default:
		_, err = fmt.Fprintf(w, "Refused: %s.\n", report.Explanation)
	}
	return err
}
