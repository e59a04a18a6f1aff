// Package report writes the HTML page of an experiment: a table and plots of
// latency distributions, cache use over time and load sweeps, as one file
// with inline SVG.
package report

import (
	"bytes"
	"fmt"
	"html/template"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/experiment"
)

// Page is the content of a report.
type Page struct {
	Result experiment.Result
	// Sweep holds results at other loads.
	Sweep []experiment.Result
}

// fileName is the page's name in the directory.
const fileName = "index.html"

// Permissions of created files and directories.
const (
	directoryMode = 0o755
	fileMode      = 0o644
)

type view struct {
	Title string
	Table string
	Plots []template.HTML
}

var layout = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title>
<style>body{font-family:sans-serif;margin:2em;max-width:60em}svg{max-width:100%;height:auto}</style></head>
<body><h1>{{.Title}}</h1><pre>{{.Table}}</pre>
{{range .Plots}}<p>{{.}}</p>
{{end}}</body></html>
`))

// Write writes the page into a directory, which is created if missing.
func (p *Page) Write(directory string) error {
	plots, err := p.plots()
	if err != nil {
		return err
	}
	content := view{
		Title: fmt.Sprintf("mintpulley experiment: %s at load %g", p.Result.Workload, p.Result.Load),
		Table: p.Result.Table(),
		Plots: plots,
	}
	var page bytes.Buffer
	if err := layout.Execute(&page, content); err != nil {
		return eris.Wrap(err, "report: render page")
	}
	if err := os.MkdirAll(directory, directoryMode); err != nil {
		return eris.Wrap(err, "report: create directory")
	}
	file := filepath.Join(directory, fileName)
	return eris.Wrap(os.WriteFile(file, page.Bytes(), fileMode), "report: write page")
}

func (p *Page) plots() ([]template.HTML, error) {
	var all []template.HTML
	for _, draw := range []func() (template.HTML, error){p.latencies, p.cacheUse, p.sweep} {
		plot, err := draw()
		if err != nil {
			return nil, err
		}
		if plot != "" {
			all = append(all, plot)
		}
	}
	return all, nil
}
