package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/mintpulley/mintpulley/internal/daemon"
	"github.com/mintpulley/mintpulley/internal/settings"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const daemonDescription = `Runs until SIGTERM or SIGINT, then shuts down gracefully: no request is aborted.
Settings come from a YAML file, from flags, or both; flags take precedence.

Examples:
  mintpulley daemon --settings daemon.yaml
  mintpulley daemon --settings daemon.yaml --check
  mintpulley daemon --peer-address 10.0.0.1:7000 --http-address 10.0.0.1:7001 \
    --zone zone-a --event-log 10.0.9.1:80 --machine-list 10.0.9.2:80`

func daemonCommand() *cli.Command {
	flags := []cli.Flag{
		&cli.StringFlag{Name: "settings", Usage: "the settings `FILE`", TakesFile: true},
		&cli.BoolFlag{Name: "check", Usage: "check the settings, print problems, and exit"},
	}
	for _, flag := range settingFlags() {
		flags = append(flags, flag.flag)
	}
	return &cli.Command{
		Name:        "daemon",
		Usage:       "run one daemon of the fleet",
		UsageText:   "mintpulley daemon --settings FILE [--check] [flags]",
		Description: daemonDescription,
		Flags:       flags,
		Action:      runDaemon,
	}
}

func runDaemon(ctx context.Context, command *cli.Command) error {
	config, err := settings.Load(command.String("settings"), overridesOf(command))
	if err != nil {
		return err
	}
	if command.Bool("check") {
		_, err := fmt.Fprintln(command.Root().Writer, "The settings are good.")
		return eris.Wrap(err, "write output")
	}
	logger, err := newLogger(config)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d, err := daemon.Start(config, logger)
	if err != nil {
		return err
	}
	<-ctx.Done()
	shutdownContext, cancel := context.WithTimeout(context.Background(), config.Limits.ShutdownTimeout)
	defer cancel()
	return d.Stop(shutdownContext)
}

func newLogger(config settings.Settings) (zerolog.Logger, error) {
	level, err := zerolog.ParseLevel(config.LogLevel)
	if err != nil {
		return zerolog.Nop(), eris.Wrap(err, "settings: log_level")
	}
	var writer io.Writer = os.Stderr
	if config.LogFormat == settings.LogFormatConsole {
		writer = zerolog.ConsoleWriter{Out: os.Stderr}
	}
	return zerolog.New(writer).Level(level).With().Timestamp().Logger(), nil
}

// settingFlag is a flag that overrides one field of the settings.
type settingFlag struct {
	flag  cli.Flag
	field string
	apply func(command *cli.Command, name string, target *settings.Settings)
}

// overridesOf returns an override for each setting given as a flag.
func overridesOf(command *cli.Command) []settings.Override {
	var overrides []settings.Override
	for _, entry := range settingFlags() {
		name := entry.flag.Names()[0]
		if !command.IsSet(name) {
			continue
		}
		overrides = append(overrides, settings.Override{
			Field: entry.field,
			Flag:  "--" + name,
			Apply: func(target *settings.Settings) { entry.apply(command, name, target) },
		})
	}
	return overrides
}

// settingsFileDefault is the default that the help shows for flags that fall back on
// the settings file.
const settingsFileDefault = "the settings file's"

func settingFlags() []settingFlag {
	return []settingFlag{
		{&cli.StringFlag{Name: "peer-address", Usage: "`IP:PORT` where other daemons reach this one"}, "peer_address",
			func(c *cli.Command, name string, s *settings.Settings) { s.PeerAddress = c.String(name) }},
		{&cli.StringFlag{Name: "http-address", Usage: "`IP:PORT` where callers and operators reach it"}, "http_address",
			func(c *cli.Command, name string, s *settings.Settings) { s.HTTPAddress = c.String(name) }},
		{&cli.StringFlag{Name: "zone", Usage: "`NAME` of the machine's zone"}, "zone",
			func(c *cli.Command, name string, s *settings.Settings) { s.Zone = structs.ZoneName(c.String(name)) }},
		{&cli.StringFlag{Name: "region", Usage: "`NAME` of the machine's region"}, "region",
			func(c *cli.Command, name string, s *settings.Settings) {
				s.Region = structs.RegionName(c.String(name))
			}},
		{&cli.IntFlag{Name: "shards", DefaultText: settingsFileDefault, Usage: "`NUMBER` of program shards, the same in the whole fleet"}, "shards",
			func(c *cli.Command, name string, s *settings.Settings) { s.Shards = c.Int(name) }},
		{&cli.StringSliceFlag{Name: "event-log", Usage: "`IP:PORT` of the log service; may be repeated"}, "event_log.addresses",
			func(c *cli.Command, name string, s *settings.Settings) { s.EventLog.Addresses = c.StringSlice(name) }},
		{&cli.StringFlag{Name: "event-log-driver", Usage: "`NAME` of the log service's driver"}, "event_log.driver",
			func(c *cli.Command, name string, s *settings.Settings) { s.EventLog.Driver = c.String(name) }},
		{&cli.StringSliceFlag{Name: "machine-list", Usage: "`IP:PORT` of the machine list; may be repeated"}, "machine_list.addresses",
			func(c *cli.Command, name string, s *settings.Settings) { s.MachineList.Addresses = c.StringSlice(name) }},
		{&cli.StringFlag{Name: "machine-list-driver", Usage: "`NAME` of the machine list's driver"}, "machine_list.driver",
			func(c *cli.Command, name string, s *settings.Settings) { s.MachineList.Driver = c.String(name) }},
		{&cli.StringFlag{Name: "engines-driver", Usage: "`NAME` of the engines' driver"}, "engines.driver",
			func(c *cli.Command, name string, s *settings.Settings) { s.Engines.Driver = c.String(name) }},
		{&cli.StringFlag{Name: "applications-driver", Usage: "`NAME` of the applications' driver"}, "applications.driver",
			func(c *cli.Command, name string, s *settings.Settings) { s.Applications.Driver = c.String(name) }},
		{&cli.IntFlag{Name: "queue", DefaultText: settingsFileDefault, Usage: "`NUMBER` of calls that may be queued"}, "limits.queue",
			func(c *cli.Command, name string, s *settings.Settings) { s.Limits.MaxQueuedCalls = c.Int(name) }},
		{&cli.DurationFlag{Name: "call-timeout", DefaultText: settingsFileDefault, Usage: "`DURATION` that a call may take if its caller sets no timeout"}, "limits.call_timeout",
			func(c *cli.Command, name string, s *settings.Settings) { s.Limits.CallTimeout = c.Duration(name) }},
		{&cli.DurationFlag{Name: "stop-timeout", DefaultText: settingsFileDefault, Usage: "`DURATION` that a graceful shutdown may take"}, "limits.stop_timeout",
			func(c *cli.Command, name string, s *settings.Settings) { s.Limits.ShutdownTimeout = c.Duration(name) }},
		{&cli.StringFlag{Name: "log-level", Usage: "`LEVEL`: trace, debug, info, warn or error"}, "log_level",
			func(c *cli.Command, name string, s *settings.Settings) { s.LogLevel = c.String(name) }},
		{&cli.StringFlag{Name: "log-format", Usage: "`FORMAT`: json or console"}, "log_format",
			func(c *cli.Command, name string, s *settings.Settings) { s.LogFormat = c.String(name) }},
	}
}
