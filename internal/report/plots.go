package report

import (
	"bytes"
	"html/template"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/mintpulley/mintpulley/internal/experiment"
)

const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 4 * vg.Inch
	// curvePoints is the number of quantiles of a distribution's curve.
	curvePoints = 200
)

// series is one line of a plot.
type series struct {
	name   string
	points plotter.XYs
}

// latencies draws the distribution of program latency under each policy.
func (p *Page) latencies() (template.HTML, error) {
	var lines []series
	for _, policy := range p.Result.Policies {
		sorted := slices.Sorted(slices.Values(policy.Outcome.Latencies))
		if len(sorted) == 0 {
			continue
		}
		line := series{name: policy.Name}
		for i := range curvePoints {
			place := i * (len(sorted) - 1) / (curvePoints - 1)
			line.points = append(line.points, plotter.XY{X: sorted[place], Y: float64(i) / (curvePoints - 1)})
		}
		lines = append(lines, line)
	}
	return draw("Program latency", "seconds", "fraction of programs", lines)
}

// cacheUse draws the fill level of the caches over time.
func (p *Page) cacheUse() (template.HTML, error) {
	var lines []series
	for _, policy := range p.Result.Policies {
		line := series{name: policy.Name}
		for _, sample := range policy.Outcome.Samples {
			line.points = append(line.points, plotter.XY{X: sample.AtSeconds, Y: sample.Cached})
		}
		if len(line.points) > 0 {
			lines = append(lines, line)
		}
	}
	return draw("Cache use", "seconds", "fraction of the capacity", lines)
}

// sweep draws the 95th percentile against the load.
func (p *Page) sweep() (template.HTML, error) {
	if len(p.Sweep) == 0 {
		return "", nil
	}
	results := append(slices.Clone(p.Sweep), p.Result)
	slices.SortStableFunc(results, func(a, b experiment.Result) int {
		if a.Load < b.Load {
			return -1
		}
		return 1
	})
	var lines []series
	for i, policy := range p.Result.Policies {
		line := series{name: policy.Name}
		for _, result := range results {
			line.points = append(line.points, plotter.XY{X: result.Load, Y: result.Policies[i].LatencyP95Seconds})
		}
		lines = append(lines, line)
	}
	return draw("Load sweep", "load", "p95 program latency, seconds", lines)
}

func draw(title, x, y string, lines []series) (template.HTML, error) {
	chart := plot.New()
	chart.Title.Text = title
	chart.X.Label.Text = x
	chart.Y.Label.Text = y
	chart.Legend.Top = true
	for i, line := range lines {
		curve, err := plotter.NewLine(line.points)
		if err != nil {
			return "", eris.Wrap(err, "report: plot")
		}
		curve.Color = plotutil.Color(i)
		chart.Add(curve)
		chart.Legend.Add(line.name, curve)
	}
	writer, err := chart.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", eris.Wrap(err, "report: plot")
	}
	var rendered bytes.Buffer
	if _, err := writer.WriteTo(&rendered); err != nil {
		return "", eris.Wrap(err, "report: plot")
	}
	text := rendered.String()
	// The XML declaration is not allowed inside an HTML page.
	if start := strings.Index(text, "<svg"); start > 0 {
		text = text[start:]
	}
	return template.HTML(text), nil //nolint:gosec // made by the plot library from numbers and policy names
}
