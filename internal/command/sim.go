package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/mintpulley/mintpulley/internal/simulation/checker"
	"github.com/mintpulley/mintpulley/internal/simulation/scenario"
)

// defaultSeeds is the default of --seeds.
const defaultSeeds = 1

func simCommand() *cli.Command {
	return &cli.Command{
		Name:  "sim",
		Usage: "run the daemons' code on a virtual clock under faults, and check its guarantees",
		UsageText: "mintpulley sim --list\n" +
			"mintpulley sim --scenario zone_partition --seed 7 --format json\n" +
			"mintpulley sim --scenario random --seed 1 --seeds 1000\n" +
			"mintpulley sim --scenario calm --break budget_exceeded",
		Description: "The same arguments give byte-identical output. Exit code 1 means that a guarantee was violated;\n" +
			"the evidence goes to standard error. With --break, if the scenario's own faults do not\n" +
			"exercise the disabled guard, a scenario that does runs next in the same report.",
		Flags: []cli.Flag{
			formatFlag(),
			&cli.BoolFlag{Name: "list", Usage: "print the names of the scenarios"},
			&cli.StringFlag{Name: "scenario", Value: scenario.Random, Usage: "the scenario's `NAME`"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`NUMBER` that seeds all random choices"},
			&cli.IntFlag{Name: "seeds", Value: defaultSeeds, Usage: "run this `MANY` consecutive seeds, starting at --seed; one table line each"},
			&cli.StringFlag{Name: "break", Usage: "disable the guard against the `VIOLATION`, to test that the checker detects it"},
			&cli.StringFlag{Name: "trace", Usage: "write every event and the daemons' logs to `FILE`"},
		},
		Action: runSim,
	}
}

func runSim(_ context.Context, command *cli.Command) error {
	out := command.Root().Writer
	if command.Bool("list") {
		for _, s := range scenario.All() {
			if _, err := fmt.Fprintln(out, s.Name); err != nil {
				return err
			}
		}
		return nil
	}
	chosen, found := scenario.Find(command.String("scenario"))
	if !found {
		return eris.Errorf("sim: unknown scenario %q; see --list", command.String("scenario"))
	}
	broken := checker.Violation(command.String("break"))
	if broken != "" && !slices.Contains(checker.All(), broken) {
		return eris.Errorf("sim: unknown violation %q", broken)
	}
	options := scenario.Options{Seed: command.Uint64("seed"), Break: broken, Logger: zerolog.Nop()}
	if path := command.String("trace"); path != "" {
		file, err := os.Create(path)
		if err != nil {
			return eris.Wrap(err, "sim: trace")
		}
		defer func() { _ = file.Close() }()
		options.Trace = file
		options.Logger = zerolog.New(file)
	}
	return runSeeds(out, command.Root().ErrWriter, chosen, options, command.Int("seeds"), command.String("format"))
}

// runSeeds runs consecutive seeds and prints a report for each.
func runSeeds(out, errors io.Writer, chosen *scenario.Scenario, options scenario.Options, seeds int, format string) error {
	failed := 0
	for range max(seeds, 1) {
		report := scenario.Execute(chosen, options)
		for _, finding := range report.Findings {
			if _, err := fmt.Fprintf(errors, "sim: seed %d: %s\n", options.Seed, finding); err != nil {
				return err
			}
		}
		if report.ViolationCount() > 0 {
			failed++
		}
		if err := printSim(out, format, report); err != nil {
			return err
		}
		options.Seed++
	}
	if failed > 0 {
		return eris.Wrapf(ErrViolation, "%d of %d seeds", failed, max(seeds, 1))
	}
	return nil
}

func printSim(w io.Writer, format string, report scenario.Report) error {
	if format == "json" {
		return json.NewEncoder(w).Encode(report)
	}
	var broken []string
	for _, violation := range checker.All() {
		if count := report.Violations[violation]; count > 0 {
			broken = append(broken, fmt.Sprintf("%s %d", violation, count))
		}
	}
	verdict := "clean"
	if len(broken) > 0 {
		verdict = strings.Join(broken, ", ")
	}
	_, err := fmt.Fprintf(w, "%s seed %d: %d programs, %d completed, %d refused, %d failed, %d unknown; %d calls run, %d again; takeover p99 %.3f s, configuration p99 %.3f s; %s\n",
		report.Scenario, report.Seed, report.Programs.Started, report.Programs.Completed, report.Programs.Refused,
		report.Programs.Failed, report.Programs.Unknown, report.Calls.Dispatched, report.Calls.Retried,
		report.Recovery.TakeoverP99, report.Recovery.ConfigurationP99, verdict)
	return err
}
