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
	// meterWindow is the span over which a Meter adds calls up for one log line.
	meterWindow = time.Second
	// meterBytes is what a daemon reads in a window at least for a line to be
	// logged where all calls were answered: a quarter of a page.
	meterBytes = 256 << 10
)

// Meter counts the calls and the bytes read of the store that it wraps, by purpose.
// A second in which much was read, or in which calls failed, is told in one log line.
// It is safe for concurrent use.
type Meter struct {
	Store
	logger zerolog.Logger
	calls  *prometheus.CounterVec
	bytes  *prometheus.CounterVec
	mutex  sync.Mutex
	// from is when the window began that is added up, window its calls and read its bytes.
	from   time.Time
	window map[Purpose]*meterCount
	read   int
	// trouble tells whether a call of the window was refused or not answered.
	trouble bool
}

// callOutcome is how a call to the store ended: a label of figures.
type callOutcome string

const (
	outcomeAnswered   callOutcome = "answered"
	outcomeRefused    callOutcome = "refused"
	outcomeUnanswered callOutcome = "unanswered"
	// outcomeGivenUp: another try was answered, or nobody waited any more.
	outcomeGivenUp callOutcome = "given_up"
)

// outcomeOf returns how a call under a context ended.
func outcomeOf(ctx context.Context, err error) callOutcome {
	switch {
	case errors.Is(err, ErrUnavailable):
		return outcomeRefused
	case errors.Is(err, ErrOutcomeUnknown) && errors.Is(ctx.Err(), context.Canceled):
		return outcomeGivenUp
	case errors.Is(err, ErrOutcomeUnknown):
		return outcomeUnanswered
	}
	return outcomeAnswered
}

// meterCount adds the calls of one purpose up, and the bytes that they read.
type meterCount struct {
	calls map[callOutcome]int
	bytes int
}

// NewMeter wraps a store and registers its figures.
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
	m.note(ctx, nil, err)
	return err
}

// NewestPage implements Store.
func (m *Meter) NewestPage(ctx context.Context, partition Partition, after string) (Page, error) {
	page, err := m.Store.NewestPage(ctx, partition, after)
	m.note(ctx, page.Records, err)
	return page, err
}

// Read implements Store.
func (m *Meter) Read(ctx context.Context, partition Partition, from int64, wait time.Duration) ([]Record, int64, error) {
	records, next, err := m.Store.Read(ctx, partition, from, wait)
	m.note(ctx, records, err)
	return records, next, err
}

// Trim implements Store.
func (m *Meter) Trim(ctx context.Context, partition Partition, before int64) error {
	err := m.Store.Trim(ctx, partition, before)
	m.note(ctx, nil, err)
	return err
}

// note counts one call that has ended.
func (m *Meter) note(ctx context.Context, records []Record, err error) {
	purpose, now := PurposeOf(ctx), time.Now()
	size := SizeOf(records)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if now.Sub(m.from) >= meterWindow {
		m.tell()
		m.from = now
	}
	count := m.window[purpose]
	if count == nil {
		count = &meterCount{calls: map[callOutcome]int{}}
		m.window[purpose] = count
	}
	outcome := outcomeOf(ctx, err)
	count.calls[outcome]++
	m.trouble = m.trouble || outcome == outcomeRefused || outcome == outcomeUnanswered
	count.bytes += size
	m.read += size
	m.calls.WithLabelValues(string(purpose), string(outcome)).Inc()
	m.bytes.WithLabelValues(string(purpose)).Add(float64(size))
}

// tell logs the window that has ended, if it is worth a line, and begins another.
func (m *Meter) tell() {
	if m.read >= meterBytes || m.trouble {
		event := m.logger.Info().Time("since", m.from).Int("bytes", m.read)
		for _, purpose := range m.purposes() {
			c := m.window[purpose]
			event = event.Ints(string(purpose), []int{
				c.calls[outcomeAnswered], c.calls[outcomeRefused], c.calls[outcomeUnanswered], c.calls[outcomeGivenUp], c.bytes,
			})
		}
		event.Msg("Calls to the store: answered, refused, unanswered, given up, bytes read.")
	}
	clear(m.window)
	m.read, m.trouble = 0, false
}

// purposes lists the purposes of the window in their order.
func (m *Meter) purposes() []Purpose {
	var list []Purpose
	for purpose := range m.window {
		list = append(list, purpose)
	}
	slices.SortFunc(list, func(a, b Purpose) int { return strings.Compare(string(a), string(b)) })
	return list
}
