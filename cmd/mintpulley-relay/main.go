// Command mintpulley-relay is the daemon that runs on the users' platform: a
// lean program with the relay, the ledger and membership behind the platform's
// adapter.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/mintpulley/mintpulley/internal/relaydaemon"
	_ "github.com/mintpulley/mintpulley/platform" // its adapter
)

// exitBadUse is the exit code for settings that cannot be used.
const exitBadUse = 2

// signalQueue is how many signals may wait while the daemon starts; during a stop
// further ones change nothing.
const signalQueue = 4

var errNoSettings = errors.New("--settings: is missing")

func main() {
	command := &cli.Command{
		Name:  "mintpulley-relay",
		Usage: "carry programs' requests to engines and services on the platform",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "the settings `FILE`"},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		},
		Action:   run,
		Commands: []*cli.Command{traceCommand()},
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "mintpulley-relay:", err)
		os.Exit(exitBadUse)
	}
}

func run(_ context.Context, command *cli.Command) error {
	path := command.String("settings")
	if path == "" {
		return errNoSettings
	}
	signals := make(chan os.Signal, signalQueue)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP) // at once: a signal not asked for ends the process
	settings, err := relaydaemon.ReadSettings(path)
	if err != nil || command.Bool("check") {
		return err
	}
	level, err := zerolog.ParseLevel(settings.LogLevel)
	if err != nil {
		return fmt.Errorf("%s: log_level: %w", path, err)
	}
	var lost relaydaemon.DroppedLines
	logger, closer := relaydaemon.NewLogger(os.Stdout, level, lost.Add)
	defer func() { _ = closer.Close() }()
	logger = logger.With().Str("machine", settings.Name).Logger()
	daemon, err := relaydaemon.Start(settings, logger, &lost)
	if err != nil {
		return err
	}
	for received := range signals {
		if received != syscall.SIGHUP {
			break
		}
		daemon.Reload(path)
	}
	daemon.Stop()
	return nil
}
