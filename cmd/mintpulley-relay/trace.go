package main

import (
	"context"
	"errors"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/mintpulley/mintpulley/internal/tracelog"
)

var errNoID = errors.New("trace: the id of a request or program is missing")

// traceCommand prints one request's or program's story.
func traceCommand() *cli.Command {
	return &cli.Command{
		Name:      "trace",
		Usage:     "print what logs tell of one request or program, in order",
		ArgsUsage: "ID [LOG...]",
		Description: "Reads the logs of any number of processes, from files or standard input.\n" +
			"Example: mintpulley-relay trace 9cb7078dc5b6abed machine-*.log",
		Action: func(_ context.Context, command *cli.Command) error {
			arguments := command.Args().Slice()
			if len(arguments) == 0 {
				return errNoID
			}
			story := tracelog.NewTrace(arguments[0])
			if err := readLogs(story, arguments[1:]); err != nil {
				return err
			}
			return story.Write(os.Stdout)
		},
	}
}

func readLogs(story *tracelog.Trace, paths []string) error {
	if len(paths) == 0 {
		return story.Read(os.Stdin)
	}
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return err
		}
		err = story.Read(file)
		_ = file.Close()
		if err != nil {
			return err
		}
	}
	return nil
}
