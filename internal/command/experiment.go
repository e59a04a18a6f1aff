package command

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/mintpulley/mintpulley/internal/experiment"
	"github.com/mintpulley/mintpulley/internal/report"
	"github.com/mintpulley/mintpulley/internal/schedule"
	"github.com/mintpulley/mintpulley/internal/workload"
)

func experimentCommand() *cli.Command {
	return &cli.Command{
		Name:  "experiment",
		Usage: "compare scheduling policies on a workload, on a virtual clock",
		UsageText: "mintpulley experiment --workload tally --load 0.85 --seed 1 --format json\n" +
			"mintpulley experiment --workload chlebnet --seeds 5 --report out/",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "workload", Value: workload.TallyName, Usage: "tally or chlebnet"},
			&cli.FloatFlag{Name: "load", Value: 0.85, Usage: "arrival rate as a fraction of the fleet's capacity"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "the first seed"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "number of consecutive seeds; their programs are evaluated together"},
			&cli.FloatFlag{Name: "duration", Value: experiment.DefaultDuration, Usage: "how long programs arrive, in virtual seconds"},
			&cli.StringSliceFlag{Name: "policies", Value: experiment.Policies(), Usage: "which policies to run; steady-bound is also available"},
			&cli.BoolFlag{Name: "without-transfers", Usage: "the mintpulley policy transfers no caches between engines"},
			&cli.BoolFlag{Name: "degraded", Usage: "load reports are 2 s old and a third of the cache events is lost"},
			&cli.FloatSliceFlag{Name: "sweep", Usage: "additional loads for the load sweep of the report"},
			&cli.StringFlag{Name: "report", Usage: "write an HTML page with plots into `DIR`"},
			&cli.StringFlag{Name: "trace", Usage: "replay the trace in `FILE` if it exists, else save the first seed's trace there"},
			formatFlag(),
		},
		Action: runExperiment,
	}
}

func runExperiment(_ context.Context, command *cli.Command) error {
	options := experiment.Options{
		Load:       command.Float("load"),
		Seed:       command.Uint64("seed"),
		Seeds:      command.Int("seeds"),
		Duration:   command.Float("duration"),
		Policies:   command.StringSlice("policies"),
		Parameters: experiment.EngineParameters(),
	}
	if command.Bool("without-transfers") {
		options.AdjustProfile = func(profile *schedule.Profile) { profile.Transfers = false }
	}
	if command.Bool("degraded") {
		options.Parameters.Publication = experiment.DegradedPublication()
	}
	shape, err := workload.ByName(command.String("workload"))
	if err != nil {
		return err
	}
	traces, err := experimentTraces(command.String("trace"), &shape, &options)
	if err != nil {
		return err
	}
	result, err := experiment.Compare(&shape, &options, traces)
	if err != nil {
		return err
	}
	if directory := command.String("report"); directory != "" {
		if err := writeReport(directory, &shape, &options, result, command.FloatSlice("sweep")); err != nil {
			return err
		}
	}
	return printExperiment(command.Root().Writer, command.String("format"), result)
}

// experimentTraces generates a trace per seed, or reads the saved one.
func experimentTraces(file string, shape *workload.Shape, options *experiment.Options) ([]workload.Trace, error) {
	if err := options.Validate(); err != nil {
		return nil, err
	}
	if file == "" {
		return experiment.Traces(shape, options), nil
	}
	opened, err := os.Open(filepath.Clean(file))
	if err == nil {
		defer func() { _ = opened.Close() }()
		trace, err := workload.Read(opened)
		if err == nil && trace.Workload != shape.Name {
			err = eris.Errorf("the trace is of workload %q", trace.Workload)
		}
		return []workload.Trace{trace}, err
	}
	if !os.IsNotExist(err) {
		return nil, eris.Wrap(err, "trace")
	}
	traces := experiment.Traces(shape, options)
	return traces, saveTrace(file, &traces[0])
}

func saveTrace(file string, trace *workload.Trace) error {
	created, err := os.Create(filepath.Clean(file))
	if err != nil {
		return eris.Wrap(err, "trace")
	}
	if err := trace.Write(created); err != nil {
		_ = created.Close()
		return err
	}
	return eris.Wrap(created.Close(), "trace")
}

func writeReport(directory string, shape *workload.Shape, options *experiment.Options, result experiment.Result, loads []float64) error {
	page := report.Page{Result: result}
	for _, load := range loads {
		sweepOptions := *options
		sweepOptions.Load = load
		swept, err := experiment.Compare(shape, &sweepOptions, experiment.Traces(shape, &sweepOptions))
		if err != nil {
			return err
		}
		page.Sweep = append(page.Sweep, swept)
	}
	return page.Write(directory)
}

func printExperiment(w io.Writer, format string, result experiment.Result) error {
	if format == "json" {
		return json.NewEncoder(w).Encode(result)
	}
	_, err := io.WriteString(w, result.Table()+"\n")
	return err
}
