package load

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/rotisserie/eris"
)

// WriteJSON writes a result as one JSON object.
func WriteJSON(w io.Writer, result any) error {
	return eris.Wrap(json.NewEncoder(w).Encode(result), "load: report")
}

// WriteTable writes a result as text and a table.
func (r Result) WriteTable(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%s: %d programs in %.1f s, %d completed, %d refused, %d failed, %d calls, %d tokens\n",
		r.Workload, r.Programs, r.Seconds, r.Completed, r.Refused, r.Failed, r.Calls, r.Tokens)
	_, _ = fmt.Fprintf(w, "live heap of the daemons: %.1f MB before, %.1f MB after\n", r.LiveHeapBefore/1e6, r.LiveHeapAfter/1e6)
	writeTimes(w, []timesRow{
		{"program latency", r.ProgramLatency},
		{"first token", r.FirstToken},
		{"between tokens", r.BetweenTokens},
	})
	writeError(w, r.FirstError)
}

// WriteTable writes a result as text and a table.
func (r StreamResult) WriteTable(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%d streams, %d tokens in %d events in %.1f s, %d failed\n", r.Streams, r.Tokens, r.Events, r.WindowSeconds, r.Failed)
	_, _ = fmt.Fprintf(w, "daemon: %.1f microseconds of processor time per token, %.2f cores, %.1f allocations and %.0f bytes per token, %.0f MB resident\n",
		r.CPUMicrosecondsPerToken, r.CPUCores, r.AllocationsPerToken, r.AllocatedBytesPerToken, r.ResidentBytes/1e6)
	_, _ = fmt.Fprintf(w, "per event: daemon %.1f microseconds, plain relay of the same streams %.1f per write, %.2f times that\n",
		r.CPUMicrosecondsPerEvent, r.RelayCPUMicrosecondsPerWrite, r.CPUOverRelay)
	writeTimes(w, []timesRow{
		{"first token, straight", r.FirstTokenDirect},
		{"first token, through", r.FirstTokenThroughDaemon},
		{"between tokens, straight", r.BetweenTokensDirect},
		{"between tokens, through", r.BetweenTokensThroughDaemon},
	})
	writeError(w, r.FirstError)
}

type timesRow struct {
	name  string
	times Percentiles
}

func writeTimes(w io.Writer, rows []timesRow) {
	writer := table.NewWriter()
	writer.SetOutputMirror(w)
	writer.AppendHeader(table.Row{"seconds", "count", "p50", "p95", "p99", "max"})
	for _, row := range rows {
		t := row.times
		writer.AppendRow(table.Row{row.name, t.Count, seconds(t.P50), seconds(t.P95), seconds(t.P99), seconds(t.Max)})
	}
	writer.Render()
}

func seconds(value float64) string { return fmt.Sprintf("%.4f", value) }

func writeError(w io.Writer, text string) {
	if text != "" {
		_, _ = fmt.Fprintln(w, "first error:", text)
	}
}
