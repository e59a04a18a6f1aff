package store

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

const (
	// meterWindow is the interval whose calls a Meter sums up in one log line.
	meterWindow = time.Second
	// meterLogThreshold is the number of bytes read in a window from which the window is logged
	// even if all calls were answered: a quarter of a page.
	meterLogThreshold = 256 << 10
)

// Meter wraps a store and counts its calls and the bytes read, by purpose. It logs one line for
// each window in which much was read or a call failed. It is safe for concurrent use.
type Meter struct {
	Store
	logger zerolog.Logger
	calls  *prometheus.CounterVec
	bytes  *prometheus.CounterVec
	mutex  sync.Mutex
	// windowStart is when the current window began, window its calls by purpose, and windowBytes
	// the bytes read in it.
	windowStart time.Time
	window      map[Purpose]*meterCount
	windowBytes int
	// hasFailure is set if a call of the window was refused or not answered.
	hasFailure bool
}

// callOutcome is how a call to the store ended, as a metric label.
type callOutcome string

const (
	outcomeAnswered   callOutcome = "answered"
	outcomeRefused    callOutcome = "refused"
	outcomeUnanswered callOutcome = "unanswered"
	// outcomeCanceled: the caller canceled the call, because another attempt was answered or the
	// result was no longer needed.
	outcomeCanceled callOutcome = "given_up"
)

// outcomeOf classifies how a call made with ctx ended.
func outcomeOf(ctx context.Context, err error) callOutcome {
	switch {
	case errors.Is(err, ErrUnavailable):
		return outcomeRefused
	case errors.Is(err, ErrOutcomeUnknown) && errors.Is(ctx.Err(), context.Canceled):
		return outcomeCanceled
	case errors.Is(err, ErrOutcomeUnknown):
		return outcomeUnanswered
	}
	return outcomeAnswered
}

// meterCount is the number of calls of one purpose by outcome, and the bytes that they read.
type meterCount struct {
	calls map[callOutcome]int
	bytes int
}

// NewMeter wraps a store and registers its metrics.
func NewMeter(s Store, registry prometheus.Registerer, logger zerolog.Logger) *Meter {
	m := &Meter{
		Store: s, logger: logger, window: map[Purpose]*meterCount{},
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "mintpulley", Subsystem: "store", Name: "purpose_calls_total",
			Help: "Calls to the store, by purpose and outcome.",
		}, []string{"purpose", "outcome"}),
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "mintpulley", Subsystem: "store", Name: "read_bytes_total",
			Help: "Bytes of keys and values read of the store, by purpose.",
		}, []string{"purpose"}),
	}
	registry.MustRegister(m.calls, m.bytes)
	return m
}

// Append implements Store.
func (m *Meter) Append(ctx context.Context, partition Partition, writer Writer, records []Record) error {
	err := m.Store.Append(ctx, partition, writer, records)
	m.record(ctx, nil, err)
	return err
}

// NewestPage implements Store.
func (m *Meter) NewestPage(ctx context.Context, partition Partition, after string) (Page, error) {
	page, err := m.Store.NewestPage(ctx, partition, after)
	m.record(ctx, page.Records, err)
	return page, err
}

// Read implements Store.
func (m *Meter) Read(ctx context.Context, partition Partition, from int64, wait time.Duration) ([]Record, int64, error) {
	records, next, err := m.Store.Read(ctx, partition, from, wait)
	m.record(ctx, records, err)
	return records, next, err
}

// Trim implements Store.
func (m *Meter) Trim(ctx context.Context, partition Partition, before int64) error {
	err := m.Store.Trim(ctx, partition, before)
	m.record(ctx, nil, err)
	return err
}

// record counts a finished call.
func (m *Meter) record(ctx context.Context, records []Record, err error) {
	purpose, now := PurposeOf(ctx), time.Now()
	size := SizeOf(records)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if now.Sub(m.windowStart) >= meterWindow {
		m.logWindow()
		m.windowStart = now
	}
	count := m.window[purpose]
	if count == nil {
		count = &meterCount{calls: map[callOutcome]int{}}
		m.window[purpose] = count
	}
	outcome := outcomeOf(ctx, err)
	count.calls[outcome]++
	m.hasFailure = m.hasFailure || outcome == outcomeRefused || outcome == outcomeUnanswered
	count.bytes += size
	m.windowBytes += size
	m.calls.WithLabelValues(string(purpose), string(outcome)).Inc()
	m.bytes.WithLabelValues(string(purpose)).Add(float64(size))
}

// logWindow logs the finished window if it is worth a line, and resets the counters.
func (m *Meter) logWindow() {
	if m.windowBytes >= meterLogThreshold || m.hasFailure {
		event := m.logger.Info().Time("since", m.windowStart).Int("bytes", m.windowBytes)
		for _, purpose := range m.purposes() {
			c := m.window[purpose]
			event = event.Ints(string(purpose), []int{
				c.calls[outcomeAnswered], c.calls[outcomeRefused], c.calls[outcomeUnanswered], c.calls[outcomeCanceled], c.bytes,
			})
		}
		event.Msg("Calls to the store: answered, refused, unanswered, given up, bytes read.")
	}
	clear(m.window)
	m.windowBytes, m.hasFailure = 0, false
}

// purposes returns the purposes of the window in alphabetical order.
func (m *Meter) purposes() []Purpose {
	var list []Purpose
	for purpose := range m.window {
		list = append(list, purpose)
	}
	slices.SortFunc(list, func(a, b Purpose) int { return strings.Compare(string(a), string(b)) })
	return list
}
