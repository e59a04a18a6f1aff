package command

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/mattn/go-isatty"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/mintpulley/mintpulley/internal/demo"
	"github.com/mintpulley/mintpulley/internal/load"
	"github.com/mintpulley/mintpulley/internal/standin/engine"
)

const (
	// daemonReadyTimeout bounds the wait for a daemon to be ready.
	daemonReadyTimeout = 2 * time.Minute
	// streamTokenTime is the interval between tokens of the stand-in engines.
	streamTokenTime = 30 * time.Millisecond
	// streamEngines and streamsPerEngine allow a few thousand streams.
	streamEngines    = 4
	streamsPerEngine = 1024
	// streamWarmUp is the time for all streams to begin.
	streamWarmUp = 8 * time.Second
	// directStreams go directly to an engine, for comparison with those through
	// the daemon.
	directStreams = 20
	// firstTokenCalls is the number of calls made directly and through the daemon
	// before the streams begin.
	firstTokenCalls = 200
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "run programs against daemons at a given rate and measure latencies",
		Description: "Programs arrive on schedule whether or not earlier ones were answered; latency\n" +
			"counts from the scheduled arrival.\n\n" +
			"Examples:\n" +
			"  mintpulley load --embedded --workload tally --rate 20 --duration 10s\n" +
			"  mintpulley load --address 10.0.0.1:8080 --key KEY --template order --model m --workload chlebnet --rate 5\n\n" +
			"Processor time per token of one daemon in a process of its own:\n" +
			"  mintpulley load --streams 1000 --stand-ins daemon.yaml &\n" +
			"  GOMAXPROCS=1 mintpulley daemon --settings daemon.yaml",
		Flags: []cli.Flag{
			formatFlag(),
			&cli.StringSliceFlag{Name: "address", Usage: "a daemon's HTTP `ADDRESS`; may be repeated"},
			&cli.BoolFlag{Name: "embedded", Usage: "run stand-ins and three daemons in this process"},
			&cli.StringFlag{Name: "workload", Value: load.WorkloadTally, Usage: "tally or chlebnet"},
			&cli.FloatFlag{Name: "rate", Value: 10, Usage: "`PROGRAMS` per second"},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second, Usage: "how long programs arrive"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`seed` of all random choices"},
			&cli.Int64Flag{Name: "answer-tokens", Usage: "limit each answer to `N` tokens"},
			&cli.BoolFlag{Name: "leave-waiting", Usage: "do not end the programs, to measure what waiting ones cost"},
			&cli.StringFlag{Name: "key", Usage: "the tenant's bearer `KEY`"},
			&cli.StringFlag{Name: "template", Usage: "the `TEMPLATE` of programs"},
			&cli.StringFlag{Name: "model", Usage: "the `MODEL` of calls"},
			&cli.StringFlag{Name: "target", Usage: "`NAME` of the application that takes orders"},
			&cli.StringFlag{Name: "operation", Usage: "`NAME` of the operation that places an order"},
			&cli.IntFlag{Name: "streams", Usage: "hold `N` streams open at one daemon instead of running a workload"},
			&cli.StringFlag{Name: "stand-ins", Usage: "with --streams: run stand-ins for engines and platform, write the daemon's settings to `FILE`, and wait for it"},
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, command *cli.Command) error {
	if command.Int("streams") > 0 {
		return runStreams(ctx, command)
	}
	options := load.Options{
		Addresses:        command.StringSlice("address"),
		Workload:         command.String("workload"),
		Services:         []load.Service{serviceOf(command)},
		Rate:             command.Float("rate"),
		Duration:         command.Duration("duration"),
		Seed:             command.Uint64("seed"),
		AnswerTokens:     command.Int64("answer-tokens"),
		KeepProgramsOpen: command.Bool("leave-waiting"),
		Progress:         progressWriter(),
	}
	if options.Rate <= 0 || options.Duration <= 0 {
		return eris.New("load: --rate and --duration must be positive")
	}
	if command.Bool("embedded") {
		cluster, err := startEmbedded(ctx)
		if err != nil {
			return err
		}
		defer cluster.Close()
		options.Addresses = cluster.HTTPAddresses
		options.Services = load.StandInServices(options.Workload)
	}
	if len(options.Addresses) == 0 {
		return eris.New("load: name daemons by --address, or use --embedded")
	}
	result, err := load.Run(ctx, options)
	if err != nil {
		return err
	}
	return writeMeasurement(command, result)
}

func serviceOf(command *cli.Command) load.Service {
	return load.Service{
		Key:       command.String("key"),
		Template:  command.String("template"),
		Model:     command.String("model"),
		Target:    command.String("target"),
		Operation: command.String("operation"),
	}
}

// progressWriter returns standard error if it is a terminal, else nil.
func progressWriter() io.Writer {
	if isatty.IsTerminal(os.Stderr.Fd()) {
		return os.Stderr
	}
	return nil
}

func startEmbedded(ctx context.Context) (*demo.Cluster, error) {
	cluster, err := demo.StartCluster(demo.ClusterOptions{
		Models:       load.StandInModels(),
		Applications: load.StandInApplications(),
		Logger:       zerolog.Nop(),
	})
	if err != nil {
		return nil, err
	}
	if err := cluster.Publish(load.StandInConfiguration()); err != nil {
		return nil, err
	}
	return cluster, cluster.WaitForReadiness(ctx)
}

func runStreams(ctx context.Context, command *cli.Command) error {
	file := command.String("stand-ins")
	if file == "" {
		return eris.New("load: --streams needs --stand-ins")
	}
	window := command.Duration("duration")
	tokens := int64((window+2*streamWarmUp)/streamTokenTime) * 2
	settings := engine.DefaultSettings(load.StandInModels()...)
	settings.Parameters.StepBase = streamTokenTime
	settings.Parameters.StepPerSequence = 0
	settings.Parameters.AnswerTokens = tokens
	settings.Parameters.MaximumRunning = streamsPerEngine
	settings.Parameters.StepTokens = 4 * streamsPerEngine
	settings.Parameters.CacheTokens = streamsPerEngine * 2 * tokens
	standIns, err := load.StartStandIns(load.StandInOptions{Engines: streamEngines, Engine: settings, SettingsFile: file})
	if err != nil {
		return err
	}
	defer standIns.Close()
	readyContext, cancel := context.WithTimeout(ctx, daemonReadyTimeout)
	defer cancel()
	if err := standIns.WaitForDaemon(readyContext); err != nil {
		return err
	}
	result, err := load.MeasureStreams(ctx, load.StreamOptions{
		Address:         standIns.HTTPAddress,
		Engines:         standIns.Engines,
		Streams:         int(command.Int("streams")),
		DirectStreams:   directStreams,
		RelayedStreams:  int(command.Int("streams")),
		WarmUp:          streamWarmUp,
		Window:          window,
		AnswerTokens:    tokens,
		FirstTokenCalls: firstTokenCalls,
	})
	if err != nil {
		return err
	}
	return writeMeasurement(command, result)
}

// measurement is a result that can be shown as a table.
type measurement interface{ WriteTable(w io.Writer) }

// writeMeasurement prints a result in the format selected by --format.
func writeMeasurement(command *cli.Command, result measurement) error {
	if command.String("format") == "json" {
		return load.WriteJSON(command.Root().Writer, result)
	}
	result.WriteTable(command.Root().Writer)
	return nil
}
