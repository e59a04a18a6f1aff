package load

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/httpconn"
)

// processMetrics are a daemon's metrics of its own process.
type processMetrics struct {
	cpuSeconds     float64
	residentBytes  float64
	allocations    float64
	allocatedBytes float64
	// nextCollection is the heap size at which the next garbage collection
	// starts: by default twice the live heap of the last collection.
	nextCollection float64
}

// liveHeap returns the daemons' live heap at their last collections in bytes,
// or 0 if one cannot be read.
func liveHeap(ctx context.Context, addresses []string) float64 {
	total := 0.0
	for _, address := range addresses {
		p, err := scrape(ctx, address)
		if err != nil {
			return 0
		}
		total += p.nextCollection / 2
	}
	return total
}

// maxMetricsBytes bounds the metrics of a daemon.
const maxMetricsBytes = 16 << 20

// metricsClient reads metrics. The caller's context bounds each request.
var metricsClient = httpconn.NewClient(maxMetricsBytes, 0)

// scrape reads a daemon's metrics.
func scrape(ctx context.Context, address string) (processMetrics, error) {
	var p processMetrics
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return p, eris.Wrap(err, "load: metrics")
	}
	response, err := metricsClient.Do(request)
	if err != nil {
		return p, eris.Wrap(err, "load: metrics")
	}
	defer func() { _ = response.Body.Close() }()
	wanted := map[string]*float64{
		"process_cpu_seconds_total":     &p.cpuSeconds,
		"process_resident_memory_bytes": &p.residentBytes,
		"go_memstats_mallocs_total":     &p.allocations,
		"go_memstats_alloc_bytes_total": &p.allocatedBytes,
		"go_memstats_next_gc_bytes":     &p.nextCollection,
	}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		name, text, _ := strings.Cut(lines.Text(), " ")
		value := wanted[name]
		if value == nil {
			continue
		}
		if *value, err = strconv.ParseFloat(text, 64); err != nil {
			return p, eris.Wrapf(err, "load: metric %s", name)
		}
	}
	return p, eris.Wrap(lines.Err(), "load: metrics")
}
