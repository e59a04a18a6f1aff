// Package command implements the subcommands of mintpulley.
package command

import (
	"context"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
)

// Exit codes of all commands.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// ErrViolation is returned by commands that measure or simulate when a checker
// found a violated guarantee.
var ErrViolation = eris.New("a guarantee was violated")

// ErrCheckFailed is returned by operators' commands when a check failed or the
// fleet refused a change; it shares the exit code of ErrViolation.
var ErrCheckFailed = eris.New("check failed")

// ExitCode maps a command's error to the exit code of the process. Errors other
// than ErrViolation and ErrCheckFailed count as wrong usage.
func ExitCode(err error) int {
	switch {
	case err == nil:
		return ExitOK
	case eris.Is(err, ErrViolation), eris.Is(err, ErrCheckFailed):
		return ExitFailed
	default:
		return ExitUsage
	}
}

// New returns the root command.
func New() *cli.Command {
	return &cli.Command{
		Name:                  "mintpulley",
		Usage:                 "schedule agent programs over model engines",
		EnableShellCompletion: true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			configCommand(),
			daemonCommand(),
			demoCommand(),
			experimentCommand(),
			fleetCommand(),
			programsCommand(),
			simCommand(),
			goodputCommand(),
			loadCommand(),
		},
	}
}
