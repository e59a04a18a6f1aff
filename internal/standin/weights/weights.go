// Package weights is a stand-in for the platform's weight store, from which
// all engines together read at a limited rate.
package weights

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/standin/control"
)

// pathWeights is the path prefix of the name to read.
const pathWeights = "/weights/"

// Faults are the faults of the store.
type Faults struct {
	control.ServiceFaults
	// BytesPerSecond overrides the store's rate; 0 keeps it.
	BytesPerSecond int64 `json:"bytes_per_second,omitempty"`
}

// Validate implements control.Validator.
func (f Faults) Validate() error {
	if f.BytesPerSecond < 0 {
		return eris.Wrap(control.ErrInvalidFault, "bytes_per_second must not be below zero")
	}
	return f.ServiceFaults.Validate()
}

// Store is the stand-in. It implements http.Handler: GET /weights/NAME?bytes=N
// answers once that many bytes were read, one reader after the other, GET
// /reads lists the reads, GET and PUT /faults.
type Store struct {
	// Faults may be set at any time.
	Faults control.Faults[Faults]

	rate   int64
	chance *control.Chance
	mutex  sync.Mutex
	// freeAt is when the last accepted read ends.
	freeAt time.Time
	reads  []Read
}

// Read is one read of the store.
type Read struct {
	Name      string        `json:"name"`
	Bytes     int64         `json:"bytes"`
	StartedAt time.Time     `json:"started_at"`
	Took      time.Duration `json:"took"`
}

// New returns a store with a rate in bytes per second.
func New(bytesPerSecond int64) *Store {
	return &Store{rate: bytesPerSecond, chance: control.NewChance(1)}
}

// reserve queues a read and returns when it is complete.
func (s *Store) reserve(name string, bytes int64) time.Time {
	rate := s.rate
	if override := s.Faults.Get().BytesPerSecond; override > 0 {
		rate = override
	}
	took := time.Duration(float64(bytes) / float64(rate) * float64(time.Second))
	s.mutex.Lock()
	defer s.mutex.Unlock()
	start := time.Now()
	if s.freeAt.After(start) {
		start = s.freeAt
	}
	s.freeAt = start.Add(took)
	s.reads = append(s.reads, Read{Name: name, Bytes: bytes, StartedAt: start, Took: took})
	return s.freeAt
}

// Reads returns all reads in the order of their requests.
func (s *Store) Reads() []Read {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]Read{}, s.reads...)
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name, isWeights := strings.CutPrefix(r.URL.Path, pathWeights)
	switch {
	case isWeights && r.Method == http.MethodGet:
		s.serveWeights(w, r, name)
	case r.URL.Path == "/reads":
		control.WriteJSON(w, s.Reads())
	case r.URL.Path == control.PathFaults:
		s.Faults.ServeHTTP(w, r)
	default:
		http.NotFound(w, r)
	}
}

// answer is the body of the answer to a read.
type answer struct {
	Name  string `json:"name"`
	Bytes int64  `json:"bytes"`
}

func (s *Store) serveWeights(w http.ResponseWriter, r *http.Request, name string) {
	bytes, err := strconv.ParseInt(r.URL.Query().Get("bytes"), 10, 64)
	if err != nil || bytes < 0 {
		http.Error(w, "bytes must be a number from 0 on", http.StatusBadRequest)
		return
	}
	s.Faults.Get().Serve(s.chance, w, r, func() func() {
		over := s.reserve(name, bytes)
		if !control.Pause(r, control.Duration(max(time.Until(over), 0))) {
			return func() {}
		}
		return func() { control.WriteJSON(w, answer{Name: name, Bytes: bytes}) }
	})
}
