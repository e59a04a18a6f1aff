package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maximumRecordedTime is the largest value that a histogram records.
	maximumRecordedTime = 30 * time.Minute
	// significantDigits is the precision of histograms.
	significantDigits = 3
)

// Percentiles are the percentiles of one histogram, in seconds.
type Percentiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_s"`
	P95   float64 `json:"p95_s"`
	P99   float64 `json:"p99_s"`
	Max   float64 `json:"max_s"`
}

// histogram records durations; it is safe for concurrent use.
type histogram struct {
	mutex  sync.Mutex
	values *hdrhistogram.Histogram
}

func newHistogram() *histogram {
	return &histogram{values: hdrhistogram.New(1, maximumRecordedTime.Microseconds(), significantDigits)}
}

func (h *histogram) record(d time.Duration) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	_ = h.values.RecordValue(max(d, time.Microsecond).Microseconds())
}

func (h *histogram) times() Percentiles {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	at := func(percentile float64) float64 {
		return (time.Duration(h.values.ValueAtQuantile(percentile)) * time.Microsecond).Seconds()
	}
	return Percentiles{
		Count: h.values.TotalCount(),
		P50:   at(50),
		P95:   at(95),
		P99:   at(99),
		Max:   (time.Duration(h.values.Max()) * time.Microsecond).Seconds(),
	}
}

// newStreamObserver returns an observer of a stream that starts now: the time
// to the first event is recorded in first, the gaps between events in gaps.
func newStreamObserver(first, gaps *histogram) observer {
	last := time.Now()
	begun := false
	return func(at time.Time, _ int64) {
		if begun {
			gaps.record(at.Sub(last))
		} else {
			first.record(at.Sub(last))
		}
		begun = true
		last = at
	}
}
