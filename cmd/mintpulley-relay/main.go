// Command mintpulley-relay is the daemon that runs on the users' platform. It
// contains only the relay, the ledger and membership, and the platform's adapter.
//
//go:debug fips140=off
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/mintpulley/mintpulley/internal/relaydaemon"
	_ "github.com/mintpulley/mintpulley/internal/startup" // prepares the process
	_ "github.com/mintpulley/mintpulley/platform"         // registers the platform's adapter
)

// Exit codes.
const (
	// exitUsage is the exit code for wrong usage and wrong settings.
	exitUsage = 2
	// exitUnavailable is the exit code of a start that gave up waiting for an address.
	exitUnavailable = 3
)

// signalBuffer is how many signals may be pending while the daemon starts. Signals
// during a shutdown are ignored.
const signalBuffer = 4

var errNoSettings = errors.New("--settings: is missing")

func main() {
	command := &cli.Command{
		Name:  "mintpulley-relay",
		Usage: "relay programs' requests to engines and services on the platform",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "the settings `FILE`"},
			&cli.BoolFlag{Name: "check", Usage: "check the settings, the limits of the process and its addresses, and exit"},
		},
		Action:   run,
		Commands: []*cli.Command{traceCommand(), contentsCommand()},
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "mintpulley-relay:", err)
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	if errors.Is(err, relaydaemon.ErrAddressUnavailable) {
		return exitUnavailable
	}
	return exitUsage
}

func run(_ context.Context, command *cli.Command) error {
	path := command.String("settings")
	if path == "" {
		return errNoSettings
	}
	signal.Ignore(syscall.SIGPIPE) // a write to an output that takes no more then fails, and does not end the daemon
	signals := make(chan os.Signal, signalBuffer)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP) // before anything else, as a signal without a handler ends the process
	settings, err := relaydaemon.ReadSettings(path)
	if err != nil {
		return err
	}
	if command.Bool("check") {
		return relaydaemon.CheckSurroundings(settings)
	}
	level, err := zerolog.ParseLevel(settings.LogLevel)
	if err != nil {
		return fmt.Errorf("%s: log_level: %w", path, err)
	}
	var droppedLines relaydaemon.DroppedLines
	logger, closer := relaydaemon.NewLogger(os.Stdout, level, droppedLines.Add)
	defer func() { _ = closer.Close() }()
	logger = logger.With().Str("machine", settings.Name).Logger()
	daemon, err := start(settings, logger, &droppedLines, signals)
	if errors.Is(err, relaydaemon.ErrInterrupted) {
		return nil
	}
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

// start opens the listeners and starts the daemon. The error is relaydaemon.ErrInterrupted if a signal to stop
// arrives while an address is not available.
func start(settings relaydaemon.Settings, logger zerolog.Logger, dropped *relaydaemon.DroppedLines, signals <-chan os.Signal) (*relaydaemon.Daemon, error) {
	listeners, err := relaydaemon.OpenListeners(settings, logger, pauseUnlessStopped(signals))
	if err != nil {
		return nil, err
	}
	return relaydaemon.Start(settings, listeners, logger, dropped)
}

// pauseUnlessStopped returns a pause that a signal ends early. It gives the start up if the signal is one to
// stop; a SIGHUP does not.
func pauseUnlessStopped(signals <-chan os.Signal) relaydaemon.Pause {
	return func(length time.Duration) bool {
		select {
		case received := <-signals:
			return received == syscall.SIGHUP
		case <-time.After(length):
			return true
		}
	}
}
