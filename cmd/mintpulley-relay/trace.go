package main

import (
	"context"
	"errors"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/mintpulley/mintpulley/internal/tracelog"
)

var errNoID = errors.New("trace: the id of a request or program is missing")

// traceCommand prints the log lines of one request or program.
func traceCommand() *cli.Command {
	return &cli.Command{
		Name:      "trace",
		Usage:     "print the log lines of one request or program in order of time",
		ArgsUsage: "ID [LOG...]",
		Description: "Reads the logs of any number of processes, from files or standard input.\n" +
			"Example: mintpulley-relay trace 9cb7078dc5b6abed machine-*.log",
		Action: func(_ context.Context, command *cli.Command) error {
			arguments := command.Args().Slice()
			if len(arguments) == 0 {
				return errNoID
			}
			trace := tracelog.NewTrace(arguments[0])
			if err := readLogs(trace, arguments[1:]); err != nil {
				return err
			}
			return trace.Write(os.Stdout)
		},
	}
}

func readLogs(trace *tracelog.Trace, paths []string) error {
	if len(paths) == 0 {
		return trace.Read(os.Stdin)
	}
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return err
		}
		err = trace.Read(file)
		_ = file.Close()
		if err != nil {
			return err
		}
	}
	return nil
}
