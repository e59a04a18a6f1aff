package command

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/mintpulley/mintpulley/internal/configuration"
	"github.com/mintpulley/mintpulley/internal/operator"
)

// defaultHistoryLength is the default of --limit.
const defaultHistoryLength = 20

func configHistoryCommand() *cli.Command {
	return &cli.Command{
		Name:      "history",
		Usage:     "list the latest changes with their verdicts, or explain one",
		ArgsUsage: "[OPERATION]",
		Description: `All daemons reach the same verdict on every change. Refused changes are listed, too.

Examples:
  mintpulley config history --daemon 10.0.0.1:7001 --limit 50
  mintpulley config history --daemon 10.0.0.1:7001 op-1f2e3d4c5b6a7988`,
		Flags:  withClientFlags(&cli.IntFlag{Name: "limit", Value: defaultHistoryLength, Usage: "`NUMBER` of changes"}),
		Action: runConfigHistory,
	}
}

func runConfigHistory(_ context.Context, command *cli.Command) error {
	client, o, err := clientAndOutput(command)
	if err != nil {
		return err
	}
	if operation := command.Args().First(); operation != "" {
		verdict, err := client.Operation(operation)
		if err != nil {
			return err
		}
		return write(o, verdict, explainVerdict)
	}
	history, err := client.History(command.Int("limit"))
	if err != nil {
		return err
	}
	return write(o, history, writeHistory)
}

func verdictWord(verdict configuration.Verdict) string {
	if verdict.Accepted {
		return "accepted"
	}
	return string(verdict.Reason)
}

func writeHistory(w io.Writer, history operator.History) error {
	t := newTable(w, "offset", "base", "revision", "verdict", "operator", "operation", "comment")
	for _, verdict := range history.Verdicts {
		t.AppendRow(row(verdict.Offset, verdict.Base, verdict.Revision, verdictWord(verdict), verdict.Operator, verdict.OperationID, verdict.Comment))
	}
	t.Render()
	return nil
}

func explainVerdict(w io.Writer, verdict configuration.Verdict) error {
	if verdict.Accepted {
		_, err := fmt.Fprintf(w, "Operation %s by %s came into force as revision %d, at offset %d.\n",
			verdict.OperationID, verdict.Operator, verdict.Revision, verdict.Offset)
		return err
	}
	_, err := fmt.Fprintf(w, "Operation %s by %s at offset %d was not applied: %s.\n",
		verdict.OperationID, verdict.Operator, verdict.Offset, configuration.Explain(verdict, nil))
	return err
}
