// Package eventlog is a stand-in for the platform's append-only log service.
// It does not deduplicate: an operation appended twice is stored twice.
package eventlog

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/standin/control"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	// pathStreams lists the streams; a stream's name follows it.
	pathStreams = "/streams"
	// defaultLimit limits a read that gives no limit.
	defaultLimit = 100
	// maximumLimit limits every read.
	maximumLimit = 10_000
	// defaultEntryBytes is the default maximum size of a payload.
	defaultEntryBytes = 1 << 20
	// encodingOverhead covers base64 and the other fields of an append.
	encodingOverhead = 2
)

// Faults are the faults of the log service.
type Faults struct {
	control.ServiceFaults
	// AppendsDown answers appends, and only those, with status 503.
	AppendsDown bool `json:"appends_down,omitempty"`
	// LoseAppendAnswers is the fraction of appends that take effect and whose
	// connection breaks in place of the answer.
	LoseAppendAnswers float64 `json:"lose_append_answers,omitempty"`
	// MaximumEntryBytes is the maximum size of a payload; 0 means 1 MiB.
	MaximumEntryBytes int64 `json:"maximum_entry_bytes,omitempty"`
	// ReplicaLag is the lag of the read replica.
	ReplicaLag control.Duration `json:"replica_lag,omitempty"`
}

// Validate implements control.Validator.
func (f Faults) Validate() error {
	if err := f.ServiceFaults.Validate(); err != nil {
		return err
	}
	return control.ValidateFraction("lose_append_answers", f.LoseAppendAnswers)
}

// Log is the stand-in. It implements http.Handler: GET /streams lists streams,
// GET /streams/NAME?from=&limit= reads, POST /streams/NAME appends
// {"operation_id","payload"}, GET and PUT /faults.
type Log struct {
	// Faults may be set at any time.
	Faults control.Faults[Faults]

	chance  *control.Chance
	mutex   sync.Mutex
	streams map[framework.StreamName][]storedEntry
}

type storedEntry struct {
	framework.LogEntry
	at time.Time
}

// New returns an empty log.
func New() *Log {
	return &Log{chance: control.NewChance(1), streams: map[framework.StreamName][]storedEntry{}}
}

// Append adds an entry and returns its offset, regardless of faults.
func (l *Log) Append(stream framework.StreamName, operationID string, payload []byte) structs.LogOffset {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	offset := structs.LogOffset(len(l.streams[stream]))
	entry := framework.LogEntry{Offset: offset, OperationID: operationID, Payload: payload}
	l.streams[stream] = append(l.streams[stream], storedEntry{entry, time.Now()})
	return offset
}

// Read returns up to limit entries from an offset on.
func (l *Log) Read(stream framework.StreamName, from structs.LogOffset, limit int) []framework.LogEntry {
	return l.read(stream, from, limit, 0)
}

// read omits entries younger than lag.
func (l *Log) read(stream framework.StreamName, from structs.LogOffset, limit int, lag time.Duration) []framework.LogEntry {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	visible := time.Now().Add(-lag)
	entries := []framework.LogEntry{}
	stored := l.streams[stream]
	for _, entry := range stored[min(max(int(from), 0), len(stored)):] {
		if len(entries) == limit || entry.at.After(visible) {
			break
		}
		entries = append(entries, entry.LogEntry)
	}
	return entries
}

// Lengths returns the number of entries of each stream.
func (l *Log) Lengths() map[framework.StreamName]int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	lengths := map[framework.StreamName]int{}
	for name, entries := range l.streams {
		lengths[name] = len(entries)
	}
	return lengths
}

// Replica returns a read replica of the log that lags by Faults.ReplicaLag and
// refuses appends.
func (l *Log) Replica() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { l.serve(w, r, true) })
}

// ServeHTTP implements http.Handler.
func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.serve(w, r, false) }

func (l *Log) serve(w http.ResponseWriter, r *http.Request, replica bool) {
	if r.URL.Path == control.PathFaults {
		l.Faults.ServeHTTP(w, r)
		return
	}
	faults := l.Faults.Get()
	name, found := strings.CutPrefix(r.URL.Path, pathStreams+"/")
	stream := framework.StreamName(name)
	faults.Serve(l.chance, w, r, func() func() {
		switch {
		case r.URL.Path == pathStreams && r.Method == http.MethodGet:
			return func() { control.WriteJSON(w, l.Lengths()) }
		case !found || name == "":
			return func() { http.NotFound(w, r) }
		case r.Method == http.MethodGet:
			return l.handleRead(w, r, stream, replica, faults)
		case r.Method == http.MethodPost && !replica:
			return l.handleAppend(w, r, stream, faults)
		}
		return func() { http.Error(w, "method not allowed", http.StatusMethodNotAllowed) }
	})
}

func (l *Log) handleRead(w http.ResponseWriter, r *http.Request, stream framework.StreamName, replica bool, faults Faults) func() {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		from = 0
	}
	limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil || limit < 1 {
		limit = defaultLimit
	}
	lag := time.Duration(0)
	if replica {
		lag = time.Duration(faults.ReplicaLag)
	}
	entries := l.read(stream, structs.LogOffset(from), min(limit, maximumLimit), lag)
	return func() { control.WriteJSON(w, entries) }
}

func (l *Log) handleAppend(w http.ResponseWriter, r *http.Request, stream framework.StreamName, faults Faults) func() {
	if faults.AppendsDown {
		return func() { http.Error(w, "appends are down", http.StatusServiceUnavailable) }
	}
	limit := faults.MaximumEntryBytes
	if limit == 0 {
		limit = defaultEntryBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, encodingOverhead*limit))
	if err != nil {
		return func() { http.Error(w, err.Error(), http.StatusRequestEntityTooLarge) }
	}
	var entry framework.LogEntry
	if err := json.Unmarshal(body, &entry); err != nil {
		return func() { http.Error(w, err.Error(), http.StatusBadRequest) }
	}
	if int64(len(entry.Payload)) > limit {
		return func() { http.Error(w, "the entry is too large", http.StatusRequestEntityTooLarge) }
	}
	offset := l.Append(stream, entry.OperationID, entry.Payload)
	if l.chance.Happens(faults.LoseAppendAnswers) {
		control.AbortConnection()
	}
	return func() { control.WriteJSON(w, framework.LogEntry{Offset: offset, OperationID: entry.OperationID}) }
}
