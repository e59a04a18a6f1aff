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

// Purpose is what a call to the store is made for: a label of figures and logs.
type Purpose string

// Purposes of the ledger's calls; watchers name theirs after what they follow.
const (
	PurposeOther     Purpose = "other"
	PurposeDirectory Purpose = "directory"
	PurposeClaim     Purpose = "claim"
	PurposeShard     Purpose = "shard"
	PurposeHistories Purpose = "histories"
	PurposeReadAhead Purpose = "read_ahead"
	PurposeChanges   Purpose = "changes"
)

const (
	// meterWindow is the span over which a Meter adds calls up for one log line.
	meterWindow = time.Second
	// meterBytes is what a daemon reads in a window at least for a line to be
	// logged where all calls were answered: a quarter of a page.
	meterBytes = 256 << 10
)

// IsBulk tells whether calls bring many records, which take long by themselves.
func (p Purpose) IsBulk() bool {
	return p == PurposeShard || p == PurposeHistories || p == PurposeReadAhead
}

type purposeKey struct{}

// WithPurpose marks calls made under a context.
func WithPurpose(ctx context.Context, purpose Purpose) context.Context {
	return context.WithValue(ctx, purposeKey{}, purpose)
}

// PurposeOf returns what calls under a context are made for.
func PurposeOf(ctx context.Context) Purpose {
	if purpose, marked := ctx.Value(purposeKey{}).(Purpose); marked {
		return purpose
	}
	return PurposeOther
}

// Meter counts the calls and the bytes read of the store that it wraps, by purpose.
// A second in which much was read, or in which calls failed, is told in one log line.
// It is safe for concurrent use.
type Meter struct {
	Store
	logger  zerolog.Logger
	calls   *prometheus.CounterVec
	bytes   *prometheus.CounterVec
	mutex   sync.Mutex
	from    time.Time
	window  map[Purpose]*meterCount
	read    int
	trouble bool
}

// meterCount adds the calls of one purpose up.
type meterCount struct {
	answered, refused, unanswered, givenUp, bytes int
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

// note takes one call's end.
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
		count = &meterCount{}
		m.window[purpose] = count
	}
	outcome := "answered"
	switch {
	case errors.Is(err, ErrUnavailable):
		outcome = "refused"
		count.refused++
		m.trouble = true
	case errors.Is(err, ErrOutcomeUnknown) && errors.Is(ctx.Err(), context.Canceled):
		outcome = "given_up" // another try was answered, or nobody waited any more
		count.givenUp++
	case errors.Is(err, ErrOutcomeUnknown):
		outcome = "unanswered"
		count.unanswered++
		m.trouble = true
	default:
		count.answered++
	}
	count.bytes += size
	m.read += size
	m.calls.WithLabelValues(string(purpose), outcome).Inc()
	m.bytes.WithLabelValues(string(purpose)).Add(float64(size))
}

// tell logs the window that has ended, if it is worth a line, and begins another.
func (m *Meter) tell() {
	if m.read >= meterBytes || m.trouble {
		event := m.logger.Info().Time("since", m.from).Int("bytes", m.read)
		for _, purpose := range m.purposes() {
			c := m.window[purpose]
			event = event.Ints(string(purpose), []int{c.answered, c.refused, c.unanswered, c.givenUp, c.bytes})
		}
		event.Msg("Calls to the store: answered, refused, unanswered, given up, bytes read.")
	}
	clear(m.window)
	m.read, m.trouble = 0, false
}

func (m *Meter) purposes() []Purpose {
	var list []Purpose
	for purpose := range m.window {
		list = append(list, purpose)
	}
	slices.SortFunc(list, func(a, b Purpose) int { return strings.Compare(string(a), string(b)) })
	return list
}

// SizeOf returns the bytes of records' keys and values.
func SizeOf(records []Record) int {
	size := 0
	for _, record := range records {
		size += len(record.Key) + len(record.Value)
	}
	return size
}
