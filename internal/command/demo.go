package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/mintpulley/mintpulley/internal/demo"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run stand-ins, three daemons and the example programs in one process",
		Flags: []cli.Flag{formatFlag()},
		Action: func(ctx context.Context, command *cli.Command) error {
			result, err := demo.Run(ctx)
			if err != nil {
				return err
			}
			if err := printDemo(command.Root().Writer, command.String("format"), result); err != nil {
				return err
			}
			if result.Violations > 0 {
				return eris.Wrapf(ErrViolation, "%d violations", result.Violations)
			}
			return nil
		},
	}
}

// formatFlag selects the output format, table or JSON.
func formatFlag() cli.Flag {
	return &cli.StringFlag{Name: "format", Value: "table", Usage: "`table` or json"}
}

func printDemo(w io.Writer, format string, result demo.Result) error {
	if format == "json" {
		return json.NewEncoder(w).Encode(result)
	}
	_, err := fmt.Fprintf(w, "daemons %d  programs %d  completed %d  calls %d  refused %d\n"+
		"program latency p50 %.3f s  p95 %.3f s\nadded to first token p50 %.2f ms  p99 %.2f ms\nviolations %d\n",
		result.Daemons, result.Programs, result.Completed, result.Calls, result.Refused,
		result.ProgramLatencyP50Seconds, result.ProgramLatencyP95Seconds,
		result.AddedFirstTokenP50Milliseconds, result.AddedFirstTokenP99Milliseconds, result.Violations)
	return err
}
