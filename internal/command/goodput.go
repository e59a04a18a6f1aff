package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/mintpulley/mintpulley/internal/simulation/scenario"
)

func goodputCommand() *cli.Command {
	return &cli.Command{
		Name:  "goodput",
		Usage: "measure the goodput of a small fleet on a virtual clock",
		UsageText: "mintpulley goodput --rate 1 --rate 2 --rate 4\n" +
			"mintpulley goodput --course retry_storm --rate 8\n" +
			"mintpulley goodput --seed 3 --format json",
		Description: "Three daemons, three engines; programs of one to five calls, each with a\n" +
			"deadline of 10 s. Refused callers retry after the time they are told. The same\n" +
			"arguments give byte-identical output. Courses:\n" + describeCourses(),
		Flags: []cli.Flag{
			formatFlag(),
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`NUMBER` that seeds all random choices"},
			&cli.StringFlag{Name: "course", Value: "steady", Usage: "`NAME` of the faults injected during the run"},
			&cli.FloatSliceFlag{Name: "rate", Value: []float64{2, 4, 6, 8, 12, 16, 24}, Usage: "offered `PROGRAMS` per second; may be repeated"},
		},
		Action: runGoodput,
	}
}

func describeCourses() string {
	var text strings.Builder
	for _, course := range scenario.GoodputCourses() {
		fmt.Fprintf(&text, "  %-15s %s\n", course.Name, course.Summary)
	}
	return text.String()
}

func runGoodput(_ context.Context, command *cli.Command) error {
	course, found := scenario.FindGoodputCourse(command.String("course"))
	if !found {
		return eris.Errorf("--course: unknown course %q", command.String("course"))
	}
	points := scenario.Goodput(scenario.GoodputOptions{
		Seed:   command.Uint64("seed"),
		Course: course,
		Times:  scenario.DefaultGoodputTimes(),
		Logger: zerolog.New(os.Stderr).Level(zerolog.ErrorLevel),
	}, command.FloatSlice("rate"))
	if err := printGoodput(command.Root().Writer, command.String("format"), points); err != nil {
		return err
	}
	for _, point := range points {
		for _, finding := range point.Findings {
			if _, err := fmt.Fprintf(command.Root().ErrWriter, "goodput: %g/s: %s\n", point.Offered, finding); err != nil {
				return err
			}
		}
	}
	for _, point := range points {
		if point.Violations > 0 {
			return eris.Wrapf(ErrViolation, "%d violations at %g programs a second", point.Violations, point.Offered)
		}
	}
	return nil
}

func printGoodput(out io.Writer, format string, points []scenario.GoodputPoint) error {
	if format == "json" {
		return json.NewEncoder(out).Encode(points)
	}
	if _, err := fmt.Fprintf(out, "%10s %12s %14s %10s\n", "offered/s", "completed/s", "refused calls", "violations"); err != nil {
		return err
	}
	for _, point := range points {
		if _, err := fmt.Fprintf(out, "%10.2f %12.2f %14d %10d\n", point.Offered, point.Completed, point.RefusedCalls, point.Violations); err != nil {
			return err
		}
	}
	return nil
}
