// Package drivers simulates the external systems on a virtual clock: the
// platform's event log and machine list, application back ends and engines,
// with the faults that the real ones have. A daemon reaches them through a
// network.Client, so that partitions, delays and crashes apply.
package drivers

import (
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/simulation/network"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// requestTimeout limits a request to a platform service or an inspection of a
// back end.
const requestTimeout = 2 * time.Second

// EventLog is the platform's append-only log service.
type EventLog struct {
	// Place is the address and zone of the service.
	Place network.Place
	// Down makes every request fail.
	Down bool
	// AddedDelay is added to the processing of every request.
	AddedDelay time.Duration
	// AnswerLossChance is the probability that an append takes effect and its
	// answer is lost.
	AnswerLossChance float64
	// ReadLag is the maximum age of entries that reads may miss; the limit is
	// drawn for each read.
	ReadLag time.Duration
	// OnAppend is called for each entry that took effect; nil is allowed.
	OnAppend func(stream framework.StreamName, entry framework.LogEntry)

	network *network.Network
	random  *rand.Rand
	streams map[framework.StreamName][]timedEntry
}

type timedEntry struct {
	entry framework.LogEntry
	at    time.Time
}

// NewEventLog returns an empty log.
func NewEventLog(n *network.Network, place network.Place, random *rand.Rand) *EventLog {
	return &EventLog{Place: place, network: n, random: random, streams: map[framework.StreamName][]timedEntry{}}
}

// Client returns a driver that calls the log from one process.
func (l *EventLog) Client(c network.Client) framework.EventLog { return &logClient{log: l, client: c} }

// Entries returns all entries of a stream, regardless of ReadLag.
func (l *EventLog) Entries(stream framework.StreamName) []framework.LogEntry {
	entries := make([]framework.LogEntry, 0, len(l.streams[stream]))
	for _, timed := range l.streams[stream] {
		entries = append(entries, timed.entry)
	}
	return entries
}

// Append adds an entry immediately.
func (l *EventLog) Append(stream framework.StreamName, operationID string, payload []byte) structs.LogOffset {
	offset := structs.LogOffset(len(l.streams[stream]))
	entry := framework.LogEntry{Offset: offset, OperationID: operationID, Payload: append([]byte{}, payload...)}
	l.streams[stream] = append(l.streams[stream], timedEntry{entry: entry, at: l.network.Clock().Now()})
	if l.OnAppend != nil {
		l.OnAppend(stream, entry)
	}
	return offset
}

func (l *EventLog) read(stream framework.StreamName, from structs.LogOffset, limit int) []framework.LogEntry {
	entries := l.streams[stream]
	visible := len(entries)
	if l.ReadLag > 0 {
		horizon := l.network.Clock().Now().Add(-time.Duration(l.random.Int64N(int64(l.ReadLag))))
		for visible > 0 && entries[visible-1].at.After(horizon) {
			visible--
		}
	}
	var found []framework.LogEntry
	for i := max(int(from), 0); i < visible && len(found) < limit; i++ {
		found = append(found, entries[i].entry)
	}
	return found
}

// runDelayed calls f after AddedDelay.
func (l *EventLog) runDelayed(f func()) {
	if l.AddedDelay == 0 {
		f()
		return
	}
	l.network.Clock().AfterFunc(l.AddedDelay, f)
}

type logClient struct {
	log    *EventLog
	client network.Client
}

var errLogDown = eris.Wrap(framework.ErrUnavailable, "event log")

// Append implements framework.EventLog.
func (c *logClient) Append(stream framework.StreamName, operationID string, payload []byte, done func(structs.LogOffset, error)) {
	serve := func(reply func(structs.LogOffset, error)) {
		c.log.runDelayed(func() {
			if c.log.Down {
				reply(0, errLogDown)
				return
			}
			offset := c.log.Append(stream, operationID, payload)
			if c.log.AnswerLossChance > 0 && c.log.random.Float64() < c.log.AnswerLossChance {
				return
			}
			reply(offset, nil)
		})
	}
	network.Request(c.client, c.log.Place, requestTimeout, framework.ErrUnreachable, serve, done)
}

// Read implements framework.EventLog.
func (c *logClient) Read(stream framework.StreamName, from structs.LogOffset, limit int, done func([]framework.LogEntry, error)) {
	serve := func(reply func([]framework.LogEntry, error)) {
		c.log.runDelayed(func() {
			if c.log.Down {
				reply(nil, errLogDown)
				return
			}
			reply(c.log.read(stream, from, limit), nil)
		})
	}
	network.Request(c.client, c.log.Place, requestTimeout, framework.ErrUnreachable, serve, done)
}
